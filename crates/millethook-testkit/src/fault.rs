//! Faults that a stand-in server can be told to have.

use std::time::Duration;

use crate::delay::Delay;
use crate::random::Random;
use crate::{Conn, answer, ok};

/// What a server does with a request that has come whole.
#[derive(Clone, Debug)]
pub enum Fault {
    /// None: it answers 200 with this body.
    Serve(String),
    /// It answers so after a while.
    Delayed(Delay, String),
    /// 503 with `X-Unprocessed: 1`: turned away unseen.
    Reject,
    /// 500.
    Error,
    /// 503 that says nothing of whether it ran.
    Unavailable,
    /// The connection is reset after the request's last byte.
    Reset,
    /// Nothing is ever answered, and the connection stays open until the other side ends it.
    Stall,
    /// The answer comes in pieces of so many bytes, with a pause after each.
    Trickle(String, usize, Duration),
    /// Noise in place of an answer, and the connection stays open.
    Garbage,
    /// An answer that announces more than it brings, and an end.
    Truncated,
    /// An answer that announces more than it brings, and silence.
    StalledBody,
    /// These bytes as they are, and the connection goes on.
    Raw(Vec<u8>),
    /// These bytes as they are, and an end.
    RawThenClose(Vec<u8>),
}

/// What a server does with a connection before a request has come whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptFault {
    /// It reads.
    None,
    /// It resets as soon as it has accepted.
    ResetAtOnce,
    /// It resets at the first byte: the last one is never read.
    ResetAtFirstByte,
    /// It resets when the head has come, before the last byte of a body.
    ResetAfterHead,
}

/// Carries a fault out; None if the connection is done with.
pub(crate) fn act(mut conn: Conn, fault: Fault, random: &mut Random) -> Option<Conn> {
    match fault {
        Fault::Serve(body) => conn.send(ok(&body)),
        Fault::Delayed(delay, body) => {
            std::thread::sleep(delay.draw(random));
            conn.send(ok(&body));
        }
        Fault::Reject => conn.send(answer("503 Full", "X-Unprocessed: 1\r\n", "")),
        Fault::Error => conn.send(answer("500 Oops", "", "bad")),
        Fault::Unavailable => conn.send(answer("503 Busy", "", "busy")),
        Fault::Reset => {
            conn.reset();
            return None;
        }
        Fault::Stall => {
            conn.closed_by_peer();
            return None;
        }
        Fault::Trickle(body, piece, pause) => {
            for part in ok(&body).as_bytes().chunks(piece.max(1)) {
                conn.send(part);
                std::thread::sleep(pause);
            }
        }
        Fault::Garbage => {
            conn.send("\x16\x03\x01 no such protocol\r\n\r\n");
            conn.closed_by_peer();
            return None;
        }
        Fault::Truncated => {
            conn.send("HTTP/1.1 200 OK\r\nContent-Length: 30\r\nConnection: close\r\n\r\nshort");
            return None;
        }
        Fault::StalledBody => {
            conn.send("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nsome");
            conn.closed_by_peer();
            return None;
        }
        Fault::Raw(bytes) => conn.send(bytes),
        Fault::RawThenClose(bytes) => {
            conn.send(bytes);
            return None;
        }
    }
    Some(conn)
}

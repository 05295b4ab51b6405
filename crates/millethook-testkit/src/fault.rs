//! Faults that a stand-in server simulates.

use std::time::Duration;

use crate::delay::Delay;
use crate::random::Random;
use crate::{Conn, answer, ok};

/// What a server does with a complete request.
#[derive(Clone, Debug)]
pub enum Fault {
    /// No fault: answers 200 with this body.
    Serve(String),
    /// Answers 200 with this body after a delay.
    Delayed(Delay, String),
    /// Answers 503 with `X-Unprocessed: 1`, so the request did not run.
    Reject,
    /// Answers 500.
    Error,
    /// Answers 503 without saying whether the request ran.
    Unavailable,
    /// Resets the connection after the last byte of the request.
    Reset,
    /// Never answers and keeps the connection open until the other side closes it.
    Stall,
    /// Sends the answer in pieces of this many bytes with a pause after each.
    Trickle(String, usize, Duration),
    /// Sends bytes that are not HTTP and keeps the connection open.
    Garbage,
    /// Sends less than the announced length and closes the connection.
    Truncated,
    /// Sends less than the announced length and keeps the connection open.
    StalledBody,
    /// Sends these bytes and keeps serving the connection.
    Raw(Vec<u8>),
    /// Sends these bytes and closes the connection.
    RawThenClose(Vec<u8>),
}

/// What a server does with a connection before a request is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptFault {
    /// No fault: reads requests.
    None,
    /// Resets the connection right after accept.
    ResetAtOnce,
    /// Resets the connection at the first byte, so the last byte is never read.
    ResetAtFirstByte,
    /// Resets the connection after a request's head, before the last byte of its body.
    ResetAfterHead,
}

/// Applies a fault. None: the connection is not served any further.
pub(crate) fn apply(mut conn: Conn, fault: Fault, random: &mut Random) -> Option<Conn> {
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

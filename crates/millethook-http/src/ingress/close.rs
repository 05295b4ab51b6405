//! The end of a client's connection.

use std::io;
use std::time::Duration;

use millethook_engine::stream;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// How long an ended connection is read on, so that what the client still sends does not take
/// its answer away.
const LINGER: Duration = Duration::from_secs(2);
/// So much is read of it at once, and a pause is made.
const LINGER_PIECE: usize = 64 << 10;
const LINGER_PAUSE: Duration = Duration::from_millis(5);

/// Danger: closing a socket on which unread bytes wait (the next request, the rest of one that
/// was answered early) resets the connection, and the reset takes away what the client has not
/// read of its answer. The sending side is ended first, and what comes is read for a while.
pub(super) async fn linger(socket: &TcpStream) {
    stream::finish_writing(socket);
    let drained = async {
        let mut buf = [0; 8192];
        let mut read = 0;
        loop {
            match socket.try_read(&mut buf) {
                Ok(0) => return,
                // Danger: read as fast as they come, the 60 MB of a few such clients would take the
                // processor from all others. What is not read waits in the client.
                Ok(n) => {
                    read += n;
                    if read >= LINGER_PIECE {
                        read = 0;
                        sleep(LINGER_PAUSE).await;
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    if socket.readable().await.is_err() {
                        return;
                    }
                }
                Err(_) => return,
            }
        }
    };
    let _ = timeout(LINGER, drained).await;
}

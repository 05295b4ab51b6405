//! Closing of client connections.

use std::io;
use std::time::Duration;

use millethook_engine::stream;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::client::{Client, Phase};

/// How long a closed connection is still read, so that data that the client is sending does not destroy its
/// answer.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);
/// Bytes that are read at once.
const READ_BYTES: usize = 8 << 10;
/// Bytes that are read before a pause, and the length of the pause.
const LINGER_CHUNK_BYTES: usize = 64 << 10;
const LINGER_PAUSE: Duration = Duration::from_millis(5);

/// Closes a client connection. All connections are closed this way: the sending side is shut down, incoming
/// data is read and dropped for a while, and then the socket may be closed.
///
/// Guards against a close with unread bytes (the next request, or the rest of a request that was answered
/// early): it resets the connection, and the reset discards what the client has not read of its answer. A
/// client that neither reads nor closes holds its permit for [`LINGER_TIMEOUT`], unless another connection
/// needs it.
pub(super) async fn close(socket: &TcpStream, client: &Client) {
    let close_delimited = client.is_writing_close_delimited();
    client.enter_phase(Phase::Closing);
    if close_delimited {
        // The answer has neither a length nor chunked framing, so the client would take an orderly close
        // for the end of a complete answer.
        client.reset_on_close();
        return;
    }
    // A client that was sent nothing has no answer to lose. Without this, silent clients keep their permits
    // when permits run out.
    if !client.has_written.get() {
        return;
    }
    stream::finish_writing(socket);
    let drained = async {
        // On the heap, because an array would be part of every connection's task for as long as it is open.
        let mut buf = vec![0; READ_BYTES];
        let mut read = 0;
        loop {
            match socket.try_read(&mut buf) {
                Ok(0) => return,
                // Without the pause, reading the 60 MB that a few such clients can send takes the processor
                // from all other connections. Unread data waits at the client.
                Ok(n) => {
                    read += n;
                    if read >= LINGER_CHUNK_BYTES {
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
    let _ = timeout(LINGER_TIMEOUT, drained).await;
}

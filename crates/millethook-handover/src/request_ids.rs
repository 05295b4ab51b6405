//! Request ids that one process passes to the next: the ids in use, and requests to reserve further ids.
//!
//! Both are sent as descriptors, like connections, so they stay in order with these. The ids in use are sent as a memory
//! file with 8 bytes for each id, little-endian. A reservation is one end of a socket pair with 8 bytes in it; the answer
//! is one byte. A process whose version knows neither ignores and closes descriptors that are not connections.

use std::fs::File;
use std::io::{self, Read, Write};
use std::os::fd::OwnedFd;
use std::os::unix::fs::FileExt;
use std::os::unix::net::UnixStream;
use std::time::Duration;

use rustix::fs::{MemfdFlags, memfd_create};
use tokio::io::AsyncReadExt;
use tokio::net::UnixStream as AsyncStream;
use tokio::time::timeout;

/// The byte that is sent with a file of ids.
pub(crate) const IDS: u8 = 2;
/// The byte that is sent with a reservation.
pub(crate) const RESERVATION: u8 = 3;
/// The maximum number of ids that are taken over. No process has more in use.
const MAX_IDS: u64 = 1 << 17;
/// The timeout for the answer to a reservation.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);
const ID_BYTES: usize = size_of::<u64>();
const GRANTED: u8 = 1;
const REFUSED: u8 = 0;

/// Writes ids to a memory file.
pub(crate) fn write_ids(ids: &[u64]) -> io::Result<File> {
    let mut file = File::from(memfd_create("request-ids", MemfdFlags::CLOEXEC)?);
    let bytes: Vec<u8> = ids.iter().flat_map(|id| id.to_le_bytes()).collect();
    file.write_all(&bytes)?;
    Ok(file)
}

/// Reads the ids in such a file.
pub(crate) fn read_ids(file: OwnedFd) -> io::Result<Vec<u64>> {
    let file = File::from(file);
    let length = file.metadata()?.len();
    if length % ID_BYTES as u64 != 0 || length / ID_BYTES as u64 > MAX_IDS {
        return Err(io::Error::new(
            io::ErrorKind::InvalidData,
            format!("{length} bytes are not a list of request ids"),
        ));
    }
    let mut bytes = vec![0; length as usize];
    file.read_exact_at(&mut bytes, 0)?;
    Ok(bytes.as_chunks().0.iter().map(|id| u64::from_le_bytes(*id)).collect())
}

/// A reservation that waits for its answer.
#[derive(Debug)]
pub struct PendingReservation(UnixStream);

impl PendingReservation {
    /// Creates a reservation of an id, and the end of the socket pair that is sent to the other process.
    pub(crate) fn new(id: u64) -> io::Result<(PendingReservation, UnixStream)> {
        let (mut local, remote) = UnixStream::pair()?;
        local.write_all(&id.to_le_bytes())?;
        local.set_nonblocking(true)?;
        Ok((PendingReservation(local), remote))
    }

    /// Waits for the answer and returns whether the id may be used. If the other process has ended or keeps no ids, it
    /// may, because no other process can use it then. None: there was no answer within 100 ms.
    pub async fn granted(self) -> Option<bool> {
        let mut stream = AsyncStream::from_std(self.0).ok()?;
        let answer = timeout(ANSWER_TIMEOUT, stream.read_u8()).await.ok()?;
        Some(answer.unwrap_or(GRANTED) == GRANTED)
    }
}

/// A request of another process to reserve an id.
#[derive(Debug)]
pub struct ReservationRequest {
    /// The id to be reserved.
    pub id: u64,
    stream: UnixStream,
}

impl ReservationRequest {
    /// Reads the request from this end of a socket pair.
    pub(crate) fn read(end: OwnedFd) -> io::Result<ReservationRequest> {
        let mut stream = UnixStream::from(end);
        stream.set_nonblocking(true)?;
        let mut id = [0; ID_BYTES];
        stream.read_exact(&mut id)?;
        Ok(ReservationRequest { id: u64::from_le_bytes(id), stream })
    }

    /// Answers the request. The process that sent it may have ended.
    pub fn answer(mut self, granted: bool) {
        let _ = self.stream.write_all(&[if granted { GRANTED } else { REFUSED }]);
    }
}

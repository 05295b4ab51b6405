//! Ids of requests on their way from one process to the next: those that are in use, and claims for others.
//!
//! Both travel as descriptors, as connections do, so they keep their place among these. The ids that are in use are a
//! file in memory, 8 bytes each, little-endian. A claim is one end of a socket pair with 8 bytes in it; one byte comes
//! back. A process that knows neither passes over what is no connection, and closes it.

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

/// The byte that goes with a file of ids.
pub(crate) const IDS: u8 = 2;
/// The byte that goes with a claim.
pub(crate) const RESERVATION: u8 = 3;
/// The most ids that are taken over. More are not in use at any process.
const MAX_IDS: u64 = 1 << 17;
/// How long a claim waits for its answer.
const PATIENCE: Duration = Duration::from_millis(100);
const ID_BYTES: usize = size_of::<u64>();
const GRANTED: u8 = 1;
const REFUSED: u8 = 0;

/// A file with these ids.
pub(crate) fn written(ids: &[u64]) -> io::Result<File> {
    let mut file = File::from(memfd_create("request-ids", MemfdFlags::CLOEXEC)?);
    let bytes: Vec<u8> = ids.iter().flat_map(|id| id.to_le_bytes()).collect();
    file.write_all(&bytes)?;
    Ok(file)
}

/// The ids in such a file.
pub(crate) fn read(file: OwnedFd) -> io::Result<Vec<u64>> {
    let file = File::from(file);
    let length = file.metadata()?.len();
    if length % ID_BYTES as u64 != 0 || length / ID_BYTES as u64 > MAX_IDS {
        return Err(io::Error::new(io::ErrorKind::InvalidData, format!("{length} bytes of ids")));
    }
    let mut bytes = vec![0; length as usize];
    file.read_exact_at(&mut bytes, 0)?;
    Ok(bytes.as_chunks().0.iter().map(|id| u64::from_le_bytes(*id)).collect())
}

/// A claim that waits for its answer.
#[derive(Debug)]
pub struct PendingReservation(UnixStream);

impl PendingReservation {
    /// A claim for an id, and what goes to the process that is asked.
    pub(crate) fn new(id: u64) -> io::Result<(PendingReservation, UnixStream)> {
        let (mut ours, theirs) = UnixStream::pair()?;
        ours.write_all(&id.to_le_bytes())?;
        ours.set_nonblocking(true)?;
        Ok((PendingReservation(ours), theirs))
    }

    /// Whether the id may be used. It may as well where the process that is asked has ended or keeps no ids: nobody
    /// else can have it then. None: there is no answer within 100 ms.
    pub async fn granted(self) -> Option<bool> {
        let mut stream = AsyncStream::from_std(self.0).ok()?;
        let answer = timeout(PATIENCE, stream.read_u8()).await.ok()?;
        Some(answer.unwrap_or(GRANTED) == GRANTED)
    }
}

/// A claim of another process.
#[derive(Debug)]
pub struct ReservationRequest {
    /// The id that it wants to take.
    pub id: u64,
    stream: UnixStream,
}

impl ReservationRequest {
    /// The claim at this end of a socket pair.
    pub(crate) fn read(end: OwnedFd) -> io::Result<ReservationRequest> {
        let mut stream = UnixStream::from(end);
        stream.set_nonblocking(true)?;
        let mut id = [0; ID_BYTES];
        stream.read_exact(&mut id)?;
        Ok(ReservationRequest { id: u64::from_le_bytes(id), stream })
    }

    /// Answers it. Who has asked may have gone.
    pub fn answer(mut self, granted: bool) {
        let _ = self.stream.write_all(&[if granted { GRANTED } else { REFUSED }]);
    }
}

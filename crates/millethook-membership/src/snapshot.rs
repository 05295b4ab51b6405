//! The file format of the snapshot of a server list.
//!
//! A header line, followed by JSON:
//!
//! ```text
//! millethook-membership 1 <crc32 of the rest, 8 hexadecimal digits> <bytes of the rest>\n
//! {"fleet":"logboek","written_ms":…,"seq":41,"history":{…},"servers":[{"confirmed_ms":…,"host":"s-1",…},…]}
//! ```
//!
//! The content is readable text. The length and the checksum in the header reveal a truncated or altered file, and the
//! version is checked before anything else is read.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::list::Host;
use crate::{History, UnixMs};

/// The largest file that is read or written, in bytes. It holds some 60,000 servers.
pub const MAX_SNAPSHOT_BYTES: usize = 16 << 20;
/// The maximum number of servers in one snapshot.
pub const MAX_SERVERS: usize = 65_536;
const MAGIC: &str = "millethook-membership";
const VERSION: u32 = 1;
/// The longest header line, in bytes.
const MAX_HEADER_BYTES: usize = 64;

/// A server list, with the data needed to estimate later which servers still exist.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Snapshot {
    /// The name of the fleet. Servers of another fleet must not get requests of this one.
    pub fleet: String,
    /// When the snapshot was written.
    pub written_ms: UnixMs,
    /// The version of the list at its source.
    pub seq: u64,
    /// The rate at which servers left before the snapshot was written.
    pub history: History,
    /// The servers, each with the time at which it was last confirmed.
    pub servers: Vec<Remembered>,
}

/// One server of a snapshot.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Remembered {
    /// When a live source last listed the server, or the server last answered a trial.
    pub confirmed_ms: UnixMs,
    /// The entry of the server.
    #[serde(flatten)]
    pub host: Host,
}

/// Why a file cannot be used as a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Invalid {
    /// The file is not a snapshot.
    #[error("not a membership snapshot: the file should begin with `{MAGIC} {VERSION} `")]
    Magic,
    /// The file has another format version than this program reads.
    #[error("format version {0}; this program reads version {VERSION}")]
    Version(u32),
    /// The length differs from the one in the header: the write was interrupted.
    #[error("{found} bytes after the header, {expected} expected: the file is truncated")]
    Truncated {
        /// The length in the header, in bytes.
        expected: usize,
        /// The length of the content, in bytes.
        found: usize,
    },
    /// The checksum differs from the one in the header.
    #[error("checksum {found:08x}, {expected:08x} expected: the file is corrupt")]
    Corrupt {
        /// The checksum in the header.
        expected: u32,
        /// The checksum of the content.
        found: u32,
    },
    /// The file is larger than a snapshot may be.
    #[error("{0} bytes, {MAX_SNAPSHOT_BYTES} at most expected")]
    TooLarge(u64),
    /// The content is not a server list, or is out of bounds.
    #[error("{0}")]
    Content(String),
    /// The snapshot is of another fleet.
    #[error("a snapshot of fleet {found:?}, {expected:?} expected")]
    Fleet {
        /// The fleet of this process.
        expected: String,
        /// The fleet in the file.
        found: String,
    },
}

impl Snapshot {
    /// Encodes the snapshot as the content of a file.
    ///
    /// # Errors
    /// The snapshot is larger than a snapshot may be.
    pub fn encode(&self) -> Result<Vec<u8>, Invalid> {
        if self.servers.len() > MAX_SERVERS {
            let text = format!("{} servers, {MAX_SERVERS} at most expected", self.servers.len());
            return Err(Invalid::Content(text));
        }
        let body = serde_json::to_vec(self).map_err(|e| Invalid::Content(e.to_string()))?;
        let crc = crc32fast::hash(&body);
        let mut bytes = format!("{MAGIC} {VERSION} {crc:08x} {}\n", body.len()).into_bytes();
        bytes.extend_from_slice(&body);
        if bytes.len() > MAX_SNAPSHOT_BYTES {
            return Err(Invalid::TooLarge(bytes.len() as u64));
        }
        Ok(bytes)
    }

    /// Decodes the content of a file of any fleet.
    ///
    /// # Errors
    /// The content is not a snapshot, has another version, or is incomplete. Nothing of it is used.
    pub fn decode(bytes: &[u8]) -> Result<Snapshot, Invalid> {
        if bytes.len() > MAX_SNAPSHOT_BYTES {
            return Err(Invalid::TooLarge(bytes.len() as u64));
        }
        let start = &bytes[..bytes.len().min(MAX_HEADER_BYTES)];
        let end = start.iter().position(|&b| b == b'\n').ok_or(Invalid::Magic)?;
        let header = std::str::from_utf8(&start[..end]).map_err(|_| Invalid::Magic)?;
        let mut fields = header.split(' ');
        if fields.next() != Some(MAGIC) {
            return Err(Invalid::Magic);
        }
        let version: u32 = fields.next().and_then(|w| w.parse().ok()).ok_or(Invalid::Magic)?;
        if version != VERSION {
            return Err(Invalid::Version(version));
        }
        let crc = fields.next().and_then(|w| u32::from_str_radix(w, 16).ok());
        let length = fields.next().and_then(|w| w.parse::<usize>().ok());
        let (Some(expected), Some(length), None) = (crc, length, fields.next()) else {
            return Err(Invalid::Magic);
        };
        let body = &bytes[end + 1..];
        if body.len() != length {
            return Err(Invalid::Truncated { expected: length, found: body.len() });
        }
        let found = crc32fast::hash(body);
        if found != expected {
            return Err(Invalid::Corrupt { expected, found });
        }
        let snapshot: Snapshot =
            serde_json::from_slice(body).map_err(|e| Invalid::Content(e.to_string()))?;
        if snapshot.servers.len() > MAX_SERVERS || !snapshot.history.is_sound() {
            return Err(Invalid::Content("too many servers, or an invalid history".into()));
        }
        Ok(snapshot)
    }

    /// Decodes the content of a file of `fleet`.
    ///
    /// # Errors
    /// As [`Snapshot::decode`], or the snapshot is of another fleet.
    pub fn decode_of(fleet: &str, bytes: &[u8]) -> Result<Snapshot, Invalid> {
        let snapshot = Snapshot::decode(bytes)?;
        if snapshot.fleet != fleet {
            return Err(Invalid::Fleet { expected: fleet.to_owned(), found: snapshot.fleet });
        }
        Ok(snapshot)
    }
}

//! The snapshot file: a magic number, the CRC-32 of the content, and the documents in `postcard` encoding. A damaged or
//! truncated file, or one of another format, is not used, and an error is logged.

use std::cell::RefCell;
use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use millethook_distribution::{Document, DocumentKind, Snapshot};
use millethook_membership::atomic_file::{self, ReadError};
use tokio::task::spawn_blocking;

use crate::server_lists::is_confirmation;

/// The magic number at the start of the file.
const MAGIC: &[u8; 8] = b"MHDOCS1\n";
const HEADER_BYTES: usize = MAGIC.len() + 4;
/// The maximum size of the file: three times all documents that a control node stores.
const MAX_FILE_BYTES: usize = 100 << 20;
/// The suffix of the file name of a control node's snapshot.
const CONTROL_NODE_SUFFIX: &str = ".control";

/// Why a file cannot be used as a snapshot.
#[derive(Debug, thiserror::Error)]
enum Unusable {
    #[error("{0}")]
    Read(#[from] ReadError),
    #[error("the file does not begin with {:?}", String::from_utf8_lossy(MAGIC))]
    Format,
    #[error("the checksum is {found:08x}, {expected:08x} expected")]
    Damaged { found: u32, expected: u32 },
    #[error("{0}")]
    Content(#[from] postcard::Error),
}

/// The snapshot file of a subscriber or of a control node.
pub(super) struct Store {
    path: PathBuf,
    for_control_node: bool,
    /// The last snapshot that was written; None before the first write.
    written: RefCell<Option<Arc<Snapshot>>>,
}

impl Store {
    /// Creates the store of a subscriber.
    pub fn for_subscriber(path: PathBuf) -> Store {
        Store { path, for_control_node: false, written: RefCell::default() }
    }

    /// Creates the store of a control node, whose file name gets a suffix.
    pub fn for_control_node(path: PathBuf) -> Store {
        let mut name: OsString = path.into_os_string();
        name.push(CONTROL_NODE_SUFFIX);
        Store { path: name.into(), for_control_node: true, written: RefCell::default() }
    }

    /// Returns whether this is the store of a control node.
    pub fn is_for_control_node(&self) -> bool {
        self.for_control_node
    }

    /// Reads the snapshot. Logs why a file cannot be used, and treats it as missing.
    pub fn load(&self) -> Option<Snapshot> {
        match read_file(&self.path) {
            Ok(snapshot) => snapshot,
            Err(e) => {
                let path = self.path.display();
                tracing::error!(
                    event = "distribution_snapshot_unusable",
                    %path,
                    "cannot use the snapshot of documents: {path}: {e}"
                );
                None
            }
        }
    }

    /// Returns the part of a snapshot that is written to disk.
    ///
    /// Only the membership stores a sidecar's list of servers; otherwise a process would start with two lists that
    /// disagree. Confirmations are useless after a restart and come once a second, so a write for each would be wasted.
    pub fn persisted_part(&self, mut snapshot: Snapshot) -> Snapshot {
        let is_configuration =
            |document: &Document| document.key.kind == DocumentKind::Configuration;
        if self.for_control_node {
            snapshot.documents.retain(|document| {
                is_configuration(document) || !document.body.as_deref().is_some_and(is_confirmation)
            });
        } else {
            snapshot.documents.retain(is_configuration);
            let versions = snapshot.documents.iter().map(|document| document.version);
            snapshot.fence = versions.max().unwrap_or_default();
        }
        snapshot
    }

    /// Writes a snapshot, unless the file already holds it. Returns whether the file holds it.
    pub async fn save(&self, snapshot: &Arc<Snapshot>) -> bool {
        if self.written.borrow().as_deref() == Some(snapshot) {
            return true;
        }
        let (path, to_write) = (self.path.clone(), snapshot.clone());
        let written = spawn_blocking(move || write_file(&path, &to_write)).await;
        match written {
            Ok(Ok(())) => {
                self.written.replace(Some(snapshot.clone()));
                true
            }
            Ok(Err(e)) => {
                tracing::error!(
                    event = "distribution_snapshot_failed",
                    path = %self.path.display(),
                    "cannot write the snapshot of documents: {e}"
                );
                false
            }
            // The process is shutting down.
            Err(_) => false,
        }
    }
}

fn read_file(path: &Path) -> Result<Option<Snapshot>, Unusable> {
    let Some(bytes) = atomic_file::read(path, MAX_FILE_BYTES)? else { return Ok(None) };
    let (magic, rest) = bytes.split_at_checked(MAGIC.len()).ok_or(Unusable::Format)?;
    let (checksum, content) = rest.split_first_chunk().ok_or(Unusable::Format)?;
    if magic != MAGIC {
        return Err(Unusable::Format);
    }
    let (expected, found) = (u32::from_be_bytes(*checksum), crc32fast::hash(content));
    if found != expected {
        return Err(Unusable::Damaged { found, expected });
    }
    Ok(Some(postcard::from_bytes(content)?))
}

fn write_file(path: &Path, snapshot: &Snapshot) -> Result<(), String> {
    let content = postcard::to_allocvec(snapshot).map_err(|e| e.to_string())?;
    let mut bytes = Vec::with_capacity(HEADER_BYTES + content.len());
    bytes.extend_from_slice(MAGIC);
    bytes.extend_from_slice(&crc32fast::hash(&content).to_be_bytes());
    bytes.extend_from_slice(&content);
    atomic_file::replace(path, &bytes).map_err(|e| e.to_string())
}

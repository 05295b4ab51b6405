//! The snapshot file. It is replaced atomically, so that a reader finds either the old or the new content. Several
//! processes may share a folder; each has its own file.

use std::io;
use std::path::{Path, PathBuf};

use thiserror::Error;

use crate::atomic_file::{self, ReadError};
use crate::snapshot::{Invalid, MAX_SNAPSHOT_BYTES, Snapshot};

/// Why a snapshot could not be read or written.
#[derive(Debug, Error)]
pub enum Error {
    /// A file system operation failed.
    #[error("{path}: {cause}")]
    Io {
        /// The file or folder.
        path: PathBuf,
        /// The operating system's error.
        cause: io::Error,
    },
    /// The content of the file is not a valid snapshot.
    #[error("{path}: {cause}")]
    Invalid {
        /// The file.
        path: PathBuf,
        /// Why the content is not valid.
        cause: Invalid,
    },
    /// Every user may write the file, so anyone may have put servers into it.
    #[error("{path}: mode {mode:04o} lets every user write it; 0600 expected")]
    WorldWritable {
        /// The file.
        path: PathBuf,
        /// The file's mode.
        mode: u32,
    },
}

/// The snapshot file of one process.
#[derive(Clone, Debug)]
pub struct Store {
    path: PathBuf,
    fleet: String,
}

impl Store {
    /// Creates a store for the file at `path` and the fleet of this name.
    pub fn new(path: impl Into<PathBuf>, fleet: &str) -> Store {
        Store { path: path.into(), fleet: fleet.to_owned() }
    }

    /// The path of the file.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Reads the snapshot. None: there is no file yet.
    ///
    /// # Errors
    /// The file cannot be read, is not a valid snapshot of this fleet, or may be written by every user.
    pub fn load(&self) -> Result<Option<Snapshot>, Error> {
        match read(&self.path)? {
            Some(bytes) => Snapshot::decode_of(&self.fleet, &bytes)
                .map(Some)
                .map_err(|cause| Error::Invalid { path: self.path.clone(), cause }),
            None => Ok(None),
        }
    }

    /// Replaces the file with `snapshot`. Blocks until the data is on disk.
    ///
    /// # Errors
    /// A file system operation failed, or the snapshot is too large. The old file is kept.
    pub fn save(&self, snapshot: &Snapshot) -> Result<(), Error> {
        let bytes =
            snapshot.encode().map_err(|cause| Error::Invalid { path: self.path.clone(), cause })?;
        atomic_file::replace(&self.path, &bytes)
            .map_err(|cause| Error::Io { path: self.path.clone(), cause })
    }
}

/// Reads a snapshot of any fleet, to show it to operators.
///
/// # Errors
/// As [`Store::load`]; a missing file is an error.
pub fn read_any_fleet(path: &Path) -> Result<Snapshot, Error> {
    let missing = || io::Error::from(io::ErrorKind::NotFound);
    let bytes = read(path)?.ok_or_else(|| Error::Io { path: path.to_owned(), cause: missing() })?;
    Snapshot::decode(&bytes).map_err(|cause| Error::Invalid { path: path.to_owned(), cause })
}

fn read(path: &Path) -> Result<Option<Vec<u8>>, Error> {
    atomic_file::read(path, MAX_SNAPSHOT_BYTES).map_err(|e| {
        let path = path.to_owned();
        match e {
            ReadError::Io(cause) => Error::Io { path, cause },
            ReadError::WorldWritable(mode) => Error::WorldWritable { path, mode },
            ReadError::TooLarge { found, .. } => {
                Error::Invalid { path, cause: Invalid::TooLarge(found) }
            }
        }
    })
}

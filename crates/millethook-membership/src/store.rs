//! The file of the snapshot. It is replaced atomically, so that a reader finds the old content or the new one. Several
//! processes may share a folder; each has a file of its own.

use std::io;
use std::path::{Path, PathBuf};

use thiserror::Error;

use crate::atomic_file::{self, ReadError};
use crate::snapshot::{Invalid, LARGEST, Snapshot};

/// Why a snapshot could not be read or written.
#[derive(Debug, Error)]
pub enum Error {
    /// An operation of the file system failed.
    #[error("{path}: {cause}")]
    Io {
        /// The file or folder.
        path: PathBuf,
        /// The error of the system.
        cause: io::Error,
    },
    /// The content of the file cannot be used.
    #[error("{path}: {cause}")]
    Invalid {
        /// Which file.
        path: PathBuf,
        /// Why not.
        cause: Invalid,
    },
    /// Every user may write the file, so its servers may be anyone's.
    #[error("{path}: mode {mode:04o} lets every user write it; 0600 expected")]
    WorldWritable {
        /// Which file.
        path: PathBuf,
        /// Its mode.
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
    /// The file at `path`, for a fleet of this name.
    pub fn new(path: impl Into<PathBuf>, fleet: &str) -> Store {
        Store { path: path.into(), fleet: fleet.to_owned() }
    }

    /// The path of the file.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Reads the snapshot; None: there is no file yet.
    ///
    /// # Errors
    /// The file cannot be read, is no valid snapshot of this fleet, or may be written by every user.
    pub fn load(&self) -> Result<Option<Snapshot>, Error> {
        match read(&self.path)? {
            Some(bytes) => Snapshot::decode_of(&self.fleet, &bytes)
                .map(Some)
                .map_err(|cause| Error::Invalid { path: self.path.clone(), cause }),
            None => Ok(None),
        }
    }

    /// Replaces the file by `snapshot`. Blocks until the data is on disk.
    ///
    /// # Errors
    /// An operation of the file system failed, or the snapshot is too large. The old file is kept.
    pub fn save(&self, snapshot: &Snapshot) -> Result<(), Error> {
        let bytes =
            snapshot.encode().map_err(|cause| Error::Invalid { path: self.path.clone(), cause })?;
        atomic_file::replace(&self.path, &bytes)
            .map_err(|cause| Error::Io { path: self.path.clone(), cause })
    }
}

/// Reads a snapshot of any fleet, for operators.
///
/// # Errors
/// As [`Store::load`]; a missing file is an error.
pub fn read_any_fleet(path: &Path) -> Result<Snapshot, Error> {
    let missing = || io::Error::from(io::ErrorKind::NotFound);
    let bytes = read(path)?.ok_or_else(|| Error::Io { path: path.to_owned(), cause: missing() })?;
    Snapshot::decode(&bytes).map_err(|cause| Error::Invalid { path: path.to_owned(), cause })
}

fn read(path: &Path) -> Result<Option<Vec<u8>>, Error> {
    atomic_file::read(path, LARGEST).map_err(|e| {
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

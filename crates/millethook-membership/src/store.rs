//! The snapshot's file: written so that whoever reads it finds the old one or the new one, whole.
//!
//! A write goes to a file of its own beside the target, is flushed to the disk, and then renamed over it;
//! the folder is flushed last, or the rename itself could be lost with the power (rename(2), fsync(2)). Several
//! sidecars may share a folder: each names its own file, and the temporary file carries the process's number.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::os::unix::fs::{MetadataExt, OpenOptionsExt};
use std::path::{Path, PathBuf};

use thiserror::Error;

use crate::snapshot::{Invalid, LARGEST, Snapshot};

/// Others may write to the file.
const WORLD_WRITABLE: u32 = 0o002;

/// Why there is no snapshot to be had, or none was written.
#[derive(Debug, Error)]
pub enum Error {
    /// The system would not.
    #[error("{path}: {cause}")]
    Io {
        /// Which file or folder.
        path: PathBuf,
        /// What the system said.
        cause: io::Error,
    },
    /// The file holds no snapshot that can be used.
    #[error("{path}: {cause}")]
    Invalid {
        /// Which file.
        path: PathBuf,
        /// What is wrong with it.
        cause: Invalid,
    },
    /// Anyone may have put servers of their own there.
    #[error("{path}: mode {mode:04o} lets every user write it; 0600 expected")]
    WorldWritable {
        /// Which file.
        path: PathBuf,
        /// Its mode.
        mode: u32,
    },
}

/// Where one sidecar keeps its snapshot.
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

    /// Where the file is.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Reads the snapshot; None: there is no file yet.
    ///
    /// # Errors
    /// The file cannot be read, is no whole snapshot of this fleet, or could be anyone's.
    pub fn load(&self) -> Result<Option<Snapshot>, Error> {
        match read(&self.path)? {
            Some(bytes) => Snapshot::decode_of(&self.fleet, &bytes)
                .map(Some)
                .map_err(|cause| Error::Invalid { path: self.path.clone(), cause }),
            None => Ok(None),
        }
    }

    /// Puts `snapshot` in the file's place. It blocks until the disk has it.
    ///
    /// # Errors
    /// The system would not, or the snapshot is too large. The file is as it was then.
    pub fn save(&self, snapshot: &Snapshot) -> Result<(), Error> {
        let bytes =
            snapshot.encode().map_err(|cause| Error::Invalid { path: self.path.clone(), cause })?;
        let temporary = self.temporary();
        let written = write_through(&temporary, &bytes)
            .and_then(|()| fs::rename(&temporary, &self.path))
            .and_then(|()| flush_folder(&self.path));
        written.map_err(|cause| {
            // A full disk is not made fuller by what could not be finished.
            let _ = fs::remove_file(&temporary);
            Error::Io { path: self.path.clone(), cause }
        })
    }

    fn temporary(&self) -> PathBuf {
        let mut name = self.path.file_name().unwrap_or_default().to_owned();
        name.push(format!(".{}.tmp", std::process::id()));
        self.path.with_file_name(name)
    }
}

/// Reads a snapshot of any fleet, as an operator may want to.
///
/// # Errors
/// As [`Store::load`]; a file that is not there is an error here.
pub fn show(path: &Path) -> Result<Snapshot, Error> {
    let missing = || io::Error::from(io::ErrorKind::NotFound);
    let bytes = read(path)?.ok_or_else(|| Error::Io { path: path.to_owned(), cause: missing() })?;
    Snapshot::decode(&bytes).map_err(|cause| Error::Invalid { path: path.to_owned(), cause })
}

fn read(path: &Path) -> Result<Option<Vec<u8>>, Error> {
    let failed = |cause| Error::Io { path: path.to_owned(), cause };
    let file = match File::open(path) {
        Ok(file) => file,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(failed(e)),
    };
    let about = file.metadata().map_err(failed)?;
    if !about.is_file() {
        return Err(failed(io::Error::other("a regular file expected")));
    }
    let mode = about.mode() & 0o7777;
    if mode & WORLD_WRITABLE != 0 {
        return Err(Error::WorldWritable { path: path.to_owned(), mode });
    }
    let too_large = |size| Error::Invalid { path: path.to_owned(), cause: Invalid::TooLarge(size) };
    if about.len() > LARGEST as u64 {
        return Err(too_large(about.len()));
    }
    let mut bytes = Vec::with_capacity(about.len() as usize);
    // It may grow while it is read.
    file.take(LARGEST as u64 + 1).read_to_end(&mut bytes).map_err(failed)?;
    if bytes.len() > LARGEST {
        return Err(too_large(bytes.len() as u64));
    }
    Ok(Some(bytes))
}

fn write_through(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut options = OpenOptions::new();
    let mut file = options.write(true).create(true).truncate(true).mode(0o600).open(path)?;
    file.write_all(bytes)?;
    file.sync_all()
}

fn flush_folder(of: &Path) -> io::Result<()> {
    let folder = of.parent().filter(|folder| !folder.as_os_str().is_empty());
    File::open(folder.unwrap_or(Path::new(".")))?.sync_all()
}

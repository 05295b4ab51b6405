//! Files that are replaced atomically: a reader finds the old content or the new one.
//!
//! A write goes to a file of its own beside the target, is flushed to the disk, and then renamed over it;
//! the folder is flushed last, because the rename itself could be lost in a power failure (rename(2), fsync(2)).
//! Several processes may share a folder: the temporary file carries the process's number.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::os::unix::fs::{MetadataExt, OpenOptionsExt};
use std::path::{Path, PathBuf};

use thiserror::Error;

/// Others may write to the file.
const WORLD_WRITABLE: u32 = 0o002;

/// Why a file's content cannot be used.
#[derive(Debug, Error)]
pub enum ReadError {
    /// An operation of the file system failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The file is too large.
    #[error("{found} bytes, {most} at most expected")]
    TooLarge {
        /// Its length in bytes.
        found: u64,
        /// The longest file that is read, in bytes.
        most: usize,
    },
    /// Every user may write the file, which has this mode.
    #[error("mode {0:04o} lets every user write it; 0600 expected")]
    WorldWritable(u32),
}

/// Reads a file of at most `most` bytes; None: there is no such file.
///
/// # Errors
/// It cannot be read, is too large, is no regular file, or may be written by every user.
pub fn read(path: &Path, most: usize) -> Result<Option<Vec<u8>>, ReadError> {
    let file = match File::open(path) {
        Ok(file) => file,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(e.into()),
    };
    let about = file.metadata()?;
    if !about.is_file() {
        return Err(io::Error::other("a regular file expected").into());
    }
    let mode = about.mode() & 0o7777;
    if mode & WORLD_WRITABLE != 0 {
        return Err(ReadError::WorldWritable(mode));
    }
    if about.len() > most as u64 {
        return Err(ReadError::TooLarge { found: about.len(), most });
    }
    let mut bytes = Vec::with_capacity(about.len() as usize);
    // It may grow while it is read.
    file.take(most as u64 + 1).read_to_end(&mut bytes)?;
    if bytes.len() > most {
        return Err(ReadError::TooLarge { found: bytes.len() as u64, most });
    }
    Ok(Some(bytes))
}

/// Replaces the file by `bytes`. Blocks until the data is on disk.
///
/// # Errors
/// An operation of the file system failed. The old file is kept.
pub fn replace(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let temporary = temporary(path);
    let written = write_through(&temporary, bytes)
        .and_then(|()| fs::rename(&temporary, path))
        .and_then(|()| flush_folder(path));
    if written.is_err() {
        // An incomplete file would take space, perhaps on a full disk.
        let _ = fs::remove_file(&temporary);
    }
    written
}

fn temporary(path: &Path) -> PathBuf {
    let mut name = path.file_name().unwrap_or_default().to_owned();
    name.push(format!(".{}.tmp", std::process::id()));
    path.with_file_name(name)
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

//! Files that are replaced atomically: a reader finds either the old or the new content.
//!
//! The content is written to a temporary file beside the target and flushed to disk; the file is then renamed over the
//! target. The folder is flushed last, because a power failure could undo the rename (rename(2), fsync(2)). Several
//! processes may share a folder: the name of the temporary file contains the process id.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::os::unix::fs::{MetadataExt, OpenOptionsExt};
use std::path::{Path, PathBuf};

use thiserror::Error;

/// The mode bit that lets every user write a file.
const WORLD_WRITABLE: u32 = 0o002;

/// Why a file could not be read.
#[derive(Debug, Error)]
pub enum ReadError {
    /// A file system operation failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The file is too large.
    #[error("{found} bytes, {most} at most expected")]
    TooLarge {
        /// The length of the file in bytes.
        found: u64,
        /// The maximum length in bytes.
        most: usize,
    },
    /// Every user may write the file. The value is its mode.
    #[error("mode {0:04o} lets every user write it; 0600 expected")]
    WorldWritable(u32),
}

/// Reads a file of at most `most` bytes. None: there is no such file.
///
/// # Errors
/// The file cannot be read, is too large, is not a regular file, or may be written by every user.
pub fn read(path: &Path, most: usize) -> Result<Option<Vec<u8>>, ReadError> {
    let file = match File::open(path) {
        Ok(file) => file,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(e.into()),
    };
    let metadata = file.metadata()?;
    if !metadata.is_file() {
        return Err(io::Error::other("not a regular file").into());
    }
    let mode = metadata.mode() & 0o7777;
    if mode & WORLD_WRITABLE != 0 {
        return Err(ReadError::WorldWritable(mode));
    }
    if metadata.len() > most as u64 {
        return Err(ReadError::TooLarge { found: metadata.len(), most });
    }
    let mut bytes = Vec::with_capacity(metadata.len() as usize);
    // The file may grow while it is read.
    file.take(most as u64 + 1).read_to_end(&mut bytes)?;
    if bytes.len() > most {
        return Err(ReadError::TooLarge { found: bytes.len() as u64, most });
    }
    Ok(Some(bytes))
}

/// Replaces the content of a file with `bytes`. Blocks until the data is on disk.
///
/// # Errors
/// A file system operation failed. The old file is kept.
pub fn replace(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let temporary = temporary_path(path);
    let written = write_and_sync(&temporary, bytes)
        .and_then(|()| fs::rename(&temporary, path))
        .and_then(|()| flush_folder(path));
    if written.is_err() {
        // Remove the incomplete file: it takes up space, and the disk may be full.
        let _ = fs::remove_file(&temporary);
    }
    written
}

fn temporary_path(path: &Path) -> PathBuf {
    let mut name = path.file_name().unwrap_or_default().to_owned();
    name.push(format!(".{}.tmp", std::process::id()));
    path.with_file_name(name)
}

fn write_and_sync(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut options = OpenOptions::new();
    let mut file = options.write(true).create(true).truncate(true).mode(0o600).open(path)?;
    file.write_all(bytes)?;
    file.sync_all()
}

fn flush_folder(path: &Path) -> io::Result<()> {
    let folder = path.parent().filter(|folder| !folder.as_os_str().is_empty());
    File::open(folder.unwrap_or(Path::new(".")))?.sync_all()
}

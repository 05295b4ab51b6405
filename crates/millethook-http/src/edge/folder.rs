//! The folder of stores: its files and their contents.
//!
//! `FOLDER/EDGE/intake` holds the writes that a process accepted; no other process ever appends to it.
//! `FOLDER/EDGE/replay-TOKEN` holds the records of one owner of the replay, `FOLDER/EDGE/words` the records
//! of operators.

use std::fs::{self, File};
use std::io::{self, Read, Seek, SeekFrom};
use std::path::{Path, PathBuf};

use millethook_edge::{Book, EdgeId, Token, log};

/// Largest file that is read: the most bytes that a store may hold, with room for marks and end records.
const MAX_FILE_BYTES: u64 = 4 << 30;
/// Most bytes that are read for one record.
const MAX_RECORD_READ_BYTES: usize = 8 << 20;

/// A file of a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StoreFile {
    /// Writes that the store's process accepted.
    Intake,
    /// Records of the replay owner with this token.
    Journal(Token),
    /// Records of operators.
    OperatorLog,
}

impl StoreFile {
    /// Path of the file in the folder of stores.
    pub fn path(self, folder: &Path, edge: EdgeId) -> PathBuf {
        let directory = folder.join(edge.to_string());
        match self {
            StoreFile::Intake => directory.join("intake"),
            StoreFile::Journal(token) => directory.join(format!("replay-{token}")),
            StoreFile::OperatorLog => directory.join("words"),
        }
    }

    fn parse(name: &str) -> Option<StoreFile> {
        match name {
            "intake" => Some(StoreFile::Intake),
            "words" => Some(StoreFile::OperatorLog),
            _ => name.strip_prefix("replay-")?.parse().ok().map(StoreFile::Journal),
        }
    }

    /// Length up to which the file may be read, if the intake is settled up to `settled`. Only the intake
    /// is limited.
    pub fn readable_length(self, settled: u64) -> u64 {
        if self == StoreFile::Intake { settled } else { u64::MAX }
    }

    /// Whether a damaged record of this file may have been a mark.
    pub fn holds_marks(self) -> bool {
        matches!(self, StoreFile::Journal(_))
    }
}

/// Lists the stores of a folder.
///
/// # Errors
/// Fails if the folder cannot be read.
pub fn list_stores(folder: &Path) -> io::Result<Vec<EdgeId>> {
    let entries = fs::read_dir(folder)?.flatten();
    let names = entries.filter_map(|entry| entry.file_name().to_str()?.parse().ok());
    let mut stores: Vec<EdgeId> = names.collect();
    stores.sort_unstable();
    Ok(stores)
}

/// Lists the files of a store: the intake first, then the journals in the order of their tokens, then the
/// operators' file.
///
/// # Errors
/// Fails if the store cannot be read.
pub fn list_files(folder: &Path, edge: EdgeId) -> io::Result<Vec<StoreFile>> {
    let entries = fs::read_dir(folder.join(edge.to_string()))?.flatten();
    let names = entries.filter_map(|entry| StoreFile::parse(entry.file_name().to_str()?));
    let mut store_files: Vec<StoreFile> = names.collect();
    store_files.sort_unstable();
    Ok(store_files)
}

/// Returns the highest token among the journals of a store.
///
/// # Errors
/// Fails if the store cannot be read.
pub fn highest_token(folder: &Path, edge: EdgeId) -> io::Result<Token> {
    let tokens = list_files(folder, edge)?.into_iter().filter_map(|store_file| match store_file {
        StoreFile::Journal(token) => Some(token),
        _ => None,
    });
    Ok(tokens.max().unwrap_or_default())
}

/// Reads a file from one offset up to another. Data that is written but not on disk yet is synced first, so
/// that nothing is sent on the ground of data that a power loss would undo.
///
/// # Errors
/// Fails if the file cannot be read or is too large.
pub fn read(path: &Path, from: u64, end: u64) -> io::Result<Vec<u8>> {
    let mut file = File::open(path)?;
    let length = file.metadata()?.len().min(end);
    if length > MAX_FILE_BYTES {
        return Err(io::Error::other(format!(
            "file has {length} bytes, at most {MAX_FILE_BYTES} allowed"
        )));
    }
    if length <= from {
        return Ok(Vec::new());
    }
    file.sync_data()?;
    file.seek(SeekFrom::Start(from))?;
    let mut bytes = Vec::new();
    file.take(length - from).read_to_end(&mut bytes)?;
    Ok(bytes)
}

/// Reads one record, given the offset and length of its body.
///
/// # Errors
/// Fails if the file cannot be read.
pub fn read_record(path: &Path, (at, length): (u64, u32)) -> io::Result<Vec<u8>> {
    let mut file = File::open(path)?;
    file.seek(SeekFrom::Start(at.saturating_sub(log::HEADER_BYTES as u64)))?;
    let mut bytes = Vec::new();
    file.take((log::HEADER_BYTES as u64 + u64::from(length)).min(MAX_RECORD_READ_BYTES as u64))
        .read_to_end(&mut bytes)?;
    Ok(bytes)
}

/// Offset up to which each file of a store has been read.
pub type ReadOffsets = std::collections::BTreeMap<StoreFile, u64>;

/// Reads a complete store.
///
/// # Errors
/// Names the file that cannot be read.
pub fn load(folder: &Path, edge: EdgeId) -> io::Result<(Book, ReadOffsets)> {
    load_up_to(folder, edge, u64::MAX)
}

/// Reads a store, with its intake only up to `settled`. The process that owns the intake has yet to decide
/// about the writes after that.
///
/// # Errors
/// Names the file that cannot be read.
pub fn load_up_to(folder: &Path, edge: EdgeId, settled: u64) -> io::Result<(Book, ReadOffsets)> {
    let (mut book, mut read_offsets) =
        (Book::with_boot(edge, Some(super::boot_id())), ReadOffsets::new());
    for store_file in list_files(folder, edge)? {
        let path = store_file.path(folder, edge);
        let bytes = read(&path, 0, store_file.readable_length(settled))
            .map_err(|e| io::Error::other(format!("{}: {e}", path.display())))?;
        let mut offset = 0;
        for item in log::scan(&bytes, 0) {
            offset = item_end(&item).unwrap_or(offset);
            book.apply_item(&item, store_file.holds_marks());
        }
        read_offsets.insert(store_file, offset);
    }
    book.finish_intake();
    Ok((book, read_offsets))
}

/// Returns the offset at which an item ends, or None for an item that may still grow.
pub fn item_end(item: &log::Item) -> Option<u64> {
    match item {
        log::Item::Record { at, length, .. } => Some(at + u64::from(*length)),
        log::Item::Damaged { at, length, .. } => Some(at + length),
        log::Item::Torn { .. } => None,
    }
}

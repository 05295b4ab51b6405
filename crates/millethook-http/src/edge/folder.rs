//! The folder of stores: which files there are, and what stands in them.
//!
//! `FOLDER/EDGE/intake` is what a process took in; nobody else ever appends to it. `FOLDER/EDGE/replay-TOKEN` is what
//! one owner of the replay wrote down, `FOLDER/EDGE/words` what operators said.

use std::fs::{self, File};
use std::io::{self, Read, Seek, SeekFrom};
use std::path::{Path, PathBuf};

use millethook_edge::{Book, EdgeId, Token, log};

/// The largest file that is read: what a store may hold, and its marks and ends.
const LARGEST: u64 = 4 << 30;
/// Bytes that are read at once of a file that grows.
const PIECE: usize = 8 << 20;

/// A file of a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StoreFile {
    /// What its process took in.
    Intake,
    /// What an owner wrote down.
    Journal(Token),
    /// What operators said.
    OperatorLog,
}

impl StoreFile {
    /// Its path below the folder of stores.
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

    /// Up to where it is read, by how far the store's intake is settled.
    pub fn upto(self, settled: u64) -> u64 {
        if self == StoreFile::Intake { settled } else { u64::MAX }
    }

    /// Whether a spoilt record of it may have been a mark.
    pub fn holds_marks(self) -> bool {
        matches!(self, StoreFile::Journal(_))
    }
}

/// The stores of a folder.
///
/// # Errors
/// The folder cannot be read.
pub fn list_stores(folder: &Path) -> io::Result<Vec<EdgeId>> {
    let entries = fs::read_dir(folder)?.flatten();
    let names = entries.filter_map(|entry| entry.file_name().to_str()?.parse().ok());
    let mut stores: Vec<EdgeId> = names.collect();
    stores.sort_unstable();
    Ok(stores)
}

/// The files of a store: what was taken in first, then owners' in the order of their tokens.
///
/// # Errors
/// The store cannot be read.
pub fn list_files(folder: &Path, edge: EdgeId) -> io::Result<Vec<StoreFile>> {
    let entries = fs::read_dir(folder.join(edge.to_string()))?.flatten();
    let names = entries.filter_map(|entry| StoreFile::parse(entry.file_name().to_str()?));
    let mut names: Vec<StoreFile> = names.collect();
    names.sort_unstable();
    Ok(names)
}

/// The highest token that a store knows.
///
/// # Errors
/// The store cannot be read.
pub fn highest_token(folder: &Path, edge: EdgeId) -> io::Result<Token> {
    let tokens = list_files(folder, edge)?.into_iter().filter_map(|name| match name {
        StoreFile::Journal(token) => Some(token),
        _ => None,
    });
    Ok(tokens.max().unwrap_or_default())
}

/// What a file holds from a place on, up to another one. What was written and is not on disk yet gets there first: nothing goes out that a
/// loss of power would undo.
///
/// # Errors
/// The file cannot be read, or is too large.
pub fn read(path: &Path, from: u64, upto: u64) -> io::Result<Vec<u8>> {
    let mut file = File::open(path)?;
    let length = file.metadata()?.len().min(upto);
    if length > LARGEST {
        return Err(io::Error::other(format!("{length} bytes, {LARGEST} at most expected")));
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

/// One record, by the place of its body.
///
/// # Errors
/// The file cannot be read.
pub fn read_record(path: &Path, (at, length): (u64, u32)) -> io::Result<Vec<u8>> {
    let mut file = File::open(path)?;
    file.seek(SeekFrom::Start(at.saturating_sub(log::HEAD as u64)))?;
    let mut bytes = Vec::new();
    file.take((log::HEAD as u64 + u64::from(length)).min(PIECE as u64)).read_to_end(&mut bytes)?;
    Ok(bytes)
}

/// How far each file of a store has been read.
pub type Places = std::collections::BTreeMap<StoreFile, u64>;

/// Reads a whole store.
///
/// # Errors
/// Names the file that cannot be read.
pub fn load(folder: &Path, edge: EdgeId) -> io::Result<(Book, Places)> {
    load_settled(folder, edge, u64::MAX)
}

/// Reads a store, its intake up to this place: behind it the process that takes it in has yet to decide.
///
/// # Errors
/// Names the file that cannot be read.
pub fn load_settled(folder: &Path, edge: EdgeId, settled: u64) -> io::Result<(Book, Places)> {
    let (mut book, mut places) = (Book::on(edge, Some(super::boot())), Places::new());
    for name in list_files(folder, edge)? {
        let path = name.path(folder, edge);
        let bytes = read(&path, 0, name.upto(settled))
            .map_err(|e| io::Error::other(format!("{}: {e}", path.display())))?;
        let mut read = 0;
        for item in log::scan(&bytes, 0) {
            read = end_of(&item).unwrap_or(read);
            book.take(&item, name.holds_marks());
        }
        places.insert(name, read);
    }
    book.is_read();
    Ok((book, places))
}

/// Where an item ends; None: it may still grow.
pub fn end_of(item: &log::Item) -> Option<u64> {
    match item {
        log::Item::Record { at, length, .. } => Some(at + u64::from(*length)),
        log::Item::Damaged { at, length, .. } => Some(at + length),
        log::Item::Torn { .. } => None,
    }
}

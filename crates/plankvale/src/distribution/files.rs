//! The files of a folder of requests. All of it blocks until the disk has answered.

use std::fs::{self, File};
use std::io::{self, Write as _};
use std::path::Path;

use millethook_membership::atomic_file;

use super::request::{LARGEST, Request};
use super::status::{self, Status};

/// Requests that are read in one go, at most, and entries of the folder that are looked at for them.
const MOST_REQUESTS: usize = 128;
const MOST_ENTRIES: usize = 8_192;
/// Statuses that are kept; older ones are removed.
const MOST_STATUSES: usize = 512;
/// What a request's file ends with.
const EXTENSION: &str = ".json";

/// A request that was found.
pub struct Found {
    /// Its name: that of its file, without the extension.
    pub name: String,
    /// Itself, or what is wrong with it.
    pub request: Result<Request, String>,
}

/// Makes the folders.
pub fn prepare(folder: &Path) -> io::Result<()> {
    fs::create_dir_all(status::folder(folder))
}

/// The oldest requests in a folder, by name.
pub fn requests(folder: &Path) -> io::Result<Vec<Found>> {
    let mut names = names(folder)?;
    names.truncate(MOST_REQUESTS);
    Ok(names.into_iter().map(|name| Found { request: read(folder, &name), name }).collect())
}

/// Names of all that has the extension and is not hidden, sorted.
pub fn names(folder: &Path) -> io::Result<Vec<String>> {
    let mut names = Vec::new();
    for entry in fs::read_dir(folder)?.take(MOST_ENTRIES) {
        let name = entry?.file_name();
        let name = name.to_str().and_then(|name| name.strip_suffix(EXTENSION));
        names.extend(name.filter(|name| !name.starts_with('.')).map(str::to_owned));
    }
    names.sort_unstable();
    Ok(names)
}

fn read(folder: &Path, name: &str) -> Result<Request, String> {
    let path = folder.join(format!("{name}{EXTENSION}"));
    let bytes = atomic_file::read(&path, LARGEST).map_err(|e| e.to_string())?;
    let bytes = bytes.ok_or("it is gone")?;
    serde_json::from_slice(&bytes).map_err(|e| format!("a request expected: {e}"))
}

/// Takes requests away; the names of those that were there.
pub fn remove(folder: &Path, names: Vec<String>) -> Vec<String> {
    let mut gone = names;
    gone.retain(|name| fs::remove_file(folder.join(format!("{name}{EXTENSION}"))).is_ok());
    gone
}

/// Leaves a request in a folder: it is there whole or not at all.
pub fn leave(folder: &Path, name: &str, request: &Request) -> io::Result<()> {
    let temporary = folder.join(format!(".{name}.tmp"));
    let text = serde_json::to_vec(request)?;
    let written = File::create(&temporary)
        .and_then(|mut file| file.write_all(&text).and_then(|()| file.sync_all()))
        .and_then(|()| fs::rename(&temporary, folder.join(format!("{name}{EXTENSION}"))));
    if written.is_err() {
        let _ = fs::remove_file(&temporary);
    }
    written
}

/// Writes statuses, and removes the oldest of more than are kept.
pub fn write_statuses(folder: &Path, statuses: &[(String, Status)]) -> Result<(), String> {
    for (name, status) in statuses {
        let text = serde_json::to_vec_pretty(status).map_err(|e| e.to_string())?;
        let path = status::path(folder, name);
        let temporary = path.with_extension("tmp");
        fs::write(&temporary, text)
            .and_then(|()| fs::rename(&temporary, &path))
            .map_err(|e| format!("{}: {e}", path.display()))?;
    }
    let kept = names(&status::folder(folder)).map_err(|e| e.to_string())?;
    for old in &kept[..kept.len().saturating_sub(MOST_STATUSES)] {
        let _ = fs::remove_file(status::path(folder, old));
    }
    Ok(())
}

/// Reads a status; None: there is none (yet).
pub fn read_status(folder: &Path, name: &str) -> Result<Option<Status>, String> {
    let path = status::path(folder, name);
    let wrong = |e: String| format!("{}: {e}", path.display());
    let Some(bytes) = atomic_file::read(&path, LARGEST).map_err(|e| wrong(e.to_string()))? else {
        return Ok(None);
    };
    serde_json::from_slice(&bytes).map(Some).map_err(|e| wrong(e.to_string()))
}

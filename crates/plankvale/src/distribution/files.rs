//! The files in a folder of requests to publish. All functions block on disk operations.

use std::fs::{self, File};
use std::io::{self, Write as _};
use std::path::Path;

use millethook_membership::atomic_file;

use super::request::{MAX_REQUEST_BYTES, Request};
use super::status::{self, Status};

/// Maximum number of requests that are read in one poll.
const MAX_REQUESTS: usize = 128;
/// Maximum number of folder entries that are scanned for requests.
const MAX_ENTRIES: usize = 8_192;
/// Number of statuses that are kept; older ones are removed.
const MAX_STATUSES: usize = 512;
/// Extension of a request's file.
const EXTENSION: &str = ".json";

/// A request found in the folder.
pub struct FoundRequest {
    /// Its file name without the extension.
    pub name: String,
    /// The parsed request, or why it cannot be read.
    pub request: Result<Request, String>,
}

/// Creates the folder of requests and that of statuses.
pub fn prepare(folder: &Path) -> io::Result<()> {
    fs::create_dir_all(status::folder(folder))
}

/// Reads the oldest requests in a folder; names sort by age.
pub fn requests(folder: &Path) -> io::Result<Vec<FoundRequest>> {
    let mut names = names(folder)?;
    names.truncate(MAX_REQUESTS);
    Ok(names.into_iter().map(|name| FoundRequest { request: read(folder, &name), name }).collect())
}

/// Names of all files that have the extension and are not hidden, sorted.
pub fn names(folder: &Path) -> io::Result<Vec<String>> {
    let mut names = Vec::new();
    for entry in fs::read_dir(folder)?.take(MAX_ENTRIES) {
        let name = entry?.file_name();
        let name = name.to_str().and_then(|name| name.strip_suffix(EXTENSION));
        names.extend(name.filter(|name| !name.starts_with('.')).map(str::to_owned));
    }
    names.sort_unstable();
    Ok(names)
}

fn read(folder: &Path, name: &str) -> Result<Request, String> {
    let path = folder.join(format!("{name}{EXTENSION}"));
    let bytes = atomic_file::read(&path, MAX_REQUEST_BYTES).map_err(|e| e.to_string())?;
    let bytes = bytes.ok_or("the request's file has been removed")?;
    serde_json::from_slice(&bytes).map_err(|e| format!("a request expected: {e}"))
}

/// Removes requests; returns the names of those that existed.
pub fn remove(folder: &Path, names: Vec<String>) -> Vec<String> {
    let mut removed = names;
    removed.retain(|name| fs::remove_file(folder.join(format!("{name}{EXTENSION}"))).is_ok());
    removed
}

/// Writes a request into a folder atomically.
pub fn write_request(folder: &Path, name: &str, request: &Request) -> io::Result<()> {
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

/// Writes statuses and removes the oldest ones beyond [`MAX_STATUSES`].
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
    for old in &kept[..kept.len().saturating_sub(MAX_STATUSES)] {
        let _ = fs::remove_file(status::path(folder, old));
    }
    Ok(())
}

/// Reads a status; None if there is none (yet).
pub fn read_status(folder: &Path, name: &str) -> Result<Option<Status>, String> {
    let path = status::path(folder, name);
    let add_context = |e: String| format!("{}: {e}", path.display());
    let Some(bytes) =
        atomic_file::read(&path, MAX_REQUEST_BYTES).map_err(|e| add_context(e.to_string()))?
    else {
        return Ok(None);
    };
    serde_json::from_slice(&bytes).map(Some).map_err(|e| add_context(e.to_string()))
}

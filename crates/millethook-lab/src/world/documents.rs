//! Document events, read from the daemons' logs after a run.

use std::path::Path;
use std::time::UNIX_EPOCH;

use serde_json::Value;

use crate::ledger::Micros;

/// An event of a document at a sidecar.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentEvent {
    /// Time of the event.
    pub at: Micros,
    /// The sidecar's number.
    pub sidecar: usize,
    /// Kind of event.
    pub kind: DocumentEventKind,
    /// The document's key, as in the log.
    pub key: String,
    /// The document's version.
    pub version: DocumentVersion,
}

/// Kind of a document event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DocumentEventKind {
    /// The publish request of this name was published.
    Published(String),
    /// A majority of the control nodes stored it.
    Committed,
    /// The sidecar applied it.
    Applied,
    /// The sidecar refused it.
    Refused,
    /// Its rollout was stopped because too many sidecars refused it.
    Stopped,
    /// The document is a server list, and the sidecar adopted it.
    ListTaken,
}

/// A document version; later versions compare greater.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DocumentVersion {
    /// The writer's lease token, as hexadecimal digits of fixed length.
    pub token: String,
    /// The writer's counter.
    pub counter: u64,
}

impl DocumentVersion {
    fn read(text: &str) -> Option<DocumentVersion> {
        let (token, counter) = text.split_once('-')?;
        Some(DocumentVersion { token: token.to_owned(), counter: counter.parse().ok()? })
    }
}

/// Reads the logs of all sidecars; `zero` is the Unix time of the start of the load, in microseconds.
pub fn read(folder: &Path, sidecars: usize, zero: i64) -> Vec<DocumentEvent> {
    let mut events = Vec::new();
    for sidecar in 0..sidecars {
        let log = std::fs::read(folder.join(format!("n{sidecar}.log"))).unwrap_or_default();
        let log = String::from_utf8_lossy(&log);
        events.extend(log.lines().filter_map(|line| event(line, sidecar, zero)));
    }
    events.sort_by_key(|event| event.at);
    events
}

fn event(line: &str, sidecar: usize, zero: i64) -> Option<DocumentEvent> {
    if !line.contains("\"distribution_") {
        return None;
    }
    let line: Value = serde_json::from_str(line).ok()?;
    let fields = &line["fields"];
    let text = |key: &str| fields[key].as_str();
    let kind = match text("event")? {
        "distribution_published" => DocumentEventKind::Published(text("request")?.to_owned()),
        "distribution_committed" => DocumentEventKind::Committed,
        "distribution_applied" => DocumentEventKind::Applied,
        "distribution_refused" => DocumentEventKind::Refused,
        "distribution_stopped" => DocumentEventKind::Stopped,
        "distribution_list_taken" => DocumentEventKind::ListTaken,
        _ => return None,
    };
    let at = humantime::parse_rfc3339(line["timestamp"].as_str()?).ok()?;
    let at = at.duration_since(UNIX_EPOCH).ok()?.as_micros() as i64 - zero;
    let key = text("message")?.split(": ").next()?.to_owned();
    let version = DocumentVersion::read(text("version")?)?;
    Some(DocumentEvent { at: at.max(0) as Micros, sidecar, kind, key, version })
}

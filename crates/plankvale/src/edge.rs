//! `plankvale edge`: shows the stores of kept writes, and records operators' decisions on writes in
//! doubt.

use std::fs::File;
use std::io::{self, Write as _};
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

use clap::Subcommand;
use millethook_edge::record::{End, Record};
use millethook_edge::{Book, State, WriteId, log};
use millethook_http::edge::folder::{self, StoreFile};

/// Commands on a folder of stores of kept writes.
#[derive(Subcommand, Debug)]
pub enum EdgeCommand {
    /// Print the counts of each store, and each write that is unfinished or did not end well
    Show {
        /// The folder configured as `edge.folder`
        folder: PathBuf,
    },
    /// Print each write that is unfinished or set apart, one JSON object per line, with its body in hexadecimal
    Export {
        /// The folder configured as `edge.folder`
        folder: PathBuf,
    },
    /// Send a write in doubt again: it is known not to have run, or it may run twice
    Release {
        /// The folder configured as `edge.folder`
        folder: PathBuf,
        /// The write's id as printed by `show`
        write: WriteId,
    },
    /// Stop sending a write; the writes that wait for it continue
    Drop {
        /// The folder configured as `edge.folder`
        folder: PathBuf,
        /// The write's id as printed by `show`
        write: WriteId,
    },
}

impl EdgeCommand {
    /// Runs the command and returns the text to print.
    ///
    /// # Errors
    /// Names the folder, the store or the write that failed.
    pub fn execute(&self) -> Result<String, String> {
        match self {
            EdgeCommand::Show { folder } => for_each_store(folder, show),
            EdgeCommand::Export { folder } => for_each_store(folder, export),
            EdgeCommand::Release { folder, write } => {
                append_record(folder, *write, &Record::Release)
            }
            EdgeCommand::Drop { folder, write } => {
                let end = Record::End {
                    how: End::Dropped,
                    status: 0,
                    answer: Vec::new(),
                    at_ms: now_ms(),
                };
                append_record(folder, *write, &end)
            }
        }
    }
}

fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

fn for_each_store(
    folder: &Path,
    print: fn(&Path, &Book, &mut Vec<String>) -> io::Result<()>,
) -> Result<String, String> {
    let add_context = |e: io::Error| format!("{}: {e}", folder.display());
    let mut lines = Vec::new();
    for edge in folder::list_stores(folder).map_err(add_context)? {
        let (book, _) = folder::load(folder, edge).map_err(add_context)?;
        print(folder, &book, &mut lines).map_err(add_context)?;
    }
    if lines.is_empty() {
        lines.push("no stores".into());
    }
    Ok(lines.join("\n"))
}

fn describe_state(state: State) -> String {
    match state {
        State::Unacknowledged => "not acknowledged".into(),
        State::Kept => "kept".into(),
        State::InFlight(token) => format!("out, under {token}"),
        State::Repeatable => "to be repeated".into(),
        State::InDoubt => "in doubt".into(),
        State::Ended(end) => format!("{end:?}").to_lowercase(),
    }
}

fn show(_: &Path, book: &Book, lines: &mut Vec<String>) -> io::Result<()> {
    let counts = book.counts();
    lines.push(format!(
        "store {}: {} kept, {} out, {} in doubt, {} done, {} set apart, {} spoilt, {} not acknowledged",
        book.edge,
        counts.kept,
        counts.in_flight,
        counts.in_doubt,
        counts.served,
        counts.not_served,
        counts.damaged,
        counts.unacknowledged
    ));
    for (at, length, seq, _) in &book.damaged {
        let seq = seq.map_or("of no known write".to_owned(), |seq| format!("of write {seq:x}"));
        lines.push(format!("  {length} bytes from {at} on are spoilt, {seq}"));
    }
    for (seq, entry) in book.entries().filter(|(_, e)| e.state != State::Ended(End::Done)) {
        let id = WriteId { edge: book.edge, seq };
        let class = book.classes.get(usize::from(entry.class)).map_or("?", String::as_str);
        let age = now_ms().saturating_sub(entry.kept_ms) / 1_000;
        let after: Vec<String> = entry.after.iter().map(ToString::to_string).collect();
        let after =
            if after.is_empty() { String::new() } else { format!(", after {}", after.join(" ")) };
        lines.push(format!("  {id}  {class}  {}, {age} s old{after}", describe_state(entry.state)));
    }
    Ok(())
}

fn export(folder: &Path, book: &Book, lines: &mut Vec<String>) -> io::Result<()> {
    let path = StoreFile::Intake.path(folder, book.edge);
    for (seq, entry) in book.entries().filter(|(_, e)| e.state != State::Ended(End::Done)) {
        let bytes = folder::read_record(&path, entry.location)?;
        let Some((_, Record::Write(write))) = log::decode_one(&bytes) else { continue };
        let headers: Vec<(String, String)> = (write.headers.iter())
            .map(|(name, value)| (name.clone(), String::from_utf8_lossy(value).into_owned()))
            .collect();
        let body: String = write.body.iter().map(|b| format!("{b:02x}")).collect();
        let line = serde_json::json!({
            "write": WriteId { edge: book.edge, seq }.to_string(), "state": describe_state(entry.state),
            "kept_ms": write.at_ms, "class": write.class, "method": write.method,
            "target": write.target, "headers": headers, "body": body,
        });
        lines.push(line.to_string());
    }
    Ok(())
}

/// Appends an operator's record to the log that the sidecar that replays the store reads.
fn append_record(folder: &Path, write: WriteId, record: &Record) -> Result<String, String> {
    let add_context = |e: io::Error| format!("{}: {e}", folder.display());
    let (book, _) = folder::load(folder, write.edge).map_err(add_context)?;
    let entry = book.entry(write.seq).ok_or_else(|| format!("{write}: no such write"))?;
    let fits = match (record, entry.state) {
        (_, State::Ended(_)) => false,
        (Record::Release, state) => state == State::InDoubt || matches!(state, State::InFlight(_)),
        _ => true,
    };
    if !fits {
        return Err(format!(
            "{write}: a write in doubt or without an end expected, this one is {}",
            describe_state(entry.state)
        ));
    }
    let mut bytes = Vec::new();
    log::append(&mut bytes, write.seq, record).map_err(|_| format!("{write}: too long"))?;
    let path = StoreFile::OperatorLog.path(folder, write.edge);
    let append = || -> io::Result<()> {
        let mut file = File::options().create(true).append(true).open(&path)?;
        file.write_all(&bytes)?;
        file.sync_all()
    };
    append().map_err(add_context)?;
    Ok(format!("{write}: recorded; the sidecar that replays it reads it within a second"))
}

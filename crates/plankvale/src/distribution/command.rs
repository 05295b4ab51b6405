//! `plankvale config`: publishes documents and prints their status.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::thread::sleep;
use std::time::{Duration, Instant};

use clap::Subcommand;
use millethook_engine::distribution::MAX_CONTENT_BYTES;
use millethook_membership::atomic_file;

use super::files;
use super::patch::Patch;
use super::request::{NamedScope, Request, new_name, now_ms};
use super::status::{Status, folder as status_folder};

/// Interval between reads of the status while waiting for it.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Longest wait that `--wait` accepts.
const MAX_WAIT_SECONDS: u64 = 3_600;

/// Commands on distributed configuration.
#[derive(Subcommand, Debug)]
pub enum ConfigCommand {
    /// Publish a document, {"settings": {...}}: a merge patch for the settings of LB_CONFIG. Prints the name of the
    /// request. Exit with 0, or with 2 if it cannot be published; with --wait, exit with 0 if the document is in force
    /// at all sidecars that report, else with 1
    Publish {
        /// The document's file; not with --retract
        #[arg(required_unless_present = "retract", conflicts_with = "retract")]
        file: Option<PathBuf>,
        /// The sidecars that the document is for: all, region:NAME, zone:NAME, service:NAME or sidecar:NUMBER
        #[arg(long)]
        scope: NamedScope,
        /// The folder configured as `distribution.publish` at the control node that is the writer
        #[arg(long, value_name = "FOLDER")]
        into: PathBuf,
        /// Retract the document that is published for this scope
        #[arg(long)]
        retract: bool,
        /// Wait at most this many seconds until the request is settled, and print its status
        #[arg(long, value_name = "SECONDS", value_parser = clap::value_parser!(u64).range(1..=MAX_WAIT_SECONDS))]
        wait: Option<u64>,
    },
    /// Print the status of all requests; exit with 0, or with 2 if it cannot be read
    Status {
        /// The folder configured as `distribution.publish`
        folder: PathBuf,
    },
}

impl ConfigCommand {
    /// Runs the command and returns its exit code.
    pub fn execute(&self) -> ExitCode {
        let result = match self {
            ConfigCommand::Publish { file, scope, into, wait, .. } => {
                publish(file.as_deref(), scope, into, wait.map(Duration::from_secs))
            }
            ConfigCommand::Status { folder } => show(folder),
        };
        result.unwrap_or_else(|e| {
            eprintln!("{e}");
            ExitCode::from(2)
        })
    }
}

fn publish(
    file: Option<&Path>,
    scope: &NamedScope,
    into: &Path,
    wait: Option<Duration>,
) -> Result<ExitCode, String> {
    let document = file.map(document).transpose()?;
    if !status_folder(into).is_dir() {
        return Err(format!(
            "{}: the folder of distribution.publish at a running control node expected",
            into.display()
        ));
    }
    let name = new_name();
    let retract = document.is_none();
    let request = Request { scope: scope.clone(), retract, document, asked_ms: now_ms() };
    files::write_request(into, &name, &request).map_err(|e| format!("{}: {e}", into.display()))?;
    println!("{name}");
    match wait {
        Some(wait) => wait_for(into, &name, wait),
        None => Ok(ExitCode::SUCCESS),
    }
}

/// Reads a document's file and checks its content.
fn document(path: &Path) -> Result<String, String> {
    let add_context = |e: String| format!("{}: {e}", path.display());
    let bytes =
        atomic_file::read(path, MAX_CONTENT_BYTES).map_err(|e| add_context(e.to_string()))?;
    let bytes = bytes.ok_or_else(|| add_context("no such file".into()))?;
    Patch::parse(&bytes).map_err(|e| add_context(e.to_string()))?;
    String::from_utf8(bytes).map_err(|e| add_context(e.to_string()))
}

fn wait_for(folder: &Path, name: &str, wait: Duration) -> Result<ExitCode, String> {
    let end = Instant::now() + wait;
    loop {
        let status = files::read_status(folder, name)?;
        let settled = status.as_ref().is_some_and(|status| status.stage.is_settled());
        if settled || Instant::now() >= end {
            println!(
                "{}",
                status.as_ref().map_or("no control node has taken it".into(), Status::describe)
            );
            let in_force = status.is_some_and(|status| status.stage.is_in_force());
            return Ok(ExitCode::from(u8::from(!in_force)));
        }
        sleep(POLL_INTERVAL);
    }
}

fn show(folder: &Path) -> Result<ExitCode, String> {
    let add_context = |e: std::io::Error| format!("{}: {e}", folder.display());
    for name in files::names(&status_folder(folder)).map_err(add_context)? {
        if let Some(status) = files::read_status(folder, &name)? {
            println!("{name}  {}", status.describe());
        }
    }
    for name in files::names(folder).map_err(add_context)? {
        println!("{name}  waits for the writer");
    }
    Ok(ExitCode::SUCCESS)
}

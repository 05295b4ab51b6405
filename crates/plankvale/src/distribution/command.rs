//! `plankvale config`: publishes documents, and tells what became of them.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::thread::sleep;
use std::time::{Duration, Instant};

use clap::Subcommand;
use millethook_engine::distribution::MOST_CONTENT;
use millethook_membership::atomic_file;

use super::files;
use super::patch::Patch;
use super::request::{NamedScope, Request, new_name, now_ms};
use super::status::{Status, folder as status_folder};

/// While it waits, the status is read once in so long.
const POLL: Duration = Duration::from_millis(50);
/// The longest wait.
const MOST_WAIT: u64 = 3_600;

/// What is done about configuration that is distributed.
#[derive(Subcommand, Debug)]
pub enum ConfigCommand {
    /// Publish a document, {"settings": {...}}: a merge patch for the settings of LB_CONFIG. Prints the request's name;
    /// exit with 0, with --wait 0 if it came to be in force wherever sidecars are heard of and 1 if not, 2 if it cannot
    /// be published
    Publish {
        /// The document; none with --retract
        #[arg(required_unless_present = "retract", conflicts_with = "retract")]
        file: Option<PathBuf>,
        /// For whom: all, region:NAME, zone:NAME, service:NAME or sidecar:NUMBER
        #[arg(long)]
        scope: NamedScope,
        /// The folder that `distribution.publish` names, of the control node that is the writer
        #[arg(long, value_name = "FOLDER")]
        into: PathBuf,
        /// Take back what is published for this scope
        #[arg(long)]
        retract: bool,
        /// Wait at most so many seconds until the request is settled, and print what became of it
        #[arg(long, value_name = "SECONDS", value_parser = clap::value_parser!(u64).range(1..=MOST_WAIT))]
        wait: Option<u64>,
    },
    /// Print what became of requests; exit with 0, or 2 if it cannot be read
    Status {
        /// The folder that `distribution.publish` names
        folder: PathBuf,
    },
}

impl ConfigCommand {
    /// Carries the command out.
    pub fn carry_out(&self) -> ExitCode {
        let done = match self {
            ConfigCommand::Publish { file, scope, into, wait, .. } => {
                publish(file.as_deref(), scope, into, wait.map(Duration::from_secs))
            }
            ConfigCommand::Status { folder } => show(folder),
        };
        done.unwrap_or_else(|e| {
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
            "{}: the folder that distribution.publish names at a control node that runs expected",
            into.display()
        ));
    }
    let name = new_name();
    let retract = document.is_none();
    let request = Request { scope: scope.clone(), retract, document, asked_ms: now_ms() };
    files::leave(into, &name, &request).map_err(|e| format!("{}: {e}", into.display()))?;
    println!("{name}");
    match wait {
        Some(wait) => wait_for(into, &name, wait),
        None => Ok(ExitCode::SUCCESS),
    }
}

/// Reads a document, and looks whether it can be one.
fn document(path: &Path) -> Result<String, String> {
    let wrong = |e: String| format!("{}: {e}", path.display());
    let bytes = atomic_file::read(path, MOST_CONTENT).map_err(|e| wrong(e.to_string()))?;
    let bytes = bytes.ok_or_else(|| wrong("a file expected, there is none".into()))?;
    Patch::read(&bytes).map_err(|e| wrong(e.to_string()))?;
    String::from_utf8(bytes).map_err(|e| wrong(e.to_string()))
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
        sleep(POLL);
    }
}

fn show(folder: &Path) -> Result<ExitCode, String> {
    let wrong = |e: std::io::Error| format!("{}: {e}", folder.display());
    for name in files::names(&status_folder(folder)).map_err(wrong)? {
        if let Some(status) = files::read_status(folder, &name)? {
            println!("{name}  {}", status.describe());
        }
    }
    for name in files::names(folder).map_err(wrong)? {
        println!("{name}  waits for the writer");
    }
    Ok(ExitCode::SUCCESS)
}

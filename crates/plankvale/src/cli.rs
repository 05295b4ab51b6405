//! The command line.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

use clap::{Parser, Subcommand};
use millethook_config::ProductConfig;
use millethook_membership::store;

use crate::distribution::command::ConfigCommand;
use crate::edge::EdgeCommand;

/// The variable that names the product's file where `--config` does not.
const CONFIG: &str = "MILLETHOOK_CONFIG";

/// A client-side load balancer beside its application. Without a command it serves, as LB_CONFIG says.
#[derive(Parser, Debug)]
#[command(name = "plankvale", version, about)]
pub struct Cli {
    /// The product's own configuration (MILLETHOOK_CONFIG where this is not given)
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand, Debug)]
enum Command {
    /// Tell all that is wrong with a configuration file; exit with 0 or 2
    Check {
        /// The file
        file: PathBuf,
    },
    /// Configuration that reaches every sidecar by control nodes
    Config {
        #[command(subcommand)]
        command: ConfigCommand,
    },
    /// Print the view of the fleet that one or many sidecars have; exit with 0 if they agree, 1 if not, 2 if
    /// nobody answers
    Fleet {
        /// An operators' address, an LB_CONFIG file that names one (admin), or a file with one a line
        whom: String,
    },
    /// Writes that are kept while no server can be reached
    Edge {
        #[command(subcommand)]
        command: EdgeCommand,
    },
    /// The list of servers that is kept over restarts
    Membership {
        #[command(subcommand)]
        command: MembershipCommand,
    },
}

#[derive(Subcommand, Debug)]
enum MembershipCommand {
    /// Print a kept list, with the age of each entry
    Show {
        /// The file that `membership.snapshot` names
        file: PathBuf,
    },
}

impl Cli {
    /// The product's file, if there is one.
    pub fn product(&self) -> Option<PathBuf> {
        let named = || std::env::var_os(CONFIG).filter(|v| !v.is_empty()).map(PathBuf::from);
        self.config.clone().or_else(named)
    }

    /// Carries out a command that is not to serve; None: it is to serve.
    pub fn carry_out(&self) -> Option<ExitCode> {
        let done = match self.command.as_ref()? {
            Command::Check { file } => check(file),
            Command::Edge { command } => command.carry_out(),
            Command::Config { command } => return Some(command.carry_out()),
            Command::Fleet { whom } => return Some(crate::fleet::show(whom)),
            Command::Membership { command: MembershipCommand::Show { file } } => show(file),
        };
        Some(match done {
            Ok(text) => {
                println!("{text}");
                ExitCode::SUCCESS
            }
            Err(text) => {
                eprintln!("{text}");
                ExitCode::from(2)
            }
        })
    }
}

fn check(file: &Path) -> Result<String, String> {
    let product = ProductConfig::from_file(file).map_err(|e| e.to_string())?;
    let filter = product.log.filter.as_deref().unwrap_or("info");
    let wrong = |e| format!("{}: log.filter: {e}", file.display());
    filter.parse::<tracing_subscriber::EnvFilter>().map_err(wrong)?;
    let name = |e| format!("{}: {e}", file.display());
    millethook_engine::product::membership_store_config(&product, "").map_err(name)?;
    if let Some(of) = &product.distribution {
        millethook_engine::distribution::distinct_names(of).map_err(name)?;
    }
    Ok(format!("{}: sound", file.display()))
}

fn show(file: &Path) -> Result<String, String> {
    let kept = store::read_any_fleet(file).map_err(|e| e.to_string())?;
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
    let age = |at: u64| now.checked_sub(at).map_or("in the future".to_owned(), ago);
    let mut lines = vec![format!(
        "fleet {}, version {}, written {}, {} servers",
        kept.fleet,
        kept.seq,
        age(kept.written_ms),
        kept.servers.len()
    )];
    for server in &kept.servers {
        let dial = server.host.dial.map_or("-".to_owned(), |dial| dial.to_string());
        let chance = kept.history.survival(server.confirmed_ms, now);
        lines.push(format!(
            "{}  {dial}  zone {}  confirmed {}  there with a chance of {chance:.3}",
            server.host.host,
            server.host.site,
            age(server.confirmed_ms)
        ));
    }
    Ok(lines.join("\n"))
}

fn ago(ms: u64) -> String {
    let s = ms / 1000;
    match s {
        0..120 => format!("{s} s ago"),
        120..7_200 => format!("{} min ago", s / 60),
        7_200..172_800 => format!("{} h ago", s / 3_600),
        _ => format!("{} days ago", s / 86_400),
    }
}

//! The command line of the daemon.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

use clap::{Parser, Subcommand};
use millethook_config::ProductConfig;
use millethook_membership::store;

use crate::distribution::command::ConfigCommand;
use crate::edge::EdgeCommand;

/// Environment variable that names the product's file when `--config` is not given.
const CONFIG_VARIABLE: &str = "MILLETHOOK_CONFIG";

/// A client-side load balancer that runs beside its application. Without a command it serves with the
/// configuration in LB_CONFIG.
#[derive(Parser, Debug)]
#[command(name = "plankvale", version, about)]
pub struct Cli {
    /// The product's own configuration file (default: the value of MILLETHOOK_CONFIG)
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand, Debug)]
enum Command {
    /// Print all errors of a configuration file; exit with 0 if there are none, else with 2
    Check {
        /// The product's configuration file
        file: PathBuf,
    },
    /// Publish configuration to all sidecars through the control nodes
    Config {
        #[command(subcommand)]
        command: ConfigCommand,
    },
    /// Print the fleet views of one or more sidecars; exit with 0 if they agree, 1 if not, 2 if no sidecar
    /// answers
    Fleet {
        /// An admin address, an LB_CONFIG file with the key admin, or a file with one address per line
        whom: String,
    },
    /// Inspect and settle writes that were kept while no server could be reached
    Edge {
        #[command(subcommand)]
        command: EdgeCommand,
    },
    /// Inspect the list of servers that is kept across restarts
    Membership {
        #[command(subcommand)]
        command: MembershipCommand,
    },
}

#[derive(Subcommand, Debug)]
enum MembershipCommand {
    /// Print a saved list with the age of each entry
    Show {
        /// The file configured as `membership.snapshot`
        file: PathBuf,
    },
}

impl Cli {
    /// Path of the product's file, if one is configured.
    pub fn product_file(&self) -> Option<PathBuf> {
        let named =
            || std::env::var_os(CONFIG_VARIABLE).filter(|v| !v.is_empty()).map(PathBuf::from);
        self.config.clone().or_else(named)
    }

    /// Runs the given command and returns its exit code; None without a command: the caller serves.
    pub fn run_command(&self) -> Option<ExitCode> {
        let result = match self.command.as_ref()? {
            Command::Check { file } => check_file(file),
            Command::Edge { command } => command.execute(),
            Command::Config { command } => return Some(command.execute()),
            Command::Fleet { whom } => return Some(crate::fleet::show(whom)),
            Command::Membership { command: MembershipCommand::Show { file } } => {
                show_snapshot(file)
            }
        };
        Some(match result {
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

fn check_file(file: &Path) -> Result<String, String> {
    let product = ProductConfig::from_file(file).map_err(|e| e.to_string())?;
    let filter = product.log.filter.as_deref().unwrap_or("info");
    let add_context = |e| format!("{}: log.filter: {e}", file.display());
    filter.parse::<tracing_subscriber::EnvFilter>().map_err(add_context)?;
    let with_path = |e| format!("{}: {e}", file.display());
    millethook_engine::product::membership_store_config(&product, "").map_err(with_path)?;
    if let Some(section) = &product.distribution {
        millethook_engine::distribution::distinct_names(section).map_err(with_path)?;
    }
    Ok(format!("{}: sound", file.display()))
}

fn show_snapshot(file: &Path) -> Result<String, String> {
    let snapshot = store::read_any_fleet(file).map_err(|e| e.to_string())?;
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
    let age = |at: u64| now.checked_sub(at).map_or("in the future".to_owned(), format_age);
    let mut lines = vec![format!(
        "fleet {}, version {}, written {}, {} servers",
        snapshot.fleet,
        snapshot.seq,
        age(snapshot.written_ms),
        snapshot.servers.len()
    )];
    for server in &snapshot.servers {
        let dial = server.host.dial.map_or("-".to_owned(), |dial| dial.to_string());
        let survival = snapshot.history.survival(server.confirmed_ms, now);
        lines.push(format!(
            "{}  {dial}  zone {}  confirmed {}  there with a chance of {survival:.3}",
            server.host.host,
            server.host.site,
            age(server.confirmed_ms)
        ));
    }
    Ok(lines.join("\n"))
}

fn format_age(ms: u64) -> String {
    let s = ms / 1000;
    match s {
        0..120 => format!("{s} s ago"),
        120..7_200 => format!("{} min ago", s / 60),
        7_200..172_800 => format!("{} h ago", s / 3_600),
        _ => format!("{} days ago", s / 86_400),
    }
}

//! The command line of `millethook-scale`.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Parser, Subcommand, ValueEnum};

use super::ScaleError;
use super::bench::{Bench, RunOptions};
use super::data_path::BackgroundLoad;
use super::row::RowWriter;
use super::spinner::spin;
use crate::world::daemon::guard;

/// Measures the resource use of sidecars, servers and discovery as the fleet grows, and writes CSV rows.
///
/// Exit codes: 0 measured, 1 a part did not start or timed out, 2 the command is wrong.
#[derive(Parser, Debug)]
#[command(name = "millethook-scale", version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand, Debug)]
enum Command {
    /// Run one measurement
    Measure(Measure),
    /// Run a daemon that ends when this program ends (internal)
    #[command(hide = true)]
    Guard {
        parent: i32,
        program: PathBuf,
        #[arg(last = true)]
        args: Vec<String>,
    },
    /// Keep one core busy (internal)
    #[command(hide = true)]
    Spin { seconds: u64 },
}

#[derive(clap::Args, Debug)]
struct Measure {
    /// The measurement
    #[arg(value_enum)]
    what: What,
    /// Sizes, separated by commas; the default depends on the measurement
    #[arg(long, value_delimiter = ',')]
    sizes: Vec<usize>,
    /// Seeds of random choices, separated by commas; each gives one run
    #[arg(long, value_delimiter = ',', default_value = "1,2,3")]
    seeds: Vec<u64>,
    /// How long each figure is measured, in seconds
    #[arg(long, default_value_t = 10.0)]
    span: f64,
    /// Time between two probes of a member, in seconds
    #[arg(long, default_value_t = 1.0)]
    period: f64,
    /// A file to append the rows to, in addition to standard output
    #[arg(long)]
    out: Option<PathBuf>,
    /// The daemon's program; the default is plankvale in this program's folder
    #[arg(long)]
    daemon: Option<PathBuf>,
}

/// The measurements.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum What {
    /// Memory by the number of listed servers
    MemoryListed,
    /// Memory by the number of fleet members
    MemoryMembers,
    /// Memory by the number of idle client connections
    MemoryClients,
    /// Memory by the number of concurrent requests
    MemoryCalls,
    /// Memory by the number of classes in the settings
    MemoryClasses,
    /// Memory by the number of tenants in the settings
    MemoryTenants,
    /// Memory and idle processor time by the number of services, with one daemon each
    MemoryServices,
    /// Idle processor time by the number of listed servers
    Idle,
    /// Latency that a sidecar adds to a request, and processor time per request
    DataPath,
    /// The same while another process keeps a core busy
    DataPathBusy,
    /// Cost of adding or removing one listed server
    ListChange,
    /// Cost of one change of settings
    SettingsChange,
    /// Cost of receiving the whole list again
    WholeList,
    /// Cost of the removal of a zone from the list
    ZoneLeaves,
    /// Messages between sidecars in a quiet fleet
    ControlQuiet,
    /// Messages between sidecars as a machine, a rack and a zone fail and return, and a region is partitioned
    ControlEvents,
    /// Messages between sidecars under load, before and after a server dies
    ControlDeadServer,
    /// Connections and handshakes at servers
    Servers,
    /// Requests and bytes at discovery
    Discovery,
}

/// Runs the command line and returns its exit code.
pub fn main() -> ExitCode {
    match Cli::parse().command {
        Command::Measure(measure) => measure.carry_out(),
        Command::Guard { parent, program, args } => {
            eprintln!("{}: {}", program.display(), guard(parent, &program, &args));
            ExitCode::from(2)
        }
        Command::Spin { seconds } => {
            spin(Duration::from_secs(seconds));
            ExitCode::SUCCESS
        }
    }
}

impl Measure {
    fn carry_out(self) -> ExitCode {
        let Some(program) =
            self.daemon.clone().or_else(sibling_daemon).filter(|path| path.is_file())
        else {
            eprintln!("plankvale not found: build it (cargo build -p plankvale) or pass --daemon");
            return ExitCode::from(2);
        };
        if !(0.1..=600.0).contains(&self.span) {
            eprintln!("--span: expected 0.1 to 600 seconds, got {}", self.span);
            return ExitCode::from(2);
        }
        if !(0.05..=60.0).contains(&self.period) {
            eprintln!("--period: expected 0.05 to 60 seconds, got {}", self.period);
            return ExitCode::from(2);
        }
        match self.run(program) {
            Ok(()) => ExitCode::SUCCESS,
            Err(e) => {
                eprintln!("{:?}: {e}", self.what);
                ExitCode::FAILURE
            }
        }
    }

    fn run(&self, program: PathBuf) -> Result<(), ScaleError> {
        let folder = format!("millethook-scale-{}", std::process::id());
        let folder = std::env::temp_dir().join(folder);
        let rows = RowWriter::new(self.out.as_deref())?;
        let options = RunOptions {
            sizes: self.sizes.clone(),
            seeds: self.seeds.clone(),
            span: Duration::from_secs_f64(self.span),
            period: Duration::from_secs_f64(self.period),
        };
        let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
        let runtime = runtime.map_err(crate::world::machine_error("a runtime"))?;
        let mut bench = Bench::new(program, folder, rows, options)?;
        let measured = runtime.block_on(async {
            tokio::select! {
                measured = self.what.measure(&mut bench) => measured,
                _ = tokio::signal::ctrl_c() => {
                    Err(ScaleError::Late { what: "an interrupted run".into(), seconds: 0.0 })
                }
            }
        });
        runtime.shutdown_timeout(Duration::from_secs(1));
        measured
    }
}

impl What {
    async fn measure(self, bench: &mut Bench) -> Result<(), ScaleError> {
        match self {
            What::MemoryListed => bench.memory_by_listed_servers().await,
            What::MemoryMembers => bench.memory_by_members().await,
            What::MemoryClients => bench.memory_by_client_connections().await,
            What::MemoryCalls => bench.memory_by_open_calls().await,
            What::MemoryClasses => bench.memory_by_classes().await,
            What::MemoryTenants => bench.memory_by_tenants().await,
            What::MemoryServices => bench.memory_by_services().await,
            What::Idle => bench.idle().await,
            What::DataPath => bench.data_path(BackgroundLoad::Nothing).await,
            What::DataPathBusy => bench.data_path(BackgroundLoad::Spinner).await,
            What::ListChange => bench.list_change().await,
            What::SettingsChange => bench.settings_change().await,
            What::WholeList => bench.whole_list().await,
            What::ZoneLeaves => bench.zone_leaves().await,
            What::ControlQuiet => bench.control_quiet().await,
            What::ControlEvents => bench.control_events().await,
            What::ControlDeadServer => bench.control_dead_server().await,
            What::Servers => bench.servers().await,
            What::Discovery => bench.discovery().await,
        }
    }
}

/// The path of `plankvale` in the folder of this program, if it exists.
fn sibling_daemon() -> Option<PathBuf> {
    let mut path = std::env::current_exe().ok()?;
    path.set_file_name("plankvale");
    path.is_file().then_some(path)
}

//! The command line of `millethook-scale`.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Parser, Subcommand, ValueEnum};

use super::ScaleError;
use super::bench::{Bench, Extent};
use super::data_path::Beside;
use super::row::RowWriter;
use super::spinner::spin;
use crate::world::daemon::guard;

/// Measures what sidecars, servers and discovery cost as the fleet grows, and writes CSV rows.
///
/// Exit codes: 0 measured, 1 something did not start or was not in time, 2 the command is wrong.
#[derive(Parser, Debug)]
#[command(name = "millethook-scale", version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand, Debug)]
enum Command {
    /// Measure one thing
    Measure(Measure),
    /// Become a daemon that ends with this program; for this program itself
    #[command(hide = true)]
    Guard {
        parent: i32,
        program: PathBuf,
        #[arg(last = true)]
        args: Vec<String>,
    },
    /// Keep one core busy; for this program itself
    #[command(hide = true)]
    Spin { seconds: u64 },
}

#[derive(clap::Args, Debug)]
struct Measure {
    /// What is measured
    #[arg(value_enum)]
    what: What,
    /// Sizes, with commas between them; without them the measurement's own
    #[arg(long, value_delimiter = ',')]
    sizes: Vec<usize>,
    /// What random choices are drawn by; one run each
    #[arg(long, value_delimiter = ',', default_value = "1,2,3")]
    seeds: Vec<u64>,
    /// How long one figure is measured for, in seconds
    #[arg(long, default_value_t = 10.0)]
    span: f64,
    /// Time between two probes of a view, in seconds
    #[arg(long, default_value_t = 1.0)]
    period: f64,
    /// Rows are appended here, too
    #[arg(long)]
    out: Option<PathBuf>,
    /// The daemon's program; without it the plankvale beside this program
    #[arg(long)]
    daemon: Option<PathBuf>,
}

/// What can be measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum What {
    /// Memory by servers on the list
    MemoryListed,
    /// Memory by members of the fleet
    MemoryMembers,
    /// Memory by idle connections of clients
    MemoryClients,
    /// Memory by calls that are out at once
    MemoryCalls,
    /// Memory by classes in the settings
    MemoryClasses,
    /// Memory by tenants in the settings
    MemoryTenants,
    /// Memory and idle processor time by services called, one daemon each
    MemoryServices,
    /// Idle processor time by servers on the list
    Idle,
    /// What is added to a call, and its processor time
    DataPath,
    /// The same beside a process that spins
    DataPathBusy,
    /// One server more or less on the list
    ListChange,
    /// One change of settings
    SettingsChange,
    /// The whole list anew
    WholeList,
    /// A zone leaves the list
    ZoneLeaves,
    /// What sidecars say to one another while nothing happens
    ControlQuiet,
    /// What they say as machines, a rack and a zone fail and come back, and a region is cut off
    ControlEvents,
    /// What they say under load, before and after one server dies
    ControlDeadServer,
    /// Connections and handshakes that servers get
    Servers,
    /// Calls and bytes that discovery gets
    Discovery,
}

/// The program.
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
        let Some(program) = self.daemon.clone().or_else(beside).filter(|path| path.is_file())
        else {
            eprintln!("no plankvale: build it (cargo build -p plankvale), or name it by --daemon");
            return ExitCode::from(2);
        };
        if !(0.1..=600.0).contains(&self.span) {
            eprintln!("--span: 0.1 to 600 seconds expected, not {}", self.span);
            return ExitCode::from(2);
        }
        if !(0.05..=60.0).contains(&self.period) {
            eprintln!("--period: 0.05 to 60 seconds expected, not {}", self.period);
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
        let extent = Extent {
            sizes: self.sizes.clone(),
            seeds: self.seeds.clone(),
            span: Duration::from_secs_f64(self.span),
            period: Duration::from_secs_f64(self.period),
        };
        let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
        let runtime = runtime.map_err(crate::world::machine_error("a runtime"))?;
        let mut bench = Bench::new(program, folder, rows, extent)?;
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
            What::DataPath => bench.data_path(Beside::Nothing).await,
            What::DataPathBusy => bench.data_path(Beside::Spinner).await,
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

/// The daemon that was built with this program.
fn beside() -> Option<PathBuf> {
    let mut path = std::env::current_exe().ok()?;
    path.set_file_name("plankvale");
    path.is_file().then_some(path)
}

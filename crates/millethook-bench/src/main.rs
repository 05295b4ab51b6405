//! Measures contestants in one run: no balancer, a plain hyper reverse proxy, `tower`'s power of two
//! choices over peak EWMA, millethook as a library, and the daemon.
//!
//!     cargo build --release --workspace
//!     target/release/millethook-bench cost        # what a request costs, closed loop
//!     target/release/millethook-bench faults      # what callers see, open loop, faults
//!     target/release/millethook-bench memory      # what connections at rest hold
//!     target/release/millethook-bench starts      # a start with an old list, discovery down
//!     target/release/millethook-bench lists       # what long lists of servers cost
//!     target/release/millethook-bench failures    # which failures of connections cost an order
//!
//! Everything runs on loopback, and every load stops by itself.
#![forbid(unsafe_code)]

mod contestant;
mod cost;
mod failures;
mod fleet;
mod lists;
mod load;
mod memory;
mod pin;
mod report;
mod scenario;
mod starts;

use std::path::PathBuf;

use clap::{Parser, Subcommand};
use contestant::Contestant;

/// What goes wrong here ends the run, with a word on where.
pub type Fault = Box<dyn std::error::Error + Send + Sync>;

/// Measures balancers side by side, on loopback.
#[derive(Parser)]
#[command(version, about)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// What a request costs: closed loops, servers that answer at once, each contestant on one core.
    Cost {
        /// Seconds of each measurement.
        #[arg(long, default_value_t = 4)]
        seconds: u64,
        /// Connections of callers.
        #[arg(long, value_delimiter = ',', default_value = "1,16,200")]
        connections: Vec<usize>,
        /// Contestants; all of them if none is named.
        #[arg(long, value_delimiter = ',')]
        contestants: Vec<Contestant>,
        /// Rounds; the median of each figure is shown.
        #[arg(long, default_value_t = 3)]
        rounds: usize,
        /// Where the table goes as CSV.
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// What callers see: open loops, servers with queues, faults.
    Faults {
        /// Seconds of each scenario.
        #[arg(long, default_value_t = 10)]
        seconds: u64,
        /// Scenarios; all of them if none is named.
        #[arg(long, value_delimiter = ',')]
        scenarios: Vec<scenario::Scenario>,
        /// Contestants; all of them if none is named.
        #[arg(long, value_delimiter = ',')]
        contestants: Vec<Contestant>,
        /// The seed of arrivals.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// The folder that CSV and plots go to.
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Which failures of connections cost an order, under either contract.
    Failures {
        /// Orders before each kind of server.
        #[arg(long, default_value_t = 400)]
        orders: usize,
    },
    /// What lists of many servers cost the decisions.
    Lists {
        /// How many servers.
        #[arg(long, value_delimiter = ',', default_value = "500,5000,50000")]
        servers: Vec<usize>,
    },
    /// A start while discovery is down, with a list of 20 days ago.
    Starts {
        /// For how many seconds discovery is down.
        #[arg(long, default_value_t = 5)]
        down: u64,
    },
    /// What connections cost in memory (library).
    Memory {
        /// Requests held at once; as many descriptors are needed here and there.
        #[arg(long, default_value_t = 10_000)]
        connections: usize,
    },
    /// The measured part of `memory`.
    #[command(hide = true)]
    Hold { connections: usize, servers: String },
    /// One contestant as a process of its own; the other commands start it.
    #[command(hide = true)]
    Serve {
        contestant: Contestant,
        /// Where discovery is.
        discovery: std::net::SocketAddr,
    },
    /// One in-process client as a process of its own.
    #[command(hide = true)]
    Client { contestant: cost::InProcess, connections: usize, seconds: u64, servers: String },
}

fn main() -> Result<(), Fault> {
    match Arguments::parse().command {
        Command::Cost { seconds, connections, contestants, rounds, out } => {
            cost::run(seconds, &connections, &Contestant::or_all(contestants), rounds, out)
        }
        Command::Faults { seconds, scenarios, contestants, seed, out } => {
            let scenarios = scenario::Scenario::or_all(scenarios);
            scenario::run(seconds, &scenarios, &Contestant::or_all(contestants), seed, out)
        }
        Command::Failures { orders } => failures::run(orders),
        Command::Lists { servers } => lists::run(&servers),
        Command::Starts { down } => starts::run(std::time::Duration::from_secs(down)),
        Command::Memory { connections } => memory::run(connections),
        Command::Hold { connections, servers } => memory::hold(connections, &servers),
        Command::Serve { contestant, discovery } => contestant::serve(contestant, discovery),
        Command::Client { contestant, connections, seconds, servers } => {
            cost::client(contestant, connections, seconds, &servers)
        }
    }
}

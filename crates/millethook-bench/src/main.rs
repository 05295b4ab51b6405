//! Compares load balancers in one run: no balancer, a plain hyper reverse proxy, `tower`'s power of two choices with
//! peak EWMA, millethook as a library, and the daemon.
//!
//!     cargo build --release --workspace
//!     target/release/millethook-bench cost        # cost of a request, closed loop
//!     target/release/millethook-bench faults      # what clients see, open loop, with faults
//!     target/release/millethook-bench memory      # memory used by connections
//!     target/release/millethook-bench starts      # a start with an old list while discovery is down
//!     target/release/millethook-bench lists       # cost of long server lists
//!     target/release/millethook-bench failures    # which connection failures lose an order
//!
//! Everything runs on loopback, and every load is limited in time.
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

/// An error that ends the run.
pub type BenchError = Box<dyn std::error::Error + Send + Sync>;

/// Compares load balancers on loopback.
#[derive(Parser)]
#[command(version, about)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Measure the cost of a request: closed loops, servers that answer immediately, each contestant on one core.
    Cost {
        /// Duration of each measurement in seconds.
        #[arg(long, default_value_t = 4)]
        seconds: u64,
        /// Numbers of client connections.
        #[arg(long, value_delimiter = ',', default_value = "1,16,200")]
        connections: Vec<usize>,
        /// Contestants to measure; all of them by default.
        #[arg(long, value_delimiter = ',')]
        contestants: Vec<Contestant>,
        /// Number of rounds; the median of each figure is reported.
        #[arg(long, default_value_t = 3)]
        rounds: usize,
        /// CSV file to write the table to.
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Measure what clients see: open loops, servers with queues, faults.
    Faults {
        /// Duration of each scenario in seconds.
        #[arg(long, default_value_t = 10)]
        seconds: u64,
        /// Scenarios to run; all of them by default.
        #[arg(long, value_delimiter = ',')]
        scenarios: Vec<scenario::Scenario>,
        /// Contestants to measure; all of them by default.
        #[arg(long, value_delimiter = ',')]
        contestants: Vec<Contestant>,
        /// Random seed for request arrivals.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Folder to write the CSV file and plots to.
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Measure which connection failures lose an order, under either contract.
    Failures {
        /// Number of orders for each kind of server.
        #[arg(long, default_value_t = 400)]
        orders: usize,
    },
    /// Measure the decision module's cost of long server lists.
    Lists {
        /// Numbers of servers.
        #[arg(long, value_delimiter = ',', default_value = "500,5000,50000")]
        servers: Vec<usize>,
    },
    /// Measure a start while discovery is down, with a server list that is 20 days old.
    Starts {
        /// Seconds for which discovery is down.
        #[arg(long, default_value_t = 5)]
        down: u64,
    },
    /// Measure the memory used by connections (library).
    Memory {
        /// Number of concurrent requests; this process and the measured one need as many file descriptors each.
        #[arg(long, default_value_t = 10_000)]
        connections: usize,
    },
    /// Run the measured process of `memory`.
    #[command(hide = true)]
    Hold { connections: usize, servers: String },
    /// Run one contestant as a separate process; started by the other commands.
    #[command(hide = true)]
    Serve {
        contestant: Contestant,
        /// Address of discovery.
        discovery: std::net::SocketAddr,
    },
    /// Run one in-process client as a separate process.
    #[command(hide = true)]
    Client { contestant: cost::InProcess, connections: usize, seconds: u64, servers: String },
}

fn main() -> Result<(), BenchError> {
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

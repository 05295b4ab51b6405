//! Runs the chain with real daemons on loopback.
//!
//! Each tier has stand-in servers (`service`). Each of them, except in the last tier, calls the next tier through its
//! own daemon. Open-loop clients (`clients`) call the first tier through daemons. Everything ends by itself: the
//! run's time is limited, and a daemon's process ends when its handle is dropped.

mod clients;
mod counters;
mod service;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use millethook_testkit::{Agent, Server, Sidecar, config, hosts};
use serde_json::json;

use self::counters::Counters;
use crate::chain::Chain;
use crate::tally::Tally;

/// Maximum number of open sockets of one daemon.
const MAX_SOCKETS: u64 = 4_096;

/// Runs a chain.
///
/// # Panics
/// If a daemon does not start, since the stand-ins come from the test kit.
pub fn run(chain: &Chain) -> Tally {
    let counters = Arc::new(Counters::new(chain));
    let mut sidecars: Vec<Sidecar> = Vec::new();
    let mut agents: Vec<Agent> = Vec::new();
    // Starts with the last tier, because each tier's servers need the addresses of the sidecars that call the next
    // one.
    let mut next_sidecars: Vec<SocketAddr> = Vec::new();
    for tier in (0..chain.depth).rev() {
        let servers: Vec<Server> = (0..chain.servers)
            .map(|number| {
                service::start(chain, &counters, tier, number, next_sidecars.get(number).copied())
            })
            .collect();
        let agent = Agent::start(hosts(&servers));
        let tier_sidecars: Vec<Sidecar> =
            (0..chain.servers).map(|number| start_daemon(chain, tier, number, &agent)).collect();
        next_sidecars = tier_sidecars.iter().map(|sidecar| sidecar.address).collect();
        sidecars.extend(tier_sidecars);
        agents.push(agent);
    }
    clients::run(chain, &counters, &next_sidecars);
    // Attempts of calls that the clients have given up may still arrive within the counted time, so wait for them.
    std::thread::sleep(Duration::from_micros(chain.deadline(0)));
    counters.tally()
}

fn start_daemon(chain: &Chain, tier: usize, number: usize, agent: &Agent) -> Sidecar {
    let config = config(agent.address, |config| {
        config["name"] = json!(format!("n{tier}-{number}"));
        config["seed"] = json!(format!("{:016x}", chain.seed << 16 | (tier * 64 + number) as u64));
        config["limits"]["sockets"] = json!(MAX_SOCKETS);
        config["settings"] = chain.settings(tier);
    });
    Sidecar::start(&config)
}

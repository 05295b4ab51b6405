//! The sidecar's program against scripted peers on loopback sockets.

mod choice;
mod clients;
mod departures;
mod early;
mod edge;
mod edge_death;
mod fleet;
mod framing;
mod large;
mod malformed;
mod membership;
mod memory;
mod operators;
mod outcomes;
mod pauses;
mod races;
mod reload;
mod restarted_servers;
mod service;
mod slow_servers;
mod upgrade;
mod upgrade_limits;

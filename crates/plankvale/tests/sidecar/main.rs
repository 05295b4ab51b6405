//! The sidecar's program against scripted peers on loopback sockets.

mod choice;
mod clients;
mod early;
mod edge;
mod edge_death;
mod fleet;
mod framing;
mod large;
mod malformed;
mod membership;
mod operators;
mod outcomes;
mod pauses;
mod races;
mod reload;
mod service;
mod upgrade;
mod upgrade_limits;

//! Distribution of configuration by control nodes to a fleet of real processes on loopback.

mod bursts;
mod faults;
mod refusals;
mod rollout;
mod server_lists;
mod spool;
mod tier;

//! Measures the resource use of a sidecar, a server and a discovery agent as the fleet around it grows.
//!
//! Each measurement starts real daemons together with stand-ins, varies one size, and writes a [`Row`] for each size
//! and seed. `docs/capacity/README.md` says how each file of rows is made.

mod backend;
mod bench;
mod callers;
mod changes;
mod command;
mod control;
mod daemon;
mod data_path;
mod discovery;
mod error;
mod evidence;
mod fleet;
mod load;
mod memory;
mod process;
mod registry;
mod row;
mod server;
mod spinner;

pub use command::main;
pub use error::ScaleError;
pub use row::{Kind, Row, Unit};

//! The engine, which the proxy daemon and the library share. It executes the decisions of [`coppercart`] on sockets;
//! [`driver`] is the only module here that talks to that crate's balancer.
//!
//! An [`Engine`] runs on the thread of one [`tokio::task::LocalSet`] and ends with it.
#![forbid(unsafe_code)]

pub mod budget;
pub mod datagrams;
pub mod discovery;
pub mod distribution;
pub mod driver;
mod engine;
mod evidence;
pub mod figures;
pub mod fleet;
pub mod leases;
pub mod list_clock;
pub mod log_limit;
pub mod membership_store;
pub mod memory;
pub mod names;
pub mod peers;
pub mod product;
pub mod server_lists;
pub mod sinks;
pub mod stream;
mod trials;
pub mod upload;
pub mod upstream;

pub use millethook_membership::list;

pub use engine::{Engine, EngineConfig, PeerConfig};

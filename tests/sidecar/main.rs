//! The sidecar's program against scripted peers on loopback sockets.

#[path = "../common/mod.rs"]
mod common;
mod support;

mod choice;
mod clients;
mod framing;
mod outcomes;
mod reload;
mod rough;
mod service;

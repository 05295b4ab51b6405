//! The format of a configuration file, which is that of the daemon's `LB_CONFIG`.

use std::net::SocketAddr;

use millethook_engine::list::List;
use serde::Deserialize;
use serde_json::Value;

/// The file's keys. Keys that only the daemon needs (`listen`) are ignored.
#[derive(Deserialize)]
pub(super) struct File {
    pub(super) name: String,
    pub(super) discovery: Option<String>,
    pub(super) seed: Option<String>,
    #[serde(default)]
    pub(super) limits: FileLimits,
    pub(super) known: Option<List>,
    pub(super) begins: Option<String>,
    #[serde(default)]
    pub(super) connections: Connections,
    pub(super) peer_listen: Option<SocketAddr>,
    #[serde(default)]
    pub(super) peers: Vec<SocketAddr>,
    pub(super) settings: Value,
}

/// Limits on connections to one server.
#[derive(Deserialize, Default)]
pub(super) struct Connections {
    pub(super) per_server: Option<usize>,
    pub(super) opening: Option<usize>,
    pub(super) spare: Option<usize>,
    pub(super) reuse: Option<String>,
}

/// Limits of the process.
#[derive(Deserialize, Default)]
pub(super) struct FileLimits {
    pub(super) sockets: Option<usize>,
    pub(super) open: Option<usize>,
    pub(super) body_bytes: Option<usize>,
    pub(super) memory_mb: Option<usize>,
}

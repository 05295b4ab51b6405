//! What an instance may do, and its limits.

use serde::Deserialize;

use crate::api::Micros;

/// What an instance may do. Times are in microseconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Limits {
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Servers close connections that are idle for this long.
    pub conn_idle: Micros,
    /// Opening a connection fails after this time.
    pub connect_timeout: Micros,
    /// The maximum number of attempts per request, at least 1.
    pub max_attempts: usize,
    /// The longest retry delay that clients honour.
    pub max_retry_after: Micros,
    /// Whether a request may have two open attempts.
    pub may_duplicate: bool,
    /// Whether sidecars may send messages to each other.
    pub may_tell: bool,
    /// Whether servers may be probed.
    pub probing: bool,
    /// Whether clients are told when to retry.
    pub retry_after: bool,
    /// The maximum number of concurrent attempts per connection.
    pub streams_per_conn: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            cancel: false,
            conn_idle: 0,
            connect_timeout: 0,
            max_attempts: 1,
            max_retry_after: 0,
            may_duplicate: false,
            may_tell: false,
            probing: false,
            retry_after: false,
            streams_per_conn: 1,
        }
    }
}

/// How to treat slow or silent servers, beyond what the platform's settings cover. Without this
/// section, decisions are the same as on the platform.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Failover {
    /// Whether a safe or keyed request whose server has sent nothing since the request gets another
    /// attempt at its aim, within the retry budget and outside of overload. Costly where servers
    /// are often late: each hedge is load.
    pub copy_at_aim: bool,
    /// How strongly slow servers are avoided: a server `n` times as slow as chance allows is chosen
    /// only once in `n` to this power. The platform uses 2.
    pub slow_exponent: f64,
}

impl Default for Failover {
    fn default() -> Self {
        Failover { copy_at_aim: false, slow_exponent: 2.0 }
    }
}

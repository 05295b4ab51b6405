//! Limits and the reuse of connections.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// For how many requests a connection is used.
///
/// An answer does not identify its request; only their order relates them (RFC 9112, section 9.3.2). If a server
/// sends an answer twice, the second copy may come after the next request on the connection has begun, and then looks
/// like the answer to that request. With every setting, the connections of a server that has sent stray bytes (bytes
/// that belong to no answer) in the last minute are used as with [`Reuse::Proven`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// For any number. Where the answers of a class are known to differ, an answer that equals an earlier one on its
    /// connection is treated as a copy. Elsewhere servers are trusted to answer each request once.
    Unlimited,
    /// For any number where the answers of a class are known to differ, and elsewhere as with [`Reuse::Proven`]. A
    /// second answer to the same request is not recognized if its body differs from the first one's.
    Compared,
    /// For two. The second request asks to close the connection, and its answer has to announce the close. No earlier
    /// answer on the connection announced it, so none of them can be mistaken for this one.
    Proven,
}

impl FromStr for Reuse {
    type Err = String;

    fn from_str(text: &str) -> Result<Reuse, String> {
        match text {
            "unlimited" => Ok(Reuse::Unlimited),
            "compared" => Ok(Reuse::Compared),
            "proven" => Ok(Reuse::Proven),
            other => {
                Err(format!("\"unlimited\", \"compared\" or \"proven\" expected, not {other:?}"))
            }
        }
    }
}

impl fmt::Display for Reuse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Reuse::Unlimited => "unlimited",
            Reuse::Compared => "compared",
            Reuse::Proven => "proven",
        })
    }
}

/// The limits of the connections to one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The maximum number of connections to one server, in any state.
    pub per_server: usize,
    /// The maximum number of simultaneous handshakes with one server. Without this limit, a server that has just
    /// started would get more handshakes than it can take, and one that answers none would hold every socket.
    pub opening: usize,
    /// The maximum number of spare connections that are opening ahead of need, for each server.
    pub spare: usize,
    /// The configured time for which servers keep an idle connection open.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { per_server: 1024, opening: 8, spare: 0, idle_timeout: Duration::from_secs(10) }
    }
}

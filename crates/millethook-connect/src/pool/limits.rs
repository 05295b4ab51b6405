//! What bounds connections.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// For how many requests a connection is used.
///
/// An answer does not name its request (RFC 9112, section 9.3.2: order alone tells). A server that sends an answer twice
/// may send the second copy once the next request on the connection has begun, and it looks like that one's answer.
/// Whichever it is, connections of a server that has sent bytes in the last minute that belong to no answer are used as
/// with [`Reuse::Proven`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// For any number. An answer that equals an earlier one on its connection is a copy where the answers of its class are
    /// known to differ. Elsewhere servers are trusted to answer each request once.
    Unlimited,
    /// For any number where the answers of a class are known to differ, and elsewhere as [`Reuse::Proven`]. A second answer
    /// with another body than the first one is not recognized.
    Compared,
    /// For two. The second request asks for the connection's end, and its answer has to announce it. No earlier answer
    /// on the connection did, so none of them can be taken for it.
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

/// What bounds connections to one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The most connections to one server, whatever they do.
    pub per_server: usize,
    /// The most that come up at once to one server. Many handshakes at once are what a server that has
    /// just started has least room for, and one that answers none would hold every socket.
    pub opening: usize,
    /// The most that are opened ahead of need, for each server.
    pub spare: usize,
    /// How long servers keep a connection at rest, as they say.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { per_server: 1024, opening: 8, spare: 0, idle_timeout: Duration::from_secs(10) }
    }
}

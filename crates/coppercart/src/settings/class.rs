//! Request classes: their deadlines, their value and whether their requests may be retried.

use serde::Deserialize;

use super::one;
use crate::api::Micros;

/// Whether a request may be retried once it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub enum RetrySafety {
    /// Running it twice does no harm.
    #[serde(rename = "idempotent")]
    Safe,
    /// It has a key by which servers discard duplicates for a time ([`Class::window`]).
    #[serde(rename = "deduplicated")]
    Keyed,
    /// Running it twice takes effect twice.
    #[serde(rename = "at_most_once")]
    Unsafe,
}

/// The servers that share deduplication state for a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Default)]
#[serde(rename_all = "lowercase")]
pub enum DedupScope {
    /// All servers.
    #[default]
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

impl DedupScope {
    /// Returns whether servers in these places (zone and cell) share deduplication state.
    pub fn covers_both(self, a: (u8, u16), b: (u8, u16)) -> bool {
        match self {
            DedupScope::All => true,
            DedupScope::Zone => a.0 == b.0,
            DedupScope::Cell => a.1 == b.1,
        }
    }
}

/// A class of requests. Times are in microseconds.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Class {
    /// The name of the class.
    #[serde(default)]
    pub name: String,
    /// The latency target: an answer within this time earns the full value.
    pub aim: Micros,
    /// How long a client waits in total.
    pub deadline: Micros,
    /// Whether a request may be retried once it may have run.
    pub repeat: RetrySafety,
    /// For keyed requests: the servers that discard each other's duplicates.
    #[serde(default)]
    pub dedup_scope: DedupScope,
    /// For keyed requests: how long duplicates are discarded, from the first attempt that may have
    /// run.
    #[serde(default)]
    pub window: Micros,
    /// The value of a request, 0 or more.
    #[serde(default = "one")]
    pub credit: f64,
    /// The share of the value that an answer earns between the aim and the deadline, from 0 to 1.
    #[serde(default)]
    pub late_worth: f64,
    /// The aim grows by this multiple of the request's work, up to the deadline.
    #[serde(default)]
    pub aim_stretch: f64,
    /// Whether the answer is a stream.
    #[serde(default)]
    pub streaming: bool,
    /// Whether newer settings removed or replaced the class. Its index is kept for open requests.
    #[serde(skip)]
    pub retired: bool,
}

impl Class {
    /// Returns the time within which all attempts that may run have to be sent, from the first one
    /// on.
    pub fn commit_window(&self) -> Micros {
        if self.repeat == RetrySafety::Keyed { self.window } else { Micros::MAX }
    }
}

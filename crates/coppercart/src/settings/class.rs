//! Classes of requests: their times, their worth, and what a repeat of them does.

use serde::Deserialize;

use super::one;
use crate::api::Micros;

/// Whether a request may be sent again once it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub enum RetrySafety {
    /// Sent twice, it does no harm.
    #[serde(rename = "idempotent")]
    Safe,
    /// It has a key by which servers drop repeats for a time ([`Class::window`]).
    #[serde(rename = "deduplicated")]
    Keyed,
    /// Sent twice, it takes effect twice.
    #[serde(rename = "at_most_once")]
    Unsafe,
}

/// The servers that discard repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Default)]
#[serde(rename_all = "lowercase")]
pub enum DedupScope {
    /// All servers.
    #[default]
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

impl DedupScope {
    /// Whether servers at these places (zone and cell) know of each other's keyed requests.
    pub fn shares(self, a: (u8, u16), b: (u8, u16)) -> bool {
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
    /// Its name.
    #[serde(default)]
    pub name: String,
    /// An answer within this time earns the full worth.
    pub aim: Micros,
    /// How long a client waits in all.
    pub deadline: Micros,
    /// Whether it may be sent again once it may have run.
    pub repeat: RetrySafety,
    /// For keyed requests: the servers that drop each other's repeats.
    #[serde(default)]
    pub dedup_scope: DedupScope,
    /// For keyed requests: how long repeats are dropped, from the first attempt that may have run.
    #[serde(default)]
    pub window: Micros,
    /// The worth of a request, 0 or more.
    #[serde(default = "one")]
    pub credit: f64,
    /// The share of the worth that an answer earns between aim and deadline, from 0 to 1.
    #[serde(default)]
    pub late_worth: f64,
    /// The aim grows by this many times the request's work, up to the deadline.
    #[serde(default)]
    pub aim_stretch: f64,
    /// The answer is a stream.
    #[serde(default)]
    pub streaming: bool,
    /// Newer settings lack it or have another in its stead. Its place is kept for requests that are open.
    #[serde(skip)]
    pub retired: bool,
}

impl Class {
    /// The time within which all attempts of a request have to be out that may have run.
    pub fn commit_window(&self) -> Micros {
        if self.repeat == RetrySafety::Keyed { self.window } else { Micros::MAX }
    }
}

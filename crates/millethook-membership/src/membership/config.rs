//! Settings of a membership.

/// Settings of a [`Membership`](super::Membership).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// A server of the snapshot gets requests while the probability that it still exists is at least this.
    pub usable_above: f64,
    /// Below this probability, a server of the snapshot is dropped without a trial.
    pub dropped_below: f64,
    /// Trials that one process starts per second.
    pub trials_per_second: f64,
    /// The maximum number of concurrent trials.
    pub trials_at_once: usize,
    /// The first trials of a snapshot are spread at random over this time in milliseconds, so that processes that start
    /// together do not send their trials at the same time.
    pub spread_ms: u64,
    /// A full list with less than this share of the usable servers is suspect. 0: no list is suspect.
    pub suspect_share: f64,
    /// A suspect list takes effect after this time in milliseconds, unless its source has sent another full list.
    pub suspect_hold_ms: u64,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            usable_above: 0.9,
            dropped_below: 0.02,
            trials_per_second: 2.0,
            trials_at_once: 4,
            spread_ms: 2_000,
            suspect_share: 0.1,
            suspect_hold_ms: 30_000,
        }
    }
}

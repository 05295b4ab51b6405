//! The parameters of a chain of services.

use serde_json::{Value, json};

/// Time in microseconds.
pub type Micros = u64;

/// A chain of services. Each tier has the same number of servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Chain {
    /// Number of services (tiers) in the chain.
    pub depth: usize,
    /// Servers of each service, each with its own sidecar; the same number of sidecars calls the first service.
    pub servers: usize,
    /// Number of requests that a server processes at the same time.
    pub slots: usize,
    /// Maximum number of requests that wait for a slot; a server refuses further ones.
    pub queue: usize,
    /// Mean processing time of a request, exponentially distributed and limited to ten times the mean.
    pub mean_work: Micros,
    /// Target answer time of one tier, in mean processing times. A tier's target includes those of the tiers behind
    /// it.
    pub aim_in_work: Micros,
    /// Rate of calls at the root, as a share of the capacity of one tier.
    pub load: f64,
    /// Share of requests that the bad tier answers with an error after processing them.
    pub error_share: f64,
    /// Index of the bad tier, from 0; None if all tiers are healthy.
    pub bad_tier: Option<usize>,
    /// Time before counting begins.
    pub warm_up: Micros,
    /// Length of the counted time.
    pub counted: Micros,
    /// Seed of all random numbers.
    pub seed: u64,
}

/// Default target answer time of one tier, in mean processing times.
pub const AIM_IN_WORK: Micros = 5;
/// Deadline as a multiple of the target answer time.
const DEADLINE_IN_AIMS: Micros = 3;

impl Chain {
    /// Returns a chain with three servers for each tier, each with two slots, a queue of 16 and 20 ms of work.
    pub fn with_defaults(depth: usize, load: f64, seed: u64) -> Chain {
        Chain {
            depth,
            servers: 3,
            slots: 2,
            queue: 16,
            mean_work: 20_000,
            aim_in_work: AIM_IN_WORK,
            load,
            error_share: 0.3,
            bad_tier: None,
            warm_up: 5_000_000,
            counted: 20_000_000,
            seed,
        }
    }

    /// Returns the same chain with this bad tier.
    pub fn with_bad_tier(self, bad_tier: usize) -> Chain {
        Chain { bad_tier: Some(bad_tier), ..self }
    }

    /// Calls at the root per second.
    pub fn rate(&self) -> f64 {
        self.load * (self.servers * self.slots) as f64 * 1e6 / self.mean_work as f64
    }

    /// Target answer time of a call to this tier, which includes the tiers behind it.
    pub fn aim(&self, tier: usize) -> Micros {
        self.aim_in_work * self.mean_work * (self.depth - tier) as Micros
    }

    /// Maximum duration of a call to this tier.
    pub fn deadline(&self, tier: usize) -> Micros {
        DEADLINE_IN_AIMS * self.aim(tier)
    }

    /// Settings of a sidecar whose servers are in this tier. They have one class, which is safe to retry; other
    /// classes would be allowed fewer attempts.
    pub fn settings(&self, tier: usize) -> Value {
        let mut settings = millethook_testkit::settings_json();
        let mut class = settings["classes"][0].clone();
        class["aim"] = json!(self.aim(tier));
        class["deadline"] = json!(self.deadline(tier));
        settings["classes"] = json!([class]);
        settings["instances"] = json!(self.servers);
        settings["zones"] = json!(["a"]);
        settings["limits"]["connectTimeout"] = json!(1_000_000);
        settings
    }
}

//! The rate of a store's replay, limited to spare capacity.
//!
//! The load balancer sheds the least valuable class first, judged by answer times, long before capacity is exhausted,
//! and replays are the least valuable class. A refusal therefore means that other requests need the servers: the rate
//! is multiplied by a factor below 1. Each answer raises it a little (additive increase, multiplicative decrease:
//! Chiu and Jain, 1989). Control by delay, as in LEDBAT (RFC 6817), was tried first, but writes differ in cost, so
//! there is no minimum answer time to compare with.

use crate::Micros;

/// Initial, minimum and maximum rate of one store, in writes per second.
const INITIAL_RATE: f64 = 8.0;
const MIN_RATE: f64 = 2.0;
const MAX_RATE: f64 = 2_000.0;
/// Increase per answer: writes per second or a share of the rate, whichever is more.
const MIN_INCREASE: f64 = 0.25;
const INCREASE_SHARE: f64 = 0.03;
/// Factor applied to the rate after a refusal.
const REFUSAL_FACTOR: f64 = 0.8;

/// The rate of one store.
#[derive(Clone, Debug)]
pub struct ReplayRate {
    rate: f64,
    next: Micros,
    /// Number of stores that are being replayed, including this one.
    stores: usize,
    /// Writes per second that all stores of the fleet may send together.
    fleet_rate: f64,
}

impl ReplayRate {
    /// Starts at the initial rate. `fleet_rate`: writes per second that all stores of the fleet may send together.
    pub fn new(fleet_rate: f64, now: Micros) -> ReplayRate {
        ReplayRate {
            rate: INITIAL_RATE,
            next: now,
            stores: 1,
            fleet_rate: fleet_rate.max(MIN_RATE),
        }
    }

    /// Sets the number of stores that are being replayed in the fleet.
    pub fn set_store_count(&mut self, stores: usize) {
        self.stores = stores.max(1);
    }

    /// The current rate in writes per second.
    pub fn rate(&self) -> f64 {
        self.rate
            .min(self.fleet_rate / self.stores as f64)
            .clamp(MIN_RATE.min(self.fleet_rate / self.stores as f64), MAX_RATE)
    }

    /// The time at which the next write may be sent.
    pub fn next_send_at(&self) -> Micros {
        self.next
    }

    /// Accounts for a write that is sent.
    pub fn on_send(&mut self, now: Micros) {
        // Unused capacity is not saved up, so that no burst follows an idle time.
        self.next = self.next.max(now) + (1e6 / self.rate()) as Micros;
    }

    /// Raises the rate after an answer.
    pub fn on_answer(&mut self) {
        self.rate = (self.rate + MIN_INCREASE.max(self.rate * INCREASE_SHARE)).min(MAX_RATE);
    }

    /// Lowers the rate after a refusal or a missing answer: there is no capacity or no server.
    pub fn on_refusal(&mut self) {
        self.rate = (self.rate * REFUSAL_FACTOR).max(MIN_RATE);
    }
}

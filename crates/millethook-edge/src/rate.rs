//! How fast writes are replayed: what is free, and less as soon as that is short.
//!
//! The decisions shed what is worth least long before there is no room, by how late answers are; replays are worth least.
//! So a refusal says that others need the servers, and the rate falls by a share; each answer raises it by a little
//! (additive increase, multiplicative decrease: Chiu and Jain, 1989). The delay itself, as LEDBAT (RFC 6817) takes it,
//! was tried first: work that differs from write to write has no least answer time to measure it by.

use crate::Micros;

/// Writes a second at the start, at least, and at most, of one store.
const INITIAL_RATE: f64 = 8.0;
const MIN_RATE: f64 = 2.0;
const MAX_RATE: f64 = 2_000.0;
/// What an answer adds: so many writes a second, and such a share of the rate, whichever is more.
const MIN_INCREASE: f64 = 0.25;
const INCREASE_SHARE: f64 = 0.03;
/// What a refusal leaves.
const REFUSAL_FACTOR: f64 = 0.8;

/// The rate of one store.
#[derive(Clone, Debug)]
pub struct ReplayRate {
    rate: f64,
    next: Micros,
    /// Stores that are replayed beside this one, itself counted.
    stores: usize,
    /// What all stores of the fleet may send in a second, together.
    fleet_rate: f64,
}

impl ReplayRate {
    /// Nothing is known yet. `fleet_rate`: writes a second that all stores of the fleet may send together.
    pub fn new(fleet_rate: f64, now: Micros) -> ReplayRate {
        ReplayRate {
            rate: INITIAL_RATE,
            next: now,
            stores: 1,
            fleet_rate: fleet_rate.max(MIN_RATE),
        }
    }

    /// So many stores of the fleet are being replayed.
    pub fn set_store_count(&mut self, stores: usize) {
        self.stores = stores.max(1);
    }

    /// Writes a second, at present.
    pub fn rate(&self) -> f64 {
        self.rate
            .min(self.fleet_rate / self.stores as f64)
            .clamp(MIN_RATE.min(self.fleet_rate / self.stores as f64), MAX_RATE)
    }

    /// When the next write may go out.
    pub fn next_send_at(&self) -> Micros {
        self.next
    }

    /// A write goes out.
    pub fn on_send(&mut self, now: Micros) {
        // What was not used is not saved up.
        self.next = self.next.max(now) + (1e6 / self.rate()) as Micros;
    }

    /// An answer came.
    pub fn on_answer(&mut self) {
        self.rate = (self.rate + MIN_INCREASE.max(self.rate * INCREASE_SHARE)).min(MAX_RATE);
    }

    /// It was refused, or had no answer: there is no room, or no server.
    pub fn on_refusal(&mut self) {
        self.rate = (self.rate * REFUSAL_FACTOR).max(MIN_RATE);
    }
}

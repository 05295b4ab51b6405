//! How fast writes are replayed: what is free, and less as soon as that is short.
//!
//! The decisions shed what is worth least long before there is no room, by how late answers are; replays are worth least.
//! So a refusal says that others need the servers, and the rate falls by a share; each answer raises it by a little
//! (additive increase, multiplicative decrease: Chiu and Jain, 1989). The delay itself, as LEDBAT (RFC 6817) takes it,
//! was tried first: work that differs from write to write has no least answer time to measure it by.

use crate::Micros;

/// Writes a second at the start, at least, and at most, of one store.
const START: f64 = 8.0;
const LEAST: f64 = 2.0;
const MOST: f64 = 2_000.0;
/// What an answer adds: so many writes a second, and such a share of the rate, whichever is more.
const MORE: f64 = 0.25;
const GAIN: f64 = 0.03;
/// What a refusal leaves.
const BACK: f64 = 0.8;

/// The rate of one store.
#[derive(Clone, Debug)]
pub struct Pace {
    rate: f64,
    next: Micros,
    /// Stores that are replayed beside this one, itself counted.
    stores: usize,
    /// What all stores of the fleet may send in a second, together.
    fleet: f64,
}

impl Pace {
    /// Nothing is known yet. `fleet`: writes a second that all stores of the fleet may send together.
    pub fn new(fleet: f64, now: Micros) -> Pace {
        Pace { rate: START, next: now, stores: 1, fleet: fleet.max(LEAST) }
    }

    /// So many stores of the fleet are being replayed.
    pub fn set_stores(&mut self, stores: usize) {
        self.stores = stores.max(1);
    }

    /// Writes a second, at present.
    pub fn rate(&self) -> f64 {
        self.rate
            .min(self.fleet / self.stores as f64)
            .clamp(LEAST.min(self.fleet / self.stores as f64), MOST)
    }

    /// When the next write may go out.
    pub fn next(&self) -> Micros {
        self.next
    }

    /// A write goes out.
    pub fn sends(&mut self, now: Micros) {
        // What was not used is not saved up.
        self.next = self.next.max(now) + (1e6 / self.rate()) as Micros;
    }

    /// An answer came.
    pub fn answered(&mut self) {
        self.rate = (self.rate + MORE.max(self.rate * GAIN)).min(MOST);
    }

    /// It was refused, or had no answer: there is no room, or no server.
    pub fn refused(&mut self) {
        self.rate = (self.rate * BACK).max(LEAST);
    }
}

//! Simulated stores of warm state at servers. Accesses fill them and hit or miss.

mod check;

use std::collections::{BTreeMap, HashMap};

use crate::Micros;
use crate::mutant::{self, Mutant};
use crate::sample::Access;

/// The limits of one server's store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Maximum number of items; beyond it, the least recently used item is evicted.
    pub items: f64,
    /// An item that was not used for this time expires.
    pub expiry: Micros,
}

/// One copy of an item: memory holds one copy, a connection pool one for each open connection.
#[derive(Clone, Copy, Debug)]
struct HeldCopy {
    /// The time until which the copy is in use.
    until: Micros,
    /// Its position in the order of use.
    position: u64,
}

/// A store with least-recently-used eviction.
#[derive(Clone, Debug, Default)]
pub struct Store {
    held: HashMap<u64, Vec<HeldCopy>>,
    /// Items by position in the order of use, one entry for each copy.
    order: BTreeMap<u64, u64>,
    used: u64,
}

impl Store {
    /// Records an access and returns whether it hits. `exclusive`: a copy in use cannot be hit, as with a connection.
    pub fn access(&mut self, limits: &Limits, access: &Access, exclusive: bool) -> bool {
        let (item, now) = (access.item, access.at);
        self.expire(limits, now);
        self.expire_item(limits, item, now);
        self.used += 1;
        let last = HeldCopy { until: now.saturating_add(access.duration), position: self.used };
        let copies = self.held.entry(item).or_default();
        // Picks the most recently used free copy, as a connection pool does.
        let free = copies
            .iter_mut()
            .filter(|held| !exclusive || held.until <= now || mutant::is(Mutant::InUseTwice))
            .max_by_key(|held| held.until);
        let hit = free.is_some();
        match free {
            Some(held) => {
                self.order.remove(&held.position);
                *held = last;
            }
            None => copies.push(last),
        }
        self.order.insert(last.position, item);
        let max_items = limits.items.max(1.0) as usize;
        while self.order.len() > max_items && !mutant::is(Mutant::StoreUnbounded) {
            let Some((position, oldest)) = self.order.pop_first() else { break };
            self.remove(oldest, position);
        }
        hit
    }

    /// Removes one copy.
    fn remove(&mut self, item: u64, position: u64) {
        let Some(copies) = self.held.get_mut(&item) else { return };
        copies.retain(|held| held.position != position);
        if copies.is_empty() {
            self.held.remove(&item);
        }
    }

    /// Removes the expired copies of an item. [`Store::expire`] follows the order of use and stops at a copy that has
    /// been in use for long, so expired copies may remain behind it. Without this they would be hit.
    fn expire_item(&mut self, limits: &Limits, item: u64, now: Micros) {
        let Some(copies) = self.held.get_mut(&item).filter(|_| !mutant::is(Mutant::OldHit)) else {
            return;
        };
        copies.retain(|held| {
            let kept = held.until.saturating_add(limits.expiry) > now;
            if !kept {
                self.order.remove(&held.position);
            }
            kept
        });
        if copies.is_empty() {
            self.held.remove(&item);
        }
    }

    /// Removes expired copies in the order of use, up to the first that has not expired.
    fn expire(&mut self, limits: &Limits, now: Micros) {
        while let Some((position, item)) = self.order.first_key_value().map(|(p, i)| (*p, *i)) {
            let copies = self.held.get(&item).into_iter().flatten();
            let oldest = copies.into_iter().find(|held| held.position == position);
            if oldest.is_some_and(|held| held.until.saturating_add(limits.expiry) > now) {
                break;
            }
            self.order.remove(&position);
            self.remove(item, position);
        }
    }
}

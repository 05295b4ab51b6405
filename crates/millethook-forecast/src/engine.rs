//! Warm stores at servers, filled by accesses: what hits, and what does not.

use std::collections::{BTreeMap, HashMap};

use crate::Micros;
use crate::sample::Access;

/// What a store of one server holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Size {
    /// Items at most; of more the one that was used longest ago goes first.
    pub items: f64,
    /// One that was not used for so long goes.
    pub life: Micros,
}

/// A store: the least recently used item goes first.
#[derive(Clone, Debug, Default)]
pub struct Store {
    /// By item and copy: until when it is in use, and its place in the order of use.
    held: HashMap<(u64, u32), (Micros, u64)>,
    order: BTreeMap<u64, (u64, u32)>,
    used: u64,
}

impl Store {
    /// An access at a time; true: it hits. `exclusive`: what is in use is not to be had, as a connection.
    pub fn access(&mut self, size: &Size, access: &Access, exclusive: bool) -> bool {
        self.expire(size, access.at);
        let mut copy = 0;
        if exclusive {
            // The free one that was used last, as a pool gives it out.
            let of =
                (0..=u32::MAX).map_while(|n| self.held.get(&(access.item, n)).map(|h| (n, *h)));
            let free = of
                .filter(|(_, (until, _))| *until <= access.at)
                .max_by_key(|(_, (until, _))| *until);
            match free {
                Some((n, _)) => copy = n,
                None => {
                    let next = (0..u32::MAX).find(|n| !self.held.contains_key(&(access.item, *n)));
                    copy = next.unwrap_or(0);
                }
            }
        }
        let key = (access.item, copy);
        let hit = self.held.contains_key(&key);
        self.put(key, access.at + access.holds);
        let most = size.items.max(1.0) as usize;
        while self.held.len() > most {
            let Some((_, oldest)) = self.order.pop_first() else { break };
            self.held.remove(&oldest);
        }
        hit
    }

    fn put(&mut self, key: (u64, u32), until: Micros) {
        self.used += 1;
        if let Some((_, place)) = self.held.insert(key, (until, self.used)) {
            self.order.remove(&place);
        }
        self.order.insert(self.used, key);
    }

    fn expire(&mut self, size: &Size, now: Micros) {
        while let Some((place, key)) = self.order.first_key_value().map(|(p, k)| (*p, *k)) {
            let Some((until, _)) = self.held.get(&key) else { break };
            if until.saturating_add(size.life) > now {
                break;
            }
            self.order.remove(&place);
            self.held.remove(&key);
        }
    }
}

//! The list of servers, and what is known of each of them.

use super::*;

impl Server {
    fn new(e: &ServerEntry) -> Server {
        let (id, zone, cell, health, started) = (e.id, e.zone, e.cell, e.health, e.started);
        Server { id, zone, cell, health, started, power: 1.0, slowness: 1.0, ..Server::default() }
    }
}

impl Balancer {
    pub(super) fn list(&mut self, kind: ListKind, entries: &[ServerEntry], out: &mut Vec<Action>) {
        let on_request = self.settings.discovery == Discovery::OnRequest;
        let failed = kind == ListKind::Failed;
        if on_request && (failed || kind == ListKind::Remembered) {
            // Without this, thousands of sidecars that lose discovery or start together overload it together. Each
            // waits a random time that grows with failures, and none for longer than news may take.
            let share = if failed { 4 >> self.subscribe_failures.min(2) } else { 1 };
            let most = self.settings.rules.max_discovery_delay(share) as f64;
            let wait = most * if failed { 0.25 + 0.75 * self.uniform() } else { self.uniform() };
            self.subscribe_failures += u32::from(failed);
            self.set_alarm(wait as Micros, Alarm::Subscribe, out);
        } else if !failed {
            self.subscribe_failures = 0;
        }
        if failed {
            return;
        }
        if kind != ListKind::Changes {
            let listed: rustc_hash::FxHashSet<ServerId> = entries.iter().map(|e| e.id).collect();
            for s in &mut self.servers {
                if !listed.contains(&s.id) {
                    s.health = Health::Gone;
                }
            }
        }
        // Without this, each entry's search for a free slot is linear: a list of 50,000 takes seconds.
        let mut free = 0;
        for e in entries {
            self.list_entry(e, &mut free);
        }
        self.choose_subset();
    }

    /// No slot before `free` is free.
    fn list_entry(&mut self, e: &ServerEntry, free: &mut Slot) {
        let power = if e.power.is_finite() && e.power > 0.0 { f64::from(e.power) } else { 1.0 };
        let slot = match self.by_id.get(&e.id) {
            Some(&slot) => slot,
            None if e.health == Health::Gone => return,
            None => {
                let fresh = Server::new(e);
                // A slot whose server is gone and owes no outcome is used again.
                let mut left = self.servers[*free..].iter();
                let found = left.position(|s| s.health == Health::Gone && s.in_flight == 0);
                *free = found.map_or(self.servers.len(), |n| *free + n);
                let slot = match found.map(|_| *free) {
                    Some(slot) => {
                        self.by_id.remove(&self.servers[slot].id);
                        self.servers[slot] = fresh;
                        slot
                    }
                    None => {
                        self.servers.push(fresh);
                        self.servers.len() - 1
                    }
                };
                self.by_id.insert(e.id, slot);
                slot
            }
        };
        let s = &mut self.servers[slot];
        if e.started > s.started {
            // A restart under the same id: what was known is void, it is cold. Attempts still out keep their count.
            let in_flight = s.in_flight;
            *s = Server::new(e);
            s.in_flight = in_flight;
        }
        (s.zone, s.cell, s.health, s.power, s.leaving) = (e.zone, e.cell, e.health, power, false);
        if s.health == Health::Gone && s.in_flight == 0 {
            *free = slot.min(*free);
        }
    }
}

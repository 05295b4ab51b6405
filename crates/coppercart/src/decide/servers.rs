//! Maintains the server list and the state of each server.

use super::*;

impl Server {
    fn new(entry: &ServerEntry) -> Server {
        let (id, zone, cell, health, started) =
            (entry.id, entry.zone, entry.cell, entry.health, entry.started);
        Server { id, zone, cell, health, started, power: 1.0, slowness: 1.0, ..Server::default() }
    }
}

impl Balancer {
    pub(super) fn apply_list(
        &mut self,
        kind: ListKind,
        entries: &[ServerEntry],
        out: &mut Vec<Action>,
    ) {
        let on_request = self.settings.discovery == Discovery::OnRequest;
        let failed = kind == ListKind::Failed;
        if on_request && (failed || kind == ListKind::Remembered) {
            // Without this, thousands of sidecars that lose discovery or start together overload
            // it. Each waits a random time that grows with the failures, but not longer than list
            // changes may take to arrive.
            let divisor = if failed { 4 >> self.subscribe_failures.min(2) } else { 1 };
            let max_wait = self.settings.rules.max_discovery_delay(divisor) as f64;
            let wait =
                max_wait * if failed { 0.25 + 0.75 * self.uniform() } else { self.uniform() };
            self.subscribe_failures += u32::from(failed);
            self.set_timer(wait as Micros, TimerKind::Subscribe, out);
        } else if !failed {
            self.subscribe_failures = 0;
        }
        if failed {
            return;
        }
        if kind != ListKind::Changes {
            let listed: rustc_hash::FxHashSet<ServerId> =
                entries.iter().map(|entry| entry.id).collect();
            for s in &mut self.servers {
                if !listed.contains(&s.id) {
                    s.health = Health::Gone;
                }
            }
        }
        // Without this, the search for a free slot is linear for each entry: a list of 50,000 takes
        // seconds.
        let mut free = 0;
        for entry in entries {
            self.apply_entry(entry, &mut free);
        }
        self.choose_subset();
    }

    /// Applies one list entry. No slot before `free` is free.
    fn apply_entry(&mut self, entry: &ServerEntry, free: &mut Slot) {
        let power =
            if entry.power.is_finite() && entry.power > 0.0 { f64::from(entry.power) } else { 1.0 };
        let slot = match self.by_id.get(&entry.id) {
            Some(&slot) => slot,
            None if entry.health == Health::Gone => return,
            None => {
                let new_server = Server::new(entry);
                // Reuses a slot whose server is gone and has no open attempts.
                let mut remaining = self.servers[*free..].iter();
                let found = remaining.position(|s| s.health == Health::Gone && s.in_flight == 0);
                *free = found.map_or(self.servers.len(), |n| *free + n);
                let slot = match found.map(|_| *free) {
                    Some(slot) => {
                        self.by_id.remove(&self.servers[slot].id);
                        self.servers[slot] = new_server;
                        slot
                    }
                    None => {
                        self.servers.push(new_server);
                        self.servers.len() - 1
                    }
                };
                self.by_id.insert(entry.id, slot);
                slot
            }
        };
        let s = &mut self.servers[slot];
        if entry.started > s.started {
            // The process restarted under the same id: its state is void and it is cold. The count
            // of open attempts stays.
            let in_flight = s.in_flight;
            *s = Server::new(entry);
            s.in_flight = in_flight;
        }
        (s.zone, s.cell, s.health, s.power, s.draining_by_verdict) =
            (entry.zone, entry.cell, entry.health, power, false);
        if s.health == Health::Gone && s.in_flight == 0 {
            *free = slot.min(*free);
        }
    }
}

//! The servers of this process's list, and the status of each.

use super::{Event, MAX_EVENTS, Replica, ServerStatus};
use crate::entry::{Departure, EntryValue, Key, Verdict};
use crate::{Epoch, Micros};

/// The number of failure reports that makes a server suspected. A single reporter may be partitioned, or wrong.
const MIN_FAILURE_REPORTS: usize = 2;
/// The maximum number of listed servers.
const MAX_LISTED_SERVERS: usize = 65_536;

impl Replica {
    /// Records that a server is listed; `epoch` is that of its process, 0: not known.
    pub fn on_server_listed(&mut self, now: Micros, server: u64, epoch: Epoch) {
        if !self.listed_servers.contains_key(&server)
            && self.listed_servers.len() >= MAX_LISTED_SERVERS
        {
            return;
        }
        if self.listed_servers.insert(server, epoch).is_some_and(|before| before < epoch) {
            self.attempt_monitor.forget(server);
        }
        self.update_server_status(server, now);
    }

    /// Records that a server is no longer listed, for an unknown reason.
    pub fn on_server_unlisted(&mut self, server: u64) {
        self.listed_servers.remove(&server);
        self.attempt_monitor.forget(server);
        self.server_statuses.remove(&server);
    }

    /// Records that the list reports the departure of a server.
    pub fn on_departure(&mut self, now: Micros, server: u64, epoch: Epoch, departure: Departure) {
        let key = Key::Departure { server };
        let value = EntryValue::Departure { server_epoch: epoch, departure };
        // An outdated list may name a process that another one has replaced.
        let known = self.listed_servers.get(&server).is_some_and(|listed| *listed <= epoch);
        let later = self.store.get(key, now).is_some_and(|held| held.value >= value);
        if departure == Departure::Gone {
            self.on_server_unlisted(server);
        }
        if known && !later {
            self.publish(key, value, now);
        }
    }

    /// Ages of the reports of the own zone about a server process: of failures, and of answers.
    pub(super) fn verdict_ages(
        &self,
        server: u64,
        epoch: Epoch,
        now: Micros,
    ) -> (Vec<Micros>, Vec<Micros>) {
        let (mut failures, mut answers) = (Vec::new(), Vec::new());
        for (author, value) in self.store.evidence(server, now) {
            let EntryValue::Evidence { server_epoch, verdict, zone, .. } = value else { continue };
            if server_epoch != epoch || zone != self.config.zone {
                continue;
            }
            let age = self.store.get(Key::Evidence { server, author }, now).map_or(0, |e| e.age);
            let side = if verdict == Verdict::Well { &mut answers } else { &mut failures };
            side.push(age);
        }
        (failures, answers)
    }

    /// Works out the status of a server anew, and queues an event if it has changed.
    pub(super) fn update_server_status(&mut self, server: u64, now: Micros) {
        let Some(&epoch) = self.listed_servers.get(&server) else { return };
        let departure = self.store.get(Key::Departure { server }, now);
        let leaves = departure.is_some_and(|held| {
            matches!(held.value, EntryValue::Departure { server_epoch, .. } if server_epoch >= epoch)
        });
        let (mut failures, answers) = self.verdict_ages(server, epoch, now);
        failures.sort_unstable();
        let answered = answers.into_iter().min().unwrap_or(Micros::MAX);
        let suspected = failures.get(MIN_FAILURE_REPORTS - 1).is_some_and(|age| *age < answered);
        let status = match (leaves, suspected) {
            (true, _) => ServerStatus::Leaving,
            (_, true) => ServerStatus::Suspected,
            _ => ServerStatus::Trusted,
        };
        let before = match status {
            ServerStatus::Trusted => self.server_statuses.remove(&server),
            _ => self.server_statuses.insert(server, status),
        };
        if before.unwrap_or_default() != status {
            self.events.push_back(Event { server, status });
            if self.events.len() > MAX_EVENTS {
                self.events.pop_front();
            }
        }
    }
}

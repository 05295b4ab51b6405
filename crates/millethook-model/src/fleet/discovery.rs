//! Discovery: a registry of the servers, and lists that reach each sidecar with a delay.

use std::collections::VecDeque;

use coppercart::api::{Event, Health, ListKind, ServerEntry};

use super::Fleet;
use super::event::{ScheduledEvent, SidecarLife};
use crate::Micros;
use crate::plan::MS;

/// Duration of a failed call.
const FAILED_CALL: Micros = 1_000;

/// The state of the registry. A version is the number of changes up to it.
#[derive(Debug, Default)]
pub struct Registry {
    changes: Vec<ServerEntry>,
    /// No updates are sent before this time.
    down_until: Micros,
    /// Pending calls; the first one is being handled.
    pending_calls: VecDeque<SidecarLife>,
}

impl Registry {
    /// Stops all updates until this time.
    pub fn go_down(&mut self, until: Micros) {
        self.down_until = self.down_until.max(until);
    }
}

impl Fleet<'_> {
    /// Records the current state of a server in the registry and returns the new version.
    pub(super) fn list_changes(&mut self, server: usize) -> usize {
        self.registry.changes.push(self.servers[server].entry.clone());
        let version = self.registry.changes.len();
        for sidecar in 0..self.sidecars.len() {
            let late = self.list_delay(sidecar);
            let state = &self.sidecars[sidecar];
            if state.balancer.is_some() && state.watches {
                self.queue
                    .schedule(self.now + late, ScheduledEvent::Changes(state.instance, version));
            }
        }
        version
    }

    fn list_delay(&mut self, sidecar: usize) -> Micros {
        self.sidecars[sidecar].discovery.up_to(self.plan.discovery.late_ms * MS)
    }

    /// Provides the first list of a sidecar's process that has just started.
    pub(super) fn first_list(&mut self, instance: SidecarLife) {
        if !self.plan.discovery.on_request {
            let late = self.list_delay(instance.sidecar);
            return self.queue.schedule(self.now + late, ScheduledEvent::WholeList(instance));
        }
        if instance.life == 0 {
            return self.queue.schedule(self.now, ScheduledEvent::Call(instance));
        }
        // The restarted sidecar has a list on disk; the decisions request the current one when they need it.
        let entries = self.remembered(self.sidecars[instance.sidecar].version);
        self.deliver_list(instance, ListKind::Remembered, entries);
    }

    /// Returns the list as it was at a version.
    fn remembered(&self, version: usize) -> Vec<ServerEntry> {
        let first = self.servers.iter().take(self.plan.servers.count);
        let mut entries: Vec<ServerEntry> = first
            .map(|server| ServerEntry { started: 0, health: Health::Ready, ..server.entry.clone() })
            .collect();
        for change in &self.registry.changes[..version] {
            match entries.iter_mut().find(|entry| entry.id == change.id) {
                Some(entry) => *entry = change.clone(),
                None => entries.push(change.clone()),
            }
        }
        entries.retain(|entry| entry.health != Health::Gone);
        entries
    }

    fn deliver_list(
        &mut self,
        instance: SidecarLife,
        kind: ListKind,
        mut entries: Vec<ServerEntry>,
    ) {
        for entry in &entries {
            let server = entry.id.0 as usize - 1;
            match entry.health {
                Health::Ready => {}
                Health::Draining => self.judge.told_drains(instance, server, self.now),
                Health::Gone => self.judge.told_gone(instance, server, self.now),
            }
        }
        self.path.entries(&mut entries);
        self.deliver_event(instance.sidecar, Event::Servers { kind, entries: &entries });
    }

    /// Delivers changes to a sidecar that watches the list.
    pub(super) fn changes(&mut self, instance: SidecarLife, version: usize) {
        let told = self.sidecars[instance.sidecar].version;
        if version <= told || !self.sidecars[instance.sidecar].watches {
            return;
        }
        if self.now < self.registry.down_until {
            let late = self.list_delay(instance.sidecar);
            let up = self.registry.down_until;
            return self.queue.schedule(up + late, ScheduledEvent::Changes(instance, version));
        }
        let mut entries: Vec<ServerEntry> = Vec::new();
        for change in &self.registry.changes[told..version] {
            entries.retain(|entry| entry.id != change.id);
            entries.push(change.clone());
        }
        self.sidecars[instance.sidecar].version = version;
        self.deliver_list(instance, ListKind::Changes, entries);
    }

    /// Delivers the whole list to a sidecar, which watches the list from then on.
    pub(super) fn whole_list(&mut self, instance: SidecarLife) {
        if self.now < self.registry.down_until {
            let late = self.list_delay(instance.sidecar);
            return self
                .queue
                .schedule(self.registry.down_until + late, ScheduledEvent::WholeList(instance));
        }
        let state = &mut self.sidecars[instance.sidecar];
        state.version = self.registry.changes.len();
        state.watches = true;
        let mut entries = Vec::new();
        for (number, server) in self.servers.iter().enumerate() {
            match server.entry.health {
                Health::Gone => self.judge.told_gone(instance, number, self.now),
                _ => entries.push(server.entry.clone()),
            }
        }
        self.deliver_list(instance, ListKind::Whole, entries);
    }

    /// Handles a sidecar's request for the list.
    pub(super) fn registry_call(&mut self, instance: SidecarLife) {
        let down = self.now < self.registry.down_until;
        if self.registry.pending_calls.contains(&instance) {
            return;
        }
        if down || self.registry.pending_calls.len() > self.plan.discovery.max_pending_calls {
            return self
                .queue
                .schedule(self.now + FAILED_CALL, ScheduledEvent::CallFails(instance));
        }
        self.registry.pending_calls.push_back(instance);
        if self.registry.pending_calls.len() == 1 {
            self.queue
                .schedule(self.now + self.plan.discovery.work_us, ScheduledEvent::CallFinished);
        }
    }

    /// Completes the first pending call.
    pub(super) fn call_finished(&mut self) {
        let Some(instance) = self.registry.pending_calls.pop_front() else { return };
        if !self.registry.pending_calls.is_empty() {
            self.queue
                .schedule(self.now + self.plan.discovery.work_us, ScheduledEvent::CallFinished);
        }
        if self.now < self.registry.down_until {
            self.queue.schedule(self.now, ScheduledEvent::CallFails(instance));
        } else {
            self.queue.schedule(self.now, ScheduledEvent::WholeList(instance));
        }
    }

    /// Reports a failed call, or the end of its watch, to a sidecar.
    pub(super) fn call_fails(&mut self, instance: SidecarLife) {
        self.sidecars[instance.sidecar].watches = false;
        self.deliver_event(
            instance.sidecar,
            Event::Servers { kind: ListKind::Failed, entries: &[] },
        );
    }

    /// Takes discovery down. With lists on request, all watches end.
    pub(super) fn discovery_goes_down(&mut self, until: Micros) {
        self.registry.go_down(until);
        if !self.plan.discovery.on_request {
            return;
        }
        for sidecar in 0..self.sidecars.len() {
            let state = &self.sidecars[sidecar];
            if state.balancer.is_some() && state.watches {
                self.queue.schedule(self.now, ScheduledEvent::CallFails(state.instance));
            }
        }
    }
}

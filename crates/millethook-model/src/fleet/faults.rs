//! Begin and end of the faults of a plan.

use coppercart::api::Health;
use coppercart::decide::Balancer;
use millethook_explore::step::Ending;

use super::Fleet;
use super::event::{ScheduledEvent, SidecarLife};
use super::server::{Process, Server};
use crate::Micros;
use crate::plan::{FaultKind, MS};

impl Fleet<'_> {
    pub(super) fn fault_begins(&mut self, number: usize) {
        self.fault_has_begun = true;
        let plan = self.plan;
        let fault = &plan.faults[number];
        let until = self.now + fault.for_ms * MS;
        self.queue.schedule(until, ScheduledEvent::FaultEnds(number));
        match fault.kind {
            FaultKind::Cut | FaultKind::Loss | FaultKind::Delay => self.links.begin(number),
            FaultKind::DiscoveryDown => self.discovery_goes_down(until),
            FaultKind::Pause => {
                fault.sidecars.iter().for_each(|sidecar| self.pause(*sidecar, until));
            }
            FaultKind::Restart => {
                fault.sidecars.iter().for_each(|sidecar| self.stop_sidecar(*sidecar));
            }
            kind => {
                let affected: Vec<usize> =
                    fault.servers.iter().map(|n| self.current_servers[*n]).collect();
                for (position, server) in fault.servers.iter().zip(&affected) {
                    self.server_fault(kind, fault.amount, *position, *server);
                }
                self.affected.insert(number, affected);
            }
        }
    }

    pub(super) fn fault_ends(&mut self, number: usize) {
        let plan = self.plan;
        let fault = &plan.faults[number];
        match fault.kind {
            FaultKind::Cut | FaultKind::Loss | FaultKind::Delay => self.links.end(number),
            FaultKind::DiscoveryDown | FaultKind::Pause => {}
            FaultKind::Restart => {
                for sidecar in &fault.sidecars {
                    if self.sidecars[*sidecar].balancer.is_none() {
                        self.start_sidecar(*sidecar);
                    }
                }
            }
            kind => {
                for server in self.affected.remove(&number).unwrap_or_default() {
                    self.server_fault_ends(kind, server);
                }
            }
        }
    }

    fn server_fault(&mut self, kind: FaultKind, amount: f64, position: usize, server: usize) {
        match kind {
            FaultKind::Crash => self.stop_server(server, Process::Down),
            FaultKind::Hang if self.servers[server].process == Process::Up => {
                self.stop_server(server, Process::Hung);
            }
            FaultKind::Replace if self.servers[server].entry.health == Health::Ready => {
                self.servers[server].entry.health = Health::Draining;
                self.list_changes(server);
                self.add_server(position);
            }
            FaultKind::Vanish => self.remove(server),
            FaultKind::Slow => self.servers[server].slow = amount,
            FaultKind::Errors => self.servers[server].errors = amount,
            _ => {}
        }
    }

    fn server_fault_ends(&mut self, kind: FaultKind, server: usize) {
        let state = &mut self.servers[server];
        match kind {
            FaultKind::Crash if state.process == Process::Down => {
                state.start(self.plan, self.now);
                self.servers[server].start_version = self.list_changes(server);
            }
            FaultKind::Hang if state.process == Process::Hung => state.process = Process::Up,
            FaultKind::Replace if state.entry.health == Health::Draining => self.remove(server),
            FaultKind::Vanish => {
                let position = self.position_of[server];
                if self.current_servers[position] == server {
                    self.add_server(position);
                }
            }
            FaultKind::Slow => state.slow = 1.0,
            FaultKind::Errors => state.errors = 0.0,
            _ => {}
        }
    }

    /// Ends or hangs a server's process. The connections of one that ended are reset.
    fn stop_server(&mut self, server: usize, process: Process) {
        if self.servers[server].process == Process::Gone {
            return;
        }
        for attempt in self.servers[server].stop(process) {
            match process {
                Process::Hung => self.release(attempt),
                _ => self.answer(attempt, Ending::Reset),
            }
        }
    }

    /// Removes a server for good and records it in the registry.
    fn remove(&mut self, server: usize) {
        if self.servers[server].process == Process::Gone {
            return;
        }
        self.servers[server].entry.health = Health::Gone;
        self.stop_server(server, Process::Gone);
        self.list_changes(server);
    }

    /// Adds a cold server at a position of the plan.
    fn add_server(&mut self, position: usize) {
        let number = self.servers.len();
        let zone = self.plan.zone(position);
        self.servers.push(Server::new(self.plan, number, zone, Some(self.now)));
        self.current_servers[position] = number;
        self.position_of.push(position);
        self.servers[number].start_version = self.list_changes(number);
    }

    fn pause(&mut self, sidecar: usize, until: Micros) {
        let state = &mut self.sidecars[sidecar];
        let from = state.paused_until.max(self.now);
        state.paused += until.saturating_sub(from);
        state.paused_until = state.paused_until.max(until);
    }

    fn stop_sidecar(&mut self, sidecar: usize) {
        let state = &mut self.sidecars[sidecar];
        let instance = state.instance;
        state.balancer = None;
        state.watches = false;
        state.paused_until = self.now;
        state.instance = SidecarLife { life: instance.life + 1, ..instance };
        self.lose_requests(instance);
    }

    pub(super) fn start_sidecar(&mut self, sidecar: usize) {
        let now: Micros = self.path.now(self.now);
        let state = &mut self.sidecars[sidecar];
        let seed = state.decisions.bits();
        state.balancer = Some(Balancer::new(self.settings[sidecar].clone(), seed, now));
        state.unchecked = 0;
        let instance = state.instance;
        self.first_list(instance);
    }
}

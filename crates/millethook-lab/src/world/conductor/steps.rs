//! Execution of the plan's steps and of the deferred actions that follow from them.

use std::time::Duration;

use nix::sys::signal::Signal;
use tokio::time::{Instant, sleep};

use super::super::agent::Mode;
use super::super::idle_connections::hold_idle_connections;
use super::super::server::Server;
use super::super::{RunError, machine_error};
use super::{AbortOnDrop, CONNECTS_AFTER_SIGTERM, Conductor, Deferred, EXIT_MARGIN};
use crate::ledger::{Absence, Micros};
use crate::plan::{Action, DRAIN, Step};
use crate::timeline::EventKind;

impl Conductor {
    pub(super) async fn step(&mut self, step: &Step) -> Result<(), RunError> {
        tracing::info!(event = "step", at_s = step.at.as_secs_f64(), "{:?}", step.action);
        let now = self.clock.now();
        match step.action {
            Action::Mark { event, begins } => self.outcome.marks.push((now, event, begins)),
            Action::Kill { sidecar, back } => {
                let ended = Absence { sidecar, from: now, to: Micros::MAX, ended: true };
                self.ledger.open().absences.push(ended);
                self.fleet.end(sidecar, back, Signal::SIGKILL);
            }
            Action::Terminate { sidecar, back } => self.terminate(sidecar, back),
            Action::TerminateAtReady { sidecar, back } => {
                self.terminate_at_ready.insert(sidecar, back);
            }
            Action::HangUp { sidecar } => self.fleet.hang_up(sidecar),
            Action::Pause { sidecar } => {
                self.fleet.signal(sidecar, Signal::SIGSTOP);
                let paused = Absence { sidecar, from: now, to: Micros::MAX, ended: false };
                self.ledger.open().absences.push(paused);
            }
            Action::Resume { sidecar } => {
                self.fleet.signal(sidecar, Signal::SIGCONT);
                self.end_absence(sidecar, now, false);
            }
            Action::Reload { sidecar } => {
                let at = self.agents[sidecar].listen(self.fleet.addresses.stand_in()).await;
                self.fleet
                    .reload(sidecar, at.map_err(machine_error("starting a discovery agent"))?);
                self.ledger.open().moves.push((sidecar, now));
            }
            Action::IdleClients { sidecar, count, on: true } => {
                self.open_idle_connections(sidecar, count)
            }
            Action::IdleClients { sidecar, on: false, .. } => {
                self.idle_connections.remove(&sidecar);
            }
            Action::Start { sidecar } => self.fleet.start(sidecar, 0)?,
            Action::Twin { sidecar } => {
                self.fleet.start(sidecar, 1)?;
                self.clients[sidecar].add_address(self.fleet.addresses.listen(sidecar, 1));
            }
            Action::Server { server, kind, amount, on } => {
                self.servers[server].2.condition(kind, amount, on);
            }
            Action::Replace { server } => self.replace(server)?,
            Action::Crash { server, back } => {
                self.servers[server].2.end();
                self.deferred
                    .push((Instant::now() + back, Deferred::RestartServer { index: server }));
            }
            Action::Discovery { sidecar, kind: EventKind::WatchesSilent, .. } => {
                self.agents[sidecar].silence_watches();
            }
            Action::Discovery { kind: EventKind::DiscoveryRestart, .. } => {
                self.directory.restart_versions();
            }
            Action::Discovery { sidecar, kind, amount, on } => {
                let mode = match kind {
                    EventKind::DiscoveryDown if on => Mode::Down,
                    EventKind::DiscoveryStale if on => {
                        Mode::Stale(now.saturating_sub((amount * 1e6) as Micros))
                    }
                    _ => Mode::Normal,
                };
                self.agents[sidecar].set_mode(mode);
            }
            Action::Network { event, on } => self.network(event, on),
            Action::Publish { event, nth } => self.publisher.publish(&self.timeline, event, nth),
        }
        Ok(())
    }

    /// Opens idle client connections to a sidecar.
    fn open_idle_connections(&mut self, sidecar: usize, count: usize) {
        let at = self.fleet.addresses.listen(sidecar, 0);
        let task = tokio::spawn(hold_idle_connections(at, count));
        self.idle_connections.insert(sidecar, AbortOnDrop(task.abort_handle()));
    }

    /// Starts the planned exit of a sidecar.
    pub(super) fn terminate(&mut self, sidecar: usize, back: Option<Duration>) {
        let longest = self.timeline.classes.iter().map(|c| c.deadline_ms).fold(0.0, f64::max);
        let overdue = Duration::from_secs_f64(longest / 1e3) + EXIT_MARGIN;
        let begin = Instant::now();
        self.deferred.push((begin + CONNECTS_AFTER_SIGTERM, Deferred::StopConnecting { sidecar }));
        for pid in self.fleet.end(sidecar, back, Signal::SIGTERM) {
            self.deferred.push((begin + overdue, Deferred::Overdue { pid }));
        }
    }

    /// Records the end of a sidecar's absence.
    pub(super) fn end_absence(&self, sidecar: usize, now: Micros, ended: bool) {
        let mut records = self.ledger.open();
        let open = records.absences.iter_mut();
        open.filter(|a| a.sidecar == sidecar && a.ended == ended && a.to == Micros::MAX)
            .for_each(|a| a.to = now);
    }

    /// Drains the server at a position of the fleet and starts another in its place.
    fn replace(&mut self, index: usize) -> Result<(), RunError> {
        let (name, generation, old) = &self.servers[index];
        let (old_name, generation, old) = (name.clone(), generation + 1, old.clone());
        let name = format!("s{index}-{generation}");
        let any = vec![self.fleet.addresses.stand_in(); self.plan.stream_classes];
        let new = Server::start(&self.context, name.clone(), old.zone, true, &any);
        let new = new.map_err(machine_error("starting a stand-in server"))?;
        old.drain();
        self.directory.mark_leaving(&old_name);
        self.directory.list(&name, &new);
        self.servers[index] = (name, generation, new);
        let removal = Deferred::Remove { name: old_name };
        self.deferred.push((Instant::now() + DRAIN, removal));
        tokio::spawn(async move {
            sleep(DRAIN).await;
            old.end();
        });
        Ok(())
    }

    fn network(&mut self, event: usize, on: bool) {
        let (e, sides) = (&self.timeline.events[event], self.plan.sides[event].clone());
        let amount = e.amount.unwrap_or(0.0);
        let mut seen = vec![false; self.plan.stream_classes];
        for (n, sidecar) in self.plan.sidecars.iter().enumerate() {
            let class = sidecar.stream_class;
            if std::mem::replace(&mut seen[class], true) {
                continue;
            }
            for zone in 0..self.timeline.sidecars.zones {
                let cut = match e.kind {
                    EventKind::Partition => sides.is_partitioned(n, zone),
                    EventKind::CutStreams => sides.who[n],
                    _ => false,
                };
                let delayed = e.kind == EventKind::DelayStreams && sides.who[n];
                if cut || delayed {
                    self.context.links.change(class, zone, |link| match (cut, on) {
                        (true, true) => link.cuts += 1,
                        (true, false) => link.cuts = link.cuts.saturating_sub(1),
                        (false, on) => {
                            let delay = Duration::from_secs_f64(amount / 1e3);
                            link.delay = if on { delay } else { Duration::ZERO };
                        }
                    });
                }
            }
        }
        self.relay.model(|model| match on {
            true => model.begin(event, e.kind, amount, sides),
            false => model.end(event),
        });
    }

    pub(super) fn run_deferred(&mut self, action: Deferred) -> Result<(), RunError> {
        match action {
            Deferred::Start { sidecar } => self.fleet.start(sidecar, 0)?,
            Deferred::StopConnecting { sidecar } => self.clients[sidecar].stop_connecting(),
            Deferred::Overdue { pid } => self.fleet.kill_overdue(pid),
            Deferred::Remove { name } => self.directory.remove(&name),
            Deferred::RestartServer { index } => {
                let (name, _, old) = &self.servers[index];
                let (name, old) = (name.clone(), old.clone());
                let new =
                    Server::start(&self.context, name.clone(), old.zone, true, old.addresses());
                let new = new.map_err(machine_error("starting a stand-in server"))?;
                self.directory.list(&name, &new);
                self.servers[index].2 = new;
            }
        }
        Ok(())
    }
}

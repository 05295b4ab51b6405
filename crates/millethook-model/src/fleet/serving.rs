//! Processing of attempts at servers.

use millethook_explore::step::Ending;

use super::Fleet;
use super::event::{AttemptId, ScheduledEvent};
use super::server::{Admission, Process};
use crate::Micros;
use crate::judge::Rule;

impl Fleet<'_> {
    pub(super) fn attempt_arrives(&mut self, id: AttemptId) {
        let now = self.now;
        let Some(request) = self.requests.get(id.request) else { return };
        let attempt = &request.attempts[id.number];
        let (server, work) = (attempt.server, request.work);
        // A sidecar is not to blame for an attempt that it sent before it was told of the start, even if the notice
        // arrives while the attempt is in transit.
        let knew_start = attempt.told >= self.servers[server].start_version;
        match self.servers[server].process {
            Process::Up => {}
            Process::Hung => return self.release(id),
            Process::Down | Process::Gone => return self.answer(id, Ending::Reset),
        }
        if self.servers[server].exceeds_cold_budget(now, work, knew_start) {
            self.judge.record(Rule::ColdSpared, now, || {
                format!("server {server} is overloaded while cold")
            });
        }
        match self.servers[server].admit(id, now) {
            Admission::Works => self.start_work(server, id, now),
            Admission::Waits => {}
            Admission::Full => {
                self.figures.full += 1;
                self.answer(id, Ending::Full);
            }
        }
    }

    /// Starts the work of an attempt that has waited since `since`.
    fn start_work(&mut self, server: usize, id: AttemptId, since: Micros) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(id.request) else { return };
        request.effects.push(self.servers[server].entry.zone);
        self.judge.effect(id.request, request, now);
        self.figures.worked += 1;
        self.figures.waited += now - since;
        let service_time = self.servers[server].service_time(request.work, now);
        let life = self.servers[server].life;
        self.queue.schedule(now + service_time, ScheduledEvent::WorkFinished(server, life, id));
    }

    pub(super) fn work_finished(&mut self, server: usize, life: u32, id: AttemptId) {
        if self.servers[server].life != life {
            return;
        }
        let errors = self.servers[server].errors;
        let ending = if self.error_random.chance(errors) { Ending::Error } else { Ending::Served };
        self.servers[server].done(id);
        self.start_next_waiting(server);
        self.answer(id, ending);
    }

    /// Assigns a free worker to the next waiting attempt that its sidecar still waits for.
    fn start_next_waiting(&mut self, server: usize) {
        while let Some((next, since)) = self.servers[server].next_waiting() {
            let request = self.requests.get(next.request);
            if request.is_some_and(|request| request.attempts[next.number].is_out()) {
                self.servers[server].assign_worker(next);
                return self.start_work(server, next, since);
            }
            // The connection is closed, so the attempt is dropped without being executed.
            self.release(next);
        }
    }
}

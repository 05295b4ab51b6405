//! Transport of attempts to servers and of answers back.

use coppercart::api::ServerId;
use millethook_explore::scenario::MAX_OUTCOME_DELAY;
use millethook_explore::step::Ending;

use super::Fleet;
use super::event::{AttemptId, ScheduledEvent};
use super::links::Link;
use super::requests::Attempt;
use super::server::Process;
use crate::Micros;
use crate::judge::Send;

/// Timeout of a connection attempt, equal to the value in the settings that plans give to the decisions.
const CONNECT_TIMEOUT: Micros = 75_000;
/// The share of attempts whose timeout is reported at once; the others are reported a little later, as in the
/// exploration.
const IN_TIME: f64 = 0.5;
/// The probability that an attempt across a cut link needs a new connection, which then fails.
const NEW_CONNECTION: f64 = 0.5;

impl Fleet<'_> {
    fn link(&mut self, sidecar: usize, server: usize) -> Link {
        let way = (sidecar, self.position_of[server]);
        let random = &mut self.sidecars[sidecar].network;
        self.links.between((&self.plan.network, &self.plan.faults), way, random)
    }

    /// Sends an attempt that the decisions request.
    pub(super) fn send(&mut self, sidecar: usize, number: u64, named: ServerId, timeout: Micros) {
        let now = self.now;
        let mut server = (named.0 as usize).checked_sub(1).filter(|n| *n < self.servers.len());
        if self.path.sends_to_newest() {
            server = Some(self.servers.len() - 1);
        }
        let zone = server.map_or(0, |server| self.servers[server].entry.zone);
        let Some(request) = self.requests.get_mut(number) else {
            let rule = crate::judge::Rule::NothingAfterTheEnd;
            return self.judge.record(rule, now, || format!("request {number} has already ended"));
        };
        self.judge.send(number, request, Send { now, server, zone, timeout });
        let (instance, to) = (request.instance, server.unwrap_or(0));
        let id = AttemptId { request: number, number: request.attempts.len() };
        request.attempts.push(Attempt {
            server: to,
            named,
            zone,
            sent: now,
            until: now + timeout,
            paused: self.sidecars[sidecar].paused,
            told: self.sidecars[sidecar].version,
            cancelled: false,
            ending: None,
        });
        self.figures.attempts += 1;
        if request.ended || server.is_none() {
            // As in the driver: the request has ended or the server does not exist, so nothing is sent.
            return self
                .queue
                .schedule(now, ScheduledEvent::AttemptEnded(instance, id, Ending::Moot, [0.0; 2]));
        }
        let random = &mut self.sidecars[sidecar].network;
        let late = if random.chance(IN_TIME) { 0 } else { random.up_to(MAX_OUTCOME_DELAY) };
        self.queue.schedule(
            now + timeout + late,
            ScheduledEvent::AttemptEnded(instance, id, Ending::TimedOut, [0.0; 2]),
        );
        let link = self.link(sidecar, to);
        let refused = matches!(self.servers[to].process, Process::Down | Process::Gone);
        let random = &mut self.sidecars[sidecar].network;
        if link.cut {
            if random.chance(NEW_CONNECTION) {
                let ended =
                    ScheduledEvent::AttemptEnded(instance, id, Ending::ConnectFailed, [0.0; 2]);
                self.queue.schedule(now + CONNECT_TIMEOUT, ended);
            }
        } else if refused {
            let ended = ScheduledEvent::AttemptEnded(instance, id, Ending::ConnectFailed, [0.0; 2]);
            self.queue.schedule(now + 2 * link.delay, ended);
        } else if !random.chance(self.plan.network.loss_before) && !random.chance(link.loss) {
            self.count_at_server(number);
            self.queue.schedule(now + link.delay, ScheduledEvent::AttemptArrives(id));
        }
    }

    /// Counts one more attempt of the request that is at a server or in transit to one.
    fn count_at_server(&mut self, number: u64) {
        if let Some(request) = self.requests.get_mut(number) {
            request.at_servers += 1;
        }
    }

    /// Counts an attempt that its server no longer holds.
    pub(super) fn release(&mut self, id: AttemptId) {
        if let Some(request) = self.requests.get_mut(id.request) {
            request.at_servers -= 1;
        }
        self.requests.forget(id.request);
    }

    /// Returns the answer of a server to the sidecar, unless it is lost or the connection breaks.
    pub(super) fn answer(&mut self, id: AttemptId, ending: Ending) {
        let Some(request) = self.requests.get(id.request) else { return };
        let attempt = &request.attempts[id.number];
        let (instance, server, until) = (request.instance, attempt.server, attempt.until);
        if attempt.is_out() {
            let report = self.servers[server].report();
            let link = self.link(instance.sidecar, server);
            let random = &mut self.sidecars[instance.sidecar].network;
            let lost =
                link.cut || random.chance(self.plan.network.loss_after) || random.chance(link.loss);
            let breaks = random.chance(self.plan.network.reset);
            let ending = if breaks { Ending::Reset } else { ending };
            // An answer after the attempt's timeout is ignored.
            if !lost && self.now + link.delay <= until {
                self.queue.schedule(
                    self.now + link.delay,
                    ScheduledEvent::AttemptEnded(instance, id, ending, report),
                );
            }
        }
        self.release(id);
    }
}

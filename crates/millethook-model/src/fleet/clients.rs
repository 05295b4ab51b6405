//! Clients: requests that come, answers that they get, and their leaving.

use coppercart::api::{Event, NewRequest, RequestId};
use millethook_explore::step::Ending;
use smallvec::SmallVec;

use super::Fleet;
use super::due::{Asked, AttemptId, Due, SidecarLife};
use super::requests::Request;
use crate::Micros;
use crate::plan::MS;

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Final {
    Served,
    Refused,
    Failed,
}

impl Fleet<'_> {
    /// The time to a sidecar's next request.
    pub(super) fn next_gap(&mut self, sidecar: usize) -> Micros {
        let mean = 1e6 / self.plan.load.per_sidecar;
        (self.sidecars[sidecar].clients.exponential() * mean) as Micros
    }

    pub(super) fn arrival(&mut self, sidecar: usize) {
        if self.now >= self.load_ends() {
            return;
        }
        let gap = self.next_gap(sidecar);
        self.queue.add(self.now + gap, Due::Arrival(sidecar));
        let asked = self.draw_request(sidecar);
        let own = &self.sidecars[sidecar];
        if own.balancer.is_none() {
            self.figures.not_taken += 1;
        } else {
            self.happens(Due::Request(own.at, asked));
        }
    }

    fn draw_request(&mut self, sidecar: usize) -> Asked {
        let plan = self.plan;
        let random = &mut self.sidecars[sidecar].clients;
        let sum = self.shares.last().copied().unwrap_or(1.0);
        let drawn = random.share() * sum;
        let class = self.shares.partition_point(|upto| *upto <= drawn).min(self.shares.len() - 1);
        let spec = &plan.classes[class];
        let longest = match plan.servers.longest_work {
            0.0 => f64::INFINITY,
            longest => longest,
        };
        let work = (spec.work_us as f64 * random.exponential().min(longest)) as Micros;
        let key = random.bits();
        let leaves = random.chance(plan.load.leave_early);
        let leaves_after = leaves.then(|| random.up_to(spec.deadline_ms * MS));
        Asked { class, work, key, leaves_after }
    }

    pub(super) fn request(&mut self, at: SidecarLife, asked: Asked) {
        let left = self.plan.classes[asked.class].deadline_ms * MS;
        let request = Request {
            at,
            class: asked.class,
            work: asked.work,
            came: self.now,
            deadline: self.now + left,
            paused: self.sidecars[at.sidecar].paused,
            ended: false,
            gone: false,
            attempts: SmallVec::new(),
            at_servers: 0,
            effects: SmallVec::new(),
        };
        let number = self.requests.add(request);
        self.figures.requests += 1;
        if self.path.refuses(self.fault_has_begun) {
            return self.final_answer(number, Final::Refused);
        }
        if let Some(after) = asked.leaves_after {
            self.queue.add(self.now + after, Due::Leave(at, number));
        }
        let new = NewRequest {
            id: RequestId(number),
            class: asked.class,
            tenant: 0,
            key: asked.key,
            time_left: left,
            work_hint: None,
            client_retry: false,
        };
        self.tell(at.sidecar, Event::Request(new));
    }

    pub(super) fn leave(&mut self, at: SidecarLife, number: u64) {
        let Some(request) = self.requests.get_mut(number).filter(|request| !request.ended) else {
            return;
        };
        (request.ended, request.gone) = (true, true);
        self.figures.left += 1;
        self.withdraw(number);
        if self.path.tells_departure() {
            self.tell(at.sidecar, Event::ClientGone { id: RequestId(number) });
        }
        self.requests.forget(number);
    }

    /// A client gets its final answer.
    pub(super) fn final_answer(&mut self, number: u64, how: Final) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(number) else {
            let rule = crate::judge::Rule::OneAnswer;
            return self.judge.find(rule, now, || format!("request {number}: one more {how:?}"));
        };
        if how != Final::Served {
            self.judge.final_answer(number, request, how == Final::Refused, now);
        }
        if request.ended {
            return;
        }
        request.ended = true;
        self.judge.answered(number, request, self.sidecars[request.at.sidecar].paused, now);
        self.judge.service.count(request.came, how == Final::Served);
        let time = now - request.came;
        match how {
            Final::Served => {
                let aim = self.plan.classes[request.class].aim_ms * MS;
                self.figures.served += 1;
                self.figures.in_aim += u64::from(time <= aim);
                self.figures.answer_time += time;
            }
            Final::Refused => self.figures.refused += 1,
            Final::Failed => self.figures.failed += 1,
        }
        self.requests.forget(number);
    }

    /// As the driver does once nobody waits: what is still out is called off.
    pub(super) fn withdraw(&mut self, number: u64) {
        let Some(request) = self.requests.get_mut(number) else { return };
        let at = request.at;
        for (n, attempt) in request.attempts.iter_mut().enumerate() {
            if attempt.is_out() && !attempt.cancelled {
                attempt.cancelled = true;
                let id = AttemptId { request: number, number: n };
                self.queue.add(self.now, Due::Ended(at, id, Ending::Cancelled, [0.0; 2]));
            }
        }
    }

    /// A sidecar's process has ended with all that it held.
    pub(super) fn lose_requests(&mut self, at: SidecarLife) {
        for number in self.requests.of(at) {
            if let Some(request) = self.requests.get_mut(number) {
                self.figures.lost += u64::from(!request.ended);
                (request.ended, request.gone) = (true, true);
                for attempt in request.attempts.iter_mut().filter(|attempt| attempt.is_out()) {
                    attempt.ending = Some(Ending::Cancelled);
                }
            }
            self.requests.forget(number);
        }
    }
}

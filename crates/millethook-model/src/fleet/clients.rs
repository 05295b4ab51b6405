//! Clients: the requests that they send, the answers that they get, and their departure.

use coppercart::api::{Event, NewRequest, RequestId};
use millethook_explore::step::Ending;
use smallvec::SmallVec;

use super::Fleet;
use super::event::{AttemptId, RequestHead, ScheduledEvent, SidecarLife};
use super::requests::Request;
use crate::Micros;
use crate::plan::MS;

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalOutcome {
    Served,
    Refused,
    Failed,
}

impl Fleet<'_> {
    /// Draws the time to a sidecar's next request.
    pub(super) fn next_interarrival(&mut self, sidecar: usize) -> Micros {
        let mean = 1e6 / self.plan.load.per_sidecar;
        (self.sidecars[sidecar].clients.exponential() * mean) as Micros
    }

    pub(super) fn arrival(&mut self, sidecar: usize) {
        if self.now >= self.load_ends() {
            return;
        }
        let gap = self.next_interarrival(sidecar);
        self.queue.schedule(self.now + gap, ScheduledEvent::Arrival(sidecar));
        let head = self.draw_request(sidecar);
        let state = &self.sidecars[sidecar];
        if state.balancer.is_none() {
            self.figures.not_taken += 1;
        } else {
            self.dispatch(ScheduledEvent::Request(state.instance, head));
        }
    }

    fn draw_request(&mut self, sidecar: usize) -> RequestHead {
        let plan = self.plan;
        let random = &mut self.sidecars[sidecar].clients;
        let sum = self.shares.last().copied().unwrap_or(1.0);
        let drawn = random.share() * sum;
        let class = self.shares.partition_point(|upto| *upto <= drawn).min(self.shares.len() - 1);
        let class_plan = &plan.classes[class];
        let longest = match plan.servers.longest_work {
            0.0 => f64::INFINITY,
            longest => longest,
        };
        let work = (class_plan.work_us as f64 * random.exponential().min(longest)) as Micros;
        let key = random.bits();
        let leaves = random.chance(plan.load.leave_early);
        let leaves_after = leaves.then(|| random.up_to(class_plan.deadline_ms * MS));
        RequestHead { class, work, key, leaves_after }
    }

    pub(super) fn request(&mut self, instance: SidecarLife, head: RequestHead) {
        let left = self.plan.classes[head.class].deadline_ms * MS;
        let request = Request {
            instance,
            class: head.class,
            work: head.work,
            arrived: self.now,
            deadline: self.now + left,
            paused: self.sidecars[instance.sidecar].paused,
            ended: false,
            gone: false,
            attempts: SmallVec::new(),
            at_servers: 0,
            effects: SmallVec::new(),
        };
        let number = self.requests.add(request);
        self.figures.requests += 1;
        if self.path.refuses(self.fault_has_begun) {
            return self.final_answer(number, FinalOutcome::Refused);
        }
        if let Some(after) = head.leaves_after {
            self.queue.schedule(self.now + after, ScheduledEvent::ClientLeaves(instance, number));
        }
        let new = NewRequest {
            id: RequestId(number),
            class: head.class,
            tenant: 0,
            key: head.key,
            time_left: left,
            work_hint: None,
            client_retry: false,
        };
        self.deliver_event(instance.sidecar, Event::Request(new));
    }

    pub(super) fn client_leaves(&mut self, instance: SidecarLife, number: u64) {
        let Some(request) = self.requests.get_mut(number).filter(|request| !request.ended) else {
            return;
        };
        (request.ended, request.gone) = (true, true);
        self.figures.left += 1;
        self.cancel_open_attempts(number);
        if self.path.reports_departure() {
            self.deliver_event(instance.sidecar, Event::ClientGone { id: RequestId(number) });
        }
        self.requests.forget(number);
    }

    /// Gives a client its final answer.
    pub(super) fn final_answer(&mut self, number: u64, outcome: FinalOutcome) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(number) else {
            let rule = crate::judge::Rule::OneAnswer;
            return self.judge.record(rule, now, || {
                format!("request {number}: another final answer, {outcome:?}")
            });
        };
        if outcome != FinalOutcome::Served {
            self.judge.final_answer(number, request, outcome == FinalOutcome::Refused, now);
        }
        if request.ended {
            return;
        }
        request.ended = true;
        self.judge.answered(number, request, self.sidecars[request.instance.sidecar].paused, now);
        self.judge.service.count(request.arrived, outcome == FinalOutcome::Served);
        let time = now - request.arrived;
        match outcome {
            FinalOutcome::Served => {
                let aim = self.plan.classes[request.class].aim_ms * MS;
                self.figures.served += 1;
                self.figures.in_aim += u64::from(time <= aim);
                self.figures.answer_time += time;
            }
            FinalOutcome::Refused => self.figures.refused += 1,
            FinalOutcome::Failed => self.figures.failed += 1,
        }
        self.requests.forget(number);
    }

    /// Cancels the open attempts of a request that nobody waits for, as the driver does.
    pub(super) fn cancel_open_attempts(&mut self, number: u64) {
        let Some(request) = self.requests.get_mut(number) else { return };
        let instance = request.instance;
        for (n, attempt) in request.attempts.iter_mut().enumerate() {
            if attempt.is_out() && !attempt.cancelled {
                attempt.cancelled = true;
                let id = AttemptId { request: number, number: n };
                self.queue.schedule(
                    self.now,
                    ScheduledEvent::AttemptEnded(instance, id, Ending::Cancelled, [0.0; 2]),
                );
            }
        }
    }

    /// Marks the requests of a sidecar's process that has ended as lost.
    pub(super) fn lose_requests(&mut self, instance: SidecarLife) {
        for number in self.requests.of(instance) {
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

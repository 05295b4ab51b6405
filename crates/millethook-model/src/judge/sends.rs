//! Checks of each attempt that is sent.

use super::{Judge, Rule, ServerNotice};
use crate::Micros;
use crate::fleet::Request;
use crate::plan::Effect;

/// An attempt as the decisions request it.
#[derive(Clone, Copy, Debug)]
pub struct Send {
    /// When it is sent.
    pub now: Micros,
    /// The server's number in the fleet; `None`: no server has this ID.
    pub server: Option<usize>,
    /// The server's zone.
    pub zone: u8,
    /// The attempt's timeout.
    pub timeout: Micros,
}

impl Judge {
    /// Checks an attempt before it is added to the request's records.
    pub fn send(&mut self, number: u64, request: &Request, send: Send) {
        let now = send.now;
        let description =
            || format!("request {number} to {:?} after {:?}", send.server, request.attempts);
        self.require(!request.ended, Rule::NothingAfterTheEnd, now, description);
        let in_time = now + send.timeout <= request.deadline;
        self.require(in_time, Rule::AttemptsBounded, now, description);
        let within_limit = request.attempts.len() < self.max_attempts;
        self.require(within_limit, Rule::AttemptsBounded, now, description);
        let sequential =
            self.may_duplicate || !request.attempts.iter().any(|attempt| attempt.is_out());
        self.require(sequential, Rule::AttemptsBounded, now, description);
        self.check_retry(number, request, send);
        self.check_server_notice(number, request, send);
    }

    fn check_retry(&mut self, number: u64, request: &Request, send: Send) {
        let mut executed = request.attempts.iter().filter(|attempt| attempt.may_have_run());
        let description =
            || format!("request {number} to {:?} after {:?}", send.server, request.attempts);
        let (effect, window) = self.effects[request.class];
        match effect {
            Effect::Safe => {}
            Effect::Unsafe => {
                self.require(executed.next().is_none(), Rule::UnsafeOnce, send.now, description)
            }
            Effect::Keyed => {
                let within_window = executed
                    .all(|a| a.zone == send.zone && send.now.saturating_sub(a.sent) <= window);
                self.require(within_window, Rule::KeyedInItsWindow, send.now, description);
            }
        }
    }

    fn check_server_notice(&mut self, number: u64, request: &Request, send: Send) {
        let Some(server) = send.server else {
            return self.record(Rule::GoneLeft, send.now, || {
                format!("request {number} to an unknown server")
            });
        };
        let (rule, since) = match self.notices.get(&(request.instance, server)) {
            None => return,
            Some(ServerNotice::Drains(since)) => (Rule::DrainKept, *since),
            Some(ServerNotice::Gone(since)) => (Rule::GoneLeft, *since),
        };
        let within_grace = send.now <= since + self.stop_sending;
        self.require(within_grace, rule, send.now, || {
            let late = send.now - since;
            format!(
                "request {number} of {:?} to server {server}, told {late} us ago",
                request.instance
            )
        });
    }
}

//! The warm-up before the exploration: a sidecar with little load serves some requests.

use super::*;

impl World {
    /// Serves some requests, so that the balancer has a retry budget and a typical latency.
    pub(super) fn warm_up(&mut self) -> Verdict {
        let warm = |server: &&Server| server.started == 0;
        let as_ready = |server: &Server| Scenario::entry(server.id, server.zone, Health::Ready, 0);
        let reported: Vec<_> = self.servers.iter().filter(warm).map(as_ready).collect();
        self.list(ListKind::Whole, reported)?;
        for n in 0..self.scenario.warm_up {
            let id = RequestId(FIRST_WARM_UP_ID + n);
            let actions = self.handle(Event::Request(World::new_request(id, RequestKind::Safe)))?;
            let sent = actions.iter().find_map(|action| match action {
                Action::Send { server, .. } => Some(*server),
                _ => None,
            });
            self.set_timers(&actions);
            self.advance_to(self.now + WARM_UP_LATENCY)?;
            if let Some(server) = sent {
                let outcome = Outcome::Served;
                self.handle(World::answer(id, 0, server, outcome, WARM_UP_LATENCY, true))?;
            }
            self.advance_to(self.now + WARM_UP_INTERVAL - WARM_UP_LATENCY)?;
        }
        self.advance_to(START)
    }

    /// Advances the clock during the warm-up; timers expire exactly on time.
    pub(super) fn advance_to(&mut self, to: Micros) -> Verdict {
        while let Some(&(at, token)) = self.timers.first().filter(|(at, _)| *at <= to) {
            self.timers.pop_first();
            self.now = at;
            let actions = self.handle(Event::Timer { token })?;
            self.set_timers(&actions);
        }
        self.now = to;
        Ok(())
    }

    pub(super) fn set_timers(&mut self, actions: &[Action]) {
        for action in actions {
            if let Action::Timer { delay, token } = action {
                self.timers.insert((self.now + delay, *token));
            }
        }
    }
}

//! Checks the invariants of the decision state. Read-only.

use millethook_machine::Violation;

use super::super::*;
use crate::weighted::WeightedSlots;

impl Balancer {
    /// Checks every invariant of the decision state.
    ///
    /// The product never calls this: it visits each request, server and timer. After a change of
    /// settings, open requests may violate invariants that came with it.
    ///
    /// # Errors
    /// The first violated invariant, with the values found.
    pub fn check_invariants(&self) -> Result<(), Violation> {
        let rule = Violation::unless;
        let mut out = vec![0u32; self.servers.len()];
        for (id, request) in &self.requests {
            let class = &self.settings.classes[request.class];
            let attempts = &request.attempts;
            rule(
                attempts.len() <= request.attempt_limit,
                "the number of attempts is bounded",
                &|| format!("{id:?}: {} of {}", attempts.len(), request.attempt_limit),
            )?;
            rule(
                !request.ended || request.in_flight() > 0,
                "an ended request without open attempts is forgotten",
                &|| format!("{id:?}: {attempts:?}"),
            )?;
            let ran = attempts.iter().position(|a| a.state != AttemptState::NeverRan);
            let sent_again = ran.is_some_and(|n| n + 1 < attempts.len());
            rule(
                class.repeat != RetrySafety::Unsafe || !sent_again,
                "an unsafe request is sent again only if it is known not to have run",
                &|| format!("{id:?}: {attempts:?}"),
            )?;
            let own_timers = self.timers.values().filter(|kind| {
                matches!(kind, TimerKind::EarlyHedge(of) | TimerKind::LateHedge(of) | TimerKind::Deadline(of) if of == id)
            });
            let timers = own_timers.count();
            rule(
                timers == 1 || request.ended || request.streaming,
                "every open request has one timer",
                &|| format!("{id:?}: {timers} timers, {attempts:?}"),
            )?;
            self.check_attempts(*id, request)?;
            for a in
                attempts.iter().filter(|a| a.state == AttemptState::InFlight && !a.response_started)
            {
                let server = self.servers.get(a.slot).filter(|s| s.id == a.server);
                if server.is_some() {
                    out[a.slot] += 1;
                }
            }
        }
        for (slot, s) in self.servers.iter().enumerate() {
            rule(s.in_flight == out[slot], "in-flight counts match the open attempts", &|| {
                format!("{:?}: {}, {} are open", s.id, s.in_flight, out[slot])
            })?;
            rule(
                s.in_flight > 0 || s.unanswered_since.is_none(),
                "a server without open attempts is not silent",
                &|| format!("{:?}: since {:?}", s.id, s.unanswered_since),
            )?;
            rule(s.power > 0.0 && s.slowness > 0.0, "power and slowness are above 0", &|| {
                format!("{:?}: {} and {}", s.id, s.power, s.slowness)
            })?;
        }
        self.check_servers()?;
        for (name, draws) in [("ready", &self.ready), ("subset", &self.subset)] {
            let is_ready = |slot: &Slot| self.servers[*slot].health == Health::Ready;
            rule(draws.slots.iter().all(is_ready), "only ready servers are drawn", &|| {
                name.to_owned()
            })?;
            self.check_weights(name, draws)?;
        }
        let is_ready = |(_, slot): &(u64, Slot)| self.servers[*slot].health == Health::Ready;
        rule(
            self.ring.iter().all(is_ready),
            "only ready servers have points on the ring",
            &|| format!("{} points", self.ring.len()),
        )?;
        let in_ready = self.subset.slots.iter().all(|slot| self.ready.slots.contains(slot));
        rule(in_ready, "the subset consists of ready servers", &|| {
            format!("{:?}", self.subset.slots)
        })?;
        rule(self.retry_budget >= 0.0, "the retry budget is not negative", &|| {
            self.retry_budget.to_string()
        })
    }

    /// Checks the invariants over the attempts of one request.
    fn check_attempts(&self, id: RequestId, request: &Request) -> Result<(), Violation> {
        let rule = Violation::unless;
        let attempts = &request.attempts;
        let found = &|| format!("{id:?}: {attempts:?}");
        rule(
            attempts.iter().all(|a| a.sent_at < request.deadline && a.sent_at <= self.now),
            "nothing is sent at or after the deadline",
            found,
        )?;
        let waiting = attempts.iter().filter(|a| a.state == AttemptState::InFlight).count();
        rule(
            waiting <= 1 || self.settings.limits.may_duplicate,
            "two attempts are open only where hedging is allowed",
            found,
        )?;
        rule(
            request.streaming || attempts.iter().all(|a| !a.response_started),
            "an answer that has begun makes its request a stream",
            found,
        )?;
        let class = &self.settings.classes[request.class];
        let may_have_run = || attempts.iter().filter(|a| a.state != AttemptState::NeverRan);
        let same_scope = may_have_run().zip(may_have_run().skip(1)).all(|(first, next)| {
            class.dedup_scope.covers_both((first.zone, first.cell), (next.zone, next.cell))
        });
        rule(
            class.repeat != RetrySafety::Keyed || same_scope,
            "the attempts of a keyed request share a deduplication scope",
            found,
        )
    }

    /// Checks that each server of the list has exactly one slot.
    fn check_servers(&self) -> Result<(), Violation> {
        for (id, slot) in &self.by_id {
            let found = self.servers.get(*slot).map(|s| s.id);
            Violation::unless(found == Some(*id), "a server id maps to its slot", &|| {
                format!("{id:?} in {slot}: {found:?}")
            })?;
        }
        for (slot, s) in self.servers.iter().enumerate() {
            let known = self.by_id.get(&s.id).copied();
            Violation::unless(known == Some(slot), "a server has one slot", &|| {
                format!("{:?} in {slot} and {known:?}", s.id)
            })?;
        }
        Ok(())
    }

    /// Checks the weights by which servers are drawn.
    fn check_weights(&self, name: &str, draws: &WeightedSlots) -> Result<(), Violation> {
        let rule = Violation::unless;
        let found = &|| format!("{name}: {:?} of {:?}", draws.sums, draws.slots);
        rule(
            draws.sums.len() == draws.slots.len(),
            "each server that is drawn has a weight",
            found,
        )?;
        let rising = draws.sums.windows(2).all(|pair| pair[0] < pair[1]);
        let finite = draws.sums.iter().all(|sum| sum.is_finite() && *sum > 0.0);
        rule(rising && finite, "weights are above 0, and their sum is finite", found)?;
        let before = std::iter::once(0.0).chain(draws.sums.iter().copied());
        for ((slot, sum), before) in draws.slots.iter().zip(&draws.sums).zip(before) {
            let s = &self.servers[*slot];
            // Differences of running sums lose the last digits of a weight. The weight of a remote
            // server changes with answers if the cross-zone price is above 0.
            let max_weight = s.power.max(1.0) * self.warmth(s) + sum * f64::EPSILON * 4.0;
            rule(
                self.warmth(s) >= 1.0 || sum - before <= max_weight,
                "the draw weight of a cold server does not exceed its current capacity",
                &|| format!("{name}, {:?}: {} of {max_weight}", s.id, sum - before),
            )?;
        }
        Ok(())
    }
}

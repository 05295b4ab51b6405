//! What may never be inside the decisions, by name. Nothing here changes anything.

use millethook_machine::Violation;

use super::super::*;
use crate::draws::Draws;

impl Balancer {
    /// Checks every invariant of the decisions' state. Nothing in the running product calls it: it looks at each request,
    /// server and timer. After a change of settings, requests under way may break rules that came with it.
    ///
    /// # Errors
    /// The first one that is broken, with the values.
    pub fn check_invariants(&self) -> Result<(), Violation> {
        let rule = Violation::unless;
        let mut out = vec![0u32; self.servers.len()];
        for (id, request) in &self.requests {
            let class = &self.settings.classes[request.class];
            let attempts = &request.attempts;
            rule(attempts.len() <= request.most_attempts, "attempts are bounded", &|| {
                format!("{id:?}: {} of {}", attempts.len(), request.most_attempts)
            })?;
            rule(
                !request.ended || request.out() > 0,
                "what has ended and owes nothing is forgotten",
                &|| format!("{id:?}: {attempts:?}"),
            )?;
            let ran = attempts.iter().position(|a| a.fate != Fate::NeverRan);
            let again = ran.is_some_and(|n| n + 1 < attempts.len());
            rule(
                class.repeat != RetrySafety::Unsafe || !again,
                "an unsafe request goes out again only if it is known not to have run",
                &|| format!("{id:?}: {attempts:?}"),
            )?;
            let watched = self.alarms.values().filter(|alarm| {
                matches!(alarm, Alarm::Copy(of) | Alarm::Late(of) | Alarm::Overdue(of) if of == id)
            });
            let timers = watched.count();
            rule(
                timers == 1 || request.ended || request.streaming,
                "every open request has one timer",
                &|| format!("{id:?}: {timers} timers, {attempts:?}"),
            )?;
            self.check_attempts(*id, request)?;
            for a in attempts.iter().filter(|a| a.fate == Fate::Out && !a.begun) {
                let here = self.servers.get(a.slot).filter(|s| s.id == a.server);
                if here.is_some() {
                    out[a.slot] += 1;
                }
            }
        }
        for (slot, s) in self.servers.iter().enumerate() {
            rule(
                s.in_flight == out[slot],
                "in-flight counts are those of the attempts that are out",
                &|| format!("{:?}: {}, {} are out", s.id, s.in_flight, out[slot]),
            )?;
            rule(
                s.in_flight > 0 || s.silent_since.is_none(),
                "who owes nothing is not silent",
                &|| format!("{:?}: since {:?}", s.id, s.silent_since),
            )?;
            rule(s.power > 0.0 && s.slowness > 0.0, "powers and slowness are above 0", &|| {
                format!("{:?}: {} and {}", s.id, s.power, s.slowness)
            })?;
        }
        self.check_servers()?;
        for (name, draws) in [("ready", &self.ready), ("subset", &self.subset)] {
            let well = |slot: &Slot| self.servers[*slot].health == Health::Ready;
            rule(draws.slots.iter().all(well), "only ready servers are drawn", &|| {
                name.to_owned()
            })?;
            self.check_weights(name, draws)?;
        }
        let well = |(_, slot): &(u64, Slot)| self.servers[*slot].health == Health::Ready;
        rule(self.ring.iter().all(well), "only ready servers have points on the ring", &|| {
            format!("{} points", self.ring.len())
        })?;
        let inside = self.subset.slots.iter().all(|slot| self.ready.slots.contains(slot));
        rule(inside, "the subset is one of the ready servers", &|| {
            format!("{:?}", self.subset.slots)
        })?;
        rule(self.retry_budget >= 0.0, "no more is retried than was saved up", &|| {
            self.retry_budget.to_string()
        })
    }

    /// Checks what the attempts of one request have in common.
    fn check_attempts(&self, id: RequestId, request: &Request) -> Result<(), Violation> {
        let rule = Violation::unless;
        let attempts = &request.attempts;
        let found = &|| format!("{id:?}: {attempts:?}");
        rule(
            attempts.iter().all(|a| a.sent < request.deadline && a.sent <= self.now),
            "nothing is sent at or after the deadline",
            found,
        )?;
        let waiting = attempts.iter().filter(|a| a.fate == Fate::Out).count();
        rule(
            waiting <= 1 || self.settings.limits.may_duplicate,
            "two attempts are out only where a copy is allowed",
            found,
        )?;
        rule(
            request.streaming || attempts.iter().all(|a| !a.begun),
            "an answer that has begun makes its request a stream",
            found,
        )?;
        let class = &self.settings.classes[request.class];
        let touching = || attempts.iter().filter(|a| a.fate != Fate::NeverRan);
        let alike = touching().zip(touching().skip(1)).all(|(first, next)| {
            class.dedup_scope.shares((first.zone, first.cell), (next.zone, next.cell))
        });
        rule(
            class.repeat != RetrySafety::Keyed || alike,
            "a keyed request goes to servers that know of each other's effects",
            found,
        )
    }

    /// Checks that each server of the list stands in one slot.
    fn check_servers(&self) -> Result<(), Violation> {
        for (id, slot) in &self.by_id {
            let found = self.servers.get(*slot).map(|s| s.id);
            Violation::unless(found == Some(*id), "a server is found in its slot", &|| {
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
    fn check_weights(&self, name: &str, draws: &Draws) -> Result<(), Violation> {
        let rule = Violation::unless;
        let found = &|| format!("{name}: {:?} of {:?}", draws.sums, draws.slots);
        rule(
            draws.sums.len() == draws.slots.len(),
            "each server that is drawn has a weight",
            found,
        )?;
        let rising = draws.sums.windows(2).all(|pair| pair[0] < pair[1]);
        let sound = draws.sums.iter().all(|sum| sum.is_finite() && *sum > 0.0);
        rule(rising && sound, "weights are above 0, and their sum is finite", found)?;
        let before = std::iter::once(0.0).chain(draws.sums.iter().copied());
        for ((slot, sum), before) in draws.slots.iter().zip(&draws.sums).zip(before) {
            let s = &self.servers[*slot];
            // Sums lose the last digits of a weight. The weight of one across a priced crossing moves with answers.
            let most = s.power.max(1.0) * self.warmth(s) + sum * f64::EPSILON * 4.0;
            rule(
                self.warmth(s) >= 1.0 || sum - before <= most,
                "a cold server is drawn by no more than what it can do by now",
                &|| format!("{name}, {:?}: {} of {most}", s.id, sum - before),
            )?;
        }
        Ok(())
    }
}

//! Server selection: the better of two random draws among the servers that qualify.

use super::*;

/// Draws for each of the two picks. With half of the servers unavailable, one in 250 picks finds
/// none.
const DRAWS_PER_PICK: usize = 8;
/// The decay time of a load report, in multiples of the longest aim.
const REPORT_DECAY_AIMS: f64 = 2.0;
/// By how many open requests (per unit of capacity) a local server must exceed a remote one, or a
/// server without chips one that has some, before the other is used: requests behind a longer queue
/// would be late.
const FALLBACK_MARGIN: f64 = 4.0;
/// A server may look this slow by chance: a dozen answers whose standard deviation equals their
/// mean.
const SLOWNESS_TOLERANCE: f64 = 1.6;

impl Balancer {
    /// Draws a random server by weight, from this sidecar's subset or from all ready servers.
    fn draw(&mut self, from_all: bool) -> Slot {
        let u = self.uniform();
        if from_all { self.ready.select(u) } else { self.subset.select(u) }
    }

    /// Returns whether the server gets ordinary requests. An unhealthy server gets only single
    /// trials, at growing intervals.
    pub(super) fn healthy(&self, s: &Server) -> bool {
        // Without the second condition, where the network spoils answers of all servers now and
        // then, a server limited to a single trial after each leaves its share to the others. A
        // single reset does not limit a server to one trial.
        let trial = s.failures > 0 && s.ejected_until > 0 && s.in_flight > 0;
        !self.is_silent(s) && !trial && self.now >= s.ejected_until
    }

    pub(super) fn is_silent(&self, s: &Server) -> bool {
        s.unanswered_since.is_some_and(|t| self.now - t > self.longest_aim as Micros)
    }

    /// Returns whether the server may be picked: it has chips, or its ResetInterval has passed.
    ///
    /// A busy sidecar fills a short queue at once, and the queue is empty again a moment later. If
    /// it left the server out for as long as a sidecar with little traffic does, that server would
    /// be idle while the others fill up. Its ResetInterval is therefore the time of a few requests,
    /// too. Where servers stay full, this costs one attempt per interval.
    fn qualifies(&self, s: &Server) -> bool {
        let interval = self.sample_weight(self.reset_interval as f64) as Micros;
        s.chips > 0 || s.last_received.is_none_or(|t| self.now - t > interval)
    }

    /// Algorithm 3 of the paper. Returns `None` if no server can take the request.
    pub(super) fn pick(&mut self, request: &Request) -> Option<Slot> {
        if self.ready.slots.is_empty() {
            return None;
        }
        if self.rate > 2.0 * self.ranked_at_rate.max(1.0) {
            self.choose_subset();
        } else if self.now - self.weights_updated > self.settings.rules.cold / 64 {
            self.update_weights();
        }
        let mut best: Option<Slot> = None;
        let mut without_chips: Option<Slot> = None;
        let mut least_ejected: Option<Slot> = None;
        let key_server = self.server_for_key(request.key);
        for pick_number in 0..2 {
            for redraws in 0..DRAWS_PER_PICK {
                // Draws from the whole fleet if the subset has no healthy server, but not if it is
                // merely full.
                let found = best.is_some() || without_chips.is_some();
                let random_slot = self.draw(redraws >= DRAWS_PER_PICK / 2 && !found);
                let key_slot = key_server.filter(|_| redraws == 0 && pick_number == 0);
                let slot = key_slot.unwrap_or(random_slot);
                // Without this, a cold server gets all requests for the keys that are mapped to it.
                let warmth = self.warmth(&self.servers[slot]);
                if key_slot.is_some() && warmth < 1.0 && self.uniform() > warmth {
                    continue;
                }
                let s = &self.servers[slot];
                // Without this, when most servers have no chips, redraws pile up on the cold
                // servers that still qualify, and so do retries of requests that full servers
                // refused. A cold server can be picked only on the first draw of the first attempt.
                if (redraws > 0 || !request.attempts.is_empty()) && self.warmth(s) < 1.0 {
                    continue;
                }
                let attempted = request.attempts.iter().any(|a| a.slot == slot);
                if attempted || best == Some(slot) || !self.may_send(request, s) {
                    continue;
                }
                if !self.healthy(s) {
                    let soonest = |other: Slot| match self.servers[other].ejected_until {
                        until if until < s.ejected_until => other,
                        _ => slot,
                    };
                    least_ejected = Some(least_ejected.map_or(slot, soonest));
                    continue;
                }
                // Without this, a slow server that still answers keeps its share of requests and
                // makes them late. The slower a server is relative to the others, the more often it
                // is skipped.
                let excess_slowness = s.slowness / SLOWNESS_TOLERANCE;
                if excess_slowness > 1.0
                    && self.uniform() * excess_slowness.powf(self.settings.failover.slow_exponent)
                        > 1.0
                {
                    continue;
                }
                let s = &self.servers[slot];
                if self.qualifies(s) {
                    best = Some(best.map_or(slot, |other| self.less_utilized(other, slot)));
                    break;
                }
                without_chips =
                    Some(without_chips.map_or(slot, |other| self.less_utilized(other, slot)));
            }
        }
        // Where the network spoils answers of all servers alike, ejecting each server that fails
        // ejects all of them and refuses requests that most of them could serve. A request that
        // finds no healthy server therefore goes to the one whose ejection ends first. If the
        // servers are really down, this costs an attempt instead of a refusal.
        // Without the comparison below, where some queues are short, all requests that those
        // servers refuse pile up on servers with chips and are late there. A server without chips
        // that has few open requests is free sooner, or costs a busy sidecar one attempt.
        let fallback_limit = without_chips
            .map_or(f64::MAX, |slot| self.utilization(&self.servers[slot]) + FALLBACK_MARGIN);
        let best = best.filter(|&b| {
            self.rate <= LOW_RATE_PER_S || self.utilization(&self.servers[b]) < fallback_limit
        });
        let chosen = best.or(without_chips).or(least_ejected);
        let chosen = self.fallback(request, chosen, best.is_some()).or(chosen)?;
        // Without this, after a loss of servers the few that are left get the load of all, and a
        // cold one among them collapses. A cold server gets its multiple of what it can do, and the
        // rest is refused. Shortly after servers were removed together with their load this refuses
        // too much, until the former capacity is forgotten.
        let share = self.settings.rules.fall_multiple * self.capacity.remaining_share();
        let cold = self.warmth(&self.servers[chosen]) < 1.0;
        (!cold || share >= 1.0 || self.uniform() < share).then_some(chosen)
    }

    /// Finds a server with chips if the draws found none, or a remote server if the local one is
    /// loaded by this sidecar's own count of open requests.
    ///
    /// Adjusting the cross-zone share alone is too slow: it follows answers, which are late where
    /// load piles up, and draws by that share may hit no remote server at all. The cross-zone price
    /// is not paid if the remote servers are as loaded.
    fn fallback(&mut self, request: &Request, best: Option<Slot>, qualified: bool) -> Option<Slot> {
        let cross_zone_priced = self.settings.prices.cross_zone > 0.0;
        let max_utilization = match best.map(|slot| &self.servers[slot]) {
            Some(s) if qualified && (!cross_zone_priced || self.is_remote(s)) => return None,
            Some(s) if qualified => self.utilization(s) - FALLBACK_MARGIN,
            // A sidecar with little traffic does not know well which servers hold chips.
            Some(_) if request.attempts.is_empty() && self.rate <= LOW_RATE_PER_S => return None,
            Some(s) => self.utilization(s) + FALLBACK_MARGIN,
            None => f64::INFINITY,
        };
        let start = if max_utilization < 0.0 { return None } else { self.rng.next_u64() as usize };
        let eligible = |slot: Slot, needs_chips: bool| {
            let s = &self.servers[slot];
            let attempted = request.attempts.iter().any(|a| a.slot == slot);
            let available =
                self.healthy(s) && (!needs_chips || self.qualifies(s)) && self.warmth(s) >= 1.0;
            let on_side = !qualified || (self.is_remote(s) && s.slowness <= SLOWNESS_TOLERANCE);
            available
                && on_side
                && !attempted
                && self.utilization(s) <= max_utilization
                && self.may_send(request, s)
        };
        let (after, before) = self.subset.slots.split_at(start % self.subset.slots.len());
        let least_utilized = |needs_chips: bool| {
            let all =
                after.iter().chain(before).copied().filter(|&slot| eligible(slot, needs_chips));
            let utilization = |slot: &Slot| self.utilization(&self.servers[*slot]);
            all.min_by(|a, b| utilization(a).total_cmp(&utilization(b)))
        };
        least_utilized(true).or_else(|| best.is_none().then(|| least_utilized(false)).flatten())
    }

    fn utilization(&self, s: &Server) -> f64 {
        f64::from(s.in_flight) / (s.power * self.warmth(s))
    }

    /// Returns the less utilized of two servers by this sidecar's own count; the cost breaks a tie.
    fn less_utilized(&self, a: Slot, b: Slot) -> Slot {
        let rank =
            |slot: Slot| (self.utilization(&self.servers[slot]), self.cost(&self.servers[slot]));
        if rank(a) <= rank(b) { a } else { b }
    }

    /// Estimates the cost of a server from what others report: its last load report, decaying
    /// towards the mean load. An unknown server has to look average, or a new server would get all
    /// requests or none.
    fn cost(&self, s: &Server) -> f64 {
        let age = self.now.saturating_sub(s.reported_at) as f64;
        let freshness = (-age / (REPORT_DECAY_AIMS * self.longest_aim)).exp();
        let load = s.load / (s.power * self.warmth(s));
        let crossing = if self.is_remote(s) { self.settings.prices.cross_zone } else { 0.0 };
        let price_factor = (CROSS_ZONE_COST_EXPONENT * crossing).exp();
        (1.0 + freshness * load + (1.0 - freshness) * self.mean_load) * s.slowness * price_factor
    }
}

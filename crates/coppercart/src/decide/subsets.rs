//! Which servers this sidecar draws from, and with which weights: slow start, zones, subsets and
//! key affinity.

use super::*;

/// The request rate up to which each answer moves the cross-zone share by a full step.
const FULL_STEP_RATE_PER_S: f64 = 4.0;
/// The minimum size of a sidecar's subset: with two failing servers there must still be a choice,
/// and the load of all subsets together must even out over the servers.
const MIN_SUBSET_SIZE: usize = 5;
/// The maximum cost of the open connections of all subsets, in points of the score.
const MAX_CONNECTION_COST: f64 = 0.05;
const RING_POINTS_PER_SERVER: f64 = 16.0;
/// With fewer servers than this in its own zone, a sidecar maps keys to servers of all zones.
const MIN_LOCAL_RING_SERVERS: usize = 3;

impl Balancer {
    /// Returns the share of its full capacity that a server has reached for certain since its
    /// start.
    pub(super) fn warmth(&self, s: &Server) -> f64 {
        let rules = &self.settings.rules;
        if s.started == 0 {
            return 1.0;
        }
        let age = self.now.saturating_sub(s.started) as f64;
        let progress = (age / (rules.cold.max(1) as f64)).min(1.0);
        rules.cold_share + (1.0 - rules.cold_share) * progress
    }

    fn relative_power(&self, s: &Server) -> f64 {
        match self.settings.weight_kind {
            WeightKind::Nominal | WeightKind::Rough => s.power,
            WeightKind::Silent | WeightKind::Live => 1.0,
        }
    }

    /// Returns the current capacity, in units of a warm server of average power.
    fn current_capacity(&self, s: &Server) -> f64 {
        self.relative_power(s) * self.warmth(s)
    }

    fn weight(&self, s: &Server) -> f64 {
        // A cold server survives only a few times its current capacity. Weighted by that capacity
        // it gets its fair share, even if all sidecars do the same.
        let crossing = if self.is_remote(s) { self.remote_share } else { 1.0 };
        self.current_capacity(s) * crossing
    }

    /// Returns whether the cross-zone price applies to the server.
    pub(super) fn is_remote(&self, s: &Server) -> bool {
        self.settings.prices.cross_zone > 0.0 && s.zone != self.settings.zone
    }

    /// Chooses this sidecar's subset by rendezvous hashing.
    ///
    /// A sidecar with little traffic that sends to the whole fleet gets one answer per server in a
    /// minute, and thousands of such sidecars fill the servers' connection tables. The subset is
    /// sized so that the sidecar's knowledge of its servers stays fresh.
    pub(super) fn choose_subset(&mut self) {
        let seed = mix(u64::from(self.settings.me));
        let (servers, ready) = (&self.servers, &mut self.ready.slots);
        ready.clear();
        ready.extend((0..servers.len()).filter(|&i| servers[i].health == Health::Ready));
        // Without this, with many zones even a low weight for each remote server makes most draws
        // remote.
        let remote_count =
            self.ready.slots.iter().filter(|&&i| self.is_remote(&self.servers[i])).count();
        let local_count = (self.ready.slots.len() - remote_count).max(1) as f64;
        self.min_remote_share =
            MIN_REMOTE_SHARE * (local_count / remote_count.max(1) as f64).min(1.0);
        let rank = |&slot: &Slot| {
            let s = &self.servers[slot];
            let share = if self.is_remote(s) { self.initial_remote_share } else { 1.0 };
            let u = (mix(s.id.0 ^ seed) >> 11) as f64 / (1u64 << 53) as f64;
            (-u.max(f64::MIN_POSITIVE).ln() / share, slot)
        };
        let mut ranked: Vec<(f64, Slot)> = self.ready.slots.iter().map(rank).collect();
        self.ranked_at_rate = self.rate;
        let mut size = MIN_SUBSET_SIZE;
        // Each server of the subset costs an open connection, and connections can cost more than
        // the larger choice gains. This limits the subset to a fixed cost.
        if self.settings.prices.connection > 0.0 {
            let cost_per_server =
                self.settings.prices.connection * f64::from(self.settings.instances);
            let max_size =
                MAX_CONNECTION_COST * 100.0 * ranked.len() as f64 / cost_per_server.max(1e-9);
            size = size.min((max_size as usize).max(2));
        }
        // Without this, a few busy sidecars that all send to few servers overload a cold one.
        size = size.max((self.rate * self.reset_interval as f64 / 1e6) as usize);
        if size < ranked.len() {
            ranked.select_nth_unstable_by(size, |a, b| a.0.total_cmp(&b.0));
            ranked.truncate(size);
        }
        self.subset.slots = ranked.iter().map(|r| r.1).collect();
        self.servers.iter_mut().for_each(|s| s.in_subset = false);
        self.subset.slots.iter().for_each(|&slot| self.servers[slot].in_subset = true);
        let mut ring = std::mem::take(&mut self.ring);
        ring.clear();
        // With key affinity, requests reach every server from every sidecar. Where connections have
        // a price, the subset stays.
        let prices = &self.settings.prices;
        if self.settings.family_info.warm_keys && prices.connection + prices.handshake <= 0.0 {
            let is_local = |i: &Slot| !self.is_remote(&self.servers[*i]);
            let all_zones =
                self.ready.slots.iter().filter(|&i| is_local(i)).count() < MIN_LOCAL_RING_SERVERS;
            let ready = self.ready.slots.iter();
            let ring_servers: Vec<&Server> =
                ready.filter(|&i| all_zones || is_local(i)).map(|&i| &self.servers[i]).collect();
            let power = ring_servers.iter().map(|s| self.relative_power(s)).sum::<f64>()
                / ring_servers.len() as f64;
            for s in ring_servers {
                let points = (RING_POINTS_PER_SERVER * self.relative_power(s) / power)
                    .round()
                    .max(1.0) as u64;
                let slot = self.by_id[&s.id];
                ring.extend((1..=points).map(|n| (mix(s.id.0 ^ mix(n)), slot)));
            }
            ring.sort_unstable();
        }
        self.ring = ring;
        self.update_weights();
    }

    /// Returns the server that a key is mapped to, the same at all sidecars of a zone.
    ///
    /// Hot keys are not mapped: their server would be overloaded, and a hot key is warm on all
    /// servers anyway. A key counts as hot if this sidecar saw it recently.
    pub(super) fn server_for_key(&self, key: u64) -> Option<Slot> {
        if key == 0 || self.ring.is_empty() || self.recent_keys.contains(&key) {
            return None;
        }
        let at = mix(!key);
        let i = self.ring.partition_point(|&(point, _)| point < at);
        Some(self.ring[i % self.ring.len()].1)
    }

    /// Recomputes the draw weights.
    pub(super) fn update_weights(&mut self) {
        self.weights_updated = self.now;
        let weight = |slot: Slot| self.weight(&self.servers[slot]);
        let (ready, subset) = (self.ready.running_sums(weight), self.subset.running_sums(weight));
        let slots = self.ready.slots.iter();
        let current = slots.map(|&slot| self.current_capacity(&self.servers[slot])).sum();
        (self.ready.sums, self.subset.sums) = (ready, subset);
        self.capacity.observe(self.now, self.settings.rules.cold, current);
    }

    /// Adjusts the share of cross-zone requests by the load that answers show on the local and the
    /// remote side, with a bias towards a slightly higher local load. A zone may have too few
    /// servers for its own traffic.
    pub(super) fn adjust_cross_zone_share(&mut self, slot: Slot, load: f64) {
        let side = usize::from(self.is_remote(&self.servers[slot]));
        self.side_load[side] +=
            self.sample_weight(MEAN_SAMPLE_WEIGHT) * (load - self.side_load[side]);
        let [local, remote] = self.side_load;
        let imbalance =
            (local / remote).ln() - CROSS_ZONE_COST_EXPONENT * self.settings.prices.cross_zone;
        // With a full step for each of many answers, the share would reach a limit before any
        // answer shows its effect.
        let step = 0.5 * (FULL_STEP_RATE_PER_S / self.rate.max(FULL_STEP_RATE_PER_S));
        let adjusted = self.remote_share * (step * imbalance.clamp(-1.0, 1.0)).exp();
        self.remote_share = adjusted.clamp(self.min_remote_share, 1.0);
    }
}

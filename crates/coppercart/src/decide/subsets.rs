//! Which servers this sidecar draws from, and how often: warmth, zones, its own subset, keys.

use super::*;

/// The rate up to which each answer moves the share that crosses in full.
const FULL_STEP_RATE: f64 = 4.0;
/// The least number of servers in a sidecar's subset: two sick ones must leave a choice, and the
/// load that subsets lay on servers must even out.
const SUBSET: usize = 5;
/// What the open connections of all subsets may cost, in points of the result.
const CONNECTIONS_COST: f64 = 0.05;
const RING_POINTS: f64 = 16.0;
/// With fewer servers than this in its own zone, a sidecar puts keys on servers of all zones.
const RING_LEAST: usize = 3;

impl Balancer {
    /// The share of its full capacity that a server surely has by now.
    pub(super) fn warmth(&self, s: &Server) -> f64 {
        let rules = &self.settings.rules;
        if s.started == 0 {
            return 1.0;
        }
        let age = self.now.saturating_sub(s.started) as f64;
        let grown = (age / (rules.cold.max(1) as f64)).min(1.0);
        rules.cold_share + (1.0 - rules.cold_share) * grown
    }

    fn listed(&self, s: &Server) -> f64 {
        match self.settings.weight_kind {
            PowerMeans::Nominal | PowerMeans::Rough => s.power,
            PowerMeans::Silent | PowerMeans::Live => 1.0,
        }
    }

    /// What it can do by now, in units of a warm server of usual power.
    fn capacity_of(&self, s: &Server) -> f64 {
        self.listed(s) * self.warmth(s)
    }

    fn weight(&self, s: &Server) -> f64 {
        // A cold server takes a few times its present capacity and no more. Drawn by
        // that capacity it gets its due even if all sidecars do the same.
        let crossing = if self.is_remote(s) { self.remote_share } else { 1.0 };
        self.capacity_of(s) * crossing
    }

    /// Whether sending there has a price that sending nearby has not.
    pub(super) fn is_remote(&self, s: &Server) -> bool {
        self.settings.prices.cross_zone > 0.0 && s.zone != self.settings.zone
    }

    /// Chooses this sidecar's subset. A quiet sidecar that sends to the whole fleet hears
    /// of a server once in a minute, and thousands of them fill the servers' connection tables.
    /// Each draws from a subset of its own, by rendezvous hashing, sized by what it can keep fresh.
    pub(super) fn choose_subset(&mut self) {
        let me = mix(u64::from(self.settings.me));
        let (servers, ready) = (&self.servers, &mut self.ready.slots);
        ready.clear();
        ready.extend((0..servers.len()).filter(|&i| servers[i].health == Health::Ready));
        // Without this, with many zones even a low weight for each remote server makes most draws remote.
        let away = self.ready.slots.iter().filter(|&&i| self.is_remote(&self.servers[i])).count();
        let near = (self.ready.slots.len() - away).max(1) as f64;
        self.least_remote_share = LEAST_REMOTE_SHARE * (near / away.max(1) as f64).min(1.0);
        let rank = |&slot: &Slot| {
            let s = &self.servers[slot];
            let share = if self.is_remote(s) { self.initial_remote_share } else { 1.0 };
            let u = (mix(s.id.0 ^ me) >> 11) as f64 / (1u64 << 53) as f64;
            (-u.max(f64::MIN_POSITIVE).ln() / share, slot)
        };
        let mut ranked: Vec<(f64, Slot)> = self.ready.slots.iter().map(rank).collect();
        self.ranked_at_rate = self.rate;
        let mut size = SUBSET;
        // Each server of the subset is an open connection, and they can cost more than the
        // choice earns. The subset is cut to what a set price buys.
        if self.settings.prices.connection > 0.0 {
            let each = self.settings.prices.connection * f64::from(self.settings.instances);
            let most = CONNECTIONS_COST * 100.0 * ranked.len() as f64 / each.max(1e-9);
            size = size.min((most as usize).max(2));
        }
        // Without this, the few busy sidecars together on few servers push a cold one over.
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
        // Kept apart by their keys, requests reach every server from every sidecar. Where
        // connections have a price the subset stays.
        let prices = &self.settings.prices;
        if self.settings.family_info.warm_keys && prices.connection + prices.handshake <= 0.0 {
            let near = |i: &Slot| !self.is_remote(&self.servers[*i]);
            let all = self.ready.slots.iter().filter(|&i| near(i)).count() < RING_LEAST;
            let ready = self.ready.slots.iter();
            let on_it: Vec<&Server> =
                ready.filter(|&i| all || near(i)).map(|&i| &self.servers[i]).collect();
            let power = on_it.iter().map(|s| self.listed(s)).sum::<f64>() / on_it.len() as f64;
            for s in on_it {
                let points = (RING_POINTS * self.listed(s) / power).round().max(1.0) as u64;
                let slot = self.by_id[&s.id];
                ring.extend((1..=points).map(|n| (mix(s.id.0 ^ mix(n)), slot)));
            }
            ring.sort_unstable();
        }
        self.ring = ring;
        self.update_weights();
    }

    /// The server that a key is at home with, the same at all sidecars of a zone. The home of a hot key would drown,
    /// and such a key is warm everywhere. One that this single sidecar met lately is hot.
    pub(super) fn home(&self, key: u64) -> Option<Slot> {
        if key == 0 || self.ring.is_empty() || self.recent_keys.contains(&key) {
            return None;
        }
        let at = mix(!key);
        let i = self.ring.partition_point(|&(point, _)| point < at);
        Some(self.ring[i % self.ring.len()].1)
    }

    /// Sets the draw weights anew.
    pub(super) fn update_weights(&mut self) {
        self.weights_updated = self.now;
        let weight = |slot: Slot| self.weight(&self.servers[slot]);
        let (ready, subset) = (self.ready.running_sums(weight), self.subset.running_sums(weight));
        let slots = self.ready.slots.iter();
        let current = slots.map(|&slot| self.capacity_of(&self.servers[slot])).sum();
        (self.ready.sums, self.subset.sums) = (ready, subset);
        self.capacity.observe(self.now, self.settings.rules.cold, current);
    }

    /// The servers of a zone can be too few for its traffic. The share that crosses moves
    /// with how loaded answers show home and away to be, towards a slightly higher load at home.
    pub(super) fn adjust_cross_zone_share(&mut self, slot: Slot, loaded: f64) {
        let side = usize::from(self.is_remote(&self.servers[slot]));
        self.side_load[side] += self.sample_weight(MEAN_WEIGHT) * (loaded - self.side_load[side]);
        let [home, away] = self.side_load;
        let pull = (home / away).ln() - CROSSING_WORTH * self.settings.prices.cross_zone;
        // Moved in full by each of many answers, the share would be at one end before any tells what it did.
        let step = 0.5 * (FULL_STEP_RATE / self.rate.max(FULL_STEP_RATE));
        let moved = self.remote_share * (step * pull.clamp(-1.0, 1.0)).exp();
        self.remote_share = moved.clamp(self.least_remote_share, 1.0);
    }
}

//! Copies and fingerprints of the whole state. An exploration restores earlier states and
//! recognises states that it has visited. Read-only.
//!
//! Every struct is destructured by name: a new field that is missing here does not compile.

use std::hash::{Hash, Hasher};

use super::super::*;

impl Clone for Server {
    fn clone(&self) -> Server {
        Server { mean_queue: self.mean_queue.clone(), ..*self }
    }
}

impl Clone for Attempt {
    fn clone(&self) -> Attempt {
        Attempt { ..*self }
    }
}

impl Clone for Request {
    fn clone(&self) -> Request {
        Request { attempts: self.attempts.clone(), ..*self }
    }
}

impl Clone for Balancer {
    fn clone(&self) -> Balancer {
        Balancer {
            settings: self.settings.clone(),
            rng: self.rng.clone(),
            servers: self.servers.clone(),
            by_id: self.by_id.clone(),
            ready: self.ready.clone(),
            subset: self.subset.clone(),
            ring: self.ring.clone(),
            requests: self.requests.clone(),
            timers: self.timers.clone(),
            class_stats: self.class_stats.clone(),
            lateness: self.lateness.clone(),
            ..*self
        }
    }
}

/// Converts floats to a hashable form; equal bits count as equal.
fn bits<const N: usize>(values: [f64; N]) -> [u64; N] {
    values.map(f64::to_bits)
}

impl Balancer {
    /// Hashes all of the state except the settings. Two balancers with the same settings and the
    /// same hashed values behave the same from here on.
    pub fn fingerprint(&self, hasher: &mut impl Hasher) {
        let Balancer {
            settings: _,
            rng,
            servers,
            by_id,
            ready,
            subset,
            ring,
            recent_keys,
            next_recent_key,
            weights_updated,
            capacity,
            ranked_at_rate,
            remote_share,
            initial_remote_share,
            min_remote_share,
            side_load,
            rate,
            rate_at,
            requests,
            timers,
            next_token,
            class_stats,
            lateness,
            mean_load,
            retry_budget,
            subscribe_failures,
            queue_column,
            load_column,
            held_column,
            answer_mean,
            longest_aim,
            reset_interval,
            now,
        } = self;
        // The generator has 128 bits of state; its next two outputs stand for it.
        let mut ahead = rng.clone();
        (ahead.next_u64(), ahead.next_u64()).hash(hasher);
        servers.iter().for_each(|server| server.fingerprint(hasher));
        let mut ids: Vec<_> = by_id.iter().collect();
        ids.sort_unstable();
        ids.hash(hasher);
        for draws in [ready, subset] {
            draws.slots.hash(hasher);
            draws.sums.iter().for_each(|sum| sum.to_bits().hash(hasher));
        }
        ring.hash(hasher);
        (recent_keys, next_recent_key, weights_updated, rate_at, next_token, subscribe_failures)
            .hash(hasher);
        bits([*ranked_at_rate, *remote_share, *initial_remote_share, *min_remote_share])
            .hash(hasher);
        bits([side_load[0], side_load[1], *rate, *mean_load, *retry_budget]).hash(hasher);
        let mut open: Vec<_> = requests.iter().collect();
        open.sort_unstable_by_key(|(id, _)| **id);
        open.len().hash(hasher);
        for (id, request) in open {
            id.hash(hasher);
            request.fingerprint(hasher);
        }
        let mut set: Vec<_> = timers.iter().collect();
        set.sort_unstable_by_key(|(token, _)| **token);
        for (token, timer_kind) in set {
            let (kind, id) = match timer_kind {
                TimerKind::EarlyHedge(id) => (0u8, id.0),
                TimerKind::LateHedge(id) => (1, id.0),
                TimerKind::Deadline(id) => (2, id.0),
                TimerKind::Subscribe => (3, 0),
            };
            (token, kind, id).hash(hasher);
        }
        for ClassStats { base_latency, mean_latency, has_samples, mean_hint } in class_stats {
            (bits([*base_latency, *mean_latency, *mean_hint]), has_samples).hash(hasher);
        }
        lateness.fingerprint(hasher);
        capacity.fingerprint(hasher);
        (queue_column, load_column, held_column).hash(hasher);
        bits([answer_mean.0, answer_mean.1, *longest_aim]).hash(hasher);
        (reset_interval, now).hash(hasher);
    }
}

impl Server {
    fn fingerprint(&self, hasher: &mut impl Hasher) {
        let Server {
            id,
            zone,
            cell,
            health,
            power,
            started,
            chips,
            in_flight,
            last_received,
            latest_answered_send,
            unanswered_since,
            failures,
            failed_at,
            ejected_until,
            load,
            reported_at,
            slowness,
            mean_queue,
            in_subset,
            draining_by_verdict,
        } = self;
        (id, zone, cell, *health as u8, started, chips, in_flight).hash(hasher);
        (last_received, latest_answered_send, unanswered_since, failures, failed_at, ejected_until)
            .hash(hasher);
        (bits([*power, *load, *slowness]), reported_at, in_subset, draining_by_verdict)
            .hash(hasher);
        mean_queue.fingerprint(hasher);
    }
}

impl Request {
    fn fingerprint(&self, hasher: &mut impl Hasher) {
        let Request { class, key, work_ratio, deadline, attempt_limit, ended, .. } = self;
        let Request { streaming, passing_on, attempts, .. } = self;
        (class, key, work_ratio.to_bits(), deadline, attempt_limit, ended, streaming).hash(hasher);
        (passing_on, attempts.len()).hash(hasher);
        for attempt in attempts {
            let Attempt { slot, server, zone, cell, sent_at, state, .. } = attempt;
            let Attempt { response_started, answer_begun, answer_paused, .. } = attempt;
            (slot, server, zone, cell, sent_at, *state as u8).hash(hasher);
            (response_started, answer_begun, answer_paused).hash(hasher);
        }
    }
}

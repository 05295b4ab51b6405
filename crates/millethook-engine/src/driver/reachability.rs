//! Tracks whether any server can be reached, judged by answers and not by the server list.

use std::time::{Duration, Instant};

use coppercart::api::ServerId;
use rustc_hash::FxHashMap;

/// This many silent servers count as isolation; fewer if fewer are listed.
const MIN_SILENT_SERVERS: usize = 2;
/// The most servers that are tracked at once.
const MAX_TRACKED_SERVERS: usize = 64;

/// Servers that got an attempt and have not answered since the last answer of any server.
#[derive(Default)]
pub(super) struct Reachability {
    silent: FxHashMap<ServerId, (Instant, bool)>,
    isolated: bool,
}

impl Reachability {
    /// An attempt is sent.
    pub fn on_sent(&mut self, server: ServerId, now: Instant) {
        if self.silent.len() < MAX_TRACKED_SERVERS || self.silent.contains_key(&server) {
            self.silent.entry(server).or_insert((now, false));
        }
    }

    /// An attempt failed: no connection, or no answer.
    pub fn on_failed(&mut self, server: ServerId, now: Instant) {
        self.on_sent(server, now);
        if let Some(silent) = self.silent.get_mut(&server) {
            silent.1 = true;
        }
    }

    /// A server has answered or accepted a connection.
    pub fn on_response(&mut self) {
        self.silent.clear();
        self.isolated = false;
    }

    /// Whether no server can be reached, as far as is known. Once true, it stays true until a server answers.
    pub fn is_isolated(&mut self, now: Instant, listed: usize, response_timeout: Duration) -> bool {
        let gave_no_answer =
            |(since, failed): &(Instant, bool)| *failed || now > *since + response_timeout;
        let silent = self.silent.values().filter(|server| gave_no_answer(server)).count();
        self.isolated |= listed == 0 || silent >= MIN_SILENT_SERVERS.min(listed);
        self.isolated
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn two_silent_servers_mean_isolation_until_one_answers() {
        let (mut reachability, now, response_timeout) =
            (Reachability::default(), Instant::now(), Duration::from_millis(100));
        let later = now + 2 * response_timeout;
        assert!(!reachability.is_isolated(now, 3, response_timeout));
        reachability.on_sent(ServerId(1), now);
        assert!(
            !reachability.is_isolated(later, 3, response_timeout),
            "a single server may be dead"
        );
        assert!(reachability.is_isolated(later, 1, response_timeout), "no other server is listed");
        reachability.on_response();
        reachability.on_sent(ServerId(1), now);
        reachability.on_failed(ServerId(2), now);
        assert!(
            !reachability.is_isolated(now, 3, response_timeout),
            "one got its attempt just now"
        );
        assert!(reachability.is_isolated(later, 3, response_timeout));
        reachability.on_sent(ServerId(3), later);
        assert!(
            reachability.is_isolated(later, 3, response_timeout),
            "isolation lasts until a server answers"
        );
        reachability.on_response();
        assert!(!reachability.is_isolated(later, 3, response_timeout));
        assert!(reachability.is_isolated(later, 0, response_timeout));
    }
}

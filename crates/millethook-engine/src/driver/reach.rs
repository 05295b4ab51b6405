//! Whether any server can be reached: known by what answers, not by what is listed.

use std::time::{Duration, Instant};

use coppercart::api::ServerId;
use rustc_hash::FxHashMap;

/// So many servers that say nothing are enough, where there are as many.
const ENOUGH: usize = 2;
/// Servers that are watched at once.
const MOST: usize = 64;

/// Servers that were sent something and have said nothing since any server was heard.
#[derive(Default)]
pub(super) struct Reach {
    silent: FxHashMap<ServerId, (Instant, bool)>,
    isolated: bool,
}

impl Reach {
    /// An attempt goes out.
    pub fn sent(&mut self, server: ServerId, now: Instant) {
        if self.silent.len() < MOST || self.silent.contains_key(&server) {
            self.silent.entry(server).or_insert((now, false));
        }
    }

    /// An attempt came to nothing: no connection, or no answer.
    pub fn failed(&mut self, server: ServerId, now: Instant) {
        self.sent(server, now);
        if let Some(silent) = self.silent.get_mut(&server) {
            silent.1 = true;
        }
    }

    /// A server has said something, or took a connection.
    pub fn heard(&mut self) {
        self.silent.clear();
        self.isolated = false;
    }

    /// Whether none can be reached, for all that is known. Once that is so it stays so until one is heard.
    pub fn is_isolated(&mut self, now: Instant, listed: usize, patience: Duration) -> bool {
        let dead = |(since, failed): &(Instant, bool)| *failed || now > *since + patience;
        let silent = self.silent.values().filter(|silent| dead(silent)).count();
        self.isolated |= listed == 0 || silent >= ENOUGH.min(listed);
        self.isolated
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn two_silent_servers_are_enough_and_one_answer_ends_it() {
        let (mut reach, now, patience) =
            (Reach::default(), Instant::now(), Duration::from_millis(100));
        let later = now + 2 * patience;
        assert!(!reach.is_isolated(now, 3, patience));
        reach.sent(ServerId(1), now);
        assert!(!reach.is_isolated(later, 3, patience), "one may be dead");
        assert!(reach.is_isolated(later, 1, patience), "there is no other one");
        reach.heard();
        reach.sent(ServerId(1), now);
        reach.failed(ServerId(2), now);
        assert!(!reach.is_isolated(now, 3, patience), "one was asked a moment ago");
        assert!(reach.is_isolated(later, 3, patience));
        reach.sent(ServerId(3), later);
        assert!(reach.is_isolated(later, 3, patience), "until one is heard");
        reach.heard();
        assert!(!reach.is_isolated(later, 3, patience));
        assert!(reach.is_isolated(later, 0, patience));
    }
}

//! Pushed discovery: an agent on the same machine can be asked at no cost, and a watch is always open.

use std::time::{Duration, Instant};

use tokio::sync::mpsc;

use super::call::{AnswerTimeouts, CallError, Connection, Query, call};
use super::{Discovery, DiscoveryCommand};
use crate::list::List;
use crate::sinks::MembershipSink;

/// How long the agent may hold a watch. Updates that a silent watch misses count as known; a short hold costs nothing
/// here and soon shows that the agent has fallen silent.
const WATCH_HOLD: Duration = Duration::from_millis(500);
/// The extra time for an answer, and the timeout between two pieces of it.
const ANSWER_GRACE: Duration = Duration::from_millis(700);
/// The delay between failing calls. It is short because the agent is on the same machine and costs nothing.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// An answer that is handled later than this after the end of its hold was sent long ago: this process was paused.
const LATE_ANSWER: Duration = Duration::from_millis(300);

/// The client of an agent that pushes lists.
pub(super) struct PushedDiscovery {
    discovery: Discovery,
    connection: Option<Connection>,
    /// How long the next watch may be held.
    hold: Duration,
}

impl PushedDiscovery {
    /// Creates a client that has made no call yet.
    pub(super) fn new(discovery: Discovery) -> PushedDiscovery {
        PushedDiscovery { discovery, connection: None, hold: WATCH_HOLD }
    }

    /// Runs the client. Whatever the agent knows counts as known to this process, so a watch is always open.
    pub(super) async fn run(
        mut self,
        sink: &impl MembershipSink,
        mut commands: mpsc::UnboundedReceiver<DiscoveryCommand>,
    ) {
        let mut address_changes = self.discovery.config.address.clone();
        loop {
            tokio::select! {
                // The old address may keep an open watch waiting, or accept a call that it never answers. It is
                // abandoned at once, even in the middle of a call.
                Ok(()) = address_changes.changed() => {
                    self.connection = None;
                    // Versions at the new address may be unrelated.
                    self.discovery.needs_whole_list = true;
                    continue;
                }
                list = self.call() => match list.filter(|list| self.discovery.deliver(sink, list)) {
                    // The next watch is not held, so it returns the current state at once.
                    Some(_) if self.hold.is_zero() => {}
                    Some(list) => {
                        self.discovery.config.clock.confirm();
                        if list.hosts.is_empty() {
                            // Limits the rate of calls to an agent that does not hold watches.
                            tokio::time::sleep(RETRY_INTERVAL / 5).await;
                        }
                    }
                    None if self.hold.is_zero() => sink.discovery_failed(),
                    None => {
                        sink.discovery_failed();
                        tokio::time::sleep(RETRY_INTERVAL).await;
                    }
                },
                command = commands.recv() => {
                    self.discovery.needs_whole_list |= command == Some(DiscoveryCommand::Fetch);
                    self.connection = None;
                }
            }
            self.discovery.config.call_ended.notify_one();
        }
    }

    /// Makes one call. After a call that returned no list, the next one uses a new connection.
    async fn call(&mut self) -> Option<List> {
        let query = self.discovery.query(self.hold);
        let hold = if matches!(query, Query::Whole) { Duration::ZERO } else { self.hold };
        let started = Instant::now();
        let timeouts = AnswerTimeouts { head: hold + ANSWER_GRACE, piece: ANSWER_GRACE };
        let result = call(self.connection.take(), self.discovery.address(), query, timeouts).await;
        // An old answer does not show later changes, and neither does a call that timed out, perhaps while this
        // process was paused. So the next call is not held and returns the current state.
        let max_duration = if result.is_ok() { hold + LATE_ANSWER } else { timeouts.head };
        self.hold = if started.elapsed() >= max_duration { Duration::ZERO } else { WATCH_HOLD };
        let (connection, list): (Connection, List) = result.map_err(|_: CallError| ()).ok()?;
        self.connection = Some(connection);
        Some(list)
    }
}

//! Where lists are pushed: an agent on the same machine is asked at no cost, and a watch is always out.

use std::time::{Duration, Instant};

use tokio::sync::mpsc;

use super::call::{AnswerTimes, CallError, Connection, Query, call};
use super::{Discovery, DiscoveryCommand};
use crate::list::List;
use crate::news::MembershipSink;

/// How long a watch may be held. Danger: what a silent watch misses counts as told; a short hold costs nothing here,
/// and tells soon when the agent has fallen silent.
const HOLD: Duration = Duration::from_millis(500);
/// How much longer an answer may take, and between two pieces of it.
const GAP: Duration = Duration::from_millis(700);
/// Between calls that fail: the agent is near, and free.
const AGAIN: Duration = Duration::from_millis(100);
/// A watch that is answered later than this after the end of its hold was answered long ago: this process stood still.
const LATE: Duration = Duration::from_millis(300);

pub(super) struct Pushed {
    discovery: Discovery,
    connection: Option<Connection>,
    /// How long the next watch may be held.
    hold: Duration,
}

impl Pushed {
    pub(super) fn new(discovery: Discovery) -> Pushed {
        Pushed { discovery, connection: None, hold: HOLD }
    }

    /// Danger: what the agent has counts as told, so a watch is always out.
    pub(super) async fn run(
        mut self,
        news: &impl MembershipSink,
        mut calls: mpsc::UnboundedReceiver<DiscoveryCommand>,
    ) {
        let mut moves = self.discovery.config.address.clone();
        loop {
            tokio::select! {
                // Danger: the old address may keep an open watch waiting, or accept a call that it
                // never answers. It is left at once, also in the middle of a call.
                Ok(()) = moves.changed() => {
                    self.connection = None;
                    // What is counted elsewhere need not go on from here.
                    self.discovery.whole = true;
                    continue;
                }
                list = self.call() => match list.filter(|list| self.discovery.tell(news, list)) {
                    // It is asked at once what is there now.
                    Some(_) if self.hold.is_zero() => {}
                    Some(list) => {
                        self.discovery.config.clock.confirm();
                        if list.hosts.is_empty() {
                            // An agent that does not hold calls is not asked without a pause.
                            tokio::time::sleep(AGAIN / 5).await;
                        }
                    }
                    None if self.hold.is_zero() => news.discovery_failed(),
                    None => {
                        news.discovery_failed();
                        tokio::time::sleep(AGAIN).await;
                    }
                },
                call = calls.recv() => {
                    self.discovery.whole |= call == Some(DiscoveryCommand::Fetch);
                    self.connection = None;
                }
            }
            self.discovery.config.call_ended.notify_one();
        }
    }

    /// One call; after one that brought no list the next has a new connection.
    async fn call(&mut self) -> Option<List> {
        let query = self.discovery.query(self.hold);
        let hold = if matches!(query, Query::Whole) { Duration::ZERO } else { self.hold };
        let began = Instant::now();
        let times = AnswerTimes { first: hold + GAP, gap: GAP };
        let called = call(self.connection.take(), self.discovery.address(), query, times).await;
        // An old answer tells nothing of what came behind it, and neither does a call whose time ran out, maybe while this
        // process stood still: the next call asks at once what is there now.
        let longest = if called.is_ok() { hold + LATE } else { times.first };
        self.hold = if began.elapsed() >= longest { Duration::ZERO } else { HOLD };
        let (connection, list): (Connection, List) = called.map_err(|_: CallError| ()).ok()?;
        self.connection = Some(connection);
        Some(list)
    }
}

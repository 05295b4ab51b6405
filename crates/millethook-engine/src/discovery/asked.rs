//! Where discovery is asked: one service for all sidecars, which works through calls in turn. Calls load it, and
//! a watch that it holds does not.

use std::time::Duration;

use rand_core::RngCore;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

use super::call::{AnswerTimes, CallError, Connection, call};
use super::call_timing::CallTiming;
use super::list_fetch::{ListFetch, Step};
use super::{Discovery, DiscoveryCommand};
use crate::list::List;
use crate::news::MembershipSink;

/// How long a watch may be held, and how much longer its answer may take. Danger: what a silent watch misses
/// counts as told 6 s after it fell silent; the decisions wait for up to 1.25 s before they ask anew.
const HOLD: Duration = Duration::from_secs(3);
/// How long the first byte of an answer to a held watch may take beyond that, and how long each piece of any answer.
const BEYOND: Duration = Duration::from_millis(1500);

/// A call that has ended.
struct Ended {
    took: Duration,
    result: Result<(Connection, List), CallError>,
}

/// What is under way.
enum State {
    /// Nothing, until the module asks.
    Idle,
    /// Nothing, until the module asks: the list comes from elsewhere. A move of discovery is no reason to call it, or a
    /// fleet whose configuration changes would call it together.
    Stopped,
    /// A list is to be had.
    Fetching(ListFetch),
    /// A watch is held by discovery.
    Watching,
}

pub(super) struct Asked {
    discovery: Discovery,
    patience: CallTiming,
    state: State,
    /// The module has asked for changes from now on, and no call has failed since.
    watches: bool,
    /// The connection of the last answer.
    connection: Option<Connection>,
    /// Calls under way; those that are dropped are hung up.
    calls: JoinSet<Ended>,
}

impl Asked {
    pub(super) fn new(discovery: Discovery) -> Asked {
        let patience = CallTiming::new(discovery.config.limits.get());
        let calls = JoinSet::new();
        Asked { discovery, patience, state: State::Idle, watches: false, connection: None, calls }
    }

    /// Here calls load discovery; the module decides when there is to be one after a failure.
    pub(super) async fn run(
        mut self,
        news: &impl MembershipSink,
        mut asks: mpsc::UnboundedReceiver<DiscoveryCommand>,
    ) {
        let mut moves = self.discovery.config.address.clone();
        loop {
            let due = at(self.due());
            tokio::select! {
                // Danger: a call may hang or trickle where discovery was, for longer than news may take. It is left
                // at once, whatever it is.
                Ok(()) = moves.changed() => self.start_over(),
                ask = asks.recv() => match ask {
                    Some(ask) => self.on_ask(ask),
                    None => return,
                },
                Some(ended) = self.calls.join_next() => match ended {
                    Ok(ended) => self.on_ended(ended, news),
                    // It was hung up on.
                    Err(_) => continue,
                },
                () = due => self.on_due(news),
            }
        }
    }

    /// When a call is to be placed or given up, if ever.
    fn due(&self) -> Option<Instant> {
        let State::Fetching(opening) = &self.state else { return None };
        let now = Instant::now();
        match opening.poll(now.into_std(), &self.patience) {
            Step::Wait(until) => Some(until.into()),
            Step::Place | Step::GiveUp => Some(now),
        }
    }

    fn on_due(&mut self, news: &impl MembershipSink) {
        let now = Instant::now().into_std();
        let random = self.random();
        let State::Fetching(opening) = &mut self.state else { return };
        match opening.poll(now, &self.patience) {
            Step::Wait(_) => {}
            Step::Place => {
                opening.on_placed(now, &self.patience, random);
                // How long it may wait in line is the opening's to say.
                self.place(Duration::ZERO, Duration::MAX);
            }
            Step::GiveUp => {
                self.patience.on_give_up();
                self.fail(news);
            }
        }
    }

    fn place(&mut self, hold: Duration, first: Duration) {
        let (address, query) = (self.discovery.address(), self.discovery.query(hold));
        let connection = self.connection.take();
        self.calls.spawn_local(async move {
            let began = Instant::now();
            let times = AnswerTimes { first, gap: BEYOND };
            let result = call(connection, address, query, times).await;
            Ended { took: began.elapsed(), result }
        });
    }

    /// Danger: a call that waits in line, or a watch that is held, is what the module asks for. One more would be
    /// work for discovery and lose the place.
    fn on_ask(&mut self, ask: DiscoveryCommand) {
        match ask {
            DiscoveryCommand::Watch => self.watches = true,
            DiscoveryCommand::Fetch => {
                self.discovery.whole = true;
                self.hang_up();
            }
            DiscoveryCommand::WatchFrom(version) => {
                // After a move of discovery the next call is for all, whatever version is at hand.
                self.discovery.version = version;
                self.watches = true;
            }
            DiscoveryCommand::Stop => {
                self.hang_up();
                (self.watches, self.state) = (false, State::Stopped);
                return;
            }
        }
        if matches!(self.state, State::Idle | State::Stopped) {
            self.open();
        }
    }

    fn on_ended(&mut self, ended: Ended, news: &impl MembershipSink) {
        let now = Instant::now().into_std();
        let random = self.random();
        match (ended.result, &mut self.state) {
            (Ok((connection, list)), state) => {
                match state {
                    State::Fetching(_) => self.patience.on_answer(ended.took),
                    State::Watching => self.patience.on_watch_answer(ended.took),
                    State::Idle | State::Stopped => {}
                }
                self.on_list(connection, &list, news);
            }
            // The decisions ask again in time by what they know; a refusal is answered in here.
            (Err(CallError::Refused), State::Fetching(opening)) => {
                opening.on_refused(now, &mut self.patience, random);
                news.discovery_failed();
            }
            (Err(CallError::Refused), State::Watching) => {
                let opening = ListFetch::after_refusal(now, &mut self.patience, random);
                self.state = State::Fetching(opening);
                news.discovery_failed();
            }
            // Danger: discovery did not answer for up to 4 s already. The decisions may wait for 2 s more.
            (Err(CallError::Lost), State::Fetching(opening)) => {
                opening.on_lost(now, random);
                news.discovery_failed();
            }
            (Err(CallError::Lost), State::Watching) => {
                self.state = State::Fetching(ListFetch::after_loss(now, random));
                news.discovery_failed();
            }
            (Err(_), State::Fetching(opening)) => {
                if !opening.on_broken(now, &mut self.patience, random) {
                    self.fail(news);
                }
            }
            (Err(_), State::Watching | State::Idle | State::Stopped) => self.fail(news),
        }
        self.discovery.config.call_ended.notify_one();
    }

    fn on_list(&mut self, connection: Connection, list: &List, news: &impl MembershipSink) {
        // Whatever else waits in line would bring the same.
        self.hang_up();
        self.connection = Some(connection);
        // Danger: a watch goes on at no cost, but none is open after a whole list: the next call waits in line.
        let was_whole = self.discovery.whole;
        if !self.discovery.tell(news, list) {
            self.fail(news);
        } else if self.watches && was_whole {
            self.open();
        } else if self.watches {
            self.state = State::Watching;
            self.place(HOLD, HOLD + BEYOND);
        }
    }

    /// Of `0.0..1.0`.
    fn random(&mut self) -> f64 {
        f64::from(self.discovery.random.next_u32()) / (f64::from(u32::MAX) + 1.0)
    }

    /// The module is told, and says when to ask again.
    fn fail(&mut self, news: &impl MembershipSink) {
        let connection = self.connection.take();
        self.hang_up();
        self.connection = connection;
        self.watches = false;
        news.discovery_failed();
        self.discovery.config.call_ended.notify_one();
    }

    /// Discovery is elsewhere: what it counts there need not go on from here.
    fn start_over(&mut self) {
        let stopped = matches!(self.state, State::Stopped);
        self.hang_up();
        self.discovery.whole = true;
        self.patience = CallTiming::new(self.discovery.config.limits.get());
        if stopped {
            self.state = State::Stopped;
        } else {
            self.open();
        }
    }

    fn open(&mut self) {
        self.patience.set_limits(self.discovery.config.limits.get());
        self.state = State::Fetching(ListFetch::new(Instant::now().into_std()));
    }

    fn hang_up(&mut self) {
        self.calls = JoinSet::new();
        self.connection = None;
        self.state = State::Idle;
    }
}

async fn at(time: Option<Instant>) {
    match time {
        Some(time) => sleep_until(time).await,
        None => std::future::pending().await,
    }
}

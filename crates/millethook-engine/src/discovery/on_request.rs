//! On-request discovery: one service for all sidecars that processes calls in a queue. Calls load it; a watch that it
//! holds does not.

use std::time::Duration;

use rand_core::RngCore;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

use super::call::{AnswerTimeouts, CallError, Connection, call};
use super::call_timing::CallTiming;
use super::list_fetch::{ListFetch, Step};
use super::{Discovery, DiscoveryCommand};
use crate::list::List;
use crate::sinks::MembershipSink;

/// How long discovery may hold a watch. The platform treats updates as known 6 s after a watch fell silent, and the
/// balancer waits up to 1.25 s before it asks again.
const WATCH_HOLD: Duration = Duration::from_secs(3);
/// The extra time for the first byte of the answer to a held watch, and the timeout of each piece of any answer.
const ANSWER_GRACE: Duration = Duration::from_millis(1500);

/// A call that has ended.
struct CompletedCall {
    duration: Duration,
    result: Result<(Connection, List), CallError>,
}

/// The state of the client.
enum State {
    /// Idle until the balancer sends a command.
    Idle,
    /// Idle until the balancer sends a command, because the list comes from another source. A new address of
    /// discovery does not start a call; otherwise a fleet whose configuration changes would call it all at once.
    Stopped,
    /// A list is being fetched.
    Fetching(ListFetch),
    /// Discovery holds a watch.
    Watching,
}

/// The client of an on-request discovery.
pub(super) struct OnRequestDiscovery {
    discovery: Discovery,
    timing: CallTiming,
    state: State,
    /// The balancer has requested changes, and no call has failed since.
    is_watching: bool,
    /// The connection of the last answer.
    connection: Option<Connection>,
    /// Calls in progress; dropping them cancels them.
    calls: JoinSet<CompletedCall>,
}

impl OnRequestDiscovery {
    /// Creates a client that has made no call yet.
    pub(super) fn new(discovery: Discovery) -> OnRequestDiscovery {
        let timing = CallTiming::new(discovery.config.limits.get());
        let calls = JoinSet::new();
        OnRequestDiscovery {
            discovery,
            timing,
            state: State::Idle,
            is_watching: false,
            connection: None,
            calls,
        }
    }

    /// Runs the client. Calls load discovery here, so after a failure the balancer decides when to call again.
    pub(super) async fn run(
        mut self,
        sink: &impl MembershipSink,
        mut commands: mpsc::UnboundedReceiver<DiscoveryCommand>,
    ) {
        let mut address_changes = self.discovery.config.address.clone();
        loop {
            let due = sleep_until_some(self.due());
            tokio::select! {
                // A call may hang at the old address for longer than an update may take, so it is abandoned at once.
                Ok(()) = address_changes.changed() => self.restart(),
                command = commands.recv() => match command {
                    Some(command) => self.on_command(command),
                    None => return,
                },
                Some(completed) = self.calls.join_next() => match completed {
                    Ok(completed) => self.on_completed(completed, sink),
                    // The call was cancelled.
                    Err(_) => continue,
                },
                () = due => self.on_due(sink),
            }
        }
    }

    /// When to place or give up a call, if ever.
    fn due(&self) -> Option<Instant> {
        let State::Fetching(fetch) = &self.state else { return None };
        let now = Instant::now();
        match fetch.poll(now.into_std(), &self.timing) {
            Step::Wait(until) => Some(until.into()),
            Step::PlaceCall | Step::GiveUp => Some(now),
        }
    }

    fn on_due(&mut self, sink: &impl MembershipSink) {
        let now = Instant::now().into_std();
        let random = self.random();
        let State::Fetching(fetch) = &mut self.state else { return };
        match fetch.poll(now, &self.timing) {
            Step::Wait(_) => {}
            Step::PlaceCall => {
                fetch.on_placed(now, &self.timing, random);
                // The fetch decides how long the call may wait in the queue.
                self.place_call(Duration::ZERO, Duration::MAX);
            }
            Step::GiveUp => {
                self.timing.on_give_up();
                self.fail(sink);
            }
        }
    }

    fn place_call(&mut self, hold: Duration, head_timeout: Duration) {
        let (address, query) = (self.discovery.address(), self.discovery.query(hold));
        let connection = self.connection.take();
        self.calls.spawn_local(async move {
            let started = Instant::now();
            let timeouts = AnswerTimeouts { head: head_timeout, piece: ANSWER_GRACE };
            let result = call(connection, address, query, timeouts).await;
            CompletedCall { duration: started.elapsed(), result }
        });
    }

    /// A queued call or a held watch already does what the balancer requests. Another call would load discovery and
    /// lose the place in the queue.
    fn on_command(&mut self, command: DiscoveryCommand) {
        match command {
            DiscoveryCommand::Watch => self.is_watching = true,
            DiscoveryCommand::Fetch => {
                self.discovery.needs_whole_list = true;
                self.cancel_calls();
            }
            DiscoveryCommand::WatchFrom(version) => {
                // After a move of discovery the next call requests the complete list, whatever version is known.
                self.discovery.version = version;
                self.is_watching = true;
            }
            DiscoveryCommand::Stop => {
                self.cancel_calls();
                (self.is_watching, self.state) = (false, State::Stopped);
                return;
            }
        }
        if matches!(self.state, State::Idle | State::Stopped) {
            self.start_fetch();
        }
    }

    fn on_completed(&mut self, completed: CompletedCall, sink: &impl MembershipSink) {
        let now = Instant::now().into_std();
        let random = self.random();
        match (completed.result, &mut self.state) {
            (Ok((connection, list)), state) => {
                match state {
                    State::Fetching(_) => self.timing.on_answer(completed.duration),
                    State::Watching => self.timing.on_watch_answer(completed.duration),
                    State::Idle | State::Stopped => {}
                }
                self.on_list(connection, &list, sink);
            }
            // After other errors the balancer decides when to ask again; refusals are handled here.
            (Err(CallError::Refused), State::Fetching(fetch)) => {
                fetch.on_refused(now, &mut self.timing, random);
                sink.discovery_failed();
            }
            (Err(CallError::Refused), State::Watching) => {
                let fetch = ListFetch::after_refusal(now, &mut self.timing, random);
                self.state = State::Fetching(fetch);
                sink.discovery_failed();
            }
            // Discovery has not answered for up to 4 s already, and the balancer may wait for 2 s more. So the call
            // is placed again here.
            (Err(CallError::Lost), State::Fetching(fetch)) => {
                fetch.on_lost(now, random);
                sink.discovery_failed();
            }
            (Err(CallError::Lost), State::Watching) => {
                self.state = State::Fetching(ListFetch::after_loss(now, random));
                sink.discovery_failed();
            }
            (Err(_), State::Fetching(fetch)) => {
                if !fetch.on_broken(now, &mut self.timing, random) {
                    self.fail(sink);
                }
            }
            (Err(_), State::Watching | State::Idle | State::Stopped) => self.fail(sink),
        }
        self.discovery.config.call_ended.notify_one();
    }

    fn on_list(&mut self, connection: Connection, list: &List, sink: &impl MembershipSink) {
        // Other queued calls would return the same list.
        self.cancel_calls();
        self.connection = Some(connection);
        // A watch costs nothing while it is held, but none is open after a complete list: the next call waits in the
        // queue.
        let was_whole = self.discovery.needs_whole_list;
        if !self.discovery.deliver(sink, list) {
            self.fail(sink);
        } else if self.is_watching && was_whole {
            self.start_fetch();
        } else if self.is_watching {
            self.state = State::Watching;
            self.place_call(WATCH_HOLD, WATCH_HOLD + ANSWER_GRACE);
        }
    }

    /// Returns a random number in `0.0..1.0`.
    fn random(&mut self) -> f64 {
        f64::from(self.discovery.random.next_u32()) / (f64::from(u32::MAX) + 1.0)
    }

    /// Reports a failure to the balancer, which decides when to ask again.
    fn fail(&mut self, sink: &impl MembershipSink) {
        let connection = self.connection.take();
        self.cancel_calls();
        self.connection = connection;
        self.is_watching = false;
        sink.discovery_failed();
        self.discovery.config.call_ended.notify_one();
    }

    /// Discovery has moved: its versions at the new address may be unrelated.
    fn restart(&mut self) {
        let stopped = matches!(self.state, State::Stopped);
        self.cancel_calls();
        self.discovery.needs_whole_list = true;
        self.timing = CallTiming::new(self.discovery.config.limits.get());
        if stopped {
            self.state = State::Stopped;
        } else {
            self.start_fetch();
        }
    }

    fn start_fetch(&mut self) {
        self.timing.set_limits(self.discovery.config.limits.get());
        self.state = State::Fetching(ListFetch::new(Instant::now().into_std()));
    }

    fn cancel_calls(&mut self) {
        self.calls = JoinSet::new();
        self.connection = None;
        self.state = State::Idle;
    }
}

async fn sleep_until_some(time: Option<Instant>) {
    match time {
        Some(time) => sleep_until(time).await,
        None => std::future::pending().await,
    }
}

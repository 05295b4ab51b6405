//! Connects the driver with the replica of [`millethook_replica`]: takes outcomes of attempts and lists of servers, and
//! reports changed verdicts on servers.

use std::cell::{Cell, RefCell};

use coppercart::api::{Health, Micros, Outcome, ServerEntry, ServerId};
use millethook_lease::{JobId, Token};
use millethook_replica::{
    Departure, EntryValue, Figures, Key, ObservedOutcome, Replica, ReplicaConfig, ServerStatus,
};
use millethook_view::View;

use crate::sinks::VerdictSink;

/// The number of present members that each send a joined member a part of the shared entries.
const STATE_SENDERS: usize = 3;

/// The replica of this process, and the receiver of verdicts.
pub(crate) struct Evidence {
    replica: RefCell<Replica>,
    /// Whether evidence about servers is shared; if not, only entries of jobs and stores are.
    shares_evidence: bool,
    /// Counts the entries that were published about own jobs.
    job_entries: Cell<u16>,
    sink: RefCell<Option<Box<dyn VerdictSink>>>,
}

/// Converts a verdict of the replica to the balancer's type.
fn to_server_verdict(verdict: ServerStatus) -> coppercart::api::ServerVerdict {
    match verdict {
        ServerStatus::Trusted => coppercart::api::ServerVerdict::Trusted,
        ServerStatus::Suspected => coppercart::api::ServerVerdict::Suspected,
        ServerStatus::Leaving => coppercart::api::ServerVerdict::Leaving,
    }
}

impl Evidence {
    /// Creates an empty replica. `shares_evidence`: whether evidence about servers is shared.
    pub fn new(config: ReplicaConfig, shares_evidence: bool, now: Micros) -> Evidence {
        let (replica, job_entries) = (RefCell::new(Replica::new(config, now)), Cell::new(0));
        Evidence { replica, shares_evidence, job_entries, sink: RefCell::default() }
    }

    /// Returns the token that the owner of a job has published, and the age of that entry in microseconds.
    pub fn job(&self, now: Micros, job: JobId) -> Option<(Token, Micros)> {
        let entry = self.replica.borrow().get(now, Key::Job { job: job.0 })?;
        match entry.value {
            EntryValue::Job { token, .. } => Some((token, entry.age)),
            _ => None,
        }
    }

    /// Publishes that this process owns a job, or still owns it.
    pub fn publish_job(&self, now: Micros, job: JobId, token: Token) {
        let counter = self.job_entries.get().wrapping_add(1);
        self.job_entries.set(counter);
        self.replica.borrow_mut().publish_owned(
            now,
            Key::Job { job: job.0 },
            EntryValue::Job { token, said: counter },
        );
    }

    /// Publishes how far a store of buffered writes has been replayed. Returns false, and publishes nothing, if a
    /// higher token is known.
    pub fn publish_edge(&self, now: Micros, edge: u64, value: EntryValue) -> bool {
        self.replica.borrow_mut().publish_owned(now, Key::Edge { edge }, value)
    }

    /// Returns the latest entry of a store, and its age in microseconds.
    pub fn edge(&self, now: Micros, edge: u64) -> Option<(EntryValue, Micros)> {
        let entry = self.replica.borrow().get(now, Key::Edge { edge })?;
        Some((entry.value, entry.age))
    }

    /// Queries a member for the entry of a store.
    pub fn query_edge(&self, now: Micros, member: u16, edge: u64) {
        self.replica.borrow_mut().query_edge(now, member, edge);
    }

    /// Reports a verdict to the sink that is not the replica's own. The caller must not hold a borrow of a `RefCell`,
    /// because the balancer acts on the verdict at once.
    pub fn report(&self, server: ServerId, verdict: coppercart::api::ServerVerdict) {
        if let Some(sink) = self.sink.borrow().as_deref() {
            sink.apply_verdict(server, verdict);
        }
    }

    /// Sets the receiver of verdicts.
    pub fn set_sink(&self, sink: Box<dyn VerdictSink>) {
        *self.sink.borrow_mut() = Some(sink);
    }

    /// Handles a message of a member.
    pub fn handle(&self, now: Micros, from: u16, content: &[u8]) {
        // The replica counts malformed messages.
        let _ = self.replica.borrow_mut().handle(now, from, content);
    }

    /// Sends a part of the shared entries to a member that has joined or returned, if this process is one of the
    /// senders.
    pub fn on_joined(&self, now: Micros, number: u16, view: &View) {
        if let Some(part) = view.position_after(number, STATE_SENDERS) {
            self.replica.borrow_mut().send_state(now, number, part, STATE_SENDERS);
        }
    }

    /// Runs the replica and passes its messages to `send`. Returns the time of the next call.
    pub fn pump(
        &self,
        now: Micros,
        view: &mut View,
        congested: bool,
        mut send: impl FnMut(u16, Vec<u8>),
    ) -> Micros {
        let mut replica = self.replica.borrow_mut();
        replica.set_epoch(view.epoch());
        replica.set_congested(congested);
        if replica.poll_timeout() <= now {
            replica.tick(now);
        }
        while let Some((to, content)) = replica.poll_transmit() {
            if let Some(to) = to.resolve(|| view.any_present()) {
                send(to, content);
            }
        }
        replica.poll_timeout()
    }

    /// Reports all changed verdicts to the sink and to `observer`. The caller must not hold a borrow of a `RefCell`,
    /// because the balancer acts on the verdicts at once.
    pub fn report_changes(&self, observer: impl Fn(ServerId, coppercart::api::ServerVerdict)) {
        let sink = self.sink.borrow();
        loop {
            let event = self.replica.borrow_mut().poll_event();
            let Some(event) = event else { return };
            observer(ServerId(event.server), to_server_verdict(event.status));
            if let Some(sink) = sink.as_deref() {
                sink.apply_verdict(ServerId(event.server), to_server_verdict(event.status));
            }
        }
    }

    /// Records that an attempt is sent.
    pub fn on_attempt_sent(&self, now: Micros, server: ServerId) {
        if self.shares_evidence {
            self.replica.borrow_mut().on_attempt_sent(now, server.0);
        }
    }

    /// Records that an attempt has ended `latency` microseconds after it was sent.
    pub fn on_attempt_ended(
        &self,
        now: Micros,
        server: ServerId,
        outcome: Outcome,
        latency: Micros,
    ) {
        if !self.shares_evidence {
            return;
        }
        let observed = match outcome {
            Outcome::Served | Outcome::Full => ObservedOutcome::Answered,
            Outcome::Error => ObservedOutcome::Error,
            Outcome::TimedOut => ObservedOutcome::TimedOut,
            Outcome::ConnectFailed | Outcome::Reset => ObservedOutcome::Broken,
            Outcome::Cancelled => return self.replica.borrow_mut().on_attempt_cancelled(server.0),
            Outcome::NeverSent => return,
        };
        self.replica.borrow_mut().on_attempt_ended(
            now,
            server.0,
            now.saturating_sub(latency),
            observed,
        );
    }

    /// Records entries of the own list, or changes to it.
    pub fn on_listed(&self, now: Micros, entries: &[ServerEntry]) {
        let mut replica = self.replica.borrow_mut();
        for entry in entries.iter().filter(|_| self.shares_evidence) {
            let (server, epoch) = (entry.id.0, entry.started / 1_000);
            match entry.health {
                Health::Ready => replica.on_server_listed(now, server, epoch),
                Health::Draining => {
                    replica.on_server_listed(now, server, epoch);
                    replica.on_departure(now, server, epoch, Departure::Leaving);
                }
                Health::Gone => replica.on_departure(now, server, epoch, Departure::Gone),
            }
        }
    }

    /// Records that the own list no longer has these servers.
    pub fn on_unlisted(&self, servers: &[ServerId]) {
        let mut replica = self.replica.borrow_mut();
        servers.iter().for_each(|server| replica.on_server_unlisted(server.0));
    }

    /// Returns the verdict on a server.
    pub fn verdict(&self, server: ServerId) -> coppercart::api::ServerVerdict {
        to_server_verdict(self.replica.borrow().server_status(server.0))
    }

    /// Returns the counts of the replica.
    pub fn figures(&self) -> Figures {
        self.replica.borrow().figures()
    }

    /// Returns a hash that is equal at all members that hold the same shared entries.
    pub fn hash(&self, now: Micros) -> u32 {
        self.replica.borrow().hash(now)
    }
}

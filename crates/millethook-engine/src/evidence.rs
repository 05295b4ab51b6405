//! Connects the driver with the replica of [`millethook_replica`]: outcomes of attempts and lists go in, changes of the
//! standings of servers come out.

use std::cell::{Cell, RefCell};

use coppercart::api::{Health, Micros, Outcome, ServerEntry, ServerId};
use millethook_lease::{JobId, Token};
use millethook_replica::{
    Departure, EntryValue, Figures, Key, ObservedOutcome, Replica, ReplicaConfig, ServerStatus,
};
use millethook_view::View;

use crate::news::StandingSink;

/// So many present members after one that has joined send it their shared entries, each a part.
const WELCOMING: usize = 3;

/// The replica of this process, and the receiver of standings.
pub(crate) struct Evidence {
    replica: RefCell<Replica>,
    /// Whether reports on servers are shared; if not, only entries of jobs and stores are.
    shares: bool,
    /// Counts the entries that were written about own jobs.
    said: Cell<u16>,
    sink: RefCell<Option<Box<dyn StandingSink>>>,
}

/// A standing in the balancer's terms.
fn told(standing: ServerStatus) -> coppercart::api::Standing {
    match standing {
        ServerStatus::Trusted => coppercart::api::Standing::Trusted,
        ServerStatus::Suspected => coppercart::api::Standing::Doubted,
        ServerStatus::Leaving => coppercart::api::Standing::Leaving,
    }
}

impl Evidence {
    /// An empty replica. `shares`: reports on servers are shared.
    pub fn new(config: ReplicaConfig, shares: bool, now: Micros) -> Evidence {
        let (replica, said) = (RefCell::new(Replica::new(config, now)), Cell::new(0));
        Evidence { replica, shares, said, sink: RefCell::default() }
    }

    /// The token of a job's owner as that has published it, and the age of this entry in microseconds.
    pub fn job(&self, now: Micros, job: JobId) -> Option<(Token, Micros)> {
        let entry = self.replica.borrow().get(now, Key::Job { job: job.0 })?;
        match entry.value {
            EntryValue::Job { token, .. } => Some((token, entry.age)),
            _ => None,
        }
    }

    /// Publishes that this process owns a job, or still does.
    pub fn say_job(&self, now: Micros, job: JobId, token: Token) {
        let said = self.said.get().wrapping_add(1);
        self.said.set(said);
        self.replica.borrow_mut().publish_owned(
            now,
            Key::Job { job: job.0 },
            EntryValue::Job { token, said },
        );
    }

    /// Publishes how far a store of kept writes has been replayed. False: a higher token is known, and nothing was
    /// published.
    pub fn say_edge(&self, now: Micros, edge: u64, value: EntryValue) -> bool {
        self.replica.borrow_mut().publish_owned(now, Key::Edge { edge }, value)
    }

    /// The latest entry of a store, and its age in microseconds.
    pub fn edge(&self, now: Micros, edge: u64) -> Option<(EntryValue, Micros)> {
        let entry = self.replica.borrow().get(now, Key::Edge { edge })?;
        Some((entry.value, entry.age))
    }

    /// Queries a member for the entry of a store.
    pub fn ask_edge(&self, now: Micros, member: u16, edge: u64) {
        self.replica.borrow_mut().query_edge(now, member, edge);
    }

    /// Reports a standing to the sink that is not the replica's own. No `RefCell` may be borrowed by the caller, because
    /// the balancer acts on it at once.
    pub fn report(&self, server: ServerId, standing: coppercart::api::Standing) {
        if let Some(sink) = self.sink.borrow().as_deref() {
            sink.stands(server, standing);
        }
    }

    /// Sets the receiver of standings.
    pub fn tell_to(&self, sink: Box<dyn StandingSink>) {
        *self.sink.borrow_mut() = Some(sink);
    }

    /// Takes a message of a member.
    pub fn handle(&self, now: Micros, from: u16, content: &[u8]) {
        // The replica counts what is malformed.
        let _ = self.replica.borrow_mut().handle(now, from, content);
    }

    /// A member has joined or has come back: it is sent a part of the shared entries, if this process is one of those
    /// that do so.
    pub fn joined(&self, now: Micros, number: u16, view: &View) {
        if let Some(part) = view.place_after(number, WELCOMING) {
            self.replica.borrow_mut().send_state(now, number, part, WELCOMING);
        }
    }

    /// Runs the replica and hands its messages to `send`. Returns when it has to be called next.
    pub fn pump(
        &self,
        now: Micros,
        view: &mut View,
        short: bool,
        mut send: impl FnMut(u16, Vec<u8>),
    ) -> Micros {
        let mut replica = self.replica.borrow_mut();
        replica.set_epoch(view.epoch());
        replica.set_congested(short);
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

    /// Reports all changes of standings to the sink and to `also`. No `RefCell` may be borrowed by the caller, because
    /// the balancer acts on them at once.
    pub fn tell(&self, also: impl Fn(ServerId, coppercart::api::Standing)) {
        let sink = self.sink.borrow();
        loop {
            let event = self.replica.borrow_mut().poll_event();
            let Some(event) = event else { return };
            also(ServerId(event.server), told(event.status));
            if let Some(sink) = sink.as_deref() {
                sink.stands(ServerId(event.server), told(event.status));
            }
        }
    }

    /// An attempt is sent.
    pub fn sent(&self, now: Micros, server: ServerId) {
        if self.shares {
            self.replica.borrow_mut().on_attempt_sent(now, server.0);
        }
    }

    /// An attempt has ended `latency` microseconds after it was sent.
    pub fn saw(&self, now: Micros, server: ServerId, outcome: Outcome, latency: Micros) {
        if !self.shares {
            return;
        }
        let seen = match outcome {
            Outcome::Served | Outcome::Full => ObservedOutcome::Answered,
            Outcome::Error => ObservedOutcome::Error,
            Outcome::TimedOut => ObservedOutcome::TimedOut,
            Outcome::ConnectFailed | Outcome::Reset => ObservedOutcome::Broken,
            Outcome::Cancelled => return self.replica.borrow_mut().on_attempt_cancelled(server.0),
            Outcome::Moot => return,
        };
        self.replica.borrow_mut().on_attempt_ended(
            now,
            server.0,
            now.saturating_sub(latency),
            seen,
        );
    }

    /// Entries of the own list, or changes of it.
    pub fn listed(&self, now: Micros, entries: &[ServerEntry]) {
        let mut replica = self.replica.borrow_mut();
        for entry in entries.iter().filter(|_| self.shares) {
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

    /// The own list does not have these servers any more.
    pub fn unlisted(&self, servers: &[ServerId]) {
        let mut replica = self.replica.borrow_mut();
        servers.iter().for_each(|server| replica.on_server_unlisted(server.0));
    }

    /// The standing of a server.
    pub fn standing(&self, server: ServerId) -> coppercart::api::Standing {
        told(self.replica.borrow().server_status(server.0))
    }

    /// Counts of the replica.
    pub fn figures(&self) -> Figures {
        self.replica.borrow().figures()
    }

    /// A hash that is equal for all members that hold the same shared entries.
    pub fn hash(&self, now: Micros) -> u32 {
        self.replica.borrow().hash(now)
    }
}

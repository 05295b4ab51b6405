//! What the sidecars tell one another of servers, at work: between the driver, which meets the servers and decides, and
//! [`millethook_replica`], which holds and merges the words.

use std::cell::RefCell;

use coppercart::api::{Health, Micros, Outcome, ServerEntry, ServerId};
use millethook_replica::{Departure, Figures, Replica, ReplicaConfig, Seen, Standing, To};
use millethook_view::View;

use crate::news::StandingSink;

/// The next so many members after one that has come tell it what they hold, each a part.
const WELCOMING: usize = 3;

/// The own copy, and who is told what it makes of servers.
pub(crate) struct Evidence {
    replica: RefCell<Replica>,
    sink: RefCell<Option<Box<dyn StandingSink>>>,
}

fn told(standing: Standing) -> coppercart::api::Standing {
    match standing {
        Standing::Trusted => coppercart::api::Standing::Trusted,
        Standing::Doubted => coppercart::api::Standing::Doubted,
        Standing::Leaving => coppercart::api::Standing::Leaving,
    }
}

impl Evidence {
    pub fn new(config: ReplicaConfig, now: Micros) -> Evidence {
        Evidence { replica: RefCell::new(Replica::new(config, now)), sink: RefCell::default() }
    }

    /// Whoever is told from now on.
    pub fn tell_to(&self, sink: Box<dyn StandingSink>) {
        *self.sink.borrow_mut() = Some(sink);
    }

    pub fn handle(&self, now: Micros, from: u16, content: &[u8]) {
        // What is malformed is counted there.
        let _ = self.replica.borrow_mut().handle(now, from, content);
    }

    /// A member has come, or has come back.
    pub fn joined(&self, now: Micros, number: u16, view: &View) {
        if let Some(part) = view.follows(number, WELCOMING) {
            self.replica.borrow_mut().welcome(now, number, part, WELCOMING);
        }
    }

    /// Does what is due, and hands out what is to be sent.
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
            let to = match to {
                To::Peer(to) => Some(to),
                To::Anyone => view.any_present(),
            };
            if let Some(to) = to {
                send(to, content);
            }
        }
        replica.poll_timeout()
    }

    /// Tells what has changed. Nothing of this may be borrowed meanwhile: the decisions act on it at once.
    pub fn tell(&self) {
        let sink = self.sink.borrow();
        loop {
            let event = self.replica.borrow_mut().poll_event();
            let Some(event) = event else { return };
            if let Some(sink) = sink.as_deref() {
                sink.stands(ServerId(event.server), told(event.standing));
            }
        }
    }

    /// An attempt goes out.
    pub fn sent(&self, now: Micros, server: ServerId) {
        self.replica.borrow_mut().sent(now, server.0);
    }

    /// An attempt has ended.
    pub fn saw(&self, now: Micros, server: ServerId, outcome: Outcome, latency: Micros) {
        let seen = match outcome {
            Outcome::Served | Outcome::Full => Seen::Answered,
            Outcome::Error => Seen::Error,
            Outcome::TimedOut => Seen::TimedOut,
            Outcome::ConnectFailed | Outcome::Reset => Seen::Broken,
            Outcome::Cancelled => return self.replica.borrow_mut().called_off(server.0),
            Outcome::Moot => return,
        };
        self.replica.borrow_mut().saw(now, server.0, now.saturating_sub(latency), seen);
    }

    /// The own list, or what changed in it; epochs are milliseconds.
    pub fn listed(&self, now: Micros, entries: &[ServerEntry]) {
        let mut replica = self.replica.borrow_mut();
        for entry in entries {
            let (server, epoch) = (entry.id.0, entry.started / 1_000);
            match entry.health {
                Health::Ready => replica.listed(now, server, epoch),
                Health::Draining => {
                    replica.listed(now, server, epoch);
                    replica.departs(now, server, epoch, Departure::Leaving);
                }
                Health::Gone => replica.departs(now, server, epoch, Departure::Gone),
            }
        }
    }

    /// The own list no longer names these.
    pub fn unlisted(&self, servers: &[ServerId]) {
        let mut replica = self.replica.borrow_mut();
        servers.iter().for_each(|server| replica.unlisted(server.0));
    }

    /// How a server stands.
    pub fn standing(&self, server: ServerId) -> coppercart::api::Standing {
        told(self.replica.borrow().standing(server.0))
    }

    pub fn figures(&self) -> Figures {
        self.replica.borrow().figures()
    }

    pub fn hash(&self, now: Micros) -> u32 {
        self.replica.borrow().hash(now)
    }
}

//! Connects [`millethook_lease`] with clock, channel and view, and uses leases for the job of testing a suspected
//! server.

use std::cell::RefCell;
use std::time::Duration;

use coppercart::api::{Micros, ServerId, Standing};
use millethook_lease::{Config, Event, Figures, Lease, Member, Members};
pub use millethook_lease::{JobId, Token};
use millethook_machine::hash::mix;
use millethook_view::{Status, View};

use crate::trials::{Trials, Turn};

/// Settings of leases.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseSettings {
    /// Seats of each job; a majority of them grants a lease.
    pub seats: usize,
    /// The longest lease.
    pub longest: Duration,
    /// The greatest difference between the speed of a clock and true time: 0.01 is one part in a hundred.
    pub drift: f64,
    /// How long a replaced list of members counts at most.
    pub change: Duration,
    /// Whether one sidecar of each zone tests a suspected server, instead of all.
    pub dead_servers: bool,
}

/// The most owned jobs that are listed for operators.
const NAMED: usize = 64;

/// The members of a fleet of this size. They are named by their numbers, because addresses may differ between members.
fn members(count: usize) -> Members {
    Members::new((0..count as u64).map(|n| Member(mix(n + 1))).collect())
}

/// The leases of one process.
pub(crate) struct Leases {
    lease: RefCell<Lease>,
    trials: Option<RefCell<Trials>>,
}

/// The job of testing a server in a zone.
fn trial_job(zone: u8, server: u64) -> JobId {
    JobId(mix(mix(server) ^ u64::from(zone) << 8 ^ 0x7e57))
}

impl Leases {
    pub fn new(
        settings: &LeaseSettings,
        (me, count, epoch, seed): (u16, usize, u64, u64),
        (zone, hold): (u8, Micros),
        now: Micros,
    ) -> Leases {
        let config = Config {
            me,
            epoch,
            acceptors: settings.seats,
            max_lease: settings.longest.as_micros() as Micros,
            change_timeout: settings.change.as_micros() as Micros,
            max_drift: settings.drift,
            seed,
        };
        let trials = settings.dead_servers.then(|| {
            let job = move |server| trial_job(zone, server);
            RefCell::new(Trials::new(hold, config.max_lease, mix(seed ^ 0x7e57), Box::new(job)))
        });
        Leases { lease: RefCell::new(Lease::new(config, members(count), now)), trials }
    }

    /// Takes a message of a member.
    pub fn handle(&self, now: Micros, from: u16, content: &[u8]) {
        self.lease.borrow_mut().handle(now, from, content);
    }

    /// The fleet has `count` configured members from now on.
    pub fn resized(&self, now: Micros, count: usize, unix_ms: u64) {
        if !self.lease.borrow_mut().set_members(now, members(count), unix_ms) {
            tracing::error!(
                event = "members_refused",
                "leases: three changes of peers are not through yet; this one is not heeded"
            );
        }
    }

    /// Runs leases and trials: messages go to `send`, what is to be done about suspected servers into `turns`. Returns
    /// when it has to be called next. `known` returns the owner of a job as the replica has it, and the age of that
    /// entry.
    pub fn pump(
        &self,
        now: Micros,
        (epoch, short): (u64, bool),
        turns: &mut Vec<Turn>,
        known: &dyn Fn(JobId) -> Option<(Token, Micros)>,
        mut send: impl FnMut(u16, Vec<u8>),
    ) -> Micros {
        let mut lease = self.lease.borrow_mut();
        lease.set_epoch(epoch);
        lease.set_congested(short);
        if lease.poll_timeout() <= now {
            lease.tick(now);
        }
        while let Some(event) = lease.poll_event() {
            Leases::tell(&event);
        }
        let mut next = Micros::MAX;
        if let Some(trials) = &self.trials {
            next = trials.borrow_mut().tick(now, &mut lease, known, turns);
        }
        while let Some((to, content)) = lease.poll_transmit() {
            send(to, content);
        }
        next.min(lease.poll_timeout())
    }

    /// Logs a change of an owner.
    fn tell(event: &Event) {
        let (job, word) = match event {
            Event::Granted(job, _) => (job, "is"),
            Event::Lost(job, _) => (job, "is no longer"),
            Event::Held(..) => return,
        };
        tracing::info!(event = "lease", job = job.0, "job {:016x} {word} this sidecar's", job.0);
    }

    /// The standing of a server has changed.
    pub fn stands(&self, now: Micros, server: ServerId, standing: Standing) {
        if let Some(trials) = &self.trials {
            trials.borrow_mut().stands(now, server, standing, &mut self.lease.borrow_mut());
        }
    }

    /// An attempt is sent to a server.
    pub fn sends_to(&self, server: ServerId) {
        if let Some(trials) = &self.trials {
            trials.borrow_mut().tried(server);
        }
    }

    /// Asks for a job; see [`Lease::request`].
    pub fn request(&self, now: Micros, job: JobId, length: Micros, wait: Micros) -> bool {
        self.lease.borrow_mut().request(now, job, length, wait)
    }

    /// Releases a job; see [`Lease::release`].
    pub fn release(&self, now: Micros, job: JobId) {
        self.lease.borrow_mut().release(now, job, None);
    }

    /// The token under which this process owns a job now; see [`Lease::holds`].
    pub fn holds(&self, now: Micros, job: JobId) -> Option<Token> {
        self.lease.borrow().holds(now, job)
    }

    /// This token was seen elsewhere; see [`Lease::observe_token`].
    pub fn observe_token(&self, job: JobId, token: Token) {
        self.lease.borrow_mut().observe_token(job, token);
    }

    /// This process is about to end: its leases are released, and for each job the first of the other present members
    /// is invited to claim it.
    pub fn shutdown(&self, now: Micros, view: &View) {
        let mut lease = self.lease.borrow_mut();
        let list = lease.members().clone();
        let others: Vec<u16> = present(view).filter(|n| *n != view.me()).collect();
        let first = |job| {
            let others = others.iter().copied();
            others.min_by_key(|n| list.rank(job, *n, present(view).filter(|n| *n != view.me())))
        };
        lease.shutdown(now, first);
    }

    /// Owned jobs with their tokens, at most [`NAMED`].
    pub fn owned(&self, now: Micros) -> Vec<(JobId, Token)> {
        self.lease.borrow().owned(now).take(NAMED).collect()
    }

    /// Counts of leases, and whether a change of the members is in progress.
    pub fn figures(&self, now: Micros) -> (Figures, bool) {
        let lease = self.lease.borrow();
        (lease.figures(now), lease.is_changing())
    }
}

/// Members that are alive or suspect.
fn present(view: &View) -> impl Iterator<Item = u16> {
    let all = (0..).map_while(|n| Some((n, view.member(n)?.status)));
    all.filter(|(_, status)| matches!(status, Status::Alive | Status::Suspect)).map(|(n, _)| n)
}

//! Connects [`millethook_lease`] with the clock, the channel and the view, and uses leases for the job of probing a
//! suspected server.

use std::cell::RefCell;
use std::time::Duration;

use coppercart::api::{Micros, ServerId, ServerVerdict};
use millethook_lease::{Config, Event, Figures, Lease, Member, Members};
pub use millethook_lease::{JobId, Token};
use millethook_machine::hash::mix;
use millethook_view::{Status, View};

use crate::trials::{TrialAction, Trials};

/// Settings of leases.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseSettings {
    /// The number of seats of each job; a majority of them grants a lease.
    pub seats: usize,
    /// The maximum length of a lease.
    pub longest: Duration,
    /// The maximum drift of a clock from true time: 0.01 is one part in a hundred.
    pub drift: f64,
    /// The maximum time for which a replaced list of members stays valid.
    pub change: Duration,
    /// Whether a single sidecar of each zone probes a suspected server, instead of all.
    pub dead_servers: bool,
}

/// The maximum number of owned jobs that are listed for operators.
const MAX_LISTED: usize = 64;

/// Returns the members of a fleet of this size. Their ids derive from their numbers, because members may be configured
/// with different addresses for the same member.
fn members(count: usize) -> Members {
    Members::new((0..count as u64).map(|n| Member(mix(n + 1))).collect())
}

/// The leases of one process.
pub(crate) struct Leases {
    lease: RefCell<Lease>,
    trials: Option<RefCell<Trials>>,
}

/// Returns the job of probing a server from a zone.
fn trial_job(zone: u8, server: u64) -> JobId {
    JobId(mix(mix(server) ^ u64::from(zone) << 8 ^ 0x7e57))
}

impl Leases {
    /// Creates the leases of the member `me`; `hold` is the time for which the balancer avoids a suspected server.
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

    /// Handles a message of a member.
    pub fn handle(&self, now: Micros, from: u16, content: &[u8]) {
        self.lease.borrow_mut().handle(now, from, content);
    }

    /// Sets the number of configured members of the fleet.
    pub fn set_member_count(&self, now: Micros, count: usize, unix_ms: u64) {
        if !self.lease.borrow_mut().set_members(now, members(count), unix_ms) {
            tracing::error!(
                event = "members_refused",
                "leases: ignored a change of peers because three earlier changes are still in progress"
            );
        }
    }

    /// Runs leases and trials: passes messages to `send` and adds pending actions on suspected servers to
    /// `trial_actions`. Returns the time of the next call. `published_owner` returns the owner of a job according to
    /// the replica, and the age of that entry.
    pub fn pump(
        &self,
        now: Micros,
        (epoch, congested): (u64, bool),
        trial_actions: &mut Vec<TrialAction>,
        published_owner: &dyn Fn(JobId) -> Option<(Token, Micros)>,
        mut send: impl FnMut(u16, Vec<u8>),
    ) -> Micros {
        let mut lease = self.lease.borrow_mut();
        lease.set_epoch(epoch);
        lease.set_congested(congested);
        if lease.poll_timeout() <= now {
            lease.tick(now);
        }
        while let Some(event) = lease.poll_event() {
            Leases::log_change(&event);
        }
        let mut next = Micros::MAX;
        if let Some(trials) = &self.trials {
            next = trials.borrow_mut().tick(now, &mut lease, published_owner, trial_actions);
        }
        while let Some((to, content)) = lease.poll_transmit() {
            send(to, content);
        }
        next.min(lease.poll_timeout())
    }

    /// Logs that this sidecar got or lost a job.
    fn log_change(event: &Event) {
        let (job, change) = match event {
            Event::Granted(job, _) => (job, "now owns"),
            Event::Lost(job, _) => (job, "no longer owns"),
            Event::Held(..) => return,
        };
        tracing::info!(event = "lease", job = job.0, "this sidecar {change} job {:016x}", job.0);
    }

    /// Applies a changed verdict on a server.
    pub fn apply_verdict(&self, now: Micros, server: ServerId, verdict: ServerVerdict) {
        if let Some(trials) = &self.trials {
            trials.borrow_mut().apply_verdict(now, server, verdict, &mut self.lease.borrow_mut());
        }
    }

    /// Records that an attempt is sent to a server.
    pub fn on_attempt_sent(&self, server: ServerId) {
        if let Some(trials) = &self.trials {
            trials.borrow_mut().on_attempt(server);
        }
    }

    /// Requests a job; see [`Lease::request`].
    pub fn request(&self, now: Micros, job: JobId, length: Micros, wait: Micros) -> bool {
        self.lease.borrow_mut().request(now, job, length, wait)
    }

    /// Releases a job; see [`Lease::release`].
    pub fn release(&self, now: Micros, job: JobId) {
        self.lease.borrow_mut().release(now, job, None);
    }

    /// Returns the token under which this process owns a job now; see [`Lease::holds`].
    pub fn holds(&self, now: Micros, job: JobId) -> Option<Token> {
        self.lease.borrow().holds(now, job)
    }

    /// Records a token that was seen elsewhere; see [`Lease::observe_token`].
    pub fn observe_token(&self, job: JobId, token: Token) {
        self.lease.borrow_mut().observe_token(job, token);
    }

    /// Releases all leases because this process is about to end, and invites the highest-ranked other present member
    /// of each job to claim it.
    pub fn shutdown(&self, now: Micros, view: &View) {
        let mut lease = self.lease.borrow_mut();
        let members = lease.members().clone();
        let others: Vec<u16> = present(view).filter(|n| *n != view.me()).collect();
        let successor = |job| {
            let others = others.iter().copied();
            others.min_by_key(|n| members.rank(job, *n, present(view).filter(|n| *n != view.me())))
        };
        lease.shutdown(now, successor);
    }

    /// Returns the owned jobs with their tokens, at most [`MAX_LISTED`].
    pub fn owned(&self, now: Micros) -> Vec<(JobId, Token)> {
        self.lease.borrow().owned(now).take(MAX_LISTED).collect()
    }

    /// Returns the counts of leases, and whether a change of the members is in progress.
    pub fn figures(&self, now: Micros) -> (Figures, bool) {
        let lease = self.lease.borrow();
        (lease.figures(now), lease.is_changing())
    }
}

/// Returns the members that are alive or suspect.
fn present(view: &View) -> impl Iterator<Item = u16> {
    let all = (0..).map_while(|n| Some((n, view.member(n)?.status)));
    all.filter(|(_, status)| matches!(status, Status::Alive | Status::Suspect)).map(|(n, _)| n)
}

//! The state machine of one member: it grants leases as an acceptor and requests leases as a proposer.

mod answers;
mod check;
mod config;
mod event;
mod figures;
mod members;
mod receive;
mod release;
mod rounds;
mod tick;

use std::collections::VecDeque;

use millethook_machine::SendQueue;
use millethook_machine::hash::mix;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

use crate::acceptor::Acceptor;
use crate::membership::Members;
use crate::message::{LONGEST_LEASE, Record};
use crate::mutant::{self, Mutant};
use crate::owner::{Jobs, LeaseStatus};
use crate::token::Token;
use crate::{JobId, Micros};

pub use config::Config;
pub use event::Event;
pub use figures::Figures;
use release::FinalMessages;

/// The maximum number of jobs that one member requests.
pub const MAX_WANTED_JOBS: usize = 1024;
/// The maximum number of queued outgoing messages.
const MAX_OUTGOING: usize = 256;
/// The maximum number of queued events; beyond it the oldest are dropped.
const MAX_EVENTS: usize = 1024;

/// One member of the fleet: it grants leases as an acceptor and requests leases for the jobs that it wants.
///
/// [`Lease::request`] requests a job, [`Lease::holds`] tells whether the job is owned at this instant,
/// [`Lease::handle`] processes messages of other members, and [`Lease::tick`] must be called at
/// [`Lease::poll_timeout`]. After each call, call [`Lease::poll_transmit`] and [`Lease::poll_event`] until they return
/// None.
#[derive(Clone, Debug)]
pub struct Lease {
    config: Config,
    members: Members,
    /// Replaced member lists, the latest last, each with the time until which it counts.
    earlier_members: Vec<(Members, Micros)>,
    /// No job is claimed before this time: another member uses a member list that is unknown here, and this process has
    /// seen no change of its own list, so it may have started in the middle of a change.
    unknown_list_until: Micros,
    /// Whether the member list has not changed since the start.
    list_unchanged: bool,
    acceptor: Acceptor,
    jobs: Jobs,
    random: Pcg32,
    /// Whether the send budget is nearly used up; see [`Lease::set_congested`].
    congested: bool,
    /// No claim is sent before this time, one maximum lease after the start.
    startup_until: Micros,
    /// Releases and invitations that are sent repeatedly after [`Lease::shutdown`], because they are not acknowledged.
    final_messages: FinalMessages,
    nonce: u32,
    outgoing: SendQueue<u16>,
    events: VecDeque<Event>,
    figures: Figures,
}

impl Lease {
    /// Starts a member. It grants nothing for one maximum lease, since it does not know what its predecessor process
    /// granted.
    ///
    /// `config.max_lease` is clamped to 1 ms to 65 s, `config.max_drift` to 0 to 0.5.
    pub fn new(config: Config, members: Members, now: Micros) -> Lease {
        let max_lease = config.max_lease.clamp(1_000, LONGEST_LEASE);
        let max_drift = config.max_drift.clamp(0.0, 0.5);
        let config = Config { max_lease, max_drift, acceptors: config.acceptors.max(1), ..config };
        let mut random = Pcg32::seed_from_u64(mix(config.seed ^ u64::from(config.me)));
        Lease {
            acceptor: Acceptor::new(config.epoch, now.saturating_add(max_lease)),
            members,
            earlier_members: Vec::new(),
            unknown_list_until: 0,
            list_unchanged: true,
            jobs: Jobs::new(),
            congested: false,
            startup_until: now.saturating_add(max_lease),
            final_messages: FinalMessages::default(),
            nonce: random.next_u32(),
            random,
            outgoing: SendQueue::new(MAX_OUTGOING),
            events: VecDeque::new(),
            figures: Figures::default(),
            config,
        }
    }

    /// Sets whether the send budget is nearly used up. While it is, a round for a job that is not owned sends each
    /// acceptor one claim only, and three of four claims are postponed if their previous round collided with others.
    pub fn set_congested(&mut self, congested: bool) {
        self.congested = congested;
    }

    /// Returns the next event, in order. If more than 1,024 are queued, the oldest are lost.
    pub fn poll_event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// Returns the next message: the number of its receiver, and its content of at most 241 bytes.
    pub fn poll_transmit(&mut self) -> Option<(u16, Vec<u8>)> {
        self.outgoing.pop()
    }

    /// The member list that this member uses.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Returns the token under which this member owns a job *now*, or None.
    ///
    /// Call it immediately before each effect of the job, with a time that is read after everything else has been
    /// prepared. An earlier result may be out of date.
    pub fn holds(&self, now: Micros, job: JobId) -> Option<Token> {
        let owned = self.jobs.get(&job)?.owned.as_ref()?;
        (now < owned.until || mutant::is(Mutant::NoLook)).then_some(owned.token)
    }

    /// All jobs that this member owns now, with their tokens.
    pub fn owned(&self, now: Micros) -> impl Iterator<Item = (JobId, Token)> {
        self.jobs.keys().filter_map(move |job| Some((*job, self.holds(now, *job)?)))
    }

    /// The state of a job as this member sees it. None: this member has not requested the job.
    pub fn status(&self, now: Micros, job: JobId) -> Option<LeaseStatus> {
        let wanted = self.jobs.get(&job)?;
        Some(match (&wanted.owned, wanted.other_owner) {
            (Some(owned), _) if now < owned.until => LeaseStatus::Owner(owned.token, owned.until),
            (_, Some((token, until))) if now < until => LeaseStatus::Held(token, until),
            _ => LeaseStatus::Waiting,
        })
    }

    /// Queues an event, and drops the oldest one if too many are queued.
    fn push_event(&mut self, event: Event) {
        self.events.push_back(event);
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Queues a record for another member, batched with others for the same member.
    fn send(&mut self, to: u16, record: Record) {
        let mut bytes = Vec::with_capacity(40);
        record.write(&mut bytes);
        self.outgoing.append(to, &bytes);
    }

    /// Sends a record to another member, or handles it directly if this member is the receiver.
    fn deliver(&mut self, now: Micros, to: u16, record: Record) {
        if to == self.config.me {
            self.handle_record(now, to, record);
        } else {
            self.send(to, record);
        }
    }
}

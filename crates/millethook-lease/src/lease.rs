//! The state machine of one member, which grants leases as an acceptor and asks for leases itself.

mod answers;
mod asking;
mod check;
mod config;
mod event;
mod figures;
mod members;
mod receive;
mod release;
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

/// The most jobs that one member asks for.
pub const MAX_WANTED: usize = 1024;
/// The most messages that wait to be sent.
const MAX_OUTGOING: usize = 256;
/// The most events that wait to be fetched; of more the oldest are dropped.
const MAX_EVENTS: usize = 1024;

/// One member of the fleet: it grants leases as an acceptor, and asks for leases on the jobs that it wants.
///
/// [`Lease::request`] asks for a job, [`Lease::holds`] tells whether it is owned at this instant, [`Lease::handle`] takes
/// messages of other members, and [`Lease::tick`] has to be called at [`Lease::poll_timeout`]. After each call
/// [`Lease::poll_transmit`] and [`Lease::poll_event`] are read until they return None.
#[derive(Clone, Debug)]
pub struct Lease {
    config: Config,
    members: Members,
    /// Lists of members that were replaced, the latest last, each with the time until which it counts.
    earlier_members: Vec<(Members, Micros)>,
    /// Until then another member goes by a list that is not known here, and this process has seen no change of its own
    /// list. It may have started in the middle of a change, so it asks for no job.
    unknown_members_until: Micros,
    /// The list of members has not changed since the start.
    members_unchanged: bool,
    acceptor: Acceptor,
    jobs: Jobs,
    random: Pcg32,
    /// The budget for sending is short; see [`Lease::set_congested`].
    congested: bool,
    /// No claim is sent before this time, which is one longest lease after the start.
    startup_until: Micros,
    /// Releases and invitations that are repeated after [`Lease::shutdown`], because nobody asks for them.
    final_messages: FinalMessages,
    nonce: u32,
    outgoing: SendQueue<u16>,
    events: VecDeque<Event>,
    figures: Figures,
}

impl Lease {
    /// Starts a member. It grants nothing for one longest lease, since it does not know what the process before it
    /// granted.
    ///
    /// `config.max_lease` is limited to 1 ms to 65 s, `config.max_drift` to 0 to 0.5.
    pub fn new(config: Config, members: Members, now: Micros) -> Lease {
        let max_lease = config.max_lease.clamp(1_000, LONGEST_LEASE);
        let max_drift = config.max_drift.clamp(0.0, 0.5);
        let config = Config { max_lease, max_drift, acceptors: config.acceptors.max(1), ..config };
        let mut random = Pcg32::seed_from_u64(mix(config.seed ^ u64::from(config.me)));
        Lease {
            acceptor: Acceptor::new(config.epoch, now.saturating_add(max_lease)),
            members,
            earlier_members: Vec::new(),
            unknown_members_until: 0,
            members_unchanged: true,
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

    /// Tells whether the budget for sending is short. While it is, a round for a job that is not owned asks each acceptor
    /// once only, and three of four claims are put off whose round before has collided with those of others.
    pub fn set_congested(&mut self, congested: bool) {
        self.congested = congested;
    }

    /// The next event, in order. If more than 1,024 wait, the oldest are lost.
    pub fn poll_event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// The next message: the number of its receiver, and its content of at most 241 bytes.
    pub fn poll_transmit(&mut self) -> Option<(u16, Vec<u8>)> {
        self.outgoing.pop()
    }

    /// The list of members that this member goes by.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// The token under which this member owns a job *now*, or None.
    ///
    /// To be asked immediately before each effect of the job, with a time that is read after everything else has been
    /// prepared. An earlier answer may be out of date.
    pub fn holds(&self, now: Micros, job: JobId) -> Option<Token> {
        let owned = self.jobs.get(&job)?.owned.as_ref()?;
        (now < owned.until || mutant::is(Mutant::NoLook)).then_some(owned.token)
    }

    /// All jobs that this member owns now, with their tokens.
    pub fn owned(&self, now: Micros) -> impl Iterator<Item = (JobId, Token)> {
        self.jobs.keys().filter_map(move |job| Some((*job, self.holds(now, *job)?)))
    }

    /// How this member stands to a job; None: it has not asked for it.
    pub fn status(&self, now: Micros, job: JobId) -> Option<LeaseStatus> {
        let wanted = self.jobs.get(&job)?;
        Some(match (&wanted.owned, wanted.held) {
            (Some(owned), _) if now < owned.until => LeaseStatus::Owner(owned.token, owned.until),
            (_, Some((token, until))) if now < until => LeaseStatus::Held(token, until),
            _ => LeaseStatus::Waiting,
        })
    }

    /// Queues an event, and drops the oldest one if too many wait.
    fn push_event(&mut self, event: Event) {
        self.events.push_back(event);
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Queues a record for another member, together with others for the same one.
    fn send(&mut self, to: u16, record: Record) {
        let mut bytes = Vec::with_capacity(40);
        record.write(&mut bytes);
        self.outgoing.append(to, &bytes);
    }

    /// Hands a record to another member, or directly to the own acceptor.
    fn deliver(&mut self, now: Micros, to: u16, record: Record) {
        if to == self.config.me {
            self.handle_record(now, to, record);
        } else {
            self.send(to, record);
        }
    }
}

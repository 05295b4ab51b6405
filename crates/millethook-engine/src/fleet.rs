//! Connects the state machines between sidecars (view, replica, leases, documents) with clock and sockets, and shares
//! one budget of bytes among their messages.

mod figures;
mod jobs;
mod log_budget;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use coppercart::api::{Outcome, ServerEntry, ServerId, Standing};
use coppercart::settings::Settings;
use millethook_frames::{Channel, ChannelConfig, Frame, FrameWriter, Header, Kind, fleet_id};
pub use millethook_replica::EntryValue;
use millethook_replica::ReplicaConfig;
use millethook_view::{Event, Micros, Status, View, ViewConfig};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::sleep_until;

use crate::distribution::Distribution;
use crate::evidence::Evidence;
use crate::leases::{LeaseSettings, Leases};
use crate::news::{PeerSender, StandingSink};
use crate::trials::TrialAction;
use log_budget::LogBudget;

/// The number of the view's messages in frames.
pub const VIEW: Kind = Kind { number: 1, weight: 4 };
/// The number of what is told of servers.
const EVIDENCE: Kind = Kind { number: 2, weight: 2 };
/// The number of what is said about leases. They go before the others. Danger: after many members have changed the others use
/// up the budget of every seat for minutes. Answers to claims wait behind them then, rounds end before these have come, and
/// a job that many want, such as the writer's, goes without an owner. What it could cost: claims that cannot succeed, in
/// the small part of a fleet that is cut off, hold up the view; three of four are put off while the budget is short.
pub const LEASE: Kind = Kind { number: 3, weight: 1024 };
/// The number of what is said about documents.
const DISTRIBUTION: Kind = Kind { number: 4, weight: 4 };
/// The kinds of messages that share the budget.
pub fn message_kinds() -> Vec<Kind> {
    vec![VIEW, EVIDENCE, LEASE, DISTRIBUTION]
}

/// Bytes that may go out at once, in seconds of the budget.
const BURST_S: u32 = 2;

/// Settings of the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    /// The name of the fleet. Datagrams of other fleets are dropped.
    pub name: String,
    /// Time between two probes.
    pub period: Duration,
    /// Bytes a second that this process may send to others.
    pub bytes_per_second: u32,
    /// Whether sidecars share reports on servers: failures, and departures.
    pub share_evidence: bool,
    /// Settings of leases; None: there are none.
    pub lease: Option<LeaseSettings>,
}

/// Counts of datagrams that were dropped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Dropped {
    /// No valid frame, or one of another version.
    pub unreadable: u64,
    /// A frame of another fleet.
    pub foreign: u64,
    /// A frame from the address of one peer that names another as its sender.
    pub misnamed: u64,
}

/// The state machines of one process, with their channel.
pub struct Fleet {
    name: String,
    id: u32,
    started: Instant,
    view: RefCell<View>,
    channel: RefCell<Channel>,
    evidence: Option<Evidence>,
    leases: Option<Leases>,
    /// Documents for sidecars, where there are any.
    pub distribution: Option<Rc<Distribution>>,
    /// What is to be done about suspected servers.
    turns: RefCell<Vec<TrialAction>>,
    peers: Rc<dyn PeerSender>,
    wake: Arc<Notify>,
    dropped: Cell<Dropped>,
    log: RefCell<LogBudget>,
}

/// Why the settings do not allow a view; None: they do.
pub fn obstacle(settings: &Settings, peers: usize) -> Option<String> {
    if !settings.limits.may_tell {
        return Some("settings.limits.mayTell does not allow it".into());
    }
    match peers {
        0 => Some("peers: the addresses of the others expected".into()),
        n if n > usize::from(u16::MAX) - 1 => Some(format!("peers: {n} are too many")),
        n if settings.me as usize >= n => Some(format!("settings.me: below {n} expected")),
        _ => None,
    }
}

impl Fleet {
    /// Starts the tasks on the present `LocalSet`. [`obstacle`] has to have returned None.
    pub fn start(
        settings: &FleetSettings,
        (me, members): (u32, usize),
        (zone, silence, hold): (u8, Micros, Micros),
        (seed, distribution): (u64, Option<Distribution>),
        peers: Rc<dyn PeerSender>,
    ) -> Rc<Fleet> {
        let distribution = distribution.map(Rc::new);
        // All state machines have the same clock.
        let started = distribution.as_ref().map_or_else(Instant::now, |d| d.started());
        // A clock before 1970 gives the lowest epoch; the view raises it when it learns a later one.
        let epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let config = ViewConfig {
            me: me as u16,
            members: members as u16,
            epoch: epoch as u64,
            period: settings.period.as_micros() as Micros,
            seed,
        };
        let rate = settings.bytes_per_second;
        let burst = rate.saturating_mul(BURST_S);
        let channel = ChannelConfig { rate, burst, kinds: message_kinds() };
        let (shares, lease) = (settings.share_evidence, settings.lease.as_ref());
        let evidence = (shares || lease.is_some()).then(|| {
            let ViewConfig { me, members, epoch, period, .. } = config;
            let config = ReplicaConfig { me, members, epoch, zone, period, silence, seed };
            Evidence::new(config, shares, 0)
        });
        let leases = lease.map(|lease| {
            Leases::new(lease, (config.me, members, config.epoch, seed), (zone, hold), 0)
        });
        let fleet = Rc::new(Fleet {
            name: settings.name.clone(),
            id: fleet_id(&settings.name),
            started,
            view: RefCell::new(View::new(config, 0)),
            channel: RefCell::new(Channel::new(&channel, 0)),
            evidence,
            leases,
            turns: RefCell::default(),
            peers,
            wake: distribution.as_ref().map_or_else(Arc::default, |d| d.wake.clone()),
            distribution,
            dropped: Cell::default(),
            log: RefCell::new(LogBudget::full()),
        });
        spawn_local(fleet.clone().run());
        if let Some(distribution) = &fleet.distribution {
            spawn_local(distribution.clone().keep());
        }
        fleet
    }

    /// Microseconds since the start.
    fn now(&self) -> Micros {
        self.started.elapsed().as_micros() as Micros
    }

    /// Takes a datagram from the address of the peer `from`.
    pub fn datagram(&self, from: u32, data: &[u8]) {
        let mut dropped = self.dropped.get();
        match Frame::parse(data) {
            Err(_) => dropped.unreadable += 1,
            Ok(frame) if frame.header.fleet != self.id => dropped.foreign += 1,
            Ok(frame) if u32::from(frame.header.from) != from => dropped.misnamed += 1,
            Ok(frame) => {
                let (now, Header { from, epoch, .. }) = (self.now(), frame.header);
                let mut view = self.view.borrow_mut();
                for (kind, content) in frame.records() {
                    match &self.evidence {
                        // The view counts what is malformed.
                        _ if kind == VIEW.number => drop(view.handle(now, from, epoch, content)),
                        Some(evidence) if kind == EVIDENCE.number => {
                            evidence.handle(now, from, content)
                        }
                        _ => {}
                    }
                    if let Some(leases) = self.leases.as_ref().filter(|_| kind == LEASE.number) {
                        leases.handle(now, from, content);
                    }
                    let of_documents = kind == DISTRIBUTION.number;
                    if let Some(documents) = self.distribution.as_ref().filter(|_| of_documents) {
                        documents.handle(now, from, content);
                    }
                }
                drop(view);
                self.wake.notify_one();
            }
        }
        self.dropped.set(dropped);
    }

    /// This process is about to end: the view and the leases announce it.
    pub fn leave(&self) {
        let now = self.now();
        if let Some(leases) = &self.leases {
            leases.shutdown(now, &self.view.borrow());
        }
        self.view.borrow_mut().leave(now);
        self.pump();
    }

    /// Runs all state machines whenever something is due or a message has come.
    async fn run(self: Rc<Fleet>) {
        loop {
            let next = self.pump();
            if let Some(evidence) = &self.evidence {
                evidence.tell(|server, standing| {
                    if let Some(leases) = &self.leases {
                        leases.stands(self.now(), server, standing);
                    }
                });
                self.take_turns(evidence);
            }
            let next = self.started + Duration::from_micros(next);
            tokio::select! {
                () = sleep_until(next.into()) => {}
                () = self.wake.notified() => {}
            }
        }
    }

    /// Carries out what is to be done about suspected servers. The balancer acts on it at once.
    fn take_turns(&self, evidence: &Evidence) {
        for turn in self.turns.take() {
            match turn {
                TrialAction::ApplyVerdict(server, standing) => evidence.report(server, standing),
                TrialAction::Release(server, job) => tracing::info!(
                    event = "trial_given_up",
                    server = server.0,
                    job = job.0,
                    "job {:016x} is given up: this sidecar has sent nothing to the suspected server",
                    job.0
                ),
                TrialAction::Announce(job, token) => evidence.say_job(self.now(), job, token),
            }
        }
    }

    /// Runs all state machines and sends their messages. Returns when it has to be called next.
    fn pump(&self) -> Micros {
        let now = self.now();
        let (mut view, mut channel) = (self.view.borrow_mut(), self.channel.borrow_mut());
        let short = channel.is_short(now);
        view.set_congested(short);
        if view.poll_timeout() <= now {
            view.tick(now);
        }
        while let Some((to, content)) = view.poll_transmit() {
            channel.offer(to, VIEW.number, content);
        }
        let mut joined = Vec::new();
        while let Some(event) = view.poll_event() {
            self.tell(&event, now);
            if event.new_status == Status::Alive && event.old_status != Status::Suspect {
                joined.push(event.number);
            }
        }
        let mut next = view.poll_timeout();
        if let Some(evidence) = &self.evidence {
            joined.into_iter().for_each(|number| evidence.joined(now, number, &view));
            let send = |to, content| {
                // Its kind is one of the channel's.
                let _ = channel.offer(to, EVIDENCE.number, content);
            };
            next = next.min(evidence.pump(now, &mut view, short, send));
        }
        if let Some(leases) = &self.leases {
            let known = |job| self.evidence.as_ref().and_then(|e| e.job(now, job));
            let send = |to, content| {
                // Its kind is one of the channel's.
                let _ = channel.offer(to, LEASE.number, content);
            };
            let turns = &mut self.turns.borrow_mut();
            next = next.min(leases.pump(now, (view.epoch(), short), turns, &known, send));
        }
        let header = Header { fleet: self.id, from: view.me(), epoch: view.epoch() };
        if let Some(distribution) = &self.distribution {
            let say = |to, content| {
                // Its kind is one of the channel's.
                let _ = channel.offer(to, DISTRIBUTION.number, content);
            };
            let push = |to: u16, content: Vec<u8>| {
                let mut frame = FrameWriter::new(header);
                if frame.push(DISTRIBUTION.number, &content) {
                    self.peers.tell(u32::from(to), &frame.finish());
                }
            };
            let of_fleet = (view.me(), self.leases.as_ref());
            next = next.min(distribution.pump(now, of_fleet, say, push));
        }
        while let Some((to, bytes)) = channel.poll(now, header) {
            self.peers.tell(u32::from(to), &bytes);
        }
        channel.poll_timeout().map_or(next, |at| next.min(at))
    }

    /// Sets the receiver of standings.
    pub fn tell_standings_to(&self, sink: Box<dyn StandingSink>) {
        if let Some(evidence) = &self.evidence {
            evidence.tell_to(sink);
        }
    }

    /// An attempt is sent to a server.
    pub fn sends_to(&self, server: ServerId) {
        if let Some(evidence) = &self.evidence {
            evidence.sent(self.now(), server);
            if let Some(leases) = &self.leases {
                leases.sends_to(server);
            }
            self.wake.notify_one();
        }
    }

    /// An attempt at a server has ended.
    pub fn saw(&self, server: ServerId, outcome: Outcome, latency: Micros) {
        if let Some(evidence) = &self.evidence {
            evidence.saw(self.now(), server, outcome, latency);
            self.wake.notify_one();
        }
    }

    /// The own list of servers, or changes of it, was handed to the balancer. Returns the servers among them that are
    /// not trusted.
    pub fn listed(&self, entries: &[ServerEntry]) -> Vec<(ServerId, Standing)> {
        let Some(evidence) = &self.evidence else { return Vec::new() };
        evidence.listed(self.now(), entries);
        self.wake.notify_one();
        let stands = entries.iter().map(|e| (e.id, evidence.standing(e.id)));
        stands.filter(|(_, standing)| *standing != Standing::Trusted).collect()
    }

    /// The own list does not have these servers any more. This is not published, because a whole list may be outdated.
    pub fn unlisted(&self, servers: &[ServerId]) {
        if let Some(evidence) = &self.evidence {
            evidence.unlisted(servers);
        }
    }

    /// The fleet has `count` configured members from now on.
    pub fn resized(&self, count: usize) {
        if let Some(leases) = &self.leases {
            let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            leases.resized(self.now(), count, unix.as_millis() as u64);
            self.wake.notify_one();
        }
    }

    /// Whether the view takes a member for alive.
    pub fn is_there(&self, member: u16) -> bool {
        self.view.borrow().member(member).is_some_and(|m| m.status == Status::Alive)
    }

    /// The number and the epoch of this process.
    pub fn process(&self) -> (u16, u64) {
        let view = self.view.borrow();
        (view.me(), view.epoch())
    }

    /// Logs a change of a member, unless there were too many lately.
    fn tell(&self, event: &Event, now: Micros) {
        let mut log = self.log.borrow_mut();
        let Some(held_back) = log.line(now) else { return };
        let Event { number, epoch, old_status, new_status } = event;
        tracing::info!(
            event = "peer_changed",
            fleet = %self.name,
            peer = number,
            epoch,
            held_back,
            "peer {number} was {old_status:?} and is {new_status:?}"
        );
    }
}

//! Drives the state machines that communicate between sidecars (view, replica, leases, documents) with the clock and
//! sockets, and shares one byte budget among their messages.

mod figures;
mod jobs;
mod log_budget;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use coppercart::api::{Outcome, ServerEntry, ServerId, ServerVerdict};
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
use crate::sinks::{PeerSender, VerdictSink};
use crate::trials::TrialAction;
use log_budget::LogBudget;

/// Messages of the view.
pub const VIEW: Kind = Kind { number: 1, weight: 4 };
/// Messages of the replica: evidence about servers, and entries of jobs and stores.
const EVIDENCE: Kind = Kind { number: 2, weight: 2 };
/// Messages of leases. Their weight puts them ahead of the others: after many members have changed, the other kinds
/// use up the budget of every seat for minutes. With a low weight, answers to claims wait behind them, rounds end
/// before the answers arrive, and a job with many candidates, such as the writer's, has no owner. The cost: in a small
/// partition, claims that cannot succeed delay the view; leases defer three of four of them while the budget is short.
pub const LEASE: Kind = Kind { number: 3, weight: 1024 };
/// Messages about documents.
const DISTRIBUTION: Kind = Kind { number: 4, weight: 4 };
/// Returns the kinds of messages that share the budget.
pub fn message_kinds() -> Vec<Kind> {
    vec![VIEW, EVIDENCE, LEASE, DISTRIBUTION]
}

/// The burst that the budget allows, in seconds of its rate.
const BURST_S: u32 = 2;

/// Settings of a [`Fleet`].
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    /// The name of the fleet. Datagrams of other fleets are dropped.
    pub name: String,
    /// The time between two probes.
    pub period: Duration,
    /// The bytes per second that this process may send to other members.
    pub bytes_per_second: u32,
    /// Whether sidecars share evidence about servers: failures and departures.
    pub share_evidence: bool,
    /// Settings of leases; None disables leases.
    pub lease: Option<LeaseSettings>,
}

/// Counts of datagrams that were dropped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Dropped {
    /// The datagram is no valid frame, or one of another version.
    pub unreadable: u64,
    /// The frame belongs to another fleet.
    pub foreign: u64,
    /// The frame came from the address of one peer and names another as its sender.
    pub misnamed: u64,
}

/// The state machines of one process, with the channel that they share.
pub struct Fleet {
    name: String,
    id: u32,
    started: Instant,
    view: RefCell<View>,
    channel: RefCell<Channel>,
    evidence: Option<Evidence>,
    leases: Option<Leases>,
    /// The distribution of documents, if it is enabled.
    pub distribution: Option<Rc<Distribution>>,
    /// Pending actions on suspected servers.
    trial_actions: RefCell<Vec<TrialAction>>,
    peers: Rc<dyn PeerSender>,
    wake: Arc<Notify>,
    dropped: Cell<Dropped>,
    log_budget: RefCell<LogBudget>,
}

/// Returns why the settings rule out a fleet view; None if they allow one.
pub fn unavailable_reason(settings: &Settings, peers: usize) -> Option<String> {
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
    /// Starts the tasks on the current `LocalSet`. The caller has checked that [`unavailable_reason`] returns None.
    pub fn start(
        settings: &FleetSettings,
        (me, members): (u32, usize),
        (zone, silence, hold): (u8, Micros, Micros),
        (seed, distribution): (u64, Option<Distribution>),
        peers: Rc<dyn PeerSender>,
    ) -> Rc<Fleet> {
        let distribution = distribution.map(Rc::new);
        // All state machines share one clock.
        let started = distribution.as_ref().map_or_else(Instant::now, |d| d.started());
        // A clock before 1970 yields the lowest epoch; the view raises it when it learns of a later one.
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
            trial_actions: RefCell::default(),
            peers,
            wake: distribution.as_ref().map_or_else(Arc::default, |d| d.wake.clone()),
            distribution,
            dropped: Cell::default(),
            log_budget: RefCell::new(LogBudget::full()),
        });
        spawn_local(fleet.clone().run());
        if let Some(distribution) = &fleet.distribution {
            spawn_local(distribution.clone().run_snapshot_writer());
        }
        fleet
    }

    /// Returns the microseconds since the start.
    fn now(&self) -> Micros {
        self.started.elapsed().as_micros() as Micros
    }

    /// Handles a datagram that came from the address of the peer `from`.
    pub fn handle_datagram(&self, from: u32, data: &[u8]) {
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
                        // The view counts malformed messages.
                        _ if kind == VIEW.number => drop(view.handle(now, from, epoch, content)),
                        Some(evidence) if kind == EVIDENCE.number => {
                            evidence.handle(now, from, content)
                        }
                        _ => {}
                    }
                    if let Some(leases) = self.leases.as_ref().filter(|_| kind == LEASE.number) {
                        leases.handle(now, from, content);
                    }
                    let is_document = kind == DISTRIBUTION.number;
                    if let Some(distribution) = self.distribution.as_ref().filter(|_| is_document) {
                        distribution.handle(now, from, content);
                    }
                }
                drop(view);
                self.wake.notify_one();
            }
        }
        self.dropped.set(dropped);
    }

    /// Announces by the view and the leases that this process is about to end.
    pub fn leave(&self) {
        let now = self.now();
        if let Some(leases) = &self.leases {
            leases.shutdown(now, &self.view.borrow());
        }
        self.view.borrow_mut().leave(now);
        self.pump();
    }

    /// Runs all state machines whenever one is due or a message has arrived.
    async fn run(self: Rc<Fleet>) {
        loop {
            let next = self.pump();
            if let Some(evidence) = &self.evidence {
                evidence.report_changes(|server, verdict| {
                    if let Some(leases) = &self.leases {
                        leases.apply_verdict(self.now(), server, verdict);
                    }
                });
                self.run_trial_actions(evidence);
            }
            let next = self.started + Duration::from_micros(next);
            tokio::select! {
                () = sleep_until(next.into()) => {}
                () = self.wake.notified() => {}
            }
        }
    }

    /// Carries out the pending actions on suspected servers. The balancer acts on them at once.
    fn run_trial_actions(&self, evidence: &Evidence) {
        for action in self.trial_actions.take() {
            match action {
                TrialAction::ApplyVerdict(server, verdict) => evidence.report(server, verdict),
                TrialAction::Release(server, job) => tracing::info!(
                    event = "trial_given_up",
                    server = server.0,
                    job = job.0,
                    "released job {:016x}: this sidecar sent no attempt to the suspected server",
                    job.0
                ),
                TrialAction::Announce(job, token) => evidence.publish_job(self.now(), job, token),
            }
        }
    }

    /// Runs all state machines and sends their messages. Returns the time of the next call.
    fn pump(&self) -> Micros {
        let now = self.now();
        let (mut view, mut channel) = (self.view.borrow_mut(), self.channel.borrow_mut());
        let congested = channel.is_congested(now);
        view.set_congested(congested);
        if view.poll_timeout() <= now {
            view.tick(now);
        }
        while let Some((to, content)) = view.poll_transmit() {
            channel.offer(to, VIEW.number, content);
        }
        let mut joined = Vec::new();
        while let Some(event) = view.poll_event() {
            self.log_change(&event, now);
            if event.new_status == Status::Alive && event.old_status != Status::Suspect {
                joined.push(event.number);
            }
        }
        let mut next = view.poll_timeout();
        if let Some(evidence) = &self.evidence {
            joined.into_iter().for_each(|number| evidence.on_joined(now, number, &view));
            let send = |to, content| {
                // The channel takes messages of this kind.
                let _ = channel.offer(to, EVIDENCE.number, content);
            };
            next = next.min(evidence.pump(now, &mut view, congested, send));
        }
        if let Some(leases) = &self.leases {
            let published_owner = |job| self.evidence.as_ref().and_then(|e| e.job(now, job));
            let send = |to, content| {
                // The channel takes messages of this kind.
                let _ = channel.offer(to, LEASE.number, content);
            };
            let trial_actions = &mut self.trial_actions.borrow_mut();
            next = next.min(leases.pump(
                now,
                (view.epoch(), congested),
                trial_actions,
                &published_owner,
                send,
            ));
        }
        let header = Header { fleet: self.id, from: view.me(), epoch: view.epoch() };
        if let Some(distribution) = &self.distribution {
            let send = |to, content| {
                // The channel takes messages of this kind.
                let _ = channel.offer(to, DISTRIBUTION.number, content);
            };
            let push_document = |to: u16, content: Vec<u8>| {
                let mut frame = FrameWriter::new(header);
                if frame.push(DISTRIBUTION.number, &content) {
                    self.peers.send(u32::from(to), &frame.finish());
                }
            };
            let member = (view.me(), self.leases.as_ref());
            next = next.min(distribution.pump(now, member, send, push_document));
        }
        while let Some((to, bytes)) = channel.poll(now, header) {
            self.peers.send(u32::from(to), &bytes);
        }
        channel.poll_timeout().map_or(next, |at| next.min(at))
    }

    /// Sets the receiver of verdicts on servers.
    pub fn set_verdict_sink(&self, sink: Box<dyn VerdictSink>) {
        if let Some(evidence) = &self.evidence {
            evidence.set_sink(sink);
        }
    }

    /// Records that an attempt is sent to a server.
    pub fn on_attempt_sent(&self, server: ServerId) {
        if let Some(evidence) = &self.evidence {
            evidence.on_attempt_sent(self.now(), server);
            if let Some(leases) = &self.leases {
                leases.on_attempt_sent(server);
            }
            self.wake.notify_one();
        }
    }

    /// Records how an attempt at a server ended.
    pub fn on_attempt_ended(&self, server: ServerId, outcome: Outcome, latency: Micros) {
        if let Some(evidence) = &self.evidence {
            evidence.on_attempt_ended(self.now(), server, outcome, latency);
            self.wake.notify_one();
        }
    }

    /// Records the own list of servers, or changes to it, that were passed to the balancer. Returns the servers among
    /// them that are not trusted.
    pub fn on_listed(&self, entries: &[ServerEntry]) -> Vec<(ServerId, ServerVerdict)> {
        let Some(evidence) = &self.evidence else { return Vec::new() };
        evidence.on_listed(self.now(), entries);
        self.wake.notify_one();
        let verdicts = entries.iter().map(|e| (e.id, evidence.verdict(e.id)));
        verdicts.filter(|(_, verdict)| *verdict != ServerVerdict::Trusted).collect()
    }

    /// Records that the own list no longer has these servers. This is not published, because a whole list may be
    /// outdated.
    pub fn on_unlisted(&self, servers: &[ServerId]) {
        if let Some(evidence) = &self.evidence {
            evidence.on_unlisted(servers);
        }
    }

    /// Sets the number of configured members of the fleet.
    pub fn set_member_count(&self, count: usize) {
        if let Some(leases) = &self.leases {
            let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            leases.set_member_count(self.now(), count, unix.as_millis() as u64);
            self.wake.notify_one();
        }
    }

    /// Returns whether the view considers a member alive.
    pub fn is_alive(&self, member: u16) -> bool {
        self.view.borrow().member(member).is_some_and(|m| m.status == Status::Alive)
    }

    /// Returns the number and the epoch of this process.
    pub fn own_identity(&self) -> (u16, u64) {
        let view = self.view.borrow();
        (view.me(), view.epoch())
    }

    /// Logs a change of a member, unless too many changes were logged recently.
    fn log_change(&self, event: &Event, now: Micros) {
        let mut log_budget = self.log_budget.borrow_mut();
        let Some(held_back) = log_budget.acquire_line(now) else { return };
        let Event { number, epoch, old_status, new_status } = event;
        tracing::info!(
            event = "peer_changed",
            fleet = %self.name,
            peer = number,
            epoch,
            held_back,
            "peer {number} changed from {old_status:?} to {new_status:?}"
        );
    }
}

//! A sidecar with the full view: channel, view, and if asked for replica and lease, driven as
//! `millethook-engine/src/fleet.rs` drives them.

use millethook_frames::{Channel, ChannelConfig, Frame, Header, Kind, fleet_id};
use millethook_lease::{Config, Event, JobId, Lease, Member, Members};
use millethook_machine::Violation;
use millethook_machine::hash::mix;
use millethook_replica::{EntryValue, Key, Replica, ReplicaConfig};
use millethook_view::{Status, View, ViewConfig};
use serde::{Deserialize, Serialize};

use crate::Micros;
use crate::node::{Belief, Judgement, Node};

/// The kinds of `millethook-engine/src/fleet.rs`, with its weights.
pub const VIEW: Kind = Kind { number: 1, weight: 4 };
/// What is told of servers and jobs.
pub const EVIDENCE: Kind = Kind { number: 2, weight: 2 };
/// What is said about leases.
pub const LEASE: Kind = Kind { number: 3, weight: 1024 };
/// Bytes that may go out at once, in seconds of the budget.
const BURST_S: u32 = 2;
/// The next so many members after one that has come tell it what they hold, each a part.
const WELCOMING: usize = 3;
/// The longest silence of a server before it is told of, in microseconds. No server is listed here.
const SILENCE: Micros = 1_000_000;

/// How sidecars are set up; the same for all. Defaults are those of `deploy/millethook.toml`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SidecarConfig {
    /// Time between two probes.
    pub period_ms: u64,
    /// What one sidecar may send to others.
    pub bytes_per_second: u32,
    /// Whether a replica runs.
    pub replica: bool,
    /// Whether leases run.
    pub lease: bool,
    /// Jobs of the fleet that are wanted, each by three sidecars.
    pub jobs: u32,
    /// Seats of a job.
    pub seats: usize,
    /// The longest lease.
    pub longest_ms: u64,
}

impl Default for SidecarConfig {
    fn default() -> SidecarConfig {
        SidecarConfig {
            period_ms: 1_000,
            bytes_per_second: 1_500,
            replica: true,
            lease: true,
            jobs: 0,
            seats: 5,
            longest_ms: 6_000,
        }
    }
}

/// Whose sidecar it is.
#[derive(Clone, Copy, Debug)]
pub struct Identity {
    /// Its number.
    pub number: u16,
    /// Sidecars in all.
    pub members: u16,
    /// Its zone.
    pub zone: u8,
    /// Milliseconds of Unix time at its start.
    pub epoch: u64,
    /// For random numbers.
    pub seed: u64,
}

/// One sidecar's machines.
pub struct Sidecar {
    fleet: u32,
    view: View,
    channel: Channel,
    replica: Option<Replica>,
    lease: Option<Lease>,
    judgements: Vec<Judgement>,
    said: u16,
}

/// Sidecars that want a job: three, spread over the fleet.
fn wants(job: u64, number: u16, members: u16) -> bool {
    let size = u64::from(members.max(1));
    (0..3).any(|nth| (mix(job) % size + nth * size / 3) % size == u64::from(number))
}

impl Sidecar {
    /// One whose process has just started.
    pub fn new(config: &SidecarConfig, fleet: &str, identity: Identity, now: Micros) -> Sidecar {
        let Identity { number, members, zone, epoch, seed } = identity;
        let period = config.period_ms * 1_000;
        let view = ViewConfig { me: number, members, epoch, period, seed };
        let rate = config.bytes_per_second;
        let burst = rate.saturating_mul(BURST_S);
        let channel = ChannelConfig { rate, burst, kinds: vec![VIEW, EVIDENCE, LEASE] };
        let replica = config.replica.then(|| {
            let me = number;
            let silence = SILENCE;
            Replica::new(ReplicaConfig { me, members, epoch, zone, period, silence, seed }, now)
        });
        let lease = config.lease.then(|| Sidecar::lease(config, identity, now));
        Sidecar {
            fleet: fleet_id(fleet),
            view: View::new(view, now),
            channel: Channel::new(&channel, now),
            replica,
            lease,
            judgements: Vec::new(),
            said: 0,
        }
    }

    fn lease(config: &SidecarConfig, identity: Identity, now: Micros) -> Lease {
        let Identity { number, members, epoch, seed, .. } = identity;
        let longest = config.longest_ms * 1_000;
        let list = (0..u64::from(members)).map(|n| Member(mix(n + 1))).collect();
        let lease = Config {
            me: number,
            epoch,
            acceptors: config.seats,
            max_lease: longest,
            change_timeout: 3_600_000_000,
            max_drift: 0.01,
            seed,
        };
        let mut lease = Lease::new(lease, Members::new(list), now);
        for job in (0..u64::from(config.jobs)).filter(|job| wants(*job, number, members)) {
            lease.request(now, JobId(mix(job)), longest, 0);
        }
        lease
    }

    fn pump_replica(&mut self, now: Micros, short: bool, joined: &[u16]) -> Micros {
        let (view, channel) = (&mut self.view, &mut self.channel);
        let Some(replica) = &mut self.replica else { return Micros::MAX };
        for number in joined {
            if let Some(part) = view.position_after(*number, WELCOMING) {
                replica.send_state(now, *number, part, WELCOMING);
            }
        }
        replica.set_epoch(view.epoch());
        replica.set_congested(short);
        if replica.poll_timeout() <= now {
            replica.tick(now);
        }
        while let Some((to, content)) = replica.poll_transmit() {
            if let Some(to) = to.resolve(|| view.any_present()) {
                channel.offer(to, EVIDENCE.number, content);
            }
        }
        while replica.poll_event().is_some() {}
        replica.poll_timeout()
    }

    fn pump_lease(&mut self, now: Micros, short: bool) -> Micros {
        let Some(lease) = &mut self.lease else { return Micros::MAX };
        lease.set_epoch(self.view.epoch());
        lease.set_congested(short);
        if lease.poll_timeout() <= now {
            lease.tick(now);
        }
        while let Some(event) = lease.poll_event() {
            let (Event::Granted(job, token), Some(replica)) = (event, &mut self.replica) else {
                continue;
            };
            self.said = self.said.wrapping_add(1);
            let said = self.said;
            replica.publish_owned(now, Key::Job { job: job.0 }, EntryValue::Job { token, said });
        }
        while let Some((to, content)) = lease.poll_transmit() {
            self.channel.offer(to, LEASE.number, content);
        }
        lease.poll_timeout()
    }

    /// Does what the view has due; members that have come.
    fn pump_view(&mut self, now: Micros) -> Vec<u16> {
        if self.view.poll_timeout() <= now {
            self.view.tick(now);
        }
        while let Some((to, content)) = self.view.poll_transmit() {
            self.channel.offer(to, VIEW.number, content);
        }
        let mut joined = Vec::new();
        while let Some(event) = self.view.poll_event() {
            // What a newcomer is told of those that it never knew is no judgement.
            let known = event.old_status.is_present();
            match event.new_status {
                Status::Suspect if known => self.judgements.push(Judgement::Suspect(event.number)),
                Status::Dead if known => self.judgements.push(Judgement::Dead(event.number)),
                Status::Alive if event.old_status != Status::Suspect => joined.push(event.number),
                _ => {}
            }
        }
        joined
    }
}

impl Node for Sidecar {
    fn handle(&mut self, now: Micros, from: u16, datagram: &[u8]) {
        let Ok(frame) = Frame::parse(datagram) else { return };
        let Header { fleet, from: named, epoch } = frame.header;
        if fleet != self.fleet || named != from {
            return;
        }
        for (kind, content) in frame.records() {
            // What is malformed is counted by the machines.
            if kind == VIEW.number {
                let _ = self.view.handle(now, from, epoch, content);
            } else if let (true, Some(replica)) = (kind == EVIDENCE.number, &mut self.replica) {
                let _ = replica.handle(now, from, content);
            } else if let (true, Some(lease)) = (kind == LEASE.number, &mut self.lease) {
                lease.handle(now, from, content);
            }
        }
    }

    fn pump(&mut self, now: Micros, send: &mut dyn FnMut(u16, Vec<u8>)) -> Micros {
        let short = self.channel.is_congested(now);
        self.view.set_congested(short);
        let joined = self.pump_view(now);
        let mut next = self.view.poll_timeout();
        next = next.min(self.pump_replica(now, short, &joined));
        next = next.min(self.pump_lease(now, short));
        let header = Header { fleet: self.fleet, from: self.view.me(), epoch: self.view.epoch() };
        while let Some((to, bytes)) = self.channel.poll(now, header) {
            send(to, bytes);
        }
        self.channel.poll_timeout().map_or(next, |at| next.min(at))
    }

    fn belief(&self) -> Belief {
        let counts = self.view.counts();
        Belief { hash: u64::from(self.view.hash()), count: (counts.alive + counts.suspect) as u32 }
    }

    fn check(&self, now: Micros) -> Result<(), Violation> {
        self.channel.check()?;
        self.view.check()?;
        if let Some(replica) = &self.replica {
            replica.check(now)?;
        }
        if let Some(lease) = &self.lease {
            lease.check(now)?;
        }
        Ok(())
    }

    fn judgements(&mut self) -> Vec<Judgement> {
        std::mem::take(&mut self.judgements)
    }

    fn stalls(&self) -> u64 {
        self.view.figures().stalls
    }
}

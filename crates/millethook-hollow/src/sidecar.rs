//! A sidecar with the full view: channel, view, and optionally replica and lease, driven as in
//! `millethook-engine/src/fleet.rs`.

use millethook_frames::{Channel, ChannelConfig, Frame, Header, Kind, fleet_id};
use millethook_lease::{Config, Event, JobId, Lease, Member, Members};
use millethook_machine::Violation;
use millethook_machine::hash::mix;
use millethook_replica::{EntryValue, Key, Replica, ReplicaConfig};
use millethook_view::{Status, View, ViewConfig};
use serde::{Deserialize, Serialize};

use crate::Micros;
use crate::node::{MemberVerdict, Node, StateSummary};

/// Records of the view. The kinds and their weights are those of `millethook-engine/src/fleet.rs`.
pub const VIEW: Kind = Kind { number: 1, weight: 4 };
/// Records of the replica: evidence on servers, and jobs.
pub const EVIDENCE: Kind = Kind { number: 2, weight: 2 };
/// Records of leases.
pub const LEASE: Kind = Kind { number: 3, weight: 1024 };
/// Burst size, in seconds of the byte budget.
const BURST_S: u32 = 2;
/// Number of members that send a newly joined member their state, each one part of it: those that follow it by
/// number.
const STATE_SENDERS: usize = 3;
/// Maximum silence of a server before it is reported to peers. It has no effect here, since no server is listed.
const MAX_SERVER_SILENCE: Micros = 1_000_000;

/// Settings of sidecars, the same for all. Defaults are those of `deploy/millethook.toml`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SidecarConfig {
    /// Interval between two probes.
    pub period_ms: u64,
    /// Bytes per second that one sidecar may send to others.
    pub bytes_per_second: u32,
    /// Whether a replica runs.
    pub replica: bool,
    /// Whether leases run.
    pub lease: bool,
    /// Number of jobs in the fleet, each requested by three sidecars.
    pub jobs: u32,
    /// Number of acceptors of a job.
    pub seats: usize,
    /// Maximum duration of a lease.
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

/// The identity of a sidecar.
#[derive(Clone, Copy, Debug)]
pub struct Identity {
    /// Its member number.
    pub number: u16,
    /// Total number of sidecars.
    pub members: u16,
    /// Its zone.
    pub zone: u8,
    /// Unix time of its start, in milliseconds.
    pub epoch: u64,
    /// Random seed.
    pub seed: u64,
}

/// One sidecar's state machines.
pub struct Sidecar {
    fleet: u32,
    view: View,
    channel: Channel,
    replica: Option<Replica>,
    lease: Option<Lease>,
    verdicts: Vec<MemberVerdict>,
    last_job_sequence: u16,
}

/// Returns whether a sidecar requests a job. Three sidecars, spread over the fleet, request each job.
fn requests_job(job: u64, number: u16, members: u16) -> bool {
    let size = u64::from(members.max(1));
    (0..3).any(|nth| (mix(job) % size + nth * size / 3) % size == u64::from(number))
}

impl Sidecar {
    /// Creates a sidecar whose process has just started.
    pub fn new(config: &SidecarConfig, fleet: &str, identity: Identity, now: Micros) -> Sidecar {
        let Identity { number, members, zone, epoch, seed } = identity;
        let period = config.period_ms * 1_000;
        let view = ViewConfig { me: number, members, epoch, period, seed };
        let rate = config.bytes_per_second;
        let burst = rate.saturating_mul(BURST_S);
        let channel = ChannelConfig { rate, burst, kinds: vec![VIEW, EVIDENCE, LEASE] };
        let replica = config.replica.then(|| {
            let me = number;
            let silence = MAX_SERVER_SILENCE;
            Replica::new(ReplicaConfig { me, members, epoch, zone, period, silence, seed }, now)
        });
        let lease = config.lease.then(|| Sidecar::lease(config, identity, now));
        Sidecar {
            fleet: fleet_id(fleet),
            view: View::new(view, now),
            channel: Channel::new(&channel, now),
            replica,
            lease,
            verdicts: Vec::new(),
            last_job_sequence: 0,
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
        for job in (0..u64::from(config.jobs)).filter(|job| requests_job(*job, number, members)) {
            lease.request(now, JobId(mix(job)), longest, 0);
        }
        lease
    }

    fn pump_replica(&mut self, now: Micros, congested: bool, joined: &[u16]) -> Micros {
        let (view, channel) = (&mut self.view, &mut self.channel);
        let Some(replica) = &mut self.replica else { return Micros::MAX };
        for number in joined {
            if let Some(part) = view.position_after(*number, STATE_SENDERS) {
                replica.send_state(now, *number, part, STATE_SENDERS);
            }
        }
        replica.set_epoch(view.epoch());
        replica.set_congested(congested);
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

    fn pump_lease(&mut self, now: Micros, congested: bool) -> Micros {
        let Some(lease) = &mut self.lease else { return Micros::MAX };
        lease.set_epoch(self.view.epoch());
        lease.set_congested(congested);
        if lease.poll_timeout() <= now {
            lease.tick(now);
        }
        while let Some(event) = lease.poll_event() {
            let (Event::Granted(job, token), Some(replica)) = (event, &mut self.replica) else {
                continue;
            };
            self.last_job_sequence = self.last_job_sequence.wrapping_add(1);
            let sequence = self.last_job_sequence;
            replica.publish_owned(
                now,
                Key::Job { job: job.0 },
                EntryValue::Job { token, said: sequence },
            );
        }
        while let Some((to, content)) = lease.poll_transmit() {
            self.channel.offer(to, LEASE.number, content);
        }
        lease.poll_timeout()
    }

    /// Does the view's work that is due, and returns the members that joined.
    fn pump_view(&mut self, now: Micros) -> Vec<u16> {
        if self.view.poll_timeout() <= now {
            self.view.tick(now);
        }
        while let Some((to, content)) = self.view.poll_transmit() {
            self.channel.offer(to, VIEW.number, content);
        }
        let mut joined = Vec::new();
        while let Some(event) = self.view.poll_event() {
            // What a new member is told about members it never knew is not its own verdict.
            let known = event.old_status.is_present();
            match event.new_status {
                Status::Suspect if known => {
                    self.verdicts.push(MemberVerdict::Suspect(event.number))
                }
                Status::Dead if known => self.verdicts.push(MemberVerdict::Dead(event.number)),
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
            // The state machines count malformed records.
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
        let congested = self.channel.is_congested(now);
        self.view.set_congested(congested);
        let joined = self.pump_view(now);
        let mut next = self.view.poll_timeout();
        next = next.min(self.pump_replica(now, congested, &joined));
        next = next.min(self.pump_lease(now, congested));
        let header = Header { fleet: self.fleet, from: self.view.me(), epoch: self.view.epoch() };
        while let Some((to, bytes)) = self.channel.poll(now, header) {
            send(to, bytes);
        }
        self.channel.poll_timeout().map_or(next, |at| next.min(at))
    }

    fn state_summary(&self) -> StateSummary {
        let counts = self.view.counts();
        StateSummary {
            hash: u64::from(self.view.hash()),
            count: (counts.alive + counts.suspect) as u32,
        }
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

    fn verdicts(&mut self) -> Vec<MemberVerdict> {
        std::mem::take(&mut self.verdicts)
    }

    fn stalls(&self) -> u64 {
        self.view.figures().stalls
    }
}

//! Measures how long a job, such as the writer of documents, has no owner while other kinds of messages use up the
//! shared budget. Runs leases and the channel on a virtual clock, combined as in the engine.

use std::collections::VecDeque;

use millethook_engine::fleet::{LEASE, VIEW, message_kinds};
use millethook_frames::{Channel, ChannelConfig, Frame, Header};
use millethook_lease::{Config, JobId, Lease, Member as LeaseMember, Members};
use millethook_machine::Micros;
use millethook_machine::sim::{Fleet, Machine, SECOND as S};

const MEMBERS: u16 = 300;
/// The number of members that request the job, like control nodes.
const CANDIDATES: u16 = 36;
const JOB: JobId = JobId(7);
/// The default budget in bytes per second.
const RATE: u32 = 1_500;
/// The maximum lease length, shorter than the default of 6 s.
const MAX_LEASE: Micros = 3 * S;
/// The factor by which messages of another kind exceed the budget of a loaded member.
const OVERLOAD: u32 = 2;
const LOAD_INTERVAL: Micros = S / 10;

struct Member {
    me: u16,
    lease: Lease,
    channel: Channel,
    loaded: bool,
    load_at: Micros,
    load_receiver: u16,
    outgoing: VecDeque<(u16, Vec<u8>)>,
}

impl Member {
    fn new(me: u16, seed: u64, loaded: bool, now: Micros) -> Member {
        let members = Members::new((1..=u64::from(MEMBERS)).map(LeaseMember).collect());
        let config = Config {
            me,
            epoch: 1_700_000_000_000 + now / 1_000,
            acceptors: 5,
            max_lease: MAX_LEASE,
            change_timeout: 60 * S,
            max_drift: 0.05,
            seed,
        };
        let mut lease = Lease::new(config, members, now);
        if me < CANDIDATES {
            lease.request(now, JOB, MAX_LEASE, 0);
        }
        let channel = ChannelConfig { rate: RATE, burst: 2 * RATE, kinds: message_kinds() };
        let channel = Channel::new(&channel, now);
        let load_at = now + seed % LOAD_INTERVAL;
        Member { me, lease, channel, loaded, load_at, load_receiver: 0, outgoing: VecDeque::new() }
    }

    fn pump(&mut self, now: Micros) {
        let congested = self.channel.is_congested(now);
        while self.loaded && self.load_at <= now {
            self.load_at += LOAD_INTERVAL;
            let bytes = (RATE * OVERLOAD) as usize / (S / LOAD_INTERVAL) as usize;
            for _ in 0..2 {
                self.load_receiver = (self.load_receiver + 1) % MEMBERS;
                self.channel.offer(self.load_receiver, VIEW.number, vec![0; bytes / 2]);
            }
        }
        self.lease.set_congested(congested);
        if self.lease.poll_timeout() <= now {
            self.lease.tick(now);
        }
        while self.lease.poll_event().is_some() {}
        while let Some((to, content)) = self.lease.poll_transmit() {
            self.channel.offer(to, LEASE.number, content);
        }
        let header = Header { fleet: 1, from: self.me, epoch: 1 };
        while let Some((to, bytes)) = self.channel.poll(now, header) {
            let frame = Frame::parse(&bytes).expect("the channel emits valid frames");
            for (kind, content) in frame.records() {
                if kind == LEASE.number {
                    self.outgoing.push_back((to, content.to_vec()));
                }
            }
        }
    }

    fn holds(&self, now: Micros) -> bool {
        self.lease.holds(now, JOB).is_some()
    }
}

impl Machine for Member {
    fn handle(&mut self, now: Micros, from: u16, content: &[u8]) {
        self.lease.handle(now, from, content);
        self.pump(now);
    }
    fn tick(&mut self, now: Micros) {
        self.pump(now);
    }
    fn poll_timeout(&self) -> Micros {
        let load = if self.loaded { self.load_at } else { Micros::MAX };
        let channel = self.channel.poll_timeout().unwrap_or(Micros::MAX);
        self.lease.poll_timeout().min(load).min(channel)
    }
    fn poll_transmit(&mut self) -> Option<(Option<u16>, Vec<u8>)> {
        self.outgoing.pop_front().map(|(to, content)| (Some(to), content))
    }
}

fn owner(fleet: &Fleet<Member>) -> Option<u16> {
    let holds = |n: &u16| {
        let machine = fleet.nodes[usize::from(*n)].machine.as_ref();
        machine.is_some_and(|member| member.holds(fleet.local(*n)))
    };
    (0..CANDIDATES).find(holds)
}

/// The members whose budget is used up by other messages.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Overloaded {
    None,
    /// Only members that do not request the job; its seats are among them.
    NonCandidates,
    All,
}

/// Kills the owner of the job and returns how many of the next 30 s no member owns it.
fn seconds_without_owner(seed: u64, overloaded: Overloaded) -> f64 {
    let mut fleet = Fleet::new(MEMBERS, seed);
    for n in 0..MEMBERS {
        let seed = fleet.below(u64::MAX);
        let loaded = match overloaded {
            Overloaded::None => false,
            Overloaded::NonCandidates => n >= CANDIDATES,
            Overloaded::All => true,
        };
        fleet.start(n, |now| Member::new(n, seed, loaded, now));
    }
    fleet.run_until(60 * S, |fleet| owner(fleet).is_some()).expect("the job gets an owner");
    fleet.run(5 * S);
    let killed = owner(&fleet);
    killed.into_iter().for_each(|n| fleet.kill(n));
    let mut samples_without_owner = 0;
    for _ in 0..300 {
        fleet.run(S / 10);
        samples_without_owner += u32::from(owner(&fleet).is_none());
    }
    f64::from(samples_without_owner) / 10.0
}

/// Returns the mean over six seeds.
fn mean_without_owner(overloaded: Overloaded) -> f64 {
    let all: Vec<f64> = (0..6).map(|seed| seconds_without_owner(seed, overloaded)).collect();
    let mean = all.iter().sum::<f64>() / all.len() as f64;
    println!("{overloaded:?}: no owner for {all:?} of 30 s, mean {mean:.2}");
    mean
}

#[test]
fn a_job_gets_an_owner_although_other_messages_use_up_the_budget() {
    let baseline = mean_without_owner(Overloaded::None);
    for overloaded in [Overloaded::NonCandidates, Overloaded::All] {
        let mean = mean_without_owner(overloaded);
        assert!(
            mean <= baseline + 4.0,
            "{overloaded:?}: {mean:.2} s, {baseline:.2} s without load"
        );
    }
}

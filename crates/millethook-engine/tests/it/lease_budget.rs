//! How long the fleet is without the owner of a job, such as the writer of documents, while the budget of all messages
//! between sidecars is used up by other kinds: leases and the channel on the virtual clock, as the engine puts them
//! together.

use std::collections::VecDeque;

use millethook_engine::fleet::{LEASE, VIEW, message_kinds};
use millethook_frames::{Channel, ChannelConfig, Frame, Header};
use millethook_lease::{Config, JobId, Lease, Member as LeaseMember, Members};
use millethook_machine::Micros;
use millethook_machine::sim::{Fleet, Machine, SECOND as S};

const MEMBERS: u16 = 300;
/// Members that want the job, as control nodes do.
const CANDIDATES: u16 = 36;
const JOB: JobId = JobId(7);
/// The settings of `[fleet]` and `[lease]` that nobody changed, but for the longest lease.
const RATE: u32 = 1_500;
const LONGEST: Micros = 3 * S;
/// Each member has so much more to say of another kind than the budget allows.
const OVERLOAD: u32 = 2;
const LOAD_EVERY: Micros = S / 10;

struct Member {
    me: u16,
    lease: Lease,
    channel: Channel,
    loaded: bool,
    load_at: Micros,
    others: u16,
    out: VecDeque<(u16, Vec<u8>)>,
}

impl Member {
    fn new(me: u16, seed: u64, loaded: bool, now: Micros) -> Member {
        let members = Members::new((1..=u64::from(MEMBERS)).map(LeaseMember).collect());
        let config = Config {
            me,
            epoch: 1_700_000_000_000 + now / 1_000,
            acceptors: 5,
            max_lease: LONGEST,
            change_timeout: 60 * S,
            max_drift: 0.05,
            seed,
        };
        let mut lease = Lease::new(config, members, now);
        if me < CANDIDATES {
            lease.request(now, JOB, LONGEST, 0);
        }
        let channel = ChannelConfig { rate: RATE, burst: 2 * RATE, kinds: message_kinds() };
        let channel = Channel::new(&channel, now);
        let load_at = now + seed % LOAD_EVERY;
        Member { me, lease, channel, loaded, load_at, others: 0, out: VecDeque::new() }
    }

    fn pump(&mut self, now: Micros) {
        let short = self.channel.is_short(now);
        while self.loaded && self.load_at <= now {
            self.load_at += LOAD_EVERY;
            let bytes = (RATE * OVERLOAD) as usize / (S / LOAD_EVERY) as usize;
            for _ in 0..2 {
                self.others = (self.others + 1) % MEMBERS;
                self.channel.offer(self.others, VIEW.number, vec![0; bytes / 2]);
            }
        }
        self.lease.set_congested(short);
        if self.lease.poll_timeout() <= now {
            self.lease.tick(now);
        }
        while self.lease.poll_event().is_some() {}
        while let Some((to, content)) = self.lease.poll_transmit() {
            self.channel.offer(to, LEASE.number, content);
        }
        let header = Header { fleet: 1, from: self.me, epoch: 1 };
        while let Some((to, bytes)) = self.channel.poll(now, header) {
            let frame = Frame::parse(&bytes).expect("the channel makes whole frames");
            for (kind, content) in frame.records() {
                if kind == LEASE.number {
                    self.out.push_back((to, content.to_vec()));
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
        self.out.pop_front().map(|(to, content)| (Some(to), content))
    }
}

fn owner(fleet: &Fleet<Member>) -> Option<u16> {
    let holds = |n: &u16| {
        let machine = fleet.nodes[usize::from(*n)].machine.as_ref();
        machine.is_some_and(|member| member.holds(fleet.local(*n)))
    };
    (0..CANDIDATES).find(holds)
}

/// Whose budget other messages use up.
#[derive(Clone, Copy, Debug, PartialEq)]
enum UsedUp {
    Nobodys,
    /// Those of the members that do not want the job; its seats are among them.
    OfOthers,
    Everybodys,
}

/// For how long of the 30 s after the job's owner was killed there is none, in seconds.
fn without_owner(seed: u64, used_up: UsedUp) -> f64 {
    let mut fleet = Fleet::new(MEMBERS, seed);
    for n in 0..MEMBERS {
        let seed = fleet.below(u64::MAX);
        let loaded = match used_up {
            UsedUp::Nobodys => false,
            UsedUp::OfOthers => n >= CANDIDATES,
            UsedUp::Everybodys => true,
        };
        fleet.start(n, |now| Member::new(n, seed, loaded, now));
    }
    fleet.run_until(60 * S, |fleet| owner(fleet).is_some()).expect("there is an owner");
    fleet.run(5 * S);
    let killed = owner(&fleet);
    killed.into_iter().for_each(|n| fleet.kill(n));
    let mut without = 0;
    for _ in 0..300 {
        fleet.run(S / 10);
        without += u32::from(owner(&fleet).is_none());
    }
    f64::from(without) / 10.0
}

/// The mean over some seeds.
fn mean_without_owner(used_up: UsedUp) -> f64 {
    let all: Vec<f64> = (0..6).map(|seed| without_owner(seed, used_up)).collect();
    let mean = all.iter().sum::<f64>() / all.len() as f64;
    println!("{used_up:?}: without an owner for {all:?} of 30 s, {mean:.2} in the mean");
    mean
}

#[test]
fn a_budget_that_other_messages_use_up_does_not_leave_the_fleet_without_an_owner() {
    let calm = mean_without_owner(UsedUp::Nobodys);
    for used_up in [UsedUp::OfOthers, UsedUp::Everybodys] {
        let mean = mean_without_owner(used_up);
        assert!(mean <= calm + 4.0, "{used_up:?}: {mean:.2} s, in calm {calm:.2} s");
    }
}

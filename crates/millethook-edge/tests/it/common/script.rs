//! Random scripts of events on the host.

use super::*;

#[derive(Clone, Debug)]
pub enum Act {
    /// Process, member, whether the write is keyed, and how many acknowledged writes its context names.
    Store(usize, u64, bool, usize),
    Kill(usize),
    Start(usize),
    /// Process and duration in milliseconds.
    Pause(usize, u64),
    PauseOwner(u64),
    KillOwner,
    Reachable(bool),
    LostAnswers(u64),
    /// Process, and the time in milliseconds for which its disk syncs nothing.
    SlowDisk(usize, u64),
    PowerLoss,
    /// Flips a bit of a random file.
    FlipBit(u64),
    Wait,
}

pub type Script = Vec<(u64, Act)>;

pub fn script(length: usize, flips: bool) -> impl Strategy<Value = Script> {
    let p = 0..PROCESSES;
    let act = prop_oneof![
        12 => (p.clone(), 0..MEMBERS, any::<bool>(), 0usize..3).prop_map(|(p, m, k, n)| Act::Store(p, m, k, n)),
        2 => p.clone().prop_map(Act::Kill),
        4 => p.clone().prop_map(Act::Start),
        2 => (p.clone(), 10u64..6_000).prop_map(|(p, ms)| Act::Pause(p, ms)),
        2 => (p, 10u64..6_000).prop_map(|(p, ms)| Act::SlowDisk(p, ms)),
        3 => (10u64..6_000).prop_map(Act::PauseOwner),
        2 => Just(Act::KillOwner),
        4 => any::<bool>().prop_map(Act::Reachable),
        2 => (0u64..60).prop_map(Act::LostAnswers),
        1 => Just(Act::PowerLoss),
        2 => any::<u64>().prop_map(move |at| if flips { Act::FlipBit(at) } else { Act::Wait }),
        3 => Just(Act::Wait),
    ];
    let gap = prop_oneof![3 => 0u64..50, 3 => 0u64..500, 1 => 0u64..6_000];
    prop::collection::vec((gap, act), 1..length)
}

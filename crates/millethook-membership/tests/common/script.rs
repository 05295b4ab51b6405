//! Random scripts of lists, snapshots, trials and time.

use millethook_membership::TrialOutcome;
use millethook_membership::list::ListedState;
use proptest::prelude::*;

/// Number of servers in a script.
pub const SERVER_COUNT: usize = 14;

/// An entry of a list: a server by number, its state, and when it last started.
pub type Entry = (usize, ListedState, u64);

/// A snapshot, with ages in seconds. A negative age is a time in the future.
#[derive(Clone, Debug)]
pub struct OldSnapshot {
    pub written_s: i64,
    /// Servers by number, each with the age of its confirmation.
    pub servers: Vec<(usize, i64)>,
    /// Servers that left within the hour before.
    pub departed: usize,
}

/// The lists that a process starts with.
#[derive(Clone, Debug)]
pub struct Start {
    /// The list of the platform's configuration.
    pub platform_list: Option<Vec<Entry>>,
    pub snapshot: Option<OldSnapshot>,
}

/// One step of a script.
#[derive(Clone, Debug)]
pub enum Step {
    /// A full list. `seq` is added to the version that was sent last.
    FullList { seq: i8, hosts: Vec<Entry> },
    /// Discovery repeats the full list, with each server in its last state.
    RepeatedList,
    /// Changes to the list. `seq` is added to the version that was sent last.
    Changes { seq: i8, hosts: Vec<Entry> },
    /// A snapshot arrives late.
    Snapshot(OldSnapshot),
    /// The platform's list arrives late.
    PlatformList(Vec<Entry>),
    /// Discovery does not answer.
    SourceLost,
    /// Actions that are due are carried out.
    Due,
    /// Time passes until an action is due, and it is carried out.
    NextDue,
    /// This many trials in a row are not answered.
    TrialsUnanswered(u8),
    /// Discovery has lost its content: it sends this many empty lists, this many milliseconds apart.
    ContentLost(u8, u16),
    /// A trial ends.
    TrialEnds(u8, TrialOutcome),
    /// This many milliseconds pass.
    Pass(u16),
    /// This many minutes pass at once.
    Jump(u16),
}

fn health() -> impl Strategy<Value = ListedState> {
    prop_oneof![
        6 => Just(ListedState::Active),
        2 => Just(ListedState::Leaving),
        2 => Just(ListedState::Left),
        1 => Just(ListedState::Unknown),
    ]
}

/// Entries. The same server may occur twice.
fn hosts(most: usize) -> impl Strategy<Value = Vec<Entry>> {
    prop::collection::vec((0..SERVER_COUNT, health(), 0..3u64), 0..most)
}

fn old_snapshot() -> impl Strategy<Value = OldSnapshot> {
    let age = || prop_oneof![6 => 0..40_000_000i64, 2 => 0..10_000i64, 1 => -10_000_000..0i64];
    let servers = prop::collection::vec((0..SERVER_COUNT, age()), 0..SERVER_COUNT);
    (age(), servers, 0..20usize).prop_map(|(written_s, servers, departed)| OldSnapshot {
        written_s,
        servers,
        departed,
    })
}

fn outcome() -> impl Strategy<Value = TrialOutcome> {
    prop_oneof![
        1 => Just(TrialOutcome::Answered),
        1 => Just(TrialOutcome::Refused),
        1 => Just(TrialOutcome::Stranger),
        3 => Just(TrialOutcome::Silent),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => (-5..5i8, hosts(2 * SERVER_COUNT)).prop_map(|(seq, hosts)| Step::FullList { seq, hosts }),
        // Discovery has lost its content and sends a list that is almost empty.
        2 => hosts(2).prop_map(|hosts| Step::FullList { seq: 1, hosts }),
        2 => Just(Step::RepeatedList),
        5 => (-2..4i8, hosts(4)).prop_map(|(seq, hosts)| Step::Changes { seq, hosts }),
        1 => old_snapshot().prop_map(Step::Snapshot),
        1 => hosts(SERVER_COUNT).prop_map(Step::PlatformList),
        1 => Just(Step::SourceLost),
        4 => Just(Step::Due),
        6 => Just(Step::NextDue),
        1 => (0..60u8).prop_map(Step::TrialsUnanswered),
        1 => (1..5u8, 0..20_000u16).prop_map(|(times, gap)| Step::ContentLost(times, gap)),
        6 => (any::<u8>(), outcome()).prop_map(|(n, outcome)| Step::TrialEnds(n, outcome)),
        6 => (0..5_000u16).prop_map(Step::Pass),
        1 => any::<u16>().prop_map(Step::Pass),
        1 => any::<u16>().prop_map(Step::Jump),
    ]
}

/// The lists that a process starts with, and a script of fewer than `steps` steps.
pub fn script(steps: usize) -> impl Strategy<Value = (Start, Vec<Step>)> {
    let platform_list = prop::option::of(hosts(SERVER_COUNT));
    let start = (platform_list, prop::option::weighted(0.8, old_snapshot()))
        .prop_map(|(platform_list, snapshot)| Start { platform_list, snapshot });
    (start, prop::collection::vec(step(), 1..steps))
}

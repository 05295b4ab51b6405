//! Lists from all sources on a virtual clock.

use std::collections::HashMap;

use millethook_membership::list::{Host, List, ListedState};
use millethook_membership::snapshot::Snapshot;
use millethook_membership::{Config, Membership, Source, TrialOutcome, Trust, UnixMs};

const S: u64 = 1_000;
const HOUR: u64 = 3_600 * S;
const DAY: u64 = 24 * HOUR;
const NOW: UnixMs = 20_000 * DAY;

fn host(n: usize) -> Host {
    Host {
        host: format!("s-{n}"),
        dial: Some(([127, 0, 0, 1], 1000 + n as u16).into()),
        site: "a".into(),
        class: String::new(),
        block: 0,
        health: ListedState::Active,
        share: 1.0,
        born_ms: 0,
    }
}

fn list(seq: u64, whole: bool, hosts: impl IntoIterator<Item = Host>) -> List {
    List { seq, whole, hosts: hosts.into_iter().collect() }
}

fn with(n: usize, health: ListedState) -> Host {
    Host { health, ..host(n) }
}

/// The snapshot of a fleet of `n` servers that was live for a day and lost `departed` of them in an hour.
fn snapshot(n: usize, departed: usize) -> Snapshot {
    let mut m = Membership::new(Config::default(), 1);
    m.apply_list(NOW - DAY, Source::Discovery, &list(1, true, (0..n).map(host)));
    m.apply_list(NOW - HOUR, Source::Discovery, &list(2, true, (0..n).map(host)));
    let moved = (departed..n + departed).map(host);
    m.apply_list(NOW, Source::Discovery, &list(3, true, moved));
    m.snapshot("f", NOW)
}

fn names(hosts: &[Host]) -> Vec<&str> {
    hosts.iter().map(|h| h.host.as_str()).collect()
}

#[test]
fn a_young_list_is_used_and_an_old_one_is_tried() {
    let mut young = Membership::new(Config::default(), 1);
    let told = young.load_snapshot(NOW + HOUR, snapshot(10, 0));
    assert_eq!((told.hosts.len(), told.whole), (10, false));
    assert_eq!(young.counts().remembered, 10);
    assert!(young.poll_trial(NOW + 2 * HOUR).is_none(), "what is used is not tried");

    let mut old = Membership::new(Config::default(), 1);
    assert!(old.load_snapshot(NOW + 20 * DAY, snapshot(10, 0)).is_empty());
    assert_eq!(old.counts().doubtful, 10);

    let mut ancient = Membership::new(Config::default(), 1);
    ancient.load_snapshot(NOW + 1000 * DAY, snapshot(10, 0));
    assert_eq!((ancient.counts().doubtful, ancient.counts().dropped), (0, 10));
}

/// A fleet that replaced 92% an hour before ages faster than one that never moves.
#[test]
fn how_fast_a_list_ages_follows_from_its_own_history() {
    let trust = |departed| {
        let mut m = Membership::new(Config::default(), 1);
        m.load_snapshot(NOW + 12 * HOUR, snapshot(66, departed));
        m.servers().next().expect("one").trust
    };
    assert_eq!(trust(0), Trust::Remembered);
    assert_eq!(trust(61), Trust::Doubtful);
}

/// An address of last month may be another program's by now, which must not get an order.
#[test]
fn a_doubtful_server_is_nobodys_until_it_has_answered() {
    let mut m = Membership::new(Config { trials_at_once: 1, ..Config::default() }, 7);
    let mut now = NOW + 20 * DAY;
    m.load_snapshot(now, snapshot(4, 0));
    let mut used: Vec<String> = Vec::new();
    for _ in 0..120 {
        now += 500;
        let Some(trial) = m.poll_trial(now) else { continue };
        assert!(m.poll_trial(now).is_none(), "one at a time");
        let outcome = match trial.host.host.as_str() {
            "s-0" => TrialOutcome::Answered,
            "s-1" => TrialOutcome::Refused,
            "s-2" => TrialOutcome::OtherProgram,
            _ => TrialOutcome::NoAnswer,
        };
        let told = m.trial_ended(now, &trial.host.host, outcome);
        used.extend(told.hosts.iter().map(|h| h.host.clone()));
    }
    assert_eq!(used, ["s-0"]);
    let counts = m.counts();
    // The silent one was tried four times, the others once.
    assert_eq!((counts.live, counts.doubtful, counts.dropped, counts.trials), (1, 0, 3, 7));
}

#[test]
fn live_data_takes_the_place_of_what_was_remembered() {
    let mut m = Membership::new(Config::default(), 1);
    m.load_snapshot(NOW + 20 * DAY, snapshot(3, 0));
    let now = NOW + 20 * DAY + 10 * S;
    let trial = m.poll_trial(now).expect("due");
    let told = m.apply_list(now, Source::Discovery, &list(1, true, [host(1), host(9)]));
    assert_eq!((names(&told.hosts), told.whole), (vec!["s-1", "s-9"], true));
    // What the trial came to no longer matters, in either direction.
    let late = m.trial_ended(now, &trial.host.host, TrialOutcome::Refused);
    assert!(late.is_empty());
    assert_eq!((m.counts().live, m.counts().doubtful), (2, 0));
    assert!(m.load_snapshot(now, snapshot(3, 0)).is_empty(), "it was too late for that");
    assert!(m.apply_list(now, Source::PlatformConfig, &list(1, true, [host(0)])).is_empty());
    assert_eq!(m.counts().live, 2);
}

/// A registry that comes back empty must not remove a good list.
#[test]
fn an_empty_list_is_held_for_a_while_and_holds_then() {
    let mut m = Membership::new(Config::default(), 1);
    m.apply_list(NOW, Source::Discovery, &list(5, true, (0..50).map(host)));
    let told = m.apply_list(NOW + S, Source::Discovery, &list(6, true, []));
    assert!(told.is_empty() && m.counts().held && m.counts().live == 50);
    // One of 50 is too few as well; what it says in so many words holds at once.
    let few = [with(7, ListedState::Leaving), host(99)];
    let told = m.apply_list(NOW + 2 * S, Source::Discovery, &list(7, true, few));
    assert_eq!((names(&told.hosts), told.whole), (vec!["s-7", "s-99"], false));
    assert_eq!(m.apply_due_list(NOW + 30 * S), None);
    assert_eq!(m.next_due(), Some(NOW + 31 * S), "counted from the first");
    let told = m.apply_due_list(NOW + 31 * S).expect("nobody took it back");
    assert_eq!((names(&told.hosts), told.whole), (vec!["s-7", "s-99"], true));
    assert_eq!((m.counts().live, m.counts().suspect_lists), (2, 1));
}

#[test]
fn a_suspect_list_that_is_taken_back_leaves_no_trace() {
    let mut m = Membership::new(Config::default(), 1);
    m.apply_list(NOW, Source::Discovery, &list(5, true, (0..50).map(host)));
    m.apply_list(NOW + S, Source::Discovery, &list(1, true, []));
    let told = m.apply_list(NOW + 2 * S, Source::Discovery, &list(2, true, (0..49).map(host)));
    assert!(told.whole && told.hosts.len() == 49);
    assert_eq!((m.counts().held, m.next_due()), (false, None));
}

#[test]
fn a_drain_holds_at_once_whatever_is_held() {
    let mut m = Membership::new(Config::default(), 1);
    m.apply_list(NOW, Source::Discovery, &list(5, true, (0..50).map(host)));
    m.apply_list(NOW + S, Source::Discovery, &list(6, true, []));
    let gone = [with(3, ListedState::Left), with(4, ListedState::Leaving)];
    let told = m.apply_list(NOW + 2 * S, Source::Discovery, &list(7, false, gone.clone()));
    assert_eq!(told.hosts, gone);
    assert_eq!(m.counts().live, 49);
}

#[test]
fn a_small_fleet_may_shrink_to_nothing() {
    let mut m = Membership::new(Config::default(), 1);
    m.apply_list(NOW, Source::Discovery, &list(5, true, (0..3).map(host)));
    assert!(m.apply_list(NOW, Source::Discovery, &list(6, true, [])).whole);
}

/// Up for 1 s, down for 5, ten times; the version starts anew after the third time, as discovery was rebuilt.
#[test]
fn flaps_change_nothing_that_discovery_did_not_say() {
    let mut m = Membership::new(Config::default(), 1);
    for flap in 0..10 {
        let now = NOW + flap * 6 * S;
        let seq = if flap < 3 { 100 + flap } else { flap };
        let told = m.apply_list(now, Source::Discovery, &list(seq, true, (0..20).map(host)));
        assert!(told.whole && told.hosts.len() == 20);
        m.source_lost(now + S);
    }
    let kept = m.snapshot("f", NOW + HOUR);
    let lost = NOW + 9 * 6 * S + S;
    assert!(kept.servers.iter().all(|s| s.confirmed_ms == lost), "it ages from when it was lost");
    assert_eq!((kept.seq, kept.servers.len()), (9, 20));
}

#[test]
fn a_clock_that_jumps_loses_nobody_and_trusts_nobody() {
    let mut back = Membership::new(Config::default(), 1);
    assert!(back.load_snapshot(NOW - 30 * DAY, snapshot(5, 0)).is_empty());
    assert_eq!(back.counts().doubtful, 5);
    let mut now = NOW - 30 * DAY;
    let mut answered = 0;
    while let Some(due) = back.next_due() {
        now = now.max(due);
        let Some(trial) = back.poll_trial(now) else { continue };
        answered += back.trial_ended(now, &trial.host.host, TrialOutcome::Answered).hosts.len();
    }
    assert_eq!(answered, 5);
}

#[test]
fn only_servers_that_serve_are_kept() {
    let mut m = Membership::new(Config::default(), 1);
    let hosts = [host(1), with(2, ListedState::Leaving), with(3, ListedState::Left)];
    m.apply_list(NOW, Source::Discovery, &list(1, true, hosts));
    let kept = m.snapshot("f", NOW);
    let kept: Vec<_> = kept.servers.iter().map(|s| s.host.host.as_str()).collect();
    assert_eq!(kept, ["s-1"]);
}

/// 1,800 sidecars that wake together over 66 servers, with a list too old to be used. `(trials at the busiest
/// server in its busiest second, trials in all, when 99% of the sidecars had a server)`.
fn wake_up(config: Config) -> (usize, u64, UnixMs) {
    const SIDECARS: u64 = 1_800;
    let old = snapshot(66, 61);
    let start = NOW + 3 * DAY;
    let mut at_second: HashMap<(String, u64), usize> = HashMap::new();
    let (mut trials, mut ready) = (0, Vec::new());
    for sidecar in 0..SIDECARS {
        let mut m = Membership::new(config, sidecar);
        m.load_snapshot(start, old.clone());
        let (mut now, mut first) = (start, None);
        while let Some(due) = m.next_due().filter(|due| *due < start + 60 * S) {
            now = now.max(due);
            let Some(trial) = m.poll_trial(now) else { continue };
            let name = trial.host.host;
            *at_second.entry((name.clone(), (now - start) / S)).or_default() += 1;
            // Four in five are gone.
            let there = trial.host.dial.is_some_and(|d| d.port() % 5 == 0);
            let outcome = if there { TrialOutcome::Answered } else { TrialOutcome::Refused };
            if !m.trial_ended(now, &name, outcome).is_empty() {
                first.get_or_insert(now - start);
            }
        }
        trials += m.counts().trials;
        ready.extend(first);
    }
    ready.sort_unstable();
    let most = at_second.values().copied().max().unwrap_or(0);
    (most, trials, ready[ready.len().min(SIDECARS as usize * 99 / 100) - 1])
}

#[test]
fn eighteen_hundred_that_wake_together_swamp_nobody() {
    let usual = wake_up(Config::default());
    // What a sidecar without bounds would do: all trials at once.
    let unbounded =
        Config { trials_per_second: 1e6, trials_at_once: 66, spread_ms: 0, ..Config::default() };
    let unbounded = wake_up(unbounded);
    println!("bounded {usual:?}, unbounded {unbounded:?}");
    assert!(usual.0 <= 80, "{usual:?}");
    assert!(unbounded.0 >= 1_700, "{unbounded:?}");
    assert!(usual.2 <= 15 * S, "{usual:?}");
}

#[test]
fn a_suspect_list_that_takes_effect_does_not_undo_what_came_after_it() {
    let mut m = Membership::new(Config::default(), 1);
    m.apply_list(NOW, Source::Discovery, &list(5, true, (0..50).map(host)));
    m.apply_list(NOW + S, Source::Discovery, &list(6, true, [host(3), host(4)]));
    let later = [with(3, ListedState::Left), with(4, ListedState::Leaving), host(60)];
    m.apply_list(NOW + 2 * S, Source::Discovery, &list(7, false, later));
    let told = m.apply_due_list(NOW + 31 * S).expect("nobody took it back");
    let health = |n: usize| {
        let mut entries = told.hosts.iter().filter(|h| h.host == format!("s-{n}"));
        (entries.next().map(|h| h.health), entries.count())
    };
    assert_eq!(health(3), (Some(ListedState::Left), 0), "what has left stays away");
    assert_eq!(health(4), (Some(ListedState::Leaving), 0), "what drains gets nothing more");
    assert_eq!(health(60), (Some(ListedState::Active), 0), "what has come stays");
    assert_eq!(m.counts().live, 2);
}

#[test]
fn changes_of_an_earlier_version_change_nothing() {
    let mut m = Membership::new(Config::default(), 1);
    m.apply_list(NOW, Source::Discovery, &list(5, true, (0..5).map(host)));
    m.apply_list(NOW, Source::Discovery, &list(7, false, [with(1, ListedState::Leaving)]));
    let late = m.apply_list(NOW, Source::Discovery, &list(6, false, [host(1)]));
    assert!(late.is_empty(), "it drains on: {late:?}");
    let again =
        m.apply_list(NOW, Source::Discovery, &list(7, false, [with(1, ListedState::Leaving)]));
    assert_eq!(again.hosts.len(), 1, "the same version may come again");
    let anew = m.apply_list(NOW, Source::Discovery, &list(1, true, (0..5).map(host)));
    assert!(anew.whole, "a whole list begins anew");
    let first = m.apply_list(NOW, Source::Code, &list(0, false, [host(8)]));
    assert_eq!(names(&first.hosts), ["s-8"], "another source counts for itself");
}

#[test]
fn what_has_left_or_drains_makes_no_trial_rarer() {
    let old = NOW + 20 * DAY;
    let mut m = Membership::new(Config { spread_ms: 0, ..Config::default() }, 1);
    let hosts = (20..25).map(|n| with(n, ListedState::Leaving));
    let hosts = hosts.chain((25..30).map(|n| with(n, ListedState::Left)));
    m.apply_list(old, Source::PlatformConfig, &list(1, true, hosts));
    m.load_snapshot(old, snapshot(3, 0));
    assert_eq!(m.counts().remembered, 5, "one that has left is not remembered");
    assert!(m.poll_trial(old).is_some());
    assert!(m.poll_trial(old + S / 2).is_some(), "none can be used: the next one is urgent");
}

/// The wall clock was wrong while the file was written: by it, servers were confirmed in the future.
#[test]
fn a_file_of_a_clock_that_was_set_back_is_tried() {
    let kept = Snapshot { written_ms: NOW - 30 * DAY, ..snapshot(5, 0) };
    let mut m = Membership::new(Config::default(), 1);
    assert!(m.load_snapshot(NOW + HOUR, kept).is_empty());
    assert_eq!((m.counts().doubtful, m.counts().dropped), (5, 0));
}

#[test]
fn a_server_of_the_platforms_list_does_not_become_doubtful_by_a_snapshot() {
    let mut m = Membership::new(Config::default(), 1);
    let before = NOW - DAY;
    m.apply_list(before, Source::PlatformConfig, &list(1, true, [host(0)]));
    m.load_snapshot(before, snapshot(2, 0));
    assert_eq!((m.counts().remembered, m.counts().doubtful), (1, 1));
}

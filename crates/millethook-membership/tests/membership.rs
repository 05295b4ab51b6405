//! A membership with lists from all sources, on a virtual clock.

use std::collections::HashMap;

use millethook_membership::list::{Host, List, ListedState};
use millethook_membership::snapshot::Snapshot;
use millethook_membership::{Config, Membership, Source, TrialOutcome, Trust, UnixMs};

const SECOND: u64 = 1_000;
const HOUR: u64 = 3_600 * SECOND;
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

fn host_in_state(n: usize, health: ListedState) -> Host {
    Host { health, ..host(n) }
}

/// The snapshot of a fleet of `n` servers that was live for a day and lost `departed` of them in the last hour.
fn snapshot(n: usize, departed: usize) -> Snapshot {
    let mut m = Membership::new(Config::default(), 1);
    m.apply_list(NOW - DAY, Source::Discovery, &list(1, true, (0..n).map(host)));
    m.apply_list(NOW - HOUR, Source::Discovery, &list(2, true, (0..n).map(host)));
    let after_departures = (departed..n + departed).map(host);
    m.apply_list(NOW, Source::Discovery, &list(3, true, after_departures));
    m.snapshot("f", NOW)
}

fn names(hosts: &[Host]) -> Vec<&str> {
    hosts.iter().map(|h| h.host.as_str()).collect()
}

#[test]
fn a_recent_snapshot_is_used_and_an_old_one_is_tried() {
    let mut recent = Membership::new(Config::default(), 1);
    let update = recent.load_snapshot(NOW + HOUR, snapshot(10, 0));
    assert_eq!((update.hosts.len(), update.whole), (10, false));
    assert_eq!(recent.counts().remembered, 10);
    assert!(recent.poll_trial(NOW + 2 * HOUR).is_none(), "servers in use are not tried");

    let mut old = Membership::new(Config::default(), 1);
    assert!(old.load_snapshot(NOW + 20 * DAY, snapshot(10, 0)).is_empty());
    assert_eq!(old.counts().doubtful, 10);

    let mut ancient = Membership::new(Config::default(), 1);
    ancient.load_snapshot(NOW + 1000 * DAY, snapshot(10, 0));
    assert_eq!((ancient.counts().doubtful, ancient.counts().dropped), (0, 10));
}

/// The list of a fleet that replaced 92% of its servers an hour ago ages faster than that of a stable fleet.
#[test]
fn a_list_ages_by_its_own_history() {
    let trust = |departed| {
        let mut m = Membership::new(Config::default(), 1);
        m.load_snapshot(NOW + 12 * HOUR, snapshot(66, departed));
        m.servers().next().expect("one").trust
    };
    assert_eq!(trust(0), Trust::Remembered);
    assert_eq!(trust(61), Trust::Doubtful);
}

/// An address of last month may belong to another program by now, which must not get requests.
#[test]
fn a_doubtful_server_gets_no_requests_until_it_has_answered() {
    let mut m = Membership::new(Config { trials_at_once: 1, ..Config::default() }, 7);
    let mut now = NOW + 20 * DAY;
    m.load_snapshot(now, snapshot(4, 0));
    let mut used: Vec<String> = Vec::new();
    for _ in 0..120 {
        now += 500;
        let Some(trial) = m.poll_trial(now) else { continue };
        assert!(m.poll_trial(now).is_none(), "one trial at a time");
        let outcome = match trial.host.host.as_str() {
            "s-0" => TrialOutcome::Answered,
            "s-1" => TrialOutcome::Refused,
            "s-2" => TrialOutcome::Stranger,
            _ => TrialOutcome::Silent,
        };
        let update = m.trial_ended(now, &trial.host.host, outcome);
        used.extend(update.hosts.iter().map(|h| h.host.clone()));
    }
    assert_eq!(used, ["s-0"]);
    let counts = m.counts();
    // The server that did not answer was tried four times, the others once.
    assert_eq!((counts.live, counts.doubtful, counts.dropped, counts.trials), (1, 0, 3, 7));
}

#[test]
fn a_live_list_replaces_the_snapshot() {
    let mut m = Membership::new(Config::default(), 1);
    m.load_snapshot(NOW + 20 * DAY, snapshot(3, 0));
    let now = NOW + 20 * DAY + 10 * SECOND;
    let trial = m.poll_trial(now).expect("due");
    let update = m.apply_list(now, Source::Discovery, &list(1, true, [host(1), host(9)]));
    assert_eq!((names(&update.hosts), update.whole), (vec!["s-1", "s-9"], true));
    // The outcome of the trial is ignored.
    let late = m.trial_ended(now, &trial.host.host, TrialOutcome::Refused);
    assert!(late.is_empty());
    assert_eq!((m.counts().live, m.counts().doubtful), (2, 0));
    assert!(
        m.load_snapshot(now, snapshot(3, 0)).is_empty(),
        "a snapshot after a live list is ignored"
    );
    assert!(m.apply_list(now, Source::PlatformConfig, &list(1, true, [host(0)])).is_empty());
    assert_eq!(m.counts().live, 2);
}

/// A registry that comes back empty must not remove all servers at once.
#[test]
fn an_empty_list_is_held_and_then_takes_effect() {
    let mut m = Membership::new(Config::default(), 1);
    m.apply_list(NOW, Source::Discovery, &list(5, true, (0..50).map(host)));
    let update = m.apply_list(NOW + SECOND, Source::Discovery, &list(6, true, []));
    assert!(update.is_empty() && m.counts().held && m.counts().live == 50);
    // One active server of 50 is too few as well, but the entries of the list take effect at once.
    let few = [host_in_state(7, ListedState::Leaving), host(99)];
    let update = m.apply_list(NOW + 2 * SECOND, Source::Discovery, &list(7, true, few));
    assert_eq!((names(&update.hosts), update.whole), (vec!["s-7", "s-99"], false));
    assert_eq!(m.apply_due_list(NOW + 30 * SECOND), None);
    assert_eq!(m.next_due(), Some(NOW + 31 * SECOND), "counted from the first suspect list");
    let update = m.apply_due_list(NOW + 31 * SECOND).expect("no other list replaced it");
    assert_eq!((names(&update.hosts), update.whole), (vec!["s-7", "s-99"], true));
    assert_eq!((m.counts().live, m.counts().suspect_lists), (2, 1));
}

#[test]
fn a_full_list_replaces_a_held_suspect_list() {
    let mut m = Membership::new(Config::default(), 1);
    m.apply_list(NOW, Source::Discovery, &list(5, true, (0..50).map(host)));
    m.apply_list(NOW + SECOND, Source::Discovery, &list(1, true, []));
    let update =
        m.apply_list(NOW + 2 * SECOND, Source::Discovery, &list(2, true, (0..49).map(host)));
    assert!(update.whole && update.hosts.len() == 49);
    assert_eq!((m.counts().held, m.next_due()), (false, None));
}

#[test]
fn a_drain_takes_effect_while_a_list_is_held() {
    let mut m = Membership::new(Config::default(), 1);
    m.apply_list(NOW, Source::Discovery, &list(5, true, (0..50).map(host)));
    m.apply_list(NOW + SECOND, Source::Discovery, &list(6, true, []));
    let gone = [host_in_state(3, ListedState::Left), host_in_state(4, ListedState::Leaving)];
    let update = m.apply_list(NOW + 2 * SECOND, Source::Discovery, &list(7, false, gone.clone()));
    assert_eq!(update.hosts, gone);
    assert_eq!(m.counts().live, 49);
}

#[test]
fn a_small_fleet_may_shrink_to_nothing() {
    let mut m = Membership::new(Config::default(), 1);
    m.apply_list(NOW, Source::Discovery, &list(5, true, (0..3).map(host)));
    assert!(m.apply_list(NOW, Source::Discovery, &list(6, true, [])).whole);
}

/// Discovery is up for 1 s and down for 5 s, ten times. After the third time its version restarts, as after a rebuild.
#[test]
fn servers_are_kept_while_discovery_flaps() {
    let mut m = Membership::new(Config::default(), 1);
    for flap in 0..10 {
        let now = NOW + flap * 6 * SECOND;
        let seq = if flap < 3 { 100 + flap } else { flap };
        let update = m.apply_list(now, Source::Discovery, &list(seq, true, (0..20).map(host)));
        assert!(update.whole && update.hosts.len() == 20);
        m.source_lost(now + SECOND);
    }
    let kept = m.snapshot("f", NOW + HOUR);
    let lost = NOW + 9 * 6 * SECOND + SECOND;
    assert!(
        kept.servers.iter().all(|s| s.confirmed_ms == lost),
        "entries age from the time at which the source was lost"
    );
    assert_eq!((kept.seq, kept.servers.len()), (9, 20));
}

#[test]
fn servers_are_tried_after_the_clock_was_set_back() {
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
fn a_snapshot_holds_only_active_servers() {
    let mut m = Membership::new(Config::default(), 1);
    let hosts =
        [host(1), host_in_state(2, ListedState::Leaving), host_in_state(3, ListedState::Left)];
    m.apply_list(NOW, Source::Discovery, &list(1, true, hosts));
    let kept = m.snapshot("f", NOW);
    let kept: Vec<_> = kept.servers.iter().map(|s| s.host.host.as_str()).collect();
    assert_eq!(kept, ["s-1"]);
}

/// Starts 1,800 sidecars at the same time over 66 servers, with a list too old to be used. Returns `(trials at the
/// busiest server in its busiest second, all trials, time after which 99% of the sidecars had a server)`.
fn start_fleet(config: Config) -> (usize, u64, UnixMs) {
    const SIDECARS: u64 = 1_800;
    let old = snapshot(66, 61);
    let start = NOW + 3 * DAY;
    let mut at_second: HashMap<(String, u64), usize> = HashMap::new();
    let (mut trials, mut ready) = (0, Vec::new());
    for sidecar in 0..SIDECARS {
        let mut m = Membership::new(config, sidecar);
        m.load_snapshot(start, old.clone());
        let (mut now, mut first) = (start, None);
        while let Some(due) = m.next_due().filter(|due| *due < start + 60 * SECOND) {
            now = now.max(due);
            let Some(trial) = m.poll_trial(now) else { continue };
            let name = trial.host.host;
            *at_second.entry((name.clone(), (now - start) / SECOND)).or_default() += 1;
            // Four in five servers are gone.
            let exists = trial.host.dial.is_some_and(|d| d.port() % 5 == 0);
            let outcome = if exists { TrialOutcome::Answered } else { TrialOutcome::Refused };
            if !m.trial_ended(now, &name, outcome).is_empty() {
                first.get_or_insert(now - start);
            }
        }
        trials += m.counts().trials;
        ready.extend(first);
    }
    ready.sort_unstable();
    let busiest = at_second.values().copied().max().unwrap_or(0);
    (busiest, trials, ready[ready.len().min(SIDECARS as usize * 99 / 100) - 1])
}

#[test]
fn trials_of_1800_sidecars_that_start_together_overload_no_server() {
    let bounded = start_fleet(Config::default());
    // A sidecar without bounds would start all trials at once.
    let unbounded =
        Config { trials_per_second: 1e6, trials_at_once: 66, spread_ms: 0, ..Config::default() };
    let unbounded = start_fleet(unbounded);
    println!("bounded {bounded:?}, unbounded {unbounded:?}");
    assert!(bounded.0 <= 80, "{bounded:?}");
    assert!(unbounded.0 >= 1_700, "{unbounded:?}");
    assert!(bounded.2 <= 15 * SECOND, "{bounded:?}");
}

#[test]
fn a_suspect_list_that_takes_effect_does_not_undo_later_changes() {
    let mut m = Membership::new(Config::default(), 1);
    m.apply_list(NOW, Source::Discovery, &list(5, true, (0..50).map(host)));
    m.apply_list(NOW + SECOND, Source::Discovery, &list(6, true, [host(3), host(4)]));
    let later =
        [host_in_state(3, ListedState::Left), host_in_state(4, ListedState::Leaving), host(60)];
    m.apply_list(NOW + 2 * SECOND, Source::Discovery, &list(7, false, later));
    let update = m.apply_due_list(NOW + 31 * SECOND).expect("no other list replaced it");
    let health = |n: usize| {
        let mut entries = update.hosts.iter().filter(|h| h.host == format!("s-{n}"));
        (entries.next().map(|h| h.health), entries.count())
    };
    assert_eq!(
        health(3),
        (Some(ListedState::Left), 0),
        "a server that has left is not added again"
    );
    assert_eq!(health(4), (Some(ListedState::Leaving), 0), "a draining server stays draining");
    assert_eq!(health(60), (Some(ListedState::Active), 0), "a new server stays");
    assert_eq!(m.counts().live, 2);
}

#[test]
fn changes_of_an_earlier_version_change_nothing() {
    let mut m = Membership::new(Config::default(), 1);
    m.apply_list(NOW, Source::Discovery, &list(5, true, (0..5).map(host)));
    m.apply_list(NOW, Source::Discovery, &list(7, false, [host_in_state(1, ListedState::Leaving)]));
    let late = m.apply_list(NOW, Source::Discovery, &list(6, false, [host(1)]));
    assert!(late.is_empty(), "the server stays draining: {late:?}");
    let again = m.apply_list(
        NOW,
        Source::Discovery,
        &list(7, false, [host_in_state(1, ListedState::Leaving)]),
    );
    assert_eq!(again.hosts.len(), 1, "changes of the same version may be repeated");
    let restarted = m.apply_list(NOW, Source::Discovery, &list(1, true, (0..5).map(host)));
    assert!(restarted.whole, "a full list of a lower version is accepted");
    let first = m.apply_list(NOW, Source::Code, &list(0, false, [host(8)]));
    assert_eq!(names(&first.hosts), ["s-8"], "another source has its own versions");
}

#[test]
fn draining_and_departed_servers_do_not_delay_trials() {
    let old = NOW + 20 * DAY;
    let mut m = Membership::new(Config { spread_ms: 0, ..Config::default() }, 1);
    let hosts = (20..25).map(|n| host_in_state(n, ListedState::Leaving));
    let hosts = hosts.chain((25..30).map(|n| host_in_state(n, ListedState::Left)));
    m.apply_list(old, Source::PlatformConfig, &list(1, true, hosts));
    m.load_snapshot(old, snapshot(3, 0));
    assert_eq!(m.counts().remembered, 5, "servers that have left are not stored");
    assert!(m.poll_trial(old).is_some());
    assert!(
        m.poll_trial(old + SECOND / 2).is_some(),
        "no server is usable, so the next trial is urgent"
    );
}

/// The wall clock was wrong before the file was written, so servers were confirmed later than the write.
#[test]
fn servers_confirmed_after_the_write_are_tried() {
    let kept = Snapshot { written_ms: NOW - 30 * DAY, ..snapshot(5, 0) };
    let mut m = Membership::new(Config::default(), 1);
    assert!(m.load_snapshot(NOW + HOUR, kept).is_empty());
    assert_eq!((m.counts().doubtful, m.counts().dropped), (5, 0));
}

#[test]
fn a_snapshot_makes_no_server_of_the_platforms_list_doubtful() {
    let mut m = Membership::new(Config::default(), 1);
    let before = NOW - DAY;
    m.apply_list(before, Source::PlatformConfig, &list(1, true, [host(0)]));
    m.load_snapshot(before, snapshot(2, 0));
    assert_eq!((m.counts().remembered, m.counts().doubtful), (1, 1));
}

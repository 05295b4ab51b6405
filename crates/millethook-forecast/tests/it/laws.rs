//! Properties of any sample, change and proposal. With `--features mutants`, they must detect the absence of each
//! rule.

use crate::common::{Site, changes};
use millethook_forecast::{
    AcceptedProposal, Access, Assignment, Change, Estimate, InvalidChange, Placement, Proposal,
    Question, Sample, Server, Token, forecast,
};
use proptest::prelude::*;

fn access(at: u64, item: u64) -> Access {
    Access { at, item, zone: 0, class: 0, duration: 10 }
}

proptest! {
    #[test]
    fn merged_samples_equal_one_sample_of_all_accesses(
        a in prop::collection::vec((0u64..1_000, 0u64..200), 0..200),
        b in prop::collection::vec((0u64..1_000, 0u64..200), 0..200),
        (share_a, share_b) in (0.1f64..1.0, 0.1f64..1.0),
    ) {
        let sample = |share, of: &[(u64, u64)]| {
            let mut sample = Sample::new(share, 10_000);
            of.iter().for_each(|(at, item)| sample.add(access(*at, *item)));
            sample
        };
        let mut merged = sample(share_a, &a);
        merged.merge(&sample(share_b, &b), 0);
        let all: Vec<(u64, u64)> = a.iter().chain(&b).copied().collect();
        let whole = sample(share_a.min(share_b), &all);
        let of = |s: &Sample| {
            let mut of: Vec<(u64, u64)> = s.accesses().map(|a| (a.at, a.item)).collect();
            of.sort_unstable();
            of
        };
        prop_assert_eq!(of(&merged), of(&whole));
        prop_assert!(merged.accesses().zip(merged.accesses().skip(1)).all(|(a, b)| a.at <= b.at));
    }

    #[test]
    fn a_stale_owners_proposal_is_ignored(tokens in prop::collection::vec((0u64..3, 0u32..4, 0u16..3), 1..30)) {
        let (mut accepted, mut highest) = (AcceptedProposal::default(), Token::default());
        for (n, (epoch, counter, owner)) in tokens.into_iter().enumerate() {
            let token = Token { epoch, counter, owner };
            let proposal = Proposal { token, subset: n as u16 };
            let before = accepted.current();
            prop_assert_eq!(accepted.accept(proposal).is_ok(), token >= highest);
            highest = highest.max(token);
            let expected = if token >= highest { Some(proposal) } else { before };
            prop_assert_eq!(accepted.current(), expected);
        }
    }

    #[test]
    fn a_forecast_is_a_rate_within_its_interval(
        accesses in prop::collection::vec((0u64..60_000_000, 0u64..50), 0..400),
        servers in 1u64..6, size in 1usize..4, exclusive: bool,
    ) {
        let mut sample = Sample::new(1.0, 60_000_000);
        accesses.iter().for_each(|(at, item)| sample.add(access(*at, *item)));
        let servers = (0..servers).map(|id| Server { id, zone: 0 }).collect();
        let placement = Placement { servers, assignment: Assignment::Subset(size) };
        let question = Question {
            sample: &sample, placement: &placement, change: &Change::Replaced(0),
            items: 20.0, expiry: 5_000_000, exclusive, miss_cost: 2.0, seed: 1,
        };
        let made = forecast(&question).expect("server 0 is there");
        for estimate in made.after.iter().chain([&made.steady]).chain(made.by_server.values()) {
            if let Estimate::Interval { low, mid, high } = estimate {
                prop_assert!((0.0..=1.0).contains(mid) && low <= mid && mid <= high, "{estimate:?}");
            }
        }
    }
}

#[test]
fn invalid_changes_are_rejected() {
    let site = Site::new(5, true);
    let made = |change: Change| change.apply(&site.placement).map(drop);
    assert_eq!(made(Change::Removed(1)), Err(InvalidChange::UnknownServer));
    assert_eq!(made(Change::Replaced(1)), Err(InvalidChange::UnknownServer));
    assert_eq!(made(Change::ZoneLost(9)), Err(InvalidChange::UnknownServer));
    assert_eq!(made(Change::Map(Vec::new())), Err(InvalidChange::WrongKind));
    let alone =
        Placement { servers: vec![Server { id: 1, zone: 0 }], assignment: Assignment::Subset(1) };
    assert_eq!(Change::Removed(1).apply(&alone).map(drop), Err(InvalidChange::NoServerLeft));
}

/// The checks of the other tests here and in `truth`, combined into one result.
#[cfg(feature = "mutants")]
#[test]
fn each_missing_rule_is_found() {
    use millethook_forecast::mutant::become_mutant;
    let sound = || {
        let site = Site::new(11, false);
        let mut sound = site.sample.accesses().all(|a| site.sample.samples(a.item));
        for (_, change) in changes(&site) {
            for (_, estimate, actual) in site.compare(&change) {
                sound &= estimate
                    .contains(actual)
                    .is_none_or(|_| (estimate.mid().unwrap_or(actual) - actual).abs() < 0.08);
            }
        }
        let mut thin = Site::new(3, false);
        thin.sample = Sample::new(0.0002, thin.sample.span());
        thin.resample();
        sound &= thin.compare(&Change::Nothing).iter().any(|c| matches!(c.1, Estimate::Missing(_)));
        let mut accepted = AcceptedProposal::default();
        let of = |epoch| Proposal { token: Token { epoch, counter: 0, owner: 0 }, subset: 1 };
        sound && accepted.accept(of(2)).is_ok() && accepted.accept(of(1)).is_err()
    };
    assert!(sound());
    for mutant in &crate::common::load::RULES_CHECKED_BY_LAWS {
        become_mutant(Some(*mutant));
        let missed = !sound();
        become_mutant(None);
        assert!(missed, "{mutant:?} is not missed");
    }
}

#[cfg(not(feature = "mutants"))]
#[test]
fn there_are_at_least_twelve_changes() {
    assert!(changes(&Site::new(1, false)).len() + changes(&Site::new(1, true)).len() >= 12);
}

#[test]
fn invalid_maps_and_servers_are_rejected() {
    let servers: Vec<Server> = (0..3).map(|id| Server { id, zone: 0 }).collect();
    let placement = Placement::by_weight(servers.clone());
    let made = |change: Change| change.apply(&placement).map(drop);
    assert_eq!(made(Change::Added(servers[1])), Err(InvalidChange::AlreadyPresent));
    assert_eq!(made(Change::Map(vec![0, 3])), Err(InvalidChange::UnknownServer));
    assert_eq!(made(Change::Map(Vec::new())), Err(InvalidChange::UnknownServer));
    assert_eq!(made(Change::Map(vec![0, 2])), Ok(()));
}

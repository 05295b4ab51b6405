//! Tests of the simulated chain.

use millethook_depth::chain::Chain;
use millethook_depth::model::play;
use millethook_depth::rows::{HEADER, case_name, rows};
use millethook_depth::tally::Tally;

fn short(depth: usize, load: f64, seed: u64) -> Chain {
    Chain { warm_up: 2_000_000, counted: 8_000_000, ..Chain::with_defaults(depth, load, seed) }
}

fn tally_of(chain: &Chain) -> Tally {
    play(chain).expect("the chain's settings are sound")
}

#[test]
fn a_seed_gives_the_same_run() {
    let chain = short(3, 0.9, 4).with_bad_tier(2);
    assert_eq!(tally_of(&chain), tally_of(&chain));
    assert_ne!(tally_of(&chain), tally_of(&short(3, 0.9, 5).with_bad_tier(2)));
}

#[test]
fn without_faults_a_call_is_one_attempt_in_each_tier() {
    let tally = tally_of(&short(5, 0.3, 1));
    assert!(tally.served_share() > 0.99, "{tally:?}");
    for tier in 0..5 {
        let attempts = tally.attempts_at(tier);
        assert!((0.98..1.1).contains(&attempts), "tier {tier}: {attempts}");
    }
}

#[test]
fn with_one_tier_down_each_tier_adds_at_most_a_tenth() {
    let down = Chain { error_share: 1.0, ..short(4, 0.1, 1).with_bad_tier(3) };
    let tally = tally_of(&down);
    assert_eq!(tally.served, 0);
    // Each tier adds a tenth to the attempts that it gets, and up to five saved retries for each sidecar.
    let saved = 5.0 * down.servers as f64 / tally.calls as f64;
    let mut limit = 1.0;
    for tier in 0..4 {
        limit = limit * 1.1 + saved;
        let attempts = tally.attempts_at(tier);
        assert!(attempts <= limit, "tier {tier}: {attempts}, at most {limit} expected");
    }
    assert!(tally.attempts_at(3) > 1.1_f64.powi(4) - 0.1, "tiers do not retry: {tally:?}");
}

#[test]
fn no_tier_processes_more_than_its_slots_allow() {
    let chain = short(3, 1.3, 2).with_bad_tier(2);
    let tally = tally_of(&chain);
    let seconds = chain.counted as f64 / 1e6;
    let limit = chain.rate() / chain.load * seconds;
    for (tier, worked) in tally.worked.iter().enumerate() {
        assert!((*worked as f64) < 1.1 * limit, "tier {tier}: {worked} of {limit}");
    }
}

#[test]
fn rows_have_the_columns_of_their_header() {
    let chain = short(3, 1.05, 1).with_bad_tier(2);
    assert_eq!(case_name(&chain), "105% load, one bad tier");
    assert_eq!(case_name(&Chain { error_share: 1.0, ..chain.clone() }), "105% load, one tier down");
    let longer_aim = Chain { aim_in_work: 50, ..chain.clone() };
    assert_eq!(case_name(&longer_aim), "105% load, one bad tier, aims of 50 times the work");
    let tally = Tally { calls: 4, served: 3, attempts: vec![4, 5, 6], worked: vec![4, 4, 2] };
    let text = rows(&chain, &tally, "model", "virtual clock");
    let first = text.lines().next().expect("rows");
    assert_eq!(
        first,
        "\"attempts at the last tier, 105% load, one bad tier\",attempts,tiers,3,1,1.5000,model,8 cores,\"virtual clock\""
    );
    assert_eq!(HEADER.trim_end().split(',').count(), 9);
    assert!(text.contains("calls served"));
}

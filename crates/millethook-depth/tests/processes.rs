//! A short test of the chain with real daemons. Measurements come from the program in a release build.

use millethook_depth::chain::Chain;
use millethook_depth::processes::run;

#[test]
fn a_chain_of_daemons_serves_calls_through_all_tiers() {
    let chain = Chain { warm_up: 1_000_000, counted: 3_000_000, ..Chain::with_defaults(2, 0.3, 1) };
    let tally = run(&chain);
    // 90 calls per second for 3 s.
    assert!(tally.calls > 100, "{tally:?}");
    assert!(tally.served_share() > 0.9, "{tally:?}");
    for tier in 0..2 {
        let attempts = tally.attempts_at(tier);
        assert!((0.9..1.2).contains(&attempts), "tier {tier}: {attempts}: {tally:?}");
    }
}

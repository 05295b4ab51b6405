//! How often a cold server is chosen, over many seeds, which a single path of a few requests cannot show.

use std::sync::Arc;

use millethook_explore::scenario::{
    Bounds, COLD_SHARE, InitialState, Options, RequestKind, Scenario,
};
use millethook_explore::step::{Ending, Step};
use millethook_explore::world::World;

const SEEDS: u64 = 1_500;
const BOUNDS: Bounds = Bounds { events: 8, list_changes: 0, late: 0, states: 0 };

/// A cold server gets at most twice its share of the draw weights in first attempts (the better of two draws is taken),
/// with a tolerance of four standard deviations.
#[test]
fn a_cold_server_is_chosen_by_its_capacity() {
    let warm = (0, InitialState::Warm);
    let scenario = Arc::new(Scenario {
        name: "cold".to_owned(),
        servers: vec![warm, warm, (0, InitialState::Cold)],
        requests: vec![RequestKind::Safe; 4],
        options: Options::PLATFORM,
        warm_up: 30,
    });
    let (mut all, mut cold) = (0, 0);
    for seed in 1..=SEEDS {
        let mut world = World::new(scenario.clone(), seed, None).unwrap();
        for request in 0..scenario.requests.len() {
            assert!(world.try_play(Step::Arrive, &BOUNDS).unwrap());
            let end = Step::End { request, attempt: 0, ending: Ending::Served };
            assert!(world.try_play(end, &BOUNDS).unwrap());
        }
        all += world.servers().iter().map(|server| server.sends).sum::<u32>();
        cold += world.servers()[2].sends;
    }
    let share = COLD_SHARE / (2.0 + COLD_SHARE);
    let (max_share, count) = (2.0 * share, f64::from(all));
    let tolerance = 4.0 * (max_share * (1.0 - max_share) / count).sqrt();
    let got = f64::from(cold) / count;
    println!("{cold} of {all}: {got:.3}, at most {max_share:.3} and {tolerance:.3}");
    assert!(got <= max_share + tolerance, "{got} of the first attempts");
    assert!(cold > 0, "a cold server that gets nothing never warms up");
}

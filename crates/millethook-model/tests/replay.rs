//! A plan gives the same run each time, also after it was written to a file and read back.

use millethook_model::fleet::play;
use millethook_model::generate;
use millethook_model::plan::Plan;
use millethook_model::queue::Queue;

#[test]
fn the_same_plan_gives_the_same_bytes() {
    for seed in [2, 3, 6, 7, 9] {
        let plan = generate::plan(seed);
        let first = play(&plan, None).expect("the plan is playable").to_string();
        let second = play(&generate::plan(seed), None).expect("the plan is playable").to_string();
        assert_eq!(first, second, "seed {seed}");
    }
}

#[test]
fn another_seed_gives_another_run() {
    let plan = generate::plan(3);
    let other = Plan { seed: 4, ..plan.clone() };
    let first = play(&plan, None).expect("the plan is playable");
    let second = play(&other, None).expect("the plan is playable");
    assert_ne!(first.figures, second.figures);
}

#[test]
fn a_plan_survives_writing_and_reading() {
    let folder = tempfile::tempdir().expect("a temporary directory is created");
    for seed in 0..100 {
        let plan = generate::plan(seed);
        assert_eq!(plan.problems(), [], "seed {seed}");
        let path = folder.path().join("plan.toml");
        std::fs::write(&path, plan.to_toml()).expect("the file is written");
        let read = Plan::read(&path).expect("the plan is read");
        assert_eq!(plan, read, "seed {seed}");
    }
}

#[test]
fn events_are_ordered_by_time_and_then_by_insertion() {
    let mut queue = Queue::default();
    for (at, event) in [(5, 'a'), (3, 'b'), (5, 'c'), (1, 'd'), (3, 'e')] {
        queue.schedule(at, event);
    }
    let order: Vec<_> = std::iter::from_fn(|| queue.pop()).collect();
    assert_eq!(order, [(1, 'd'), (3, 'b'), (3, 'e'), (5, 'a'), (5, 'c')]);
}

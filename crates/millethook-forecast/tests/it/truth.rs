//! Forecasts beside what comes: every access of a made-up fleet is played on stores of full size, the forecast sees a
//! thin sample only.

use std::collections::BTreeMap;
use std::thread;

use crate::common::{Site, changes};
use millethook_forecast::{Known, Sample};

#[test]
fn twelve_changes_come_as_forecast() {
    let (mut errors, mut held, mut asked) = (Vec::new(), 0, 0);
    for exclusive in [false, true] {
        let site = Site::new(11, exclusive);
        for (name, change) in changes(&site) {
            for (when, forecast, came) in site.compare(&change) {
                let Known::Is { low, mid, high } = forecast else { continue };
                errors.push((mid - came).abs());
                asked += 1;
                held += usize::from((low..=high).contains(&came));
                println!("{exclusive} {name} {when}: {low:.3} {mid:.3} {high:.3}, came {came:.3}");
            }
        }
    }
    let mean = errors.iter().sum::<f64>() / errors.len() as f64;
    println!("{asked} figures: mean error {mean:.4}, {held} in their intervals");
    assert!(asked >= 36, "{asked}");
    assert!(mean <= 0.03, "{mean}");
    assert!(held * 10 >= asked * 9, "{held} of {asked}");
}

#[test]
fn where_there_is_little_to_go_by_nothing_is_said() {
    let mut site = Site::new(3, false);
    site.sample = Sample::new(0.0002, site.sample.span());
    site.resample();
    let all = site.compare(&millethook_forecast::Change::Nothing);
    assert!(all.iter().any(|(_, known, _)| matches!(known, Known::Not(_))), "{all:?}");
}

/// What a forecast is off by, and whether its interval holds what came.
type Miss = (f64, bool);

/// The misses of all forecasts at one site, by change and time.
fn misses(site: &Site) -> Vec<((&'static str, &'static str), Miss)> {
    let miss = |(when, known, came): (_, Known, f64)| {
        Some((when, (known.mid()? - came, known.holds(came)?)))
    };
    let of = |(name, change)| {
        let misses = site.compare(&change).into_iter().filter_map(miss);
        misses.map(move |(when, miss)| ((name, when), miss)).collect::<Vec<_>>()
    };
    changes(site).into_iter().flat_map(of).collect()
}

/// Guards against forecasts that hold for one set of items only: a thin sample mostly lacks the most popular items, and now
/// and then has one of them. Each site has items of its own, as the same ones would be sampled at all of them otherwise.
#[test]
fn forecasts_hold_whichever_items_are_sampled() {
    const SITES: u64 = 24;
    const FIRST_SEED: u64 = 100;
    let at_site = |seed: u64| misses(&Site::with_items(seed, false, seed << 52 | seed << 20));
    let mut all: BTreeMap<_, Vec<Miss>> = BTreeMap::new();
    thread::scope(|scope| {
        let sites = (FIRST_SEED..FIRST_SEED + SITES).map(|seed| scope.spawn(move || at_site(seed)));
        let sites: Vec<_> = sites.collect();
        for (of, miss) in sites.into_iter().flat_map(|site| site.join().expect("no panic")) {
            all.entry(of).or_default().push(miss);
        }
    });
    assert_eq!(all.len(), 32);
    for ((change, when), misses) in all {
        let count = misses.len() as f64;
        let lean = misses.iter().map(|miss| miss.0).sum::<f64>() / count;
        let error = misses.iter().map(|miss| miss.0.abs()).sum::<f64>() / count;
        let held = misses.iter().filter(|miss| miss.1).count();
        let found = format!("{change}, {when}: lean {lean:+.4}, error {error:.4}, {held} held");
        println!("{found}");
        let most = if when == "1 s" { 0.06 } else { 0.03 };
        assert!(lean.abs() <= 0.015 && error <= most, "{found}");
        assert!(held * 10 >= misses.len() * 9, "{found}");
    }
}

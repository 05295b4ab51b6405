//! Compares forecasts with actual hit rates: every access of a synthetic fleet is played on stores of full size,
//! while the forecast gets only a thin sample.

use std::collections::BTreeMap;
use std::thread;

use crate::common::{Site, changes};
use millethook_forecast::{Estimate, Sample};

#[test]
fn twelve_changes_match_their_forecasts() {
    let (mut errors, mut held, mut asked) = (Vec::new(), 0, 0);
    for exclusive in [false, true] {
        let site = Site::new(11, exclusive);
        for (name, change) in changes(&site) {
            for (when, forecast, actual) in site.compare(&change) {
                let Estimate::Interval { low, mid, high } = forecast else { continue };
                errors.push((mid - actual).abs());
                asked += 1;
                held += usize::from((low..=high).contains(&actual));
                println!(
                    "{exclusive} {name} {when}: {low:.3} {mid:.3} {high:.3}, came {actual:.3}"
                );
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
fn too_few_accesses_give_no_estimate() {
    let mut site = Site::new(3, false);
    site.sample = Sample::new(0.0002, site.sample.span());
    site.resample();
    let all = site.compare(&millethook_forecast::Change::Nothing);
    assert!(all.iter().any(|(_, estimate, _)| matches!(estimate, Estimate::Missing(_))), "{all:?}");
}

/// The error of a forecast, and whether its interval contains the actual value.
type ForecastError = (f64, bool);

/// The errors of all forecasts at one site, by change and window.
fn errors_at(site: &Site) -> Vec<((&'static str, &'static str), ForecastError)> {
    let error_of = |(when, estimate, actual): (_, Estimate, f64)| {
        Some((when, (estimate.mid()? - actual, estimate.contains(actual)?)))
    };
    let of = |(name, change)| {
        let errors = site.compare(&change).into_iter().filter_map(error_of);
        errors.map(move |(when, error)| ((name, when), error)).collect::<Vec<_>>()
    };
    changes(site).into_iter().flat_map(of).collect()
}

/// Guards against forecasts that hold for one set of items only: a thin sample usually lacks the most popular items
/// and sometimes contains one. Each site has its own items, since otherwise the same ones would be sampled at all
/// sites.
#[test]
fn forecasts_hold_whichever_items_are_sampled() {
    const SITES: u64 = 24;
    const FIRST_SEED: u64 = 100;
    let at_site = |seed: u64| errors_at(&Site::with_items(seed, false, seed << 52 | seed << 20));
    let mut all: BTreeMap<_, Vec<ForecastError>> = BTreeMap::new();
    thread::scope(|scope| {
        let sites = (FIRST_SEED..FIRST_SEED + SITES).map(|seed| scope.spawn(move || at_site(seed)));
        let sites: Vec<_> = sites.collect();
        for (of, error) in sites.into_iter().flat_map(|site| site.join().expect("no panic")) {
            all.entry(of).or_default().push(error);
        }
    });
    assert_eq!(all.len(), 32);
    for ((change, when), errors) in all {
        let count = errors.len() as f64;
        let bias = errors.iter().map(|e| e.0).sum::<f64>() / count;
        let error = errors.iter().map(|e| e.0.abs()).sum::<f64>() / count;
        let held = errors.iter().filter(|e| e.1).count();
        let found = format!("{change}, {when}: lean {bias:+.4}, error {error:.4}, {held} held");
        println!("{found}");
        let max_error = if when == "1 s" { 0.06 } else { 0.03 };
        assert!(bias.abs() <= 0.015 && error <= max_error, "{found}");
        assert!(held * 10 >= errors.len() * 9, "{found}");
    }
}

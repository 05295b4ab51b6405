//! Unit tests of fits, units and formulas.

use millethook_capacity::fit::{Fit, Model, Point};
use millethook_capacity::formula::{Formula, FormulaError, Value};
use millethook_capacity::unit::{Dimension, Quantity, Unit, number};

fn points(of: &[(f64, &str, f64)]) -> Vec<Point> {
    of.iter().map(|p| Point { size: p.0, seed: p.1.to_owned(), value: p.2 }).collect()
}

fn close(found: f64, expected: f64) {
    assert!((found - expected).abs() < 1e-9, "{found}, {expected} expected");
}

#[test]
fn a_line_is_fitted_with_its_spread() {
    let measured = points(&[
        (1.0, "a", 12.0),
        (2.0, "a", 14.0),
        (4.0, "a", 18.0),
        (1.0, "b", 14.0),
        (2.0, "b", 18.0),
        (4.0, "b", 26.0),
    ]);
    let fit = Fit::of(Model::Linear, &measured).expect("six points give a line");
    close(fit.slope, 3.0);
    close(fit.intercept, 10.0);
    assert_eq!(fit.seeds.map(|s| (s.0.round(), s.1.round())), Some((2.0, 4.0)));
    assert_eq!(fit.sizes, [1.0, 2.0, 4.0]);
    // The two seeds are 1, 2 and 4 away from the line at the three sizes.
    close(fit.residual.expect("a residual"), (21.0_f64 / 3.0).sqrt());
}

#[test]
fn growth_within_the_residual_is_not_significant() {
    let flat = points(&[(8.0, "1", 80.0), (60.0, "1", 120.0), (120.0, "1", 90.0)]);
    assert!(!Fit::of(Model::Linear, &flat).expect("a line").is_growth_significant());
    let two = points(&[(8.0, "1", 80.0), (60.0, "1", 120.0)]);
    let exact = Fit::of(Model::Linear, &two).expect("a line");
    assert_eq!((exact.residual, exact.is_growth_significant()), (None, false));
    let rising = points(&[(8.0, "1", 80.0), (60.0, "1", 130.0), (120.0, "1", 190.0)]);
    assert!(Fit::of(Model::Linear, &rising).expect("a line").is_growth_significant());
}

#[test]
fn a_logarithm_is_fitted() {
    let value = |size: f64| 2.0 + 3.0 * size.ln();
    let measured = points(&[
        (60.0, "1", value(60.0)),
        (600.0, "1", value(600.0)),
        (6000.0, "1", value(6000.0)),
    ]);
    let fit = Fit::of(Model::Log, &measured).expect("three points give a curve");
    close(fit.slope, 3.0);
    close(fit.intercept, 2.0);
    assert!(fit.residual.is_some_and(|residual| residual < 1e-9));
    assert_eq!(fit.seeds, None, "one seed has no spread");
}

#[test]
fn a_power_is_fitted() {
    let measured = points(&[(10.0, "1", 300.0), (100.0, "1", 30_000.0), (20.0, "1", 1_200.0)]);
    let fit = Fit::of(Model::Power, &measured).expect("three points give a power");
    close(fit.slope, 2.0);
    close(fit.intercept, 3.0);
    assert!(fit.residual.is_some_and(|residual| residual < 1e-6) && fit.is_growth_significant());
    let at_none = points(&[(10.0, "1", 0.0), (20.0, "1", 6.0)]);
    assert_eq!(Fit::of(Model::Power, &at_none), None, "0 has no logarithm");
}

#[test]
fn models_without_a_slope_use_their_points() {
    let measured = points(&[(1.0, "1", 5.0), (9.0, "1", 6.0), (9.0, "2", 8.0)]);
    let slope = |model| Fit::of(model, &measured).map(|fit| fit.slope);
    assert_eq!(slope(Model::Largest), Some(7.0));
    assert_eq!(slope(Model::Highest), Some(8.0));
    close(slope(Model::Constant).expect("a mean"), 19.0 / 3.0);
}

#[test]
fn an_infinite_value_makes_each_fit_infinite() {
    let measured = points(&[(1.0, "1", 5.0), (9.0, "1", f64::INFINITY)]);
    for model in
        [Model::Linear, Model::Log, Model::Power, Model::Constant, Model::Largest, Model::Highest]
    {
        let fit = Fit::of(model, &measured).expect("a fit");
        assert_eq!((fit.slope, fit.intercept), (f64::INFINITY, 0.0), "{model:?}");
    }
    let print = |dimension| Quantity { value: f64::INFINITY, dimension: &dimension }.to_string();
    assert_eq!(print(Dimension::Seconds), "never");
    assert_eq!(print(Dimension::Bytes), "infinite");
}

#[test]
fn too_few_points_have_no_fit() {
    let one_size = points(&[(5.0, "1", 5.0), (5.0, "2", 6.0)]);
    assert_eq!(Fit::of(Model::Linear, &one_size), None);
    assert_eq!(Fit::of(Model::Constant, &[]), None);
    let at_none = points(&[(0.0, "1", 5.0), (1.0, "1", 6.0)]);
    assert_eq!(Fit::of(Model::Log, &at_none), None, "0 has no logarithm");
}

#[test]
fn units_are_converted_to_base_units() {
    let of = |name: &str| {
        let unit = Unit::parse(name);
        (unit.dimension, unit.scale)
    };
    assert_eq!(of("us"), (Dimension::Seconds, 1e-6));
    assert_eq!(of("KiB"), (Dimension::Bytes, 1024.0));
    assert_eq!(of("% of a core"), (Dimension::Cores, 0.01));
    assert_eq!(of("handshakes"), (Dimension::Count("handshakes".to_owned()), 1.0));
}

#[test]
fn quantities_are_printed_with_three_digits() {
    let print = |value, dimension| Quantity { value, dimension: &dimension }.to_string();
    assert_eq!(print(256e6, Dimension::Bytes), "256 MB");
    assert_eq!(print(0.000_88, Dimension::Seconds), "880 µs");
    assert_eq!(print(3.2e-8, Dimension::Seconds), "32 ns");
    assert_eq!(print(0.036, Dimension::Cores), "3.6% of a core");
    assert_eq!(print(0.0, Dimension::BytesPerSecond), "0 B/s");
    assert_eq!(print(16_000.0, Dimension::Count("servers".to_owned())), "16,000 servers");
    assert_eq!(number(-1234.5), "-1,234");
    assert_eq!(number(1_234_567.0), "1,234,567");
    assert_eq!(number(0.012_34), "0.0123");
}

#[test]
fn formulas_look_up_names_and_report_missing_ones() {
    let formula = Formula::parse("servers * exp_rate + ln(e_folds)").expect("well-formed");
    assert_eq!(formula.names(), ["e_folds", "exp_rate", "servers"]);
    let value = formula.value(|name| {
        Ok(Value::Known(match name {
            "servers" => 4.0,
            "exp_rate" => 2.5,
            _ => 1.0,
        }))
    });
    assert_eq!(value, Ok(Value::Known(10.0)));
    let missing = formula.value(|name| {
        Ok(match name {
            "servers" => Value::Known(4.0),
            name => Value::NotMeasured(vec![name.to_owned()]),
        })
    });
    let names = vec!["e_folds".to_owned(), "exp_rate".to_owned()];
    assert_eq!(missing, Ok(Value::NotMeasured(names)));
}

#[test]
fn formulas_without_a_value_are_rejected() {
    assert!(matches!(Formula::parse("servers *"), Err(FormulaError::Syntax(_))));
    let by_none = Formula::parse("none / none").expect("well-formed");
    assert_eq!(by_none.value(|_| Ok(Value::Known(0.0))), Err(FormulaError::NotANumber));
}

//! Fits slopes to their measurements.

use std::collections::BTreeMap;

use crate::CapacityError;
use crate::figures::{Figures, Slope};
use crate::fit::{Fit, Model, Point};
use crate::measurement::Measurement;
use crate::unit::{Dimension, Unit};

/// A slope of `figures.toml` with its fit.
#[derive(Clone, Debug)]
pub struct Source {
    /// The dimension of its value.
    pub dimension: Dimension,
    /// The fit, or `None` if there are too few measurements.
    pub fit: Option<Fit>,
    /// Why there is no fit; empty if there is one.
    pub missing_reason: String,
    /// The distinct kinds of runs.
    pub kinds: Vec<String>,
    /// The quantity that was varied.
    pub size_of: String,
    /// The CSV file.
    pub file: String,
}

/// All slopes by name.
pub type Sources = BTreeMap<String, Source>;

/// Fits each slope to its measurements.
///
/// # Errors
/// Fails if the measurements have a different dimension than the slope's unit.
pub fn fit_all(figures: &Figures, all: &[Measurement]) -> Result<Sources, CapacityError> {
    let fit = |(name, slope): (&String, &Slope)| {
        let own: Vec<&Measurement> = all.iter().filter(|m| matches(slope, m)).collect();
        Ok((name.clone(), fit_one(figures, name, slope, &own)?))
    };
    figures.slopes.iter().map(fit).collect()
}

fn matches(slope: &Slope, m: &Measurement) -> bool {
    m.file == slope.file
        && m.measurement == slope.measurement
        && slope.size_of.as_ref().is_none_or(|size_of| *size_of == m.size_of)
        && slope.size.is_none_or(|size| size == m.size)
        && slope.most_load.is_none_or(|most| m.load_figure().is_some_and(|load| load <= most))
        && slope.kind.as_ref().is_none_or(|kind| *kind == m.kind)
}

fn fit_one(
    figures: &Figures,
    name: &str,
    slope: &Slope,
    own: &[&Measurement],
) -> Result<Source, CapacityError> {
    let unit = Unit::parse(&slope.unit);
    if let Some(other) = own.iter().find(|m| m.unit.dimension != unit.dimension) {
        let expected = format!("the unit of {} ({:?})", slope.file, other.unit.dimension);
        let found = format!("`{}`", slope.unit);
        return Err(figures.error(format!("slopes.{name}.unit"), expected, found));
    }
    let mut kinds: Vec<String> = own.iter().map(|m| m.kind.clone()).collect();
    kinds.sort();
    kinds.dedup();
    let point = |m: &&Measurement| Point { size: m.size, seed: m.seed.clone(), value: m.value };
    let points: Vec<Point> = own.iter().map(point).collect();
    let fit = Fit::of(slope.fit, &points);
    let missing_reason =
        if fit.is_some() { String::new() } else { missing_reason(slope, points.len()) };
    Ok(Source {
        dimension: unit.dimension,
        fit,
        missing_reason,
        kinds,
        size_of: own.first().map(|m| m.size_of.clone()).unwrap_or_default(),
        file: slope.file.clone(),
    })
}

/// Explains why a slope has no fit.
fn missing_reason(slope: &Slope, count: usize) -> String {
    let (file, measurement) = (&slope.file, &slope.measurement);
    let load = slope.most_load.map(|most| format!(" at a load of {most} or less"));
    let load = load.unwrap_or_default();
    match count {
        0 => format!("`{file}` has no values of `{measurement}`{load}"),
        _ => {
            let required_points = required_points(slope.fit);
            format!(
                "`{file}` has {count} values of `{measurement}`{load}, and {required_points} are needed"
            )
        }
    }
}

/// Describes the points that a fit needs.
fn required_points(model: Model) -> &'static str {
    match model {
        Model::Linear => "two different sizes",
        Model::Log => "two different sizes above 0",
        Model::Power => "two different sizes and values above 0",
        Model::Constant | Model::Largest | Model::Highest => "one value",
    }
}

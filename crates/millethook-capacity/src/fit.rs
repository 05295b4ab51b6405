//! Least-squares fits of measured points.

/// Growth over the measured sizes is significant if it exceeds this many residuals.
const MIN_GROWTH_RESIDUALS: f64 = 2.0;
/// Number of points that a line always fits exactly.
const LINE_POINTS: usize = 2;

/// One measured point.
#[derive(Clone, Debug)]
pub struct Point {
    /// The size: how many of the varied quantity there were.
    pub size: f64,
    /// The run's seed.
    pub seed: String,
    /// The value.
    pub value: f64,
}

/// How a fit assumes the value to grow with the size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Model {
    /// `value = intercept + slope * size`.
    Linear,
    /// `value = intercept + slope * ln(size)`.
    Log,
    /// `value = intercept * size ^ slope`, least squares of the logarithms.
    Power,
    /// `value` does not depend on the size. The fit is the mean of all points.
    Constant,
    /// The mean of the points at the largest size.
    Largest,
    /// The highest value of all points.
    Highest,
}

impl Model {
    /// Returns whether the value grows with the size.
    pub fn is_growing(self) -> bool {
        matches!(self, Model::Linear | Model::Log | Model::Power)
    }

    /// Returns its name in `figures.toml`.
    pub fn name(self) -> &'static str {
        match self {
            Model::Linear => "linear",
            Model::Log => "log",
            Model::Power => "power",
            Model::Constant => "constant",
            Model::Largest => "largest",
            Model::Highest => "highest",
        }
    }
}

/// A fitted model and its residual.
#[derive(Clone, Debug, PartialEq)]
pub struct Fit {
    /// The model.
    pub model: Model,
    /// The value at size 0 (of a line) or at size 1 (of a logarithm or a power). 0 for models without a slope.
    pub intercept: f64,
    /// The growth per unit of size (of a line) or of its logarithm, or the exponent of a power. For models without a
    /// slope, the value itself.
    pub slope: f64,
    /// The lowest and the highest slope over the seeds, each fitted alone. `None` if fewer than two seeds have enough
    /// sizes.
    pub seeds: Option<(f64, f64)>,
    /// The root mean square of the residuals. `None` if there are so few points that the model always fits them
    /// exactly.
    pub residual: Option<f64>,
    /// The distinct sizes, in ascending order.
    pub sizes: Vec<f64>,
    /// Number of points used.
    pub points: usize,
}

impl Fit {
    /// Fits `model` to the points. `None` if the points are too few or do not determine the model.
    pub fn of(model: Model, points: &[Point]) -> Option<Fit> {
        let mut sizes: Vec<f64> = points.iter().map(|p| p.size).collect();
        sizes.sort_by(f64::total_cmp);
        sizes.dedup();
        let largest = *sizes.last()?;
        let used: Vec<Point> = match model {
            Model::Largest => points.iter().filter(|p| p.size == largest).cloned().collect(),
            _ => points.to_vec(),
        };
        let (intercept, slope) = line(model, &used)?;
        let squared_residual =
            |p: &Point| (p.value - value_at(model, (intercept, slope), p.size)).powi(2);
        let residual = (used.iter().map(squared_residual).sum::<f64>() / used.len() as f64).sqrt();
        let residual = if residual.is_nan() { f64::INFINITY } else { residual };
        let exact = used.len() <= if model.is_growing() { LINE_POINTS } else { 1 };
        Some(Fit {
            model,
            intercept,
            slope,
            seeds: spread(model, &used),
            residual: (!exact).then_some(residual),
            sizes,
            points: used.len(),
        })
    }

    /// Returns whether the growth over the measured sizes exceeds the residual by the factor required. Otherwise the
    /// slope says nothing about larger sizes.
    pub fn is_growth_significant(&self) -> bool {
        let (Some(least), Some(most)) = (self.sizes.first(), self.sizes.last()) else {
            return false;
        };
        let value = |size: f64| value_at(self.model, (self.intercept, self.slope), size);
        let growth = (value(*most) - value(*least)).abs();
        self.residual.is_some_and(|residual| growth > MIN_GROWTH_RESIDUALS * residual)
    }
}

/// Returns a fit's value at this size.
fn value_at(model: Model, (intercept, slope): (f64, f64), size: f64) -> f64 {
    match model {
        Model::Power => intercept * size.powf(slope),
        _ => intercept + slope * regressor(model, size),
    }
}

/// Returns the factor of the slope at this size.
fn regressor(model: Model, size: f64) -> f64 {
    match model {
        Model::Linear => size,
        Model::Log | Model::Power => size.ln(),
        Model::Constant | Model::Largest | Model::Highest => 1.0,
    }
}

/// Returns intercept and slope.
fn line(model: Model, points: &[Point]) -> Option<(f64, f64)> {
    let mean = points.iter().map(|p| p.value).sum::<f64>() / points.len() as f64;
    match model {
        _ if points.is_empty() => None,
        // A value that was never reached at one size (infinity) is not reached at a larger size.
        _ if points.iter().any(|p| p.value == f64::INFINITY) => Some((0.0, f64::INFINITY)),
        Model::Constant | Model::Largest => Some((0.0, mean)),
        Model::Highest => points.iter().map(|p| p.value).max_by(f64::total_cmp).map(|h| (0.0, h)),
        Model::Linear | Model::Log => {
            least_squares(points.iter().map(|p| (regressor(model, p.size), p.value)))
        }
        Model::Power => {
            let logarithms = points.iter().map(|p| (regressor(model, p.size), p.value.ln()));
            least_squares(logarithms).map(|(intercept, slope)| (intercept.exp(), slope))
        }
    }
}

/// Fits a line by least squares: returns its value at 0 and its slope, or `None` if the points do not determine a
/// line.
fn least_squares(points: impl Iterator<Item = (f64, f64)> + Clone) -> Option<(f64, f64)> {
    let count = points.clone().count() as f64;
    let mean_x = points.clone().map(|p| p.0).sum::<f64>() / count;
    let mean_y = points.clone().map(|p| p.1).sum::<f64>() / count;
    let both: f64 = points.clone().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
    let squares: f64 = points.map(|p| (p.0 - mean_x).powi(2)).sum();
    let slope = both / squares;
    slope.is_finite().then_some((mean_y - slope * mean_x, slope))
}

/// Returns the lowest and the highest slope over the seeds, each fitted alone.
fn spread(model: Model, points: &[Point]) -> Option<(f64, f64)> {
    let mut seeds: Vec<&str> = points.iter().map(|p| p.seed.as_str()).collect();
    seeds.sort_unstable();
    seeds.dedup();
    let slope_of = |seed: &str| {
        let own: Vec<Point> = points.iter().filter(|p| p.seed == seed).cloned().collect();
        line(model, &own).map(|line| line.1)
    };
    let slopes: Vec<f64> = seeds.into_iter().filter_map(slope_of).collect();
    if slopes.len() < 2 {
        return None;
    }
    let low = slopes.iter().copied().fold(f64::INFINITY, f64::min);
    let high = slopes.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    Some((low, high))
}

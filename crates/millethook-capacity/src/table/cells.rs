//! Formats the cells of tables.

use std::collections::BTreeSet;

use crate::evaluation::{Evaluation, Verdict};
use crate::figures::Row;
use crate::fit::{Fit, Model};
use crate::formula::Value;
use crate::source::{Source, Sources};
use crate::unit::{Quantity, Unit, number};

pub(super) fn figure_cell(row: &Row, figure: &Value) -> String {
    match figure {
        Value::Known(value) => quantity(*value, &row.unit),
        Value::NotMeasured(names) => format!("not measured: {}", names.join(", ")),
    }
}

pub(super) fn budget_cell(row: &Row, evaluation: &Evaluation) -> String {
    match evaluation.budget {
        Some(budget) => quantity(budget, &row.unit),
        None if row.budget.is_some() => "not measured".to_owned(),
        None => "none stated".to_owned(),
    }
}

pub(super) fn verdict_cell(row: &Row, evaluation: &Evaluation) -> String {
    let verdict = match evaluation.verdict {
        Verdict::Fits => "yes",
        Verdict::DoesNotFit => "**no**",
        Verdict::NotMeasured => "not measured",
        Verdict::NoBudget => "-",
    };
    match evaluation.verdict {
        Verdict::DoesNotFit if !row.next.is_empty() => format!("{verdict}: {}", row.next),
        _ => verdict.to_owned(),
    }
}

/// Formats the slopes of a formula, one per line.
pub(super) fn slope_cell(names: &BTreeSet<String>, sources: &Sources) -> String {
    if names.is_empty() {
        return "paper only".to_owned();
    }
    let cell = |name: &String| {
        let source = sources.get(name)?;
        Some(format!("`{name}`: {}", describe(source)))
    };
    names.iter().filter_map(cell).collect::<Vec<_>>().join("<br>")
}

/// Describes a slope with its spread, sizes, kind of run and file.
fn describe(source: &Source) -> String {
    let Some(fit) = &source.fit else { return format!("not measured ({})", source.file) };
    let print = |value: f64| Quantity { value, dimension: &source.dimension }.to_string();
    let seeds = match fit.seeds {
        Some((low, high)) if fit.model == Model::Power => {
            format!("seeds {} to {}", number(low), number(high))
        }
        Some((low, high)) => format!("seeds {} to {}", print(low), print(high)),
        None => "one seed".to_owned(),
    };
    let residual = match fit.residual {
        Some(residual) if fit.model.is_growing() && !fit.is_growth_significant() => {
            format!("residual {}; its growth is within the residual", print(residual))
        }
        Some(residual) => format!("residual {}", print(residual)),
        None if fit.points == 1 => "one value".to_owned(),
        None => "two points, so no residual".to_owned(),
    };
    let (value, sizes) = (growth(source, fit), sizes(source, fit));
    let kinds = source.kinds.join(" and ");
    format!("{value} ({seeds}; {residual}; {sizes}; {kinds}; {})", source.file)
}

/// Describes how the fitted value grows.
fn growth(source: &Source, fit: &Fit) -> String {
    let print = |value: f64| Quantity { value, dimension: &source.dimension }.to_string();
    let (slope, base, of) = (print(fit.slope), print(fit.intercept), &source.size_of);
    match fit.model {
        Model::Linear => format!("{slope} for each of {of}, {base} at 0"),
        Model::Log => format!("{slope} for each e-fold of {of}, {base} at 1"),
        Model::Power => format!("{base} at 1, times the power {} of {of}", number(fit.slope)),
        Model::Constant if fit.sizes.len() == 1 => slope,
        Model::Constant => format!("{slope} in the mean of all sizes"),
        Model::Largest => format!("{slope} at the largest size"),
        Model::Highest => format!("{slope} at most, of all sizes"),
    }
}

/// Describes the sizes that were measured.
fn sizes(source: &Source, fit: &Fit) -> String {
    let of = &source.size_of;
    match (fit.sizes.first(), fit.sizes.last()) {
        (Some(least), Some(most)) if least != most => {
            format!("{} sizes, {} to {} {of}", fit.sizes.len(), number(*least), number(*most))
        }
        (Some(only), _) => format!("one size, {} {of}", number(*only)),
        _ => "no size".to_owned(),
    }
}

pub(super) fn quantity(value: f64, unit: &str) -> String {
    Quantity { value, dimension: &Unit::parse(unit).dimension }.to_string()
}

/// Formats the ratio of a figure to its budget.
pub(super) fn ratio_cell(share: Option<f64>) -> String {
    share.map_or_else(|| "-".to_owned(), |share| format!("{} times", number(share)))
}

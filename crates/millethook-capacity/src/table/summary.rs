//! The predefined tables, which summarize the whole of `figures.toml`.

use std::collections::BTreeSet;

use super::Builder;
use super::Table;
use super::cells::{budget_cell, figure_cell, quantity, ratio_cell};
use crate::CapacityError;
use crate::evaluation::{Evaluator, Verdict};
use crate::figures::Figures;
use crate::formula::Value;
use crate::source::Sources;
use crate::unit::{Unit, number};

pub(super) fn parameters(figures: &Figures) -> Table {
    let mut table = Builder::new("parameters", &["name", "value", "meaning", "doubles"]);
    for (name, parameter) in &figures.parameters {
        let value = parameter.value * Unit::parse(&parameter.unit).scale;
        table.row([
            format!("`{name}`"),
            quantity(value, &parameter.unit),
            parameter.meaning.clone(),
            if parameter.doubles { "yes" } else { "no" }.to_owned(),
        ]);
    }
    table.build()
}

pub(super) fn derived(evaluator: &Evaluator<'_>) -> Result<Table, CapacityError> {
    let mut table = Builder::new("derived", &["name", "formula", "value", "meaning"]);
    for (name, derived) in &evaluator.figures.derived {
        let key = format!("derived.{name}.formula");
        let value = match evaluator.formula(&key, &derived.formula, &mut BTreeSet::new())? {
            Value::Known(value) => quantity(value, &derived.unit),
            Value::NotMeasured(names) => format!("not measured: {}", names.join(", ")),
        };
        table.row([
            format!("`{name}`"),
            format!("`{}`", derived.formula),
            value,
            derived.meaning.clone(),
        ]);
    }
    Ok(table.build())
}

/// Lists the measurements that each slope is fitted to.
pub(super) fn slopes(figures: &Figures, sources: &Sources) -> Table {
    let mut table = Builder::new("slopes", &["name", "measurement", "file", "fit", "points"]);
    for (name, slope) in &figures.slopes {
        let fit = sources.get(name).and_then(|source| source.fit.as_ref());
        let mut measurement = format!("`{}`", slope.measurement);
        if let Some(size_of) = &slope.size_of {
            measurement.push_str(&format!(" by {size_of}"));
        }
        if let Some(size) = slope.size {
            measurement.push_str(&format!(" at {}", number(size)));
        }
        if let Some(most) = slope.most_load {
            measurement.push_str(&format!(", load {most} or less"));
        }
        if let Some(kind) = &slope.kind {
            measurement.push_str(&format!(", {kind}"));
        }
        table.row([
            format!("`{name}`"),
            measurement,
            slope.file.clone(),
            slope.fit.name().to_owned(),
            fit.map_or(0, |fit| fit.points).to_string(),
        ]);
    }
    table.build()
}

/// Lists the rows outside their budget, the worst first.
pub(super) fn does_not_fit(evaluator: &Evaluator<'_>) -> Result<Table, CapacityError> {
    let mut rows = Vec::new();
    for row in &evaluator.figures.row {
        let evaluation = evaluator.row(row)?;
        if evaluation.verdict == Verdict::DoesNotFit {
            rows.push((evaluation.share_of_budget(row.side), row, evaluation));
        }
    }
    rows.sort_by(|a, b| b.0.unwrap_or(0.0).total_cmp(&a.0.unwrap_or(0.0)));
    let mut table = Builder::new(
        "does-not-fit",
        &["role", "resource", "figure", "budget", "of its budget", "what would mend it"],
    );
    for (share, row, evaluation) in rows {
        table.row([
            row.table.clone(),
            row.resource.clone(),
            figure_cell(row, &evaluation.figure),
            budget_cell(row, &evaluation),
            ratio_cell(share),
            row.next.clone(),
        ]);
    }
    Ok(table.build())
}

/// Lists the rows that fit at the design size but not at twice that size, those nearest to their budget first.
pub(super) fn doubled_size(
    design: &Evaluator<'_>,
    doubled: &Evaluator<'_>,
) -> Result<Table, CapacityError> {
    let mut rows = Vec::new();
    for row in design.figures.row.iter().filter(|row| !row.fixed) {
        let (now, then) = (design.row(row)?, doubled.row(row)?);
        if now.verdict == Verdict::Fits && then.verdict == Verdict::DoesNotFit {
            rows.push((now.share_of_budget(row.side), row, now, then));
        }
    }
    rows.sort_by(|a, b| b.0.unwrap_or(0.0).total_cmp(&a.0.unwrap_or(0.0)));
    let mut table = Builder::new(
        "doubled",
        &["role", "resource", "at the letter's size", "at twice that", "budget", "of its budget"],
    );
    for (_, row, now, then) in rows {
        table.row([
            row.table.clone(),
            row.resource.clone(),
            figure_cell(row, &now.figure),
            figure_cell(row, &then.figure),
            budget_cell(row, &then),
            ratio_cell(then.share_of_budget(row.side)),
        ]);
    }
    Ok(table.build())
}

pub(super) fn not_measured(figures: &Figures, sources: &Sources) -> Table {
    let mut table = Builder::new("not-measured", &["what", "why"]);
    for (name, source) in sources.iter().filter(|(_, source)| source.fit.is_none()) {
        table.row([format!("`{name}`"), source.missing_reason.clone()]);
    }
    for missing in &figures.missing {
        table.row([missing.what.clone(), missing.why.clone()]);
    }
    table.build()
}

//! Formats tables as Markdown.

mod cells;
mod summary;

use std::fmt::Write;

use self::cells::{budget_cell, figure_cell, slope_cell, verdict_cell};
use self::summary::{derived, does_not_fit, doubled_size, not_measured, parameters, slopes};
use crate::CapacityError;
use crate::evaluation::{Evaluator, Scale};
use crate::figures::Figures;
use crate::source::Sources;

/// A table of the page.
#[derive(Clone, Debug)]
pub struct Table {
    /// The name in its marker.
    pub name: String,
    /// Its lines.
    pub text: String,
}

/// Builds all tables: those that rows name, and the predefined ones (`parameters`, `derived`, `slopes`,
/// `does-not-fit`, `doubled`, `not-measured`).
///
/// # Errors
/// Fails if a formula is invalid.
pub fn all(figures: &Figures, sources: &Sources) -> Result<Vec<Table>, CapacityError> {
    let design = Evaluator { figures, sources, scale: Scale::DesignSize };
    let doubled = Evaluator { figures, sources, scale: Scale::Doubled };
    let mut names: Vec<&str> = Vec::new();
    for row in &figures.row {
        if !names.contains(&row.table.as_str()) {
            names.push(&row.table);
        }
    }
    let mut tables = vec![
        parameters(figures),
        derived(&design)?,
        slopes(figures, sources),
        does_not_fit(&design)?,
        doubled_size(&design, &doubled)?,
        not_measured(figures, sources),
    ];
    for name in names {
        tables.push(role_table(name, &design)?);
    }
    Ok(tables)
}

/// A table under construction.
struct Builder {
    name: String,
    text: String,
}

impl Builder {
    fn new(name: &str, headers: &[&str]) -> Builder {
        let mut builder = Builder { name: name.to_owned(), text: String::new() };
        builder.row(headers.iter().map(|head| (*head).to_owned()));
        builder.row(headers.iter().map(|_| "---".to_owned()));
        builder
    }

    fn row(&mut self, cells: impl IntoIterator<Item = String>) {
        for cell in cells {
            let cell = cell.replace('|', "\\|").replace('\n', " ");
            // Writing to a `String` cannot fail.
            let _ = write!(self.text, "| {cell} ");
        }
        self.text.push_str("|\n");
    }

    fn build(self) -> Table {
        Table { name: self.name, text: self.text }
    }
}

fn role_table(name: &str, evaluator: &Evaluator<'_>) -> Result<Table, CapacityError> {
    let mut table = Builder::new(
        name,
        &[
            "resource",
            "today's slope",
            "formula",
            "at the letter's size",
            "budget",
            "mechanism",
            "fits",
        ],
    );
    for row in evaluator.figures.row.iter().filter(|row| row.table == name) {
        let evaluation = evaluator.row(row)?;
        table.row([
            row.resource.clone(),
            slope_cell(&evaluation.slopes, evaluator.sources),
            format!("`{}`", row.formula),
            figure_cell(row, &evaluation.figure),
            budget_cell(row, &evaluation),
            row.mechanism.clone(),
            verdict_cell(row, &evaluation),
        ]);
    }
    Ok(table.build())
}

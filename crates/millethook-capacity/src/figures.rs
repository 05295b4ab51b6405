//! The content of `figures.toml`: parameters, slopes and rows.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use serde::Deserialize;

use crate::CapacityError;
use crate::fit::Model;

/// The figures file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Figures {
    /// The path that it was read from.
    #[serde(skip)]
    pub file: PathBuf,
    /// The design size and the budgets.
    pub parameters: BTreeMap<String, Parameter>,
    /// Slopes, by their name in formulas.
    pub slopes: BTreeMap<String, Slope>,
    /// Derived figures, used by several rows.
    #[serde(default)]
    pub derived: BTreeMap<String, Derived>,
    /// The rows of all tables, in order.
    #[serde(default)]
    pub row: Vec<Row>,
    /// Quantities that were not measured, in addition to slopes without measurements.
    #[serde(default)]
    pub missing: Vec<Missing>,
}

/// A given figure of the design size.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Parameter {
    /// Its value, in `unit`.
    pub value: f64,
    /// Its unit.
    pub unit: String,
    /// Its description in the page.
    pub meaning: String,
    /// Whether the value doubles when the design size doubles.
    #[serde(default)]
    pub doubles: bool,
}

/// A slope fitted to measurements.
///
/// Formulas refer to it by its name. With the suffix `_at_0` the name is the value of a line at size 0; with `_at_1`
/// it is the value of a logarithm or a power at size 1.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slope {
    /// The CSV file.
    pub file: String,
    /// The value of its column `measurement`.
    pub measurement: String,
    /// The value of its column `size_of`, if several quantities were varied for one measurement.
    pub size_of: Option<String>,
    /// The value of its column `kind`, if one measurement was run in several ways.
    pub kind: Option<String>,
    /// The value of its column `size`, if only one size is used.
    pub size: Option<f64>,
    /// Maximum load of the machine for a run to count, if the load affects the value.
    pub most_load: Option<f64>,
    /// The model that is fitted.
    pub fit: Model,
    /// Its unit, as written in the CSV file.
    pub unit: String,
}

/// A derived figure that formulas use by its name.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Derived {
    /// Its formula.
    pub formula: String,
    /// Its unit.
    pub unit: String,
    /// Its description in the page.
    pub meaning: String,
}

/// Whether a budget is an upper or a lower limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Side {
    /// The figure must not be above its budget.
    #[default]
    AtMost,
    /// The figure must not be below its budget.
    AtLeast,
}

/// A row of a table.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// The table's name.
    pub table: String,
    /// The resource that is used.
    pub resource: String,
    /// The figure's formula, in base units: bytes, seconds, cores.
    pub formula: String,
    /// The figure's unit.
    pub unit: String,
    /// The formula of the upper or lower limit, in base units. `None` if there is no budget.
    pub budget: Option<String>,
    /// Whether the budget is an upper or a lower limit.
    #[serde(default)]
    pub side: Side,
    /// The mechanism that the figure depends on.
    pub mechanism: String,
    /// What would bring it within its budget, if it does not fit.
    #[serde(default)]
    pub next: String,
    /// Whether the figure does not depend on the design size, and is left out of the table for twice the size.
    #[serde(default)]
    pub fixed: bool,
}

/// A quantity that was not measured.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Missing {
    /// The quantity.
    pub what: String,
    /// The reason.
    pub why: String,
}

impl Figures {
    /// Reads the file.
    ///
    /// # Errors
    /// Fails if the file cannot be read or is invalid. The error names line, key and expected value.
    pub fn read(file: &Path) -> Result<Figures, CapacityError> {
        let text = std::fs::read_to_string(file)
            .map_err(|source| CapacityError::File { file: file.to_owned(), source })?;
        let read: Result<Figures, toml::de::Error> = toml::from_str(&text);
        let mut figures = read.map_err(|source| CapacityError::Toml {
            file: file.to_owned(),
            source: Box::new(source),
        })?;
        figures.file = file.to_owned();
        Ok(figures)
    }

    /// Returns an error about one of the file's keys.
    pub fn error(
        &self,
        key: impl Into<String>,
        expected: impl Into<String>,
        found: impl Into<String>,
    ) -> CapacityError {
        CapacityError::Key {
            file: self.file.clone(),
            key: key.into(),
            expected: expected.into(),
            found: found.into(),
        }
    }
}

//! Fits slopes to measurements and writes the tables of `docs/CAPACITY.md` from them.
//!
//! Measurements are CSV files under `docs/capacity/` ([`measurement`]). `docs/capacity/figures.toml` defines the
//! slopes that are fitted to them, the parameters of the design size, and the rows of each table ([`figures`]).
//! [`evaluation`] computes each row, [`table`] formats it as Markdown, and [`page`] writes the tables between the
//! page's markers or compares them with the page.
#![forbid(unsafe_code)]

pub mod error;
pub mod evaluation;
pub mod figures;
pub mod fit;
pub mod formula;
pub mod measurement;
pub mod page;
pub mod source;
pub mod table;
pub mod unit;

use std::path::Path;

pub use error::CapacityError;

/// Path of the page in the repository.
pub const PAGE: &str = "docs/CAPACITY.md";
/// Folder of the measurements.
pub const MEASUREMENTS: &str = "docs/capacity";
/// Path of the file with parameters, slopes and rows.
pub const FIGURES: &str = "docs/capacity/figures.toml";

/// Computes all tables of the repository at `root`.
///
/// # Errors
/// Fails if a file cannot be read or is invalid.
pub fn tables(root: &Path) -> Result<Vec<table::Table>, CapacityError> {
    let figures = figures::Figures::read(&root.join(FIGURES))?;
    let measurements = measurement::read_folder(&root.join(MEASUREMENTS))?;
    let sources = source::fit_all(&figures, &measurements)?;
    table::all(&figures, &sources)
}

/// Writes the tables into the page.
///
/// # Errors
/// As [`tables`]; also fails if the page lacks a table's markers.
pub fn write(root: &Path) -> Result<(), CapacityError> {
    page::write(&root.join(PAGE), &tables(root)?)
}

/// Compares the page with the tables.
///
/// # Errors
/// As [`write()`], and [`CapacityError::Differs`] for the first row that differs from the computed one.
pub fn check(root: &Path) -> Result<(), CapacityError> {
    page::check(&root.join(PAGE), &tables(root)?)
}

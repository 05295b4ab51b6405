//! Errors in measurements, figures and the page.

use std::path::PathBuf;

use thiserror::Error;

/// An error in one of the files: its location, the value found and the expected value.
#[derive(Debug, Error)]
pub enum CapacityError {
    /// A file cannot be read or written.
    #[error("{file}: {source}")]
    File {
        /// The file.
        file: PathBuf,
        /// The underlying I/O error.
        source: std::io::Error,
    },
    /// A CSV file is not well-formed.
    #[error("{file}: {source}")]
    Csv {
        /// The file.
        file: PathBuf,
        /// The parser's error, with the line.
        source: csv::Error,
    },
    /// A CSV file lacks a column.
    #[error("{file}: line 1: column `{column}` expected, found `{found}`")]
    Column {
        /// The file.
        file: PathBuf,
        /// The column that is missing.
        column: &'static str,
        /// The header line.
        found: String,
    },
    /// A field of a CSV file is not valid for its column.
    #[error("{file}: line {line}, column `{column}`: {expected} expected, found `{found}`")]
    Field {
        /// The file.
        file: PathBuf,
        /// The line, counted from 1.
        line: u64,
        /// The column.
        column: &'static str,
        /// The kind of value that the column holds.
        expected: &'static str,
        /// The value found.
        found: String,
    },
    /// The TOML file is not well-formed, or lacks a key.
    #[error("{file}: {source}")]
    Toml {
        /// The file.
        file: PathBuf,
        /// The parser's error, with line, key and expected value.
        source: Box<toml::de::Error>,
    },
    /// A key of the TOML file has an invalid value.
    #[error("{file}: {key}: {expected} expected, found {found}")]
    Key {
        /// The file.
        file: PathBuf,
        /// The key.
        key: String,
        /// The expected value.
        expected: String,
        /// The value found.
        found: String,
    },
    /// The page lacks a table's markers.
    #[error("{file}: `{expected}` expected once, found {found} times")]
    Marker {
        /// The page.
        file: PathBuf,
        /// The marker.
        expected: String,
        /// Number of occurrences.
        found: usize,
    },
    /// The page has a marker for an unknown table.
    #[error("{file}: line {line}: the name of a table expected, found `{found}`")]
    UnknownTable {
        /// The page.
        file: PathBuf,
        /// The marker's line, counted from 1.
        line: usize,
        /// The name in the marker.
        found: String,
    },
    /// A row of the page differs from the computed row.
    #[error("{0}")]
    Differs(Box<Difference>),
}

/// A row of the page that differs from the computed row.
#[derive(Debug, Error)]
#[error(
    "{file}: line {line}, table `{table}`, row `{row}`:\n  found    {found}\n  expected {expected}\nrun `millethook-capacity write`"
)]
pub struct Difference {
    /// The page.
    pub file: PathBuf,
    /// The line, counted from 1.
    pub line: usize,
    /// The table.
    pub table: String,
    /// The row's first cell.
    pub row: String,
    /// The row in the page.
    pub found: String,
    /// The row computed from the measurements.
    pub expected: String,
}

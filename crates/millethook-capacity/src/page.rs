//! Writes and checks the tables between the markers of the page.

use std::path::Path;

use crate::CapacityError;
use crate::error::Difference;
use crate::table::Table;

/// Prefix and suffix of the marker line before a table.
const BEGIN_MARKER: (&str, &str) = ("<!-- table: ", " -->");
/// The marker line after a table.
const END_MARKER: &str = "<!-- end -->";

/// Writes each table between its markers.
///
/// # Errors
/// Fails if the page cannot be read or written, lacks a table's markers, or has a marker for an unknown table.
pub fn write(file: &Path, tables: &[Table]) -> Result<(), CapacityError> {
    let text = read(file)?;
    let io_error = |source| CapacityError::File { file: file.to_owned(), source };
    let written = fill(file, &text, tables)?;
    std::fs::write(file, written).map_err(io_error)
}

/// Compares each table with the text between its markers.
///
/// # Errors
/// As [`write()`], and [`CapacityError::Differs`] for the first row that differs.
pub fn check(file: &Path, tables: &[Table]) -> Result<(), CapacityError> {
    let text = read(file)?;
    let expected = fill(file, &text, tables)?;
    let (found, expected): (Vec<&str>, Vec<&str>) =
        (text.lines().collect(), expected.lines().collect());
    let Some(at) = (0..found.len().max(expected.len())).find(|&n| found.get(n) != expected.get(n))
    else {
        return Ok(());
    };
    let line = |lines: &[&str]| lines.get(at).copied().unwrap_or_default().to_owned();
    let before = expected[..=at.min(expected.len() - 1)].iter().rev();
    let table = before.copied().find_map(table_name).unwrap_or_default();
    let (found, expected) = (line(&found), line(&expected));
    let row = expected.split('|').nth(1).unwrap_or_default().trim().to_owned();
    let file = file.to_owned();
    Err(CapacityError::Differs(Box::new(Difference {
        file,
        line: at + 1,
        table: table.to_owned(),
        row,
        found,
        expected,
    })))
}

fn read(file: &Path) -> Result<String, CapacityError> {
    std::fs::read_to_string(file)
        .map_err(|source| CapacityError::File { file: file.to_owned(), source })
}

/// Returns the name of the table in a marker line.
fn table_name(line: &str) -> Option<&str> {
    line.strip_prefix(BEGIN_MARKER.0)?.strip_suffix(BEGIN_MARKER.1)
}

/// Returns the page's text with all tables filled in.
fn fill(file: &Path, text: &str, tables: &[Table]) -> Result<String, CapacityError> {
    for table in tables {
        let found = text.lines().filter(|line| table_name(line) == Some(&table.name)).count();
        if found != 1 {
            let expected = format!("{}{}{}", BEGIN_MARKER.0, table.name, BEGIN_MARKER.1);
            return Err(CapacityError::Marker { file: file.to_owned(), expected, found });
        }
    }
    let mut filled = String::new();
    let mut lines = text.lines().enumerate();
    while let Some((at, line)) = lines.next() {
        filled.push_str(line);
        filled.push('\n');
        let Some(name) = table_name(line) else { continue };
        let Some(table) = tables.iter().find(|table| table.name == name) else {
            let found = name.to_owned();
            return Err(CapacityError::UnknownTable { file: file.to_owned(), line: at + 1, found });
        };
        if !lines.any(|(_, line)| line == END_MARKER) {
            let expected = format!("{END_MARKER} behind table {name}");
            return Err(CapacityError::Marker { file: file.to_owned(), expected, found: 0 });
        }
        filled.push_str(&table.text);
        filled.push_str(END_MARKER);
        filled.push('\n');
    }
    Ok(filled)
}

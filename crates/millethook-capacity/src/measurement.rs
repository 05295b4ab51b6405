//! Measurements, read from CSV files.

use std::path::{Path, PathBuf};

use crate::CapacityError;
use crate::unit::Unit;

/// The required columns, in any order.
pub const COLUMNS: [&str; 9] =
    ["measurement", "unit", "size_of", "size", "seed", "value", "kind", "machine", "load"];

/// One measured value.
#[derive(Clone, Debug)]
pub struct Measurement {
    /// The file's name without its folder.
    pub file: String,
    /// The name of the measurement.
    pub measurement: String,
    /// The unit, as written in the file.
    pub unit: Unit,
    /// The quantity that was varied.
    pub size_of: String,
    /// How many of it there were.
    pub size: f64,
    /// The run's seed.
    pub seed: String,
    /// The value, in base units. Infinite if the run never reached it.
    pub value: f64,
    /// The kind of run: `processes`, `hollow`, `virtual`, `model`.
    pub kind: String,
    /// The machine that it ran on.
    pub machine: String,
    /// The other load on the machine.
    pub load: String,
}

impl Measurement {
    /// Returns the number at the end of the load field, or `None` if there is none.
    pub fn load_figure(&self) -> Option<f64> {
        self.load.rsplit(' ').next()?.parse().ok()
    }
}

/// Reads all CSV files of a folder, sorted by name.
///
/// # Errors
/// Fails if a file cannot be read, or a field is not valid for its column.
pub fn read_folder(folder: &Path) -> Result<Vec<Measurement>, CapacityError> {
    let error = |source| CapacityError::File { file: folder.to_owned(), source };
    let mut files: Vec<PathBuf> = Vec::new();
    for entry in std::fs::read_dir(folder).map_err(error)? {
        let path = entry.map_err(error)?.path();
        if path.extension().is_some_and(|extension| extension == "csv") {
            files.push(path);
        }
    }
    files.sort();
    let mut measurements = Vec::new();
    for file in files {
        measurements.extend(read_file(&file)?);
    }
    Ok(measurements)
}

/// Reads one CSV file.
///
/// # Errors
/// As [`read_folder`].
pub fn read_file(file: &Path) -> Result<Vec<Measurement>, CapacityError> {
    let error = |source| CapacityError::Csv { file: file.to_owned(), source };
    let mut reader = csv::ReaderBuilder::new()
        .comment(Some(b'#'))
        .trim(csv::Trim::All)
        .from_path(file)
        .map_err(error)?;
    let header = reader.headers().map_err(error)?.clone();
    let columns = Columns::of(file, &header)?;
    let mut measurements = Vec::new();
    for record in reader.records() {
        measurements.push(columns.measurement(&record.map_err(error)?)?);
    }
    Ok(measurements)
}

/// The positions of the columns in a file.
struct Columns<'a> {
    file: &'a Path,
    positions: Vec<usize>,
}

impl<'a> Columns<'a> {
    fn of(file: &'a Path, header: &csv::StringRecord) -> Result<Columns<'a>, CapacityError> {
        let mut positions = Vec::new();
        for column in COLUMNS {
            let position = header.iter().position(|name| name == column);
            positions.push(position.ok_or_else(|| CapacityError::Column {
                file: file.to_owned(),
                column,
                found: header.iter().collect::<Vec<_>>().join(","),
            })?);
        }
        Ok(Columns { file, positions })
    }

    fn measurement(&self, record: &csv::StringRecord) -> Result<Measurement, CapacityError> {
        let [measurement, unit, size_of, _, seed, _, kind, machine, load] =
            [0, 1, 2, 3, 4, 5, 6, 7, 8].map(|column| self.text(record, column));
        if measurement.is_empty() {
            return Err(self.error(record, 0, "a name"));
        }
        let unit = Unit::parse(&unit);
        let value = self.number(record, 5)? * unit.scale;
        Ok(Measurement {
            file: self.file.file_name().unwrap_or_default().to_string_lossy().into_owned(),
            measurement,
            unit,
            size_of,
            size: self.finite(record, 3)?,
            seed,
            value,
            kind,
            machine,
            load,
        })
    }

    fn text(&self, record: &csv::StringRecord, column: usize) -> String {
        record.get(self.positions[column]).unwrap_or_default().to_owned()
    }

    fn number(&self, record: &csv::StringRecord, column: usize) -> Result<f64, CapacityError> {
        let number = self.text(record, column).parse().ok().filter(|n: &f64| !n.is_nan());
        number.ok_or_else(|| self.error(record, column, "a number"))
    }

    fn finite(&self, record: &csv::StringRecord, column: usize) -> Result<f64, CapacityError> {
        let number = Some(self.number(record, column)?).filter(|number| number.is_finite());
        number.ok_or_else(|| self.error(record, column, "a finite number"))
    }

    fn error(
        &self,
        record: &csv::StringRecord,
        column: usize,
        expected: &'static str,
    ) -> CapacityError {
        CapacityError::Field {
            file: self.file.to_owned(),
            line: record.position().map_or(0, csv::Position::line),
            column: COLUMNS[column],
            expected,
            found: self.text(record, column),
        }
    }
}

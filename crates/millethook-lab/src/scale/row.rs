//! One measured value and how it was measured: a row of the CSV files in `docs/capacity/`.

use std::fs::File;
use std::io::Write;
use std::path::Path;

use serde::{Deserialize, Serialize};

use super::ScaleError;

/// The unit of a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Unit {
    /// Bytes of memory or payload.
    #[serde(rename = "bytes")]
    Bytes,
    /// Microseconds of processor time or of latency; the measurement's name says which.
    #[serde(rename = "us")]
    Microseconds,
    /// Bytes of payload per second.
    #[serde(rename = "bytes/s")]
    BytesPerSecond,
    /// Microseconds of processor time per second.
    #[serde(rename = "us/s")]
    MicrosecondsPerSecond,
    /// Milliseconds of wall time.
    #[serde(rename = "ms")]
    Milliseconds,
    /// A number of objects or occurrences.
    #[serde(rename = "count")]
    Count,
}

/// How the value was obtained.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Real daemons.
    Processes,
    /// State machines without their client side, on real sockets.
    Hollow,
    /// State machines on a virtual clock.
    Virtual,
    /// Computed from a model.
    Model,
}

/// One measured value.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The stable dotted name, such as `sidecar.memory.resident`.
    pub measurement: String,
    /// The unit of the value.
    pub unit: Unit,
    /// What was varied, such as `listed_servers`.
    pub size_of: String,
    /// The number of what was varied.
    pub size: f64,
    /// The seed of random choices.
    pub seed: u64,
    /// The value.
    pub value: f64,
    /// How the value was obtained.
    pub kind: Kind,
    /// The processor model and the number of cores.
    pub machine: String,
    /// The mean number of runnable threads of other programs.
    pub load: f64,
}

/// Writes rows to standard output, and to a file if one is given.
pub struct RowWriter {
    file: Option<csv::Writer<File>>,
    standard: csv::Writer<std::io::Stdout>,
}

impl RowWriter {
    /// Creates a writer that appends to `file`, with a header if the file is empty.
    ///
    /// # Errors
    /// The file cannot be opened.
    pub fn new(file: Option<&Path>) -> Result<RowWriter, ScaleError> {
        let file = file.map(append).transpose()?;
        Ok(RowWriter { file, standard: csv::Writer::from_writer(std::io::stdout()) })
    }

    /// Writes one row and flushes it, so that an interrupted run keeps its rows.
    ///
    /// # Errors
    /// The row cannot be written.
    pub fn write(&mut self, row: &Row) -> Result<(), ScaleError> {
        write_to(&mut self.standard, row)?;
        match &mut self.file {
            Some(file) => write_to(file, row),
            None => Ok(()),
        }
    }
}

fn append(path: &Path) -> Result<csv::Writer<File>, ScaleError> {
    let file = File::options().create(true).append(true).open(path).map_err(csv::Error::from)?;
    let new = file.metadata().map_err(csv::Error::from)?.len() == 0;
    Ok(csv::WriterBuilder::new().has_headers(new).from_writer(file))
}

fn write_to<W: Write>(to: &mut csv::Writer<W>, row: &Row) -> Result<(), ScaleError> {
    to.serialize(row)?;
    to.flush().map_err(csv::Error::from)?;
    Ok(())
}

//! What all measurements share: where daemons are started, where rows go, what was asked for.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde_json::Value;

use super::ScaleError;
use super::backend::Backend;
use super::daemon::{Daemon, DaemonSpec, Launcher};
use super::load::LoadWatch;
use super::registry::{Listed, Registry};
use super::row::{Kind, Row, RowWriter, Unit};
use crate::world::machine_error;

/// Zones of the design's fleet.
pub const ZONES: usize = 6;

/// What is measured: a stable name, its unit, and what is varied.
#[derive(Clone, Debug)]
pub struct Measurement {
    /// The dotted name.
    pub name: String,
    /// The unit.
    pub unit: Unit,
    /// What is varied.
    pub size_of: &'static str,
}

/// Shorthand for a [`Measurement`].
pub fn measurement(name: impl Into<String>, unit: Unit, size_of: &'static str) -> Measurement {
    Measurement { name: name.into(), unit, size_of }
}

/// Where a value stands: how many of what is varied there were, and what random choices were drawn by.
#[derive(Clone, Copy, Debug)]
pub struct Point {
    /// How many there were.
    pub size: usize,
    /// The seed.
    pub seed: u64,
}

/// How a measurement is run.
#[derive(Clone, Debug)]
pub struct Extent {
    /// The sizes; empty: the measurement's own.
    pub sizes: Vec<usize>,
    /// The seeds.
    pub seeds: Vec<u64>,
    /// How long one figure is measured for.
    pub span: Duration,
    /// Time between two probes of a view.
    pub period: Duration,
}

impl Extent {
    /// The sizes asked for, or these.
    pub fn sizes_or(&self, own: &[usize]) -> Vec<usize> {
        if self.sizes.is_empty() { own.to_vec() } else { self.sizes.clone() }
    }
}

/// What all measurements share.
pub struct Bench {
    /// Starts daemons.
    pub launcher: Launcher,
    /// How a measurement is run.
    pub extent: Extent,
    folder: PathBuf,
    rows: RowWriter,
    machine: String,
}

impl Bench {
    /// One that starts `program` and keeps logs in `folder` until its end.
    ///
    /// # Errors
    /// The folder or loopback addresses cannot be had.
    pub fn new(
        program: PathBuf,
        folder: PathBuf,
        rows: RowWriter,
        extent: Extent,
    ) -> Result<Bench, ScaleError> {
        let launcher = Launcher::new(program, folder.clone())?;
        Ok(Bench { launcher, extent, folder, rows, machine: super::process::machine_error() })
    }

    /// Writes a value that real daemons showed.
    ///
    /// # Errors
    /// The row cannot be written.
    pub fn record(
        &mut self,
        what: Measurement,
        at: Point,
        value: f64,
        load: f64,
    ) -> Result<(), ScaleError> {
        self.rows.write(&Row {
            measurement: what.name,
            unit: what.unit,
            size_of: what.size_of.into(),
            size: at.size as f64,
            seed: at.seed,
            value: (value * 1e4).round() / 1e4,
            kind: Kind::Processes,
            machine: self.machine.clone(),
            load: (load * 100.0).round() / 100.0,
        })
    }

    /// Where logs are kept until the end.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// An address for a stand-in.
    pub fn stand_in(&self) -> SocketAddr {
        self.launcher.addresses.stand_in()
    }

    /// Starts servers that take `delay` for a request.
    ///
    /// # Errors
    /// A port cannot be had.
    pub async fn backends(
        &self,
        count: usize,
        delay: Duration,
    ) -> Result<Vec<Backend>, ScaleError> {
        let mut backends = Vec::new();
        for _ in 0..count {
            let backend = Backend::start(self.stand_in(), delay).await;
            backends.push(backend.map_err(machine_error("a stand-in server"))?);
        }
        Ok(backends)
    }

    /// Starts discovery with a list.
    ///
    /// # Errors
    /// A port cannot be had.
    pub async fn registry(&self, listed: Vec<Listed>) -> Result<Registry, ScaleError> {
        let registry = Registry::start(self.stand_in(), listed).await;
        Ok(registry.map_err(machine_error("a stand-in for discovery"))?)
    }

    /// Starts daemon 0 beside this discovery, and changes its configuration first.
    ///
    /// # Errors
    /// It does not start.
    pub async fn daemon(
        &self,
        registry: &Registry,
        seed: u64,
        change: &dyn Fn(&mut Value),
    ) -> Result<Daemon, ScaleError> {
        let spec = DaemonSpec {
            number: 0,
            instances: 1,
            discovery: registry.address,
            seed,
            product: "",
            peers: None,
            change,
        };
        self.launcher.start(&spec).await
    }

    /// Watches how busy the machine is beside these daemons.
    pub fn watch<'a>(&self, daemons: impl IntoIterator<Item = &'a Daemon>) -> LoadWatch {
        LoadWatch::start(daemons.into_iter().map(|daemon| daemon.pid).collect())
    }
}

impl Drop for Bench {
    fn drop(&mut self) {
        // What cannot be removed is the system's to clean up.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A list of so many servers, dealt out to zones in turn, that share the addresses of a few stand-ins.
pub fn listed(count: usize, backends: &[Backend]) -> Vec<Listed> {
    let one = |number| Listed {
        number,
        dial: backends[number % backends.len()].address,
        zone: number % ZONES,
    };
    (0..count).map(one).collect()
}

//! What all measurements share: the launcher of daemons, the row writer, and the requested sizes, seeds and times.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde_json::Value;

use super::ScaleError;
use super::backend::Backend;
use super::daemon::{Daemon, DaemonSpec, Launcher};
use super::load::LoadWatch;
use super::registry::{ListedServer, Registry};
use super::row::{Kind, Row, RowWriter, Unit};
use crate::world::machine_error;

/// The number of zones of the design's fleet.
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

/// Creates a [`Measurement`].
pub fn measurement(name: impl Into<String>, unit: Unit, size_of: &'static str) -> Measurement {
    Measurement { name: name.into(), unit, size_of }
}

/// The size and the seed at which a value is measured.
#[derive(Clone, Copy, Debug)]
pub struct Point {
    /// The number of what is varied.
    pub size: usize,
    /// The seed.
    pub seed: u64,
}

/// The sizes, seeds and times of a measurement.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// The sizes; if empty, the measurement's defaults are used.
    pub sizes: Vec<usize>,
    /// The seeds.
    pub seeds: Vec<u64>,
    /// How long each figure is measured.
    pub span: Duration,
    /// The time between two probes of a member.
    pub period: Duration,
}

impl RunOptions {
    /// Returns the requested sizes, or these defaults.
    pub fn sizes_or(&self, own: &[usize]) -> Vec<usize> {
        if self.sizes.is_empty() { own.to_vec() } else { self.sizes.clone() }
    }
}

/// What all measurements share.
pub struct Bench {
    /// Starts daemons.
    pub launcher: Launcher,
    /// The sizes, seeds and times of a measurement.
    pub options: RunOptions,
    folder: PathBuf,
    rows: RowWriter,
    machine: String,
}

impl Bench {
    /// Creates a bench that starts `program` and keeps logs in `folder` until it is dropped.
    ///
    /// # Errors
    /// The folder cannot be created, or no loopback addresses are free.
    pub fn new(
        program: PathBuf,
        folder: PathBuf,
        rows: RowWriter,
        options: RunOptions,
    ) -> Result<Bench, ScaleError> {
        let launcher = Launcher::new(program, folder.clone())?;
        Ok(Bench { launcher, options, folder, rows, machine: super::process::machine_error() })
    }

    /// Writes a value that was measured on real daemons.
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

    /// The folder of logs, which is removed when the bench is dropped.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Returns an address for a stand-in.
    pub fn stand_in(&self) -> SocketAddr {
        self.launcher.addresses.stand_in()
    }

    /// Starts stand-in servers that take `delay` per request.
    ///
    /// # Errors
    /// A port cannot be bound.
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

    /// Starts a stand-in for discovery with this list.
    ///
    /// # Errors
    /// A port cannot be bound.
    pub async fn registry(&self, listed: Vec<ListedServer>) -> Result<Registry, ScaleError> {
        let registry = Registry::start(self.stand_in(), listed).await;
        Ok(registry.map_err(machine_error("a stand-in for discovery"))?)
    }

    /// Starts daemon 0 with this discovery, after applying `change` to its configuration.
    ///
    /// # Errors
    /// The daemon does not start.
    pub async fn daemon(
        &self,
        registry: &Registry,
        seed: u64,
        change: &dyn Fn(&mut Value),
    ) -> Result<Daemon, ScaleError> {
        let daemon_spec = DaemonSpec {
            number: 0,
            instances: 1,
            discovery: registry.address,
            seed,
            product: "",
            peers: None,
            change,
        };
        self.launcher.start(&daemon_spec).await
    }

    /// Starts sampling the load of the machine by processes other than these daemons.
    pub fn watch<'a>(&self, daemons: impl IntoIterator<Item = &'a Daemon>) -> LoadWatch {
        LoadWatch::start(daemons.into_iter().map(|daemon| daemon.pid).collect())
    }
}

impl Drop for Bench {
    fn drop(&mut self) {
        // Files that cannot be removed are left to the system's cleaning of temporary files.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A list of `count` servers, assigned to zones in turn, that share the addresses of a few stand-ins.
pub fn listed(count: usize, backends: &[Backend]) -> Vec<ListedServer> {
    let one = |number| ListedServer {
        number,
        dial: backends[number % backends.len()].address,
        zone: number % ZONES,
    };
    (0..count).map(one).collect()
}

//! The state that all handles of one engine share: the channel to its thread, its limits and the number
//! of openings.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;

use millethook_engine::budget::{ByteBudget, ConnectionPermits};
use tokio::sync::{Semaphore, mpsc, watch};

use crate::config::{FleetConfig, random};
use crate::error::OpenError;
use crate::thread::{Command, EngineState, EngineThread};

/// The state that all handles of one engine share.
pub(crate) struct Shared {
    pub(crate) config: FleetConfig,
    pub(crate) commands: mpsc::UnboundedSender<Command>,
    pub(crate) state: watch::Receiver<EngineState>,
    /// One permit for each request that may be open.
    pub(crate) permits: Arc<Semaphore>,
    pub(crate) sockets: Arc<ConnectionPermits>,
    pub(crate) bytes: Arc<ByteBudget>,
    /// A random start and a counter, from which request ids are made.
    ids: (u64, AtomicU64),
    /// Number of openings that have been neither dropped nor drained; None once the last one has been.
    openings: Mutex<Option<usize>>,
}

impl Shared {
    /// Starts an engine with `start` and returns its shared state and its thread.
    pub(crate) fn start(
        config: FleetConfig,
        start: impl FnOnce(&FleetConfig, Arc<ConnectionPermits>) -> std::io::Result<EngineThread>,
    ) -> Result<(Arc<Shared>, JoinHandle<()>), OpenError> {
        let (sockets, bytes) = match &config.budget {
            Some(budget) => (budget.sockets.clone(), budget.bytes.clone()),
            None => (ConnectionPermits::new(config.sockets), ByteBudget::new(config.body_bytes)),
        };
        let EngineThread { commands, state, thread } =
            start(&config, sockets.clone()).map_err(OpenError::System)?;
        let shared = Shared {
            permits: Arc::new(Semaphore::new(config.open)),
            config,
            commands,
            state,
            sockets,
            bytes,
            ids: (random(), AtomicU64::new(0)),
            openings: Mutex::new(Some(0)),
        };
        Ok((Arc::new(shared), thread))
    }

    fn openings(&self) -> MutexGuard<'_, Option<usize>> {
        self.openings.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts one more opening; false if the engine has ended or is about to end.
    pub(crate) fn add_opening(&self) -> bool {
        let mut openings = self.openings();
        let added = openings.filter(|_| !self.commands.is_closed()).map(|n| n + 1);
        *openings = added.or(*openings);
        added.is_some()
    }

    /// Whether the engine accepts requests.
    pub(crate) fn is_running(&self) -> bool {
        !self.has_ended() && !self.commands.is_closed()
    }

    /// Whether the last opening has been closed.
    pub(crate) fn has_ended(&self) -> bool {
        self.openings().is_none()
    }

    /// An id for a request that has none.
    pub(crate) fn new_id(&self) -> String {
        let n = self.ids.1.fetch_add(1, Ordering::Relaxed);
        format!("{:016x}", self.ids.0.wrapping_add(n.wrapping_mul(0x9e37_79b9_7f4a_7c15)))
    }

    /// Removes an opening; the engine ends with the last one.
    pub(crate) fn remove_opening(&self) {
        let mut openings = self.openings();
        *openings = openings.and_then(|n| n.checked_sub(1)).filter(|&n| n > 0);
        if openings.is_none() {
            let _ = self.commands.send(Command::Stop);
        }
    }
}

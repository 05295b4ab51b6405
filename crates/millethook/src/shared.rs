//! One engine, and what all handles of it share: the way to its thread, its limits, and how many have it open.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;

use millethook_engine::budget::{ByteBudget, ConnectionPermits};
use tokio::sync::{Semaphore, mpsc, watch};

use crate::config::{FleetConfig, random};
use crate::error::OpenError;
use crate::thread::{Command, Life, Started};

/// One engine, and what all its handles share.
pub(crate) struct Shared {
    pub(crate) config: FleetConfig,
    pub(crate) commands: mpsc::UnboundedSender<Command>,
    pub(crate) life: watch::Receiver<Life>,
    pub(crate) permits: Arc<Semaphore>,
    pub(crate) sockets: Arc<ConnectionPermits>,
    pub(crate) bytes: Arc<ByteBudget>,
    ids: (u64, AtomicU64),
    /// Openings that have been neither dropped nor drained. None: the last of them has been.
    openings: Mutex<Option<usize>>,
}

impl Shared {
    pub(crate) fn start(
        config: FleetConfig,
        start: impl FnOnce(&FleetConfig, Arc<ConnectionPermits>) -> std::io::Result<Started>,
    ) -> Result<(Arc<Shared>, JoinHandle<()>), OpenError> {
        let (sockets, bytes) = match &config.budget {
            Some(budget) => (budget.sockets.clone(), budget.bytes.clone()),
            None => (ConnectionPermits::new(config.sockets), ByteBudget::new(config.body_bytes)),
        };
        let Started { commands, life, thread } =
            start(&config, sockets.clone()).map_err(OpenError::System)?;
        let shared = Shared {
            permits: Arc::new(Semaphore::new(config.open)),
            config,
            commands,
            life,
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

    /// Counts one more opening; false if the engine has ended, or is about to.
    pub(crate) fn join(&self) -> bool {
        let mut openings = self.openings();
        let joined = openings.filter(|_| !self.commands.is_closed()).map(|n| n + 1);
        *openings = joined.or(*openings);
        joined.is_some()
    }

    /// Whether the engine takes requests.
    pub(crate) fn live(&self) -> bool {
        !self.ended() && !self.commands.is_closed()
    }

    pub(crate) fn ended(&self) -> bool {
        self.openings().is_none()
    }

    pub(crate) fn new_id(&self) -> String {
        let n = self.ids.1.fetch_add(1, Ordering::Relaxed);
        format!("{:016x}", self.ids.0.wrapping_add(n.wrapping_mul(0x9e37_79b9_7f4a_7c15)))
    }

    /// The last opening is done with: the engine ends.
    pub(crate) fn leave(&self) {
        let mut openings = self.openings();
        *openings = openings.and_then(|n| n.checked_sub(1)).filter(|&n| n > 0);
        if openings.is_none() {
            let _ = self.commands.send(Command::Stop);
        }
    }
}

//! The fleets that are open in this process. Openings of the same name share one engine.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::thread::JoinHandle;

use crate::config::FleetConfig;
use crate::error::OpenError;
use crate::shared::Shared;
use crate::thread;

static OPEN: Mutex<BTreeMap<String, Entry>> = Mutex::new(BTreeMap::new());

struct Entry {
    shared: Weak<Shared>,
    thread: JoinHandle<()>,
}

/// Returns the engine of the fleet that `config` names, an open one or a new one, and counts one more
/// opening.
pub(crate) fn open(config: FleetConfig) -> Result<Arc<Shared>, OpenError> {
    let mut open = OPEN.lock().unwrap_or_else(PoisonError::into_inner);
    let known = open.get(&config.name).and_then(|entry| entry.shared.upgrade());
    if let Some(shared) = known.filter(|shared| shared.is_running()) {
        if let Some((key, open, here)) = shared.config.difference(&config) {
            return Err(OpenError::Conflict { fleet: config.name, key, open, here });
        }
        // The last opening may have been closed in the meantime.
        if shared.add_opening() {
            return Ok(shared);
        }
    }
    // A fleet that is ending still holds its sockets. The next one of its name starts after it has
    // closed them, so that servers never see connections of both.
    if let Some(entry) = open.remove(&config.name) {
        // A panic of the thread has already failed the waiting calls.
        let _ = entry.thread.join();
    }
    open.retain(|_, entry| !entry.thread.is_finished());
    let (shared, thread) = Shared::start(config, thread::start)?;
    shared.add_opening();
    open.insert(shared.config.name.clone(), Entry { shared: Arc::downgrade(&shared), thread });
    Ok(shared)
}

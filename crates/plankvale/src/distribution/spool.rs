//! The folder of requests to publish, at a control node. Requests are published while this process is
//! the writer; their statuses are written to a folder inside.

use std::cell::Cell;
use std::collections::HashMap;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use millethook_engine::distribution::{ControlEvent, Distribution, DocumentKind, PublishError};
use millethook_engine::fleet::Fleet;
use tokio::task::spawn_blocking;
use tokio::time::sleep;

use super::files::{self, FoundRequest};
use super::patch::Patch;
use super::request::{Request, now_ms};
use super::status::{Stage, Status};
use super::tracked::Tracked;

/// Interval between scans of the folder.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// How long a request waits for this process to become the writer.
const WRITER_TIMEOUT: Duration = Duration::from_secs(10);
/// Older requests are not published: a later request at another control node may have overtaken them.
const MAX_REQUEST_AGE: Duration = Duration::from_secs(30);
/// Maximum number of published documents that are tracked.
const MAX_TRACKED: usize = 512;

/// The task that publishes the requests of a folder.
pub struct Spool {
    folder: PathBuf,
    fleet: Rc<Fleet>,
    distribution: Rc<Distribution>,
    in_force_after_ms: Cell<Option<u64>>,
}

/// The state of the folder's requests.
#[derive(Default)]
struct SpoolState {
    /// For each request that waits for this process to become the writer: when it was first seen.
    waiting: HashMap<String, Instant>,
    /// Published documents, the latest last.
    tracked: Vec<Tracked>,
    /// Statuses to write.
    statuses: Vec<(String, Status)>,
}

impl Spool {
    /// Starts the task on the current `LocalSet`.
    ///
    /// # Errors
    /// The folder of requests or that of statuses cannot be created.
    pub fn start(
        folder: PathBuf,
        fleet: Rc<Fleet>,
        distribution: Rc<Distribution>,
    ) -> Result<Rc<Spool>, String> {
        files::prepare(&folder)
            .map_err(|e| format!("distribution.publish: {}: {e}", folder.display()))?;
        let spool = Spool { folder, fleet, distribution, in_force_after_ms: Cell::new(None) };
        let spool = Rc::new(spool);
        tokio::task::spawn_local(spool.clone().run());
        Ok(spool)
    }

    /// Milliseconds from publication until in force everywhere, for the last document that got there.
    pub fn in_force_after_ms(&self) -> Option<u64> {
        self.in_force_after_ms.get()
    }

    async fn run(self: Rc<Spool>) {
        let mut state = SpoolState::default();
        loop {
            sleep(POLL_INTERVAL).await;
            let folder = self.folder.clone();
            match spawn_blocking(move || files::requests(&folder)).await {
                Ok(Ok(found)) => self.publish_due(&mut state, found).await,
                Ok(Err(e)) => tracing::error!(
                    event = "distribution_spool_failed",
                    "{}: {e}",
                    self.folder.display()
                ),
                // The runtime is shutting down.
                Err(_) => return,
            }
            self.update_tracked(&mut state);
            let (folder, statuses) = (self.folder.clone(), std::mem::take(&mut state.statuses));
            if !statuses.is_empty() {
                let written = spawn_blocking(move || files::write_statuses(&folder, &statuses));
                if let Ok(Err(e)) = written.await {
                    tracing::error!(event = "distribution_status_failed", "{e}");
                }
            }
        }
    }

    /// Publishes the requests that need not wait any longer.
    async fn publish_due(&self, state: &mut SpoolState, found: Vec<FoundRequest>) {
        let ready = self.distribution.control_figures().is_some_and(|f| f.writer_ready);
        state.waiting.retain(|name, _| found.iter().any(|request| request.name == *name));
        let mut due = Vec::new();
        for FoundRequest { name, request } in found {
            let since = *state.waiting.entry(name.clone()).or_insert_with(Instant::now);
            let invalid = request.is_err();
            if ready || invalid || since.elapsed() >= WRITER_TIMEOUT {
                state.waiting.remove(&name);
                due.push((name, request));
            }
        }
        if due.is_empty() {
            return;
        }
        // A request is removed before it is published. If the process dies in between, the request is
        // lost rather than published a second time, over a later document from another control node.
        let (folder, names) = (self.folder.clone(), due.iter().map(|d| d.0.clone()).collect());
        let removed =
            spawn_blocking(move || files::remove(&folder, names)).await.unwrap_or_default();
        for (name, request) in due {
            if !removed.contains(&name) {
                continue;
            }
            match request {
                Ok(request) => self.publish(state, name, request),
                Err(e) => {
                    state.statuses.push((name, Status::new(Stage::Rejected, None).with_error(e)));
                }
            }
        }
    }

    fn publish(&self, state: &mut SpoolState, name: String, request: Request) {
        let refused = |stage, error: String| {
            tracing::warn!(event = "distribution_not_published", request = %name, "{}: {error}", request.scope);
            Status::new(stage, Some(request.scope.clone())).with_error(error)
        };
        let age = Duration::from_millis(now_ms().saturating_sub(request.asked_ms));
        if age > MAX_REQUEST_AGE {
            let text =
                format!("{} s old, {} at most expected", age.as_secs(), MAX_REQUEST_AGE.as_secs());
            state.statuses.push((name.clone(), refused(Stage::Expired, text)));
            return;
        }
        let body = request.body().and_then(|text| {
            let checked = text.map(|text| Patch::parse(text.as_bytes())).transpose();
            checked.map(|_| text.map(|text| text.as_bytes().to_vec())).map_err(|e| e.to_string())
        });
        let body = match body {
            Ok(body) => body,
            Err(e) => {
                state.statuses.push((name.clone(), refused(Stage::Rejected, e)));
                return;
            }
        };
        let key = request.scope.key();
        match self.fleet.publish(key, body) {
            Ok(version) => {
                tracing::info!(event = "distribution_published", request = %name, %version, "{}", request.scope);
                let tracked = Tracked::new(name, request.scope, key, version);
                state.statuses.push((tracked.name.clone(), tracked.status.clone()));
                state.tracked.push(tracked);
            }
            Err(e @ (PublishError::NotWriter(_) | PublishError::CatchingUp(_))) => {
                let writer = match e {
                    PublishError::NotWriter(Some(token)) => format!(": member {} is", token.owner),
                    _ => String::new(),
                };
                let text = format!("{e}{writer}");
                state.statuses.push((name.clone(), refused(Stage::NotTheWriter, text)));
            }
            Err(e) => state.statuses.push((name.clone(), refused(Stage::Rejected, e.to_string()))),
        }
    }

    /// Updates the statuses of published documents.
    fn update_tracked(&self, state: &mut SpoolState) {
        while let Some(event) = self.distribution.take_control_event() {
            log_event(&event);
            state.tracked.iter_mut().for_each(|tracked| tracked.on_event(&event));
        }
        let too_many = state.tracked.len().saturating_sub(MAX_TRACKED);
        for index in 0..state.tracked.len() {
            let (tracked, later) =
                state.tracked[index..].split_first_mut().expect("below the length");
            let replaced = later.iter().any(|other| other.replaces(tracked));
            let rollout = self.distribution.report(tracked.id.version);
            if tracked.update(rollout.as_ref(), replaced, index < too_many) {
                state.statuses.push((tracked.name.clone(), tracked.status.clone()));
            }
            if let Some(ms) = tracked.status.in_force_after_ms {
                self.in_force_after_ms.set(Some(ms));
            }
        }
        state.tracked.retain(|tracked| !tracked.status.stage.is_settled());
    }
}

fn log_event(event: &ControlEvent) {
    match event {
        ControlEvent::WriterReady(token) => tracing::info!(
            event = "distribution_writer",
            %token,
            "this control node is the writer"
        ),
        ControlEvent::Deposed { token, by } => tracing::warn!(
            event = "distribution_writer_deposed",
            %token,
            %by,
            "this control node is no longer the writer: member {} is",
            by.owner
        ),
        // Lists of servers are committed once a second, too often to log.
        ControlEvent::Committed(id) if id.key.kind == DocumentKind::ServerList => {}
        ControlEvent::Committed(id) => tracing::info!(
            event = "distribution_committed",
            version = %id.version,
            "{}: accepted by a majority of the control nodes",
            id.key
        ),
        ControlEvent::Stored(_) => {}
        ControlEvent::Stopped { stopped, rollout, first_refusal, restored } => {
            let why = first_refusal.as_ref().map_or("", |(_, refusal)| refusal.reason.as_str());
            tracing::error!(
                event = "distribution_stopped",
                version = %stopped.version,
                %restored,
                "{}: {} of {} sidecars refused it, the previous document is restored: {why}",
                stopped.key,
                rollout.refused,
                rollout.expected
            );
        }
    }
}

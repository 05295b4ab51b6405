//! Publishes documents as an operator does: a request in the folder of the control node that is the writer.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::json;
use tokio::time::{sleep, timeout};

use super::views::fetch_metrics;
use crate::ledger::{Clock, Ledger, Micros};
use crate::timeline::{Event, Timeline};

/// What was found out about the writer counts for so long.
const KNOWN: Duration = Duration::from_millis(500);
/// A control node may take so long to say whether it is the writer.
const PATIENCE: Duration = Duration::from_millis(300);
/// Between two rounds of questions.
const AGAIN: Duration = Duration::from_millis(50);
/// A writer is looked for so long.
const LONGEST: Duration = Duration::from_secs(20);
/// What stands before the figure of a control node that may publish.
const READY: &str = "sidecar.distribution.control.writer_ready:1|";

/// A request that was left.
#[derive(Clone, Debug)]
pub struct Publication {
    /// Its name.
    pub request: String,
    /// When it was left.
    pub at: Micros,
    /// For whom it is.
    pub scope: String,
}

/// Publishes documents.
pub struct Publisher {
    clock: Clock,
    ledger: Arc<Ledger>,
    folder: PathBuf,
    control_nodes: Vec<SocketAddr>,
    /// The writer, and when that was found out.
    writer: Mutex<Option<(Instant, usize)>>,
    publications: Mutex<Vec<Publication>>,
}

/// The folder of a control node's requests.
pub fn spool(folder: &Path, sidecar: usize) -> PathBuf {
    folder.join(format!("publish{sidecar}"))
}

/// Unix time of a moment of the run, in microseconds.
pub fn unix_us_of_zero(clock: &Clock) -> i64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    now.as_micros() as i64 - clock.now() as i64
}

impl Publisher {
    /// One for the run whose files are in `folder`; `admins` are the operators' addresses of the control nodes.
    pub fn new(
        clock: &Clock,
        ledger: &Arc<Ledger>,
        folder: &Path,
        admins: Vec<SocketAddr>,
    ) -> Arc<Publisher> {
        Arc::new(Publisher {
            clock: clock.clone(),
            ledger: ledger.clone(),
            folder: folder.to_owned(),
            control_nodes: admins,
            writer: Mutex::default(),
            publications: Mutex::default(),
        })
    }

    /// Publishes the `nth` document of an event, as soon as a control node is the writer.
    pub fn publish(self: &Arc<Publisher>, timeline: &Timeline, event: usize, nth: usize) {
        let Event { scope, document, .. } = &timeline.events[event];
        let document = document.clone().unwrap_or_else(|| changed(event, nth));
        let (publisher, scope) = (self.clone(), scope.clone().unwrap_or_else(|| "all".into()));
        let request = format!("change-{event:03}-{nth:04}");
        tokio::spawn(async move {
            let Some(writer) = publisher.writer().await else {
                let text = format!("{request}: no control node was the writer for {LONGEST:?}");
                publisher.ledger.open().findings.push(text);
                return;
            };
            publisher.leave(writer, &request, scope, &document);
        });
    }

    async fn writer(&self) -> Option<usize> {
        let begin = Instant::now();
        while begin.elapsed() < LONGEST {
            let known = *self.writer.lock().unwrap_or_else(PoisonError::into_inner);
            if let Some((_, writer)) = known.filter(|(at, _)| at.elapsed() < KNOWN) {
                return Some(writer);
            }
            for (node, at) in self.control_nodes.iter().enumerate() {
                let Ok(Some(text)) = timeout(PATIENCE, fetch_metrics(*at)).await else { continue };
                if text.lines().any(|line| line.starts_with(READY)) {
                    let mut known = self.writer.lock().unwrap_or_else(PoisonError::into_inner);
                    *known = Some((Instant::now(), node));
                    return Some(node);
                }
            }
            sleep(AGAIN).await;
        }
        None
    }

    fn leave(&self, writer: usize, request: &str, scope: String, document: &str) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let text = json!({
            "scope": scope, "retract": false, "document": document,
            "asked_ms": now.as_millis() as u64,
        });
        let folder = spool(&self.folder, writer);
        let hidden = folder.join(format!(".{request}.tmp"));
        let left = std::fs::write(&hidden, text.to_string())
            .and_then(|()| std::fs::rename(&hidden, folder.join(format!("{request}.json"))));
        match left {
            Ok(()) => {
                let request = request.to_owned();
                let publication = Publication { request, at: self.clock.now(), scope };
                self.publications.lock().unwrap_or_else(PoisonError::into_inner).push(publication);
            }
            Err(e) => self.ledger.open().findings.push(format!("{request}: {e}")),
        }
    }

    /// What was published so far.
    pub fn take(&self) -> Vec<Publication> {
        std::mem::take(&mut *self.publications.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// A document that differs from all others and changes nothing that is measured.
fn changed(event: usize, nth: usize) -> String {
    let most_open = 900 + (event * 1_000 + nth) % 100;
    json!({"settings": {"limits": {"maxOpen": most_open}, "label": format!("{event}-{nth}")}})
        .to_string()
}

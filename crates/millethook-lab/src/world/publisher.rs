//! Publishes documents as an operator does: writes a request file to the spool directory of the control node that is
//! the writer.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::json;
use tokio::time::{sleep, timeout};

use super::views::fetch_metrics;
use crate::ledger::{Clock, Ledger, Micros};
use crate::timeline::{Event, Timeline};

/// Time for which the last known writer is reused without a new check.
const WRITER_CACHE_TIME: Duration = Duration::from_millis(500);
/// Timeout of a request for the metrics of a control node.
const METRICS_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval between rounds of checks.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Time limit of the search for a writer.
const WRITER_TIMEOUT: Duration = Duration::from_secs(20);
/// Start of the metric line of a control node that may publish.
const WRITER_READY_LINE: &str = "sidecar.distribution.control.writer_ready:1|";

/// A publish request that was handed to a writer.
#[derive(Clone, Debug)]
pub struct Publication {
    /// The request's name.
    pub request: String,
    /// When it was written.
    pub at: Micros,
    /// The scope of the document.
    pub scope: String,
}

/// Publishes documents to the writer.
pub struct Publisher {
    clock: Clock,
    ledger: Arc<Ledger>,
    folder: PathBuf,
    control_nodes: Vec<SocketAddr>,
    /// The last known writer, and when it was determined.
    writer: Mutex<Option<(Instant, usize)>>,
    publications: Mutex<Vec<Publication>>,
}

/// The spool directory for a control node's publish requests.
pub fn spool(folder: &Path, sidecar: usize) -> PathBuf {
    folder.join(format!("publish{sidecar}"))
}

/// Unix time of the start of the load, in microseconds.
pub fn unix_us_of_zero(clock: &Clock) -> i64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    now.as_micros() as i64 - clock.now() as i64
}

impl Publisher {
    /// Creates a publisher for the run whose files are in `folder`; `admins` are the admin addresses of the control
    /// nodes.
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

    /// Publishes the `nth` document of an event as soon as a control node is the writer.
    pub fn publish(self: &Arc<Publisher>, timeline: &Timeline, event: usize, nth: usize) {
        let Event { scope, document, .. } = &timeline.events[event];
        let document = document.clone().unwrap_or_else(|| unique_document(event, nth));
        let (publisher, scope) = (self.clone(), scope.clone().unwrap_or_else(|| "all".into()));
        let request = format!("change-{event:03}-{nth:04}");
        tokio::spawn(async move {
            let Some(writer) = publisher.find_writer().await else {
                let text =
                    format!("{request}: no control node was the writer for {WRITER_TIMEOUT:?}");
                publisher.ledger.open().findings.push(text);
                return;
            };
            publisher.write_request(writer, &request, scope, &document);
        });
    }

    async fn find_writer(&self) -> Option<usize> {
        let begin = Instant::now();
        while begin.elapsed() < WRITER_TIMEOUT {
            let known = *self.writer.lock().unwrap_or_else(PoisonError::into_inner);
            if let Some((_, writer)) = known.filter(|(at, _)| at.elapsed() < WRITER_CACHE_TIME) {
                return Some(writer);
            }
            for (node, at) in self.control_nodes.iter().enumerate() {
                let Ok(Some(text)) = timeout(METRICS_TIMEOUT, fetch_metrics(*at)).await else {
                    continue;
                };
                if text.lines().any(|line| line.starts_with(WRITER_READY_LINE)) {
                    let mut known = self.writer.lock().unwrap_or_else(PoisonError::into_inner);
                    *known = Some((Instant::now(), node));
                    return Some(node);
                }
            }
            sleep(RETRY_INTERVAL).await;
        }
        None
    }

    fn write_request(&self, writer: usize, request: &str, scope: String, document: &str) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let text = json!({
            "scope": scope, "retract": false, "document": document,
            "asked_ms": now.as_millis() as u64,
        });
        let folder = spool(&self.folder, writer);
        let hidden = folder.join(format!(".{request}.tmp"));
        let written = std::fs::write(&hidden, text.to_string())
            .and_then(|()| std::fs::rename(&hidden, folder.join(format!("{request}.json"))));
        match written {
            Ok(()) => {
                let request = request.to_owned();
                let publication = Publication { request, at: self.clock.now(), scope };
                self.publications.lock().unwrap_or_else(PoisonError::into_inner).push(publication);
            }
            Err(e) => self.ledger.open().findings.push(format!("{request}: {e}")),
        }
    }

    /// Takes the publications so far.
    pub fn take(&self) -> Vec<Publication> {
        std::mem::take(&mut *self.publications.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// A document that differs from all others and does not affect the measurements.
fn unique_document(event: usize, nth: usize) -> String {
    let most_open = 900 + (event * 1_000 + nth) % 100;
    json!({"settings": {"limits": {"maxOpen": most_open}, "label": format!("{event}-{nth}")}})
        .to_string()
}

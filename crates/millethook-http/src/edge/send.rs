//! Sending of one stored write: the last check of the lease, and the interpretation of the answer.

use std::rc::Rc;

use bytes::Bytes;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, Method, Request, Uri};
use millethook_edge::record::{End, Record, Write};
use millethook_edge::{Outcome, Progress, WriteId, log};
use millethook_engine::budget::ByteReservation;
use millethook_engine::driver::{Reply, RequestHead};
use tokio::task::spawn_blocking;

use super::folder::{self, StoreFile};
use super::replayer::{Store, replay_job};
use super::{Edge, replay_class};
use crate::answer;

/// Bytes of a refusing answer that are recorded for the operator.
const MAX_REFUSAL_BYTES: usize = 1024;

impl Edge {
    /// Sends a write whose mark is on disk.
    pub(super) async fn send(&self, store: &Rc<Store>, seq: u64) -> Outcome {
        let location = store.replay.borrow().book().entry(seq).map(|entry| entry.location);
        let Some(location) = location else { return Outcome::NotRun };
        let path = StoreFile::Intake.path(&self.settings.folder, store.edge);
        let read = spawn_blocking(move || folder::read_record(&path, location)).await;
        let Ok(Ok(bytes)) = read else { return Outcome::NotRun };
        let write = match log::decode_one(&bytes) {
            Some((of, Record::Write(write))) if of == seq => write,
            _ => return Outcome::Damaged,
        };
        let Some((head, attempt_request)) = self.build_request(*write) else {
            return Outcome::NotRun;
        };
        self.driver.wait_for_current_list().await;
        // Last check of the lease. If the process stalls after it, the write is already marked, and the
        // next owner does not send it.
        if self.fleet.holds(replay_job(store.edge)) != Some(store.token) || store.fenced.get() {
            return Outcome::NotRun;
        }
        let mut ticket = self.driver.request(head, attempt_request);
        match ticket.reply().await {
            Reply::Served(head, body) if head.status.is_client_error() => Outcome::Refused(
                head.status.as_u16(),
                body[..body.len().min(MAX_REFUSAL_BYTES)].to_vec(),
            ),
            Reply::Served(..) => Outcome::Served,
            // Nobody waits for the streamed body, and a streaming answer has started only if the write was
            // served.
            Reply::Streaming(_) => Outcome::Served,
            Reply::Refused { may_have_run: false, .. } => Outcome::NotRun,
            Reply::Refused { .. } | Reply::Failed => Outcome::MayHaveRun,
        }
    }

    /// Builds the request for the driver. Returns None if the class of the write no longer exists. The
    /// stored headers include the time that the client had; the encoder leaves that header out.
    fn build_request(
        &self,
        write: Write,
    ) -> Option<(RequestHead, millethook_engine::upstream::AttemptRequest)> {
        let names = self.names.borrow().clone();
        let class = names.classes.get(&replay_class(&write.class))?;
        let mut headers = HeaderMap::new();
        let mut tenant = 0;
        for (name, value) in &write.headers {
            let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
            let value = HeaderValue::from_bytes(value).ok()?;
            if name == crate::head::ACCOUNT {
                let account = value.to_str().ok().map(str::trim);
                tenant = account.and_then(|a| names.tenants.get(a).copied()).unwrap_or(0);
            }
            headers.append(name, value);
        }
        let mut request = Request::new(());
        *request.method_mut() = Method::from_bytes(write.method.as_bytes()).ok()?;
        *request.uri_mut() = write.target.parse::<Uri>().ok()?;
        *request.headers_mut() = headers;
        let (parts, ()) = request.into_parts();
        let request_head = RequestHead {
            class: class.index,
            repeatable: class.repeat != coppercart::settings::RetrySafety::Unsafe,
            streaming: false,
            aim: class.aim,
            tenant,
            key: write.member,
            left: class.deadline,
            hint: None,
            repeat: false,
        };
        let body = vec![Bytes::from(write.body)];
        let attempt_request =
            answer::attempt_request(parts, &request_head, body, ByteReservation::default(), None);
        Some((request_head, attempt_request))
    }

    /// Progress of a write in another store.
    pub(super) fn progress_elsewhere(&self, id: WriteId) -> Progress {
        self.progress(id)
    }

    /// Counts an end record that is on disk.
    pub(super) fn count_end(&self, record: &Record, on_disk: bool) {
        match record {
            Record::End { how: End::Done, .. } if on_disk => {
                self.count(|stats| stats.replayed += 1)
            }
            Record::End { .. } if on_disk => self.count(|stats| stats.not_served += 1),
            _ => {}
        }
    }
}

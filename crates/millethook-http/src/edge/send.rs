//! One write on its way to a server: the last look at the lease, and what the answer says.

use std::rc::Rc;

use bytes::Bytes;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, Method, Request, Uri};
use millethook_edge::record::{End, Record, Write};
use millethook_edge::{Outcome, Progress, WriteId, log};
use millethook_engine::budget::ByteReservation;
use millethook_engine::driver::{Reply, RequestHead};
use tokio::task::spawn_blocking;

use super::folder::{self, Name};
use super::replayer::{Store, job};
use super::{Edge, replay_class};
use crate::answer;

/// Bytes of a refusal that are kept for the operator.
const ANSWER: usize = 1024;

impl Edge {
    /// Sends a write that is marked on disk.
    pub(super) async fn send(&self, store: &Rc<Store>, seq: u64) -> Outcome {
        let location = store.replay.borrow().book().entry(seq).map(|entry| entry.at);
        let Some(location) = location else { return Outcome::NotRun };
        let path = Name::Intake.path(&self.settings.folder, store.edge);
        let read = spawn_blocking(move || folder::record(&path, location)).await;
        let Ok(Ok(bytes)) = read else { return Outcome::NotRun };
        let write = match log::one(&bytes) {
            Some((of, Record::Write(write))) if of == seq => write,
            _ => return Outcome::Spoilt,
        };
        let Some((head, attempt_request)) = self.request(*write) else { return Outcome::NotRun };
        self.driver.wait_for_current_list().await;
        // The last look. A process that stops behind it has marked the write, and whoever takes over does not send it.
        if self.fleet.holds(job(store.edge)) != Some(store.token) || store.fenced.get() {
            return Outcome::NotRun;
        }
        let mut ticket = self.driver.request(head, attempt_request);
        match ticket.reply().await {
            Reply::Served(head, body) if head.status.is_client_error() => {
                Outcome::Refused(head.status.as_u16(), body[..body.len().min(ANSWER)].to_vec())
            }
            Reply::Served(..) => Outcome::Served,
            // What it says nobody waits for; that it has begun says that the write was served.
            Reply::Streaming(_) => Outcome::Served,
            Reply::Refused { may_have_run: false, .. } => Outcome::NotRun,
            Reply::Refused { .. } | Reply::Failed => Outcome::MayHaveRun,
        }
    }

    /// A write as the driver takes it; None: its class is none any more. The time that its client had stands in what was
    /// kept; the encoder leaves it out.
    fn request(
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
            repeatable: class.repeat != coppercart::settings::Repeat::Unsafe,
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

    /// What has come of a write of another store.
    pub(super) fn progress_elsewhere(&self, id: WriteId) -> Progress {
        self.progress(id)
    }

    /// Counts an end that is on disk.
    pub(super) fn ended(&self, record: &Record, on_disk: bool) {
        match record {
            Record::End { how: End::Done, .. } if on_disk => self.count(|f| f.replayed += 1),
            Record::End { .. } if on_disk => self.count(|f| f.aside += 1),
            _ => {}
        }
    }
}

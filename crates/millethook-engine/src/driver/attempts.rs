//! Attempts: from the decision to send one to its outcome.

use std::future::{Future, poll_fn};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use coppercart::api::{Event, LoadReport, Micros, Outcome, RequestId, ServerId};
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::Driver;
use super::request::{Reply, StreamingReply};
use crate::figures::Disposition;
use crate::upload::Upload;
use crate::upstream::{AnswerHead, AttemptOutcome, AttemptRequest, Gate, StreamingResponse};

/// A server that stops within an answer for so long will not go on with it.
const SERVER_STALL: Duration = Duration::from_secs(10);

impl Driver {
    pub(super) fn send(
        self: &Rc<Driver>,
        id: RequestId,
        server: ServerId,
        (wait, commit_within): (Micros, Micros),
    ) {
        let (cancel, cancelled) = oneshot::channel();
        let (n, class, way) = {
            let mut core = self.core.borrow_mut();
            let listed = core.servers.get(&server).cloned();
            let Some(request) = core.requests.get_mut(&id) else {
                drop(core);
                return self.moot(id, 0, server);
            };
            request.attempts.push(Some(cancel));
            let spec =
                request.spec.clone().filter(|_| !request.ended() && request.streaming.is_none());
            (request.attempts.len() - 1, request.class, spec.zip(listed))
        };
        let Some((spec, listed)) = way else {
            return self.moot(id, n, server);
        };
        let now = Instant::now();
        // The time of a body that is passed on is its own, and no second attempt can have it.
        let commit_by = match spec.upload {
            Some(_) => None,
            None => Some(now + Duration::from_micros(commit_within)),
        };
        let gate = Gate { admission: listed.admission, commit_by };
        // Counted from the decision: time that passes until the attempt's task runs is the caller's, too, and servers would
        // else be told of more than is left.
        let until = now + Duration::from_micros(wait);
        self.reach.borrow_mut().sent(server, now);
        if let Some(fleet) = self.fleet.get() {
            fleet.sends_to(server);
        }
        spawn_local(self.clone().attempt(
            id,
            n,
            (server, listed.dial),
            (class, spec),
            (gate, until),
            cancelled,
        ));
    }

    /// Tells, not before the present event is dealt with, that an attempt was never sent.
    fn moot(self: &Rc<Driver>, id: RequestId, n: usize, server: ServerId) {
        let driver = self.clone();
        spawn_local(async move {
            driver.over(id, n, server, Outcome::Moot, 0, LoadReport::default(), None);
        });
    }

    async fn attempt(
        self: Rc<Driver>,
        id: RequestId,
        n: usize,
        (server, dial): (ServerId, SocketAddr),
        (class, spec): (usize, Rc<AttemptRequest>),
        (gate, until): (Gate, Instant),
        cancelled: oneshot::Receiver<()>,
    ) {
        let sent = Instant::now();
        // What a server did in its caller's time says nothing of the server, and neither does a pause of this process.
        let elapsed = |spec: &AttemptRequest| {
            let ended = spec.upload.as_ref().and_then(Upload::ended_at);
            let begun = ended.map_or(sent, |ended| ended.max(sent));
            let now = Instant::now();
            self.pauses.look(now);
            self.pauses.running_time(begun, now).as_micros() as Micros
        };
        let end = |outcome| AttemptOutcome::end(outcome, LoadReport::default());
        let reached = {
            let upload = spec.upload.as_ref();
            let mut attempt =
                pin!(self.upstream.attempt((server, dial), Some(class), &spec, gate, until));
            let mut passed_on = upload.is_none();
            let attempt = poll_fn(|cx| {
                let reached = attempt.as_mut().poll(cx);
                // From the first piece that is not held on the request belongs to this attempt.
                if !passed_on && upload.is_some_and(Upload::is_taken) {
                    passed_on = true;
                    self.passes_on(id, n);
                }
                reached
            });
            let late = async {
                match upload {
                    Some(upload) => upload.expired().await,
                    None => tokio::time::sleep_until(until.into()).await,
                }
            };
            tokio::select! {
                biased;
                reached = attempt => reached,
                // Given up by the module, or because nothing can come of it any more.
                _ = cancelled => end(Outcome::Cancelled),
                () = late => end(Outcome::TimedOut),
            }
        };
        let latency = elapsed(&spec);
        drop(spec);
        match reached {
            AttemptOutcome::End { outcome, report, answer } => {
                if outcome != Outcome::Served {
                    // Without this, what failed while this process stood still is repeated by the list from before.
                    self.wait_for_current_list().await;
                }
                self.over(id, n, server, outcome, latency, report, answer);
            }
            AttemptOutcome::Streaming(long) => {
                let report = long.report.clone();
                let outcome = self.pass_on(id, n, *long).await;
                self.over(id, n, server, outcome, latency, report, None);
            }
        }
    }

    /// The body of a request passes to this attempt: it can be sent to no other one.
    fn passes_on(self: &Rc<Driver>, id: RequestId, attempt: usize) {
        let mine = {
            let mut core = self.core.borrow_mut();
            let request = core.requests.get_mut(&id);
            request.is_some_and(|r| r.uploading.replace(attempt).is_none())
        };
        if mine {
            self.event(Event::FirstByte { id, attempt });
        }
    }

    /// Passes a long answer on as it comes, at the client's pace.
    async fn pass_on(
        self: &Rc<Driver>,
        id: RequestId,
        n: usize,
        mut long: StreamingResponse,
    ) -> Outcome {
        let (to_client, pieces) = mpsc::channel(1);
        {
            let mut core = self.core.borrow_mut();
            let request = core.requests.get_mut(&id).filter(|r| r.streaming.is_none());
            let Some((request, reply)) = request.and_then(|r| r.reply.take().map(|to| (r, to)))
            else {
                return Outcome::Cancelled;
            };
            request.streaming = Some(n);
            request.withdraw();
            let head = std::mem::take(&mut long.head);
            let _ =
                reply.send(Reply::Streaming(StreamingReply { head, length: long.length, pieces }));
        }
        self.event(Event::FirstByte { id, attempt: n });
        loop {
            let piece = tokio::select! {
                piece = timeout(SERVER_STALL, long.next()) => piece,
                () = to_client.closed() => return Outcome::Cancelled,
            };
            match piece {
                Ok(Some(Ok(piece))) => {
                    if to_client.send(Some(piece)).await.is_err() {
                        return Outcome::Cancelled;
                    }
                }
                Ok(None) => {
                    let _ = to_client.send(None).await;
                    return Outcome::Served;
                }
                // Danger: the channel's end without a word is how the client comes to see that
                // the answer is not whole.
                Ok(Some(Err(_))) | Err(_) => return Outcome::Reset,
            }
        }
    }

    /// Tells an attempt's outcome. The first answer served goes to the client.
    #[allow(clippy::too_many_arguments)]
    fn over(
        self: &Rc<Driver>,
        id: RequestId,
        attempt: usize,
        server: ServerId,
        outcome: Outcome,
        latency: Micros,
        report: LoadReport,
        answer: Option<(AnswerHead, Bytes)>,
    ) {
        match outcome {
            Outcome::Served | Outcome::Error | Outcome::Full => self.reach.borrow_mut().heard(),
            Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Reset => {
                self.reach.borrow_mut().failed(server, Instant::now());
            }
            Outcome::Cancelled | Outcome::Moot => {}
        }
        let mut finished = true;
        if let Some(request) = self.core.borrow_mut().requests.get_mut(&id) {
            if let Some(out) = request.attempts.get_mut(attempt) {
                *out = None;
            }
            request.touched |= !outcome.never_ran();
            if request.streaming == Some(attempt) {
                request.streaming = None;
                // Of a caller that is gone any count will do.
                let served = outcome == Outcome::Served;
                let how = if served { Disposition::Succeeded } else { Disposition::Aborted };
                self.figures.ended(request.class, how);
            }
            if let Some((head, body)) = answer
                && let Some(reply) = request.reply.take()
            {
                self.figures.ended(request.class, Disposition::Succeeded);
                let _ = reply.send(Reply::Served(head, body));
            }
            finished = request.ended();
            if finished {
                request.withdraw();
            }
        }
        self.event(Event::Answer { id, attempt, server, outcome, latency, finished, report });
        if let Some(fleet) = self.fleet.get() {
            fleet.saw(server, outcome, latency);
        }
        self.forget(id);
    }
}

//! Attempts, from the decision to send one to its outcome.

use std::future::{Future, poll_fn};
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use coppercart::api::{Event, LoadReport, Micros, Outcome, RequestId, ServerId};
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::Driver;
use super::log::{AnswerState, AttemptFailure};
use super::request::{Reply, StreamingReply};
use crate::figures::{Counter, Disposition};
use crate::upload::Upload;
use crate::upstream::{
    AnswerHead, AttemptOutcome, AttemptRequest, Endpoint, Gate, StreamingResponse,
};

/// How long an attempt may take to pass on an answer that has begun, once it is asked to.
pub(super) const PASS_ON_TIMEOUT: Duration = Duration::from_millis(50);
/// A server that pauses this long within an answer will not continue it.
const SERVER_STALL_TIMEOUT: Duration = Duration::from_secs(10);

impl Driver {
    /// Starts an attempt, or reports it as never sent if the request no longer needs it or the server is unknown.
    pub(super) fn send(
        self: &Rc<Driver>,
        id: RequestId,
        server: ServerId,
        (attempt_timeout, commit_within): (Micros, Micros),
    ) {
        let (cancel, cancelled) = oneshot::channel();
        let (attempt_index, class, caller, destination) = {
            let mut state = self.state.borrow_mut();
            let server_entry = state.servers.get(&server).cloned();
            let Some(request) = state.requests.get_mut(&id) else {
                drop(state);
                return self.report_never_sent(id, 0, server);
            };
            request.attempts.push(Some(cancel));
            let attempt_request = request
                .attempt_request
                .clone()
                .filter(|_| !request.is_closed() && request.streaming.is_none());
            let caller = request.caller.clone();
            (request.attempts.len() - 1, request.class, caller, attempt_request.zip(server_entry))
        };
        let Some((attempt_request, server_entry)) = destination else {
            return self.report_never_sent(id, attempt_index, server);
        };
        let now = Instant::now();
        // A streamed body takes its own time, and no second attempt can send it, so there is no commit deadline.
        let commit_by = match attempt_request.upload {
            Some(_) => None,
            None => Some(now + Duration::from_micros(commit_within)),
        };
        let gate =
            Gate { admission: server_entry.admission, commit_by, attempt: attempt_index, caller };
        // Counted from the decision: the time until the attempt's task runs also counts against the client, and
        // otherwise the server would be told a longer remaining time than is left.
        let deadline = now + Duration::from_micros(attempt_timeout);
        self.reachability.borrow_mut().on_sent(server, now);
        if let Some(fleet) = self.fleet.get() {
            fleet.on_attempt_sent(server);
        }
        spawn_local(self.clone().attempt(
            id,
            attempt_index,
            (server, server_entry.endpoint),
            (class, attempt_request),
            (gate, deadline),
            cancelled,
        ));
    }

    /// Reports that an attempt was never sent, after the current event has been handled.
    fn report_never_sent(self: &Rc<Driver>, id: RequestId, attempt_index: usize, server: ServerId) {
        let driver = self.clone();
        spawn_local(async move {
            driver.attempt_ended(
                id,
                attempt_index,
                server,
                Outcome::NeverSent,
                0,
                LoadReport::default(),
                None,
            );
        });
    }

    async fn attempt(
        self: Rc<Driver>,
        id: RequestId,
        attempt_index: usize,
        (server, endpoint): (ServerId, Endpoint),
        (class, attempt_request): (usize, Rc<AttemptRequest>),
        (gate, deadline): (Gate, Instant),
        cancelled: oneshot::Receiver<()>,
    ) {
        let sent = Instant::now();
        // Time in which the client was still sending says nothing about the server, and neither does a pause of this
        // process.
        let elapsed = |attempt_request: &AttemptRequest| {
            let upload_ended = attempt_request.upload.as_ref().and_then(Upload::ended_at);
            let started = upload_ended.map_or(sent, |upload_ended| upload_ended.max(sent));
            let now = Instant::now();
            self.pauses.check(now);
            self.pauses.running_time(started, now).as_micros() as Micros
        };
        let ended = |outcome| AttemptOutcome::end(outcome, LoadReport::default());
        let result = {
            let upload = attempt_request.upload.as_ref();
            let mut attempt = pin!(self.upstream.attempt(
                (server, endpoint),
                Some(class),
                &attempt_request,
                gate,
                deadline
            ));
            let mut body_bound = upload.is_none();
            let watched_attempt = poll_fn(|cx| {
                let result = attempt.as_mut().poll(cx);
                // From the first piece beyond the buffer on, only this attempt can send the body.
                if !body_bound && upload.is_some_and(Upload::is_taken) {
                    body_bound = true;
                    self.bind_body_to_attempt(id, attempt_index);
                }
                if result.is_pending() && attempt_request.progress.take_begin(attempt_index) {
                    self.event(Event::AnswerBegun { id, attempt: attempt_index });
                }
                if attempt_request.progress.take_pause(attempt_index) {
                    self.event(Event::AnswerPaused { id, attempt: attempt_index });
                }
                result
            });
            let timed_out = async {
                match upload {
                    Some(upload) => upload.wait_until_expired().await,
                    None => tokio::time::sleep_until(deadline.into()).await,
                }
                if attempt_request.progress.has_begun(attempt_index) {
                    self.event(Event::AnswerOverdue { id, attempt: attempt_index });
                    sleep(PASS_ON_TIMEOUT).await;
                    self.figures.count(Counter::OverdueAnswers);
                }
            };
            tokio::select! {
                biased;
                result = watched_attempt => result,
                // Cancelled by the balancer, or because its result is no longer needed.
                _ = cancelled => ended(Outcome::Cancelled),
                () = timed_out => ended(Outcome::TimedOut),
            }
        };
        let latency = elapsed(&attempt_request);
        let answer = match attempt_request.progress.has_begun(attempt_index) {
            true => AnswerState::Begun,
            false => AnswerState::NotBegun,
        };
        drop(attempt_request);
        match result {
            AttemptOutcome::End { outcome, report, answer: served } => {
                let address = endpoint.address;
                let failure = AttemptFailure { address, outcome, answer, latency };
                self.log_failed_attempt(id, attempt_index, &failure);
                if outcome != Outcome::Served {
                    // Without this, requests that failed while this process was paused are retried with an outdated
                    // server list.
                    self.wait_for_current_list().await;
                }
                self.attempt_ended(id, attempt_index, server, outcome, latency, report, served);
            }
            AttemptOutcome::Streaming(response) => {
                let report = response.report.clone();
                let outcome = self.stream_answer(id, attempt_index, *response).await;
                let (address, answer) = (endpoint.address, AnswerState::PassedOn);
                let failure = AttemptFailure { address, outcome, answer, latency };
                self.log_failed_attempt(id, attempt_index, &failure);
                self.attempt_ended(id, attempt_index, server, outcome, latency, report, None);
            }
        }
    }

    /// Records that the body streams to this attempt; no other attempt can send it.
    fn bind_body_to_attempt(self: &Rc<Driver>, id: RequestId, attempt: usize) {
        let is_first = {
            let mut state = self.state.borrow_mut();
            let request = state.requests.get_mut(&id);
            request.is_some_and(|r| r.uploading.replace(attempt).is_none())
        };
        if is_first {
            self.event(Event::FirstByte { id, attempt });
        }
    }

    /// Reports that a request's time is up although its body is not sent. Returns whether its answer has begun.
    pub(super) fn upload_overdue(self: &Rc<Driver>, id: RequestId) -> bool {
        let begun = {
            let state = self.state.borrow();
            state.requests.get(&id).and_then(|request| {
                let (attempt, sent) = request.uploading.zip(request.attempt_request.as_ref())?;
                sent.progress.has_begun(attempt).then_some(attempt)
            })
        };
        if let Some(attempt) = begun {
            self.event(Event::AnswerOverdue { id, attempt });
        }
        begun.is_some()
    }

    /// Passes a long answer on as it arrives, at the client's pace.
    async fn stream_answer(
        self: &Rc<Driver>,
        id: RequestId,
        attempt_index: usize,
        mut response: StreamingResponse,
    ) -> Outcome {
        let (to_client, pieces) = mpsc::channel(1);
        {
            let mut state = self.state.borrow_mut();
            let request = state.requests.get_mut(&id).filter(|r| r.streaming.is_none());
            let Some((request, reply)) =
                request.and_then(|r| r.reply.take().map(|reply| (r, reply)))
            else {
                return Outcome::Cancelled;
            };
            request.streaming = Some(attempt_index);
            request.withdraw();
            let head = std::mem::take(&mut response.head);
            let _ = reply.send(Reply::Streaming(StreamingReply {
                head,
                length: response.length,
                pieces,
            }));
        }
        self.event(Event::FirstByte { id, attempt: attempt_index });
        loop {
            let piece = tokio::select! {
                piece = timeout(SERVER_STALL_TIMEOUT, response.next()) => piece,
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
                // Closing the channel without a final `None` tells the client that the answer is incomplete.
                Ok(Some(Err(_))) | Err(_) => return Outcome::Reset,
            }
        }
    }

    /// Reports the outcome of an attempt. The first served answer goes to the client.
    #[allow(clippy::too_many_arguments)]
    fn attempt_ended(
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
            Outcome::Served | Outcome::Error | Outcome::Full => {
                self.reachability.borrow_mut().on_response()
            }
            Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Reset => {
                self.reachability.borrow_mut().on_failed(server, Instant::now());
            }
            Outcome::Cancelled | Outcome::NeverSent => {}
        }
        let mut finished = true;
        if let Some(request) = self.state.borrow_mut().requests.get_mut(&id) {
            if let Some(cancel) = request.attempts.get_mut(attempt) {
                *cancel = None;
            }
            request.ended_attempt_may_have_run |= !outcome.never_ran();
            if request.streaming == Some(attempt) {
                request.streaming = None;
                // If the client is gone, it does not matter which count is used.
                let served = outcome == Outcome::Served;
                let disposition =
                    if served { Disposition::Succeeded } else { Disposition::Aborted };
                self.figures.request_ended(request.class, disposition);
            }
            if let Some((head, body)) = answer
                && let Some(reply) = request.reply.take()
            {
                self.figures.request_ended(request.class, Disposition::Succeeded);
                let _ = reply.send(Reply::Served(head, body));
            }
            finished = request.is_closed();
            if finished {
                request.withdraw();
            }
        }
        self.event(Event::Answer { id, attempt, server, outcome, latency, finished, report });
        if let Some(fleet) = self.fleet.get() {
            fleet.on_attempt_ended(server, outcome, latency);
        }
        self.remove_if_finished(id);
    }
}

//! Handling of client requests, each from its head to its one answer.

use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::{self, HeaderValue};
use hyper::{Request, Response, StatusCode, Version};
use millethook_engine::driver::{Reply, RequestHead, Ticket};
use millethook_engine::figures::Counter;
use millethook_engine::memory::CLIENT_BODY_BYTES;
use millethook_engine::upload::{MAX_UPLOAD_BYTES, Upload, UploadError};
use millethook_engine::upstream::Caller;

use super::Ingress;
use super::client::{Client, Phase};
use crate::answer::{self, AnswerBody};
use crate::body::{
    BodyLimits, BufferedBody, ClientGone, ForwardError, ReadError, StallBudget, buffer_body,
    forward_rest, framing,
};
use crate::edge::{CONTEXT, Receipt, StoreOutcome};
use crate::guard::HeadScan;
use crate::head::{HeadOverrides, parse_head};
use crate::request_ids::IdReservation;

/// `Retry-After` for a request that had to wait for a stored write that it comes after, in vain.
const PREDECESSOR_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Limits on the bodies of clients' requests.
const BODY_LIMITS: BodyLimits =
    BodyLimits { max_bytes: MAX_UPLOAD_BYTES, uncharged_bytes: CLIENT_BODY_BYTES };

impl Ingress {
    pub(super) async fn serve(
        self: Rc<Ingress>,
        client: Rc<Client>,
        request: Request<Incoming>,
    ) -> Result<Response<TrackedBody>, ClientGone> {
        // With pipelining, the next request is read before the last answer has been written.
        client.answer_complete.set(false);
        if client.phase.get() != Phase::ReadingHead {
            if client.has_failed() {
                return Err(ClientGone);
            }
            // Bytes that arrived together with the previous request were not scanned.
            client.enter_phase(Phase::ReadingHead);
            client.head_scan.replace(HeadScan::default());
        }
        let is_http_10 = request.version() == Version::HTTP_10;
        let answered = match client.is_surplus.get() {
            true => Ok(Answered::Reply(refused_reply(None))),
            false => self.answer_request(&client, request).await?,
        };
        if let Ok(Answered::Reply(Reply::Refused { may_have_run: false, .. })) = &answered {
            client.set_may_have_run(false);
        }
        let (mut response, close_after) = match answered {
            Ok(Answered::Reply(reply)) => (reply_response(reply), false),
            Ok(Answered::Stored(receipt)) => (receipt_response(receipt), false),
            // Data that follows a malformed request cannot be parsed either.
            Err(status) => {
                let closing_statuses = [StatusCode::BAD_REQUEST, StatusCode::REQUEST_TIMEOUT];
                (empty_response(status), closing_statuses.contains(&status))
            }
        };
        // With a successor, the connection goes on there.
        let close_after = close_after || client.is_surplus.get();
        if close_after || (self.request_cutoff.get().is_some() && self.successor.borrow().is_none())
        {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        client.close_delimited.set(is_http_10 && response.body().size_hint().exact().is_none());
        client.enter_phase(Phase::WritingAnswer);
        let (head, body) = response.into_parts();
        let request_id = client.request_id.take();
        Ok(Response::from_parts(head, TrackedBody { body, client, _request_id: request_id }))
    }

    /// Answers one request, or returns the status that describes what is wrong with it.
    async fn answer_request(
        &self,
        client: &Rc<Client>,
        request: Request<Incoming>,
    ) -> Result<Result<Answered, StatusCode>, ClientGone> {
        let (head, body) = request.into_parts();
        if head.version == Version::HTTP_11 && !head.headers.contains_key(header::HOST) {
            return Ok(Err(StatusCode::BAD_REQUEST));
        }
        if head.uri.path() == "/health/ready" {
            return Ok(Err(if self.is_ready() {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            }));
        }
        let chunked = head.headers.contains_key(header::TRANSFER_ENCODING);
        if !client.head_scan.borrow().has_unambiguous_framing(chunked) {
            return Ok(Err(StatusCode::BAD_REQUEST));
        }
        let (method, uri, headers) = (&head.method, &head.uri, &head.headers);
        // Held until the driver has accepted the request: the class keeps its index as long as these names
        // are in use.
        let names = self.names.borrow().clone();
        let (request_head, id) =
            match parse_head(&names, method, uri, headers, HeadOverrides::default()) {
                Ok(request_head) => request_head,
                Err(invalid) => return Ok(Err(invalid.status())),
            };
        let Some(reservation) = self.ids.reserve(id.as_bytes()) else {
            return Ok(Err(StatusCode::CONFLICT));
        };
        let correlation_id: Rc<str> = id.into();
        let id = reservation.id();
        client.request_id.replace(Some(reservation));
        // Without this, the process that takes over could accept a request with the same id on one of its
        // own connections.
        let successor = self.successor.borrow().clone();
        if let Some(successor) = successor {
            match successor.reserve_id(id).await {
                Some(true) => {}
                Some(false) => return Ok(Err(StatusCode::CONFLICT)),
                None => return Ok(Ok(Answered::Reply(refused_reply(None)))),
            }
        }
        client.enter_phase(Phase::ReadingBody);
        let (mut body, mut stall_budget) = (body, StallBudget::new());
        let mut account = self.bytes.reservation();
        let due = || client.last_arrival() + request_head.left;
        let buffered =
            match buffer_body(&mut body, BODY_LIMITS, &mut account, &mut stall_budget, due).await {
                Ok(buffered) => buffered,
                Err(ReadError::NoMemory) => {
                    self.driver.figures().count(Counter::BodiesWithoutMemory);
                    return Ok(Ok(Answered::Reply(refused_reply(None))));
                }
                Err(e) => return read_error_status(e).map(Err),
            };
        // The request was not sent to any server, and the end of its answer frees its id.
        if self.request_cutoff.get().is_some_and(|cutoff| Instant::now() >= cutoff) {
            return Ok(Ok(Answered::Reply(refused_reply(None))));
        }
        client.enter_phase(Phase::AwaitingAnswer);
        client.set_may_have_run(true);
        let (sent_at, stated_time) = (client.last_arrival(), request_head.left);
        self.driver.wait_for_current_list().await;
        let left = request_head.left.saturating_sub(sent_at.elapsed());
        let request_head = RequestHead { left, ..request_head };
        let pieces = match buffered {
            BufferedBody::Complete(pieces) => {
                let edge = self.edge.borrow().clone();
                let candidate = match &edge {
                    Some(edge) => edge.inspect(&head, &request_head, &pieces),
                    None => Ok(None),
                };
                let candidate = match candidate {
                    Ok(candidate) => edge.zip(candidate),
                    Err(invalid) => return Ok(Err(invalid.status())),
                };
                let left_at = (Instant::now(), request_head.left);
                if let Some((edge, candidate)) = &candidate
                    && !edge.should_store_now(candidate)
                    && !edge.wait_for_predecessors(candidate).await
                {
                    return Ok(Ok(Answered::Reply(refused_reply(
                        edge.allowed_retry_after(PREDECESSOR_RETRY_AFTER),
                    ))));
                }
                let to_store = match candidate {
                    Some((edge, candidate)) if edge.should_store_now(&candidate) => {
                        Some((edge, candidate))
                    }
                    candidate => {
                        let request_head = RequestHead {
                            left: left_at.1.saturating_sub(left_at.0.elapsed()),
                            ..request_head
                        };
                        let mut attempt_request =
                            answer::attempt_request(head, &request_head, pieces, account, None);
                        attempt_request.answer_budget = Some(self.bytes.clone());
                        let caller = Some(client.clone() as Rc<dyn Caller>);
                        let mut ticket =
                            self.driver.request_of(caller, request_head, attempt_request);
                        drop(names);
                        let reply = ticket.reply().await;
                        self.log_reply(&reply, &ticket, &correlation_id);
                        let never_ran = matches!(reply, Reply::Refused { may_have_run: false, .. });
                        match candidate.filter(|(edge, candidate)| {
                            never_ran && edge.should_store_refused(candidate)
                        }) {
                            None => return Ok(Ok(Answered::Reply(reply))),
                            to_store => to_store,
                        }
                    }
                };
                let Some((edge, candidate)) = to_store else {
                    return Ok(Ok(Answered::Reply(Reply::Failed)));
                };
                let left = left_at.1.saturating_sub(left_at.0.elapsed());
                return Ok(Ok(match edge.store(candidate, left).await {
                    StoreOutcome::Stored(receipt) => Answered::Stored(receipt),
                    StoreOutcome::Refused(after) => {
                        Answered::Reply(refused_reply(edge.allowed_retry_after(after)))
                    }
                    StoreOutcome::Unknown => Answered::Reply(Reply::Failed),
                }));
            }
            BufferedBody::Partial(pieces) => pieces,
        };
        let length: u64 = pieces.iter().map(|piece| piece.len() as u64).sum();
        let (upload, rest) = Upload::new(stated_time);
        let upload = Some((upload, framing(&body, length)));
        let mut attempt_request =
            answer::attempt_request(head, &request_head, pieces, account, upload);
        attempt_request.answer_budget = Some(self.bytes.clone());
        let mut ticket = self.driver.request(request_head, attempt_request);
        drop(names);
        let forwarded = {
            let forwarding = pin!(forward_rest(
                &mut body,
                length,
                MAX_UPLOAD_BYTES,
                &mut stall_budget,
                rest,
                &**client
            ));
            tokio::select! {
                biased;
                // The request was refused, or a server answered without reading the rest.
                reply = ticket.reply() => {
                    self.log_reply(&reply, &ticket, &correlation_id);
                    return Ok(Ok(Answered::Reply(reply)));
                }
                forwarded = forwarding => forwarded,
            }
        };
        match forwarded {
            Err(ForwardError::Read(e)) => read_error_status(e).map(Err),
            Err(ForwardError::NotTaken(UploadError::Stalled)) => {
                self.driver.figures().count(Counter::UploadsNotTaken);
                // On the heap, so that it is no part of every connection's task.
                let reply = Box::pin(ticket.overdue_reply()).await;
                self.log_reply(&reply, &ticket, &correlation_id);
                Ok(Ok(Answered::Reply(reply)))
            }
            // The reply tells why the server no longer takes the body.
            Ok(()) | Err(ForwardError::NotTaken(UploadError::Closed)) => {
                let reply = ticket.reply().await;
                self.log_reply(&reply, &ticket, &correlation_id);
                Ok(Ok(Answered::Reply(reply)))
            }
        }
    }

    fn log_reply(&self, reply: &Reply, ticket: &Ticket, correlation_id: &str) {
        if matches!(reply, Reply::Failed) {
            self.driver.log_failed_request(ticket, correlation_id);
        }
    }
}

/// Status for a body that could not be read, if the client can still be answered.
fn read_error_status<E>(e: ReadError<E>) -> Result<StatusCode, ClientGone> {
    match e {
        ReadError::TooLong => Ok(StatusCode::PAYLOAD_TOO_LARGE),
        ReadError::TooSlow => Ok(StatusCode::REQUEST_TIMEOUT),
        ReadError::NoMemory => Ok(StatusCode::SERVICE_UNAVAILABLE),
        ReadError::Broken(_) => Err(ClientGone),
    }
}

fn empty_response(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(Either::Left(Full::default()));
    *response.status_mut() = status;
    response
}

/// How a request is answered.
enum Answered {
    /// With the reply of the driver.
    Reply(Reply),
    /// With a receipt: the write was stored and is sent later.
    Stored(Receipt),
}

fn refused_reply(retry_after: Option<Duration>) -> Reply {
    Reply::Refused { retry_after, may_have_run: false }
}

/// Builds the 202 response with the receipt, by which a later write names this one (RFC 7240, section 4.1).
fn receipt_response(Receipt(id): Receipt) -> Response<AnswerBody> {
    let mut response = empty_response(StatusCode::ACCEPTED);
    let headers = response.headers_mut();
    headers.insert("preference-applied", HeaderValue::from_static("respond-async"));
    if let Ok(id) = HeaderValue::try_from(id.to_string()) {
        headers.insert(&CONTEXT, id);
    }
    *response.body_mut() = Either::Left(Full::from(format!("{id}\n")));
    response
}

fn reply_response(reply: Reply) -> Response<AnswerBody> {
    match reply {
        Reply::Served(head, body) => answer::complete_response(head, body),
        Reply::Streaming(reply) => answer::streaming_response(reply),
        Reply::Refused { retry_after, .. } => {
            let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
            if let Some(value) = retry_after.and_then(answer::retry_after) {
                response.headers_mut().insert(header::RETRY_AFTER, value);
            }
            response
        }
        Reply::Failed => empty_response(StatusCode::BAD_GATEWAY),
    }
}

/// Body of a response. Dropping it marks the answer as complete, so that its connection can become idle
/// again.
pub(super) struct TrackedBody {
    body: AnswerBody,
    client: Rc<Client>,
    /// The id stays in use until the end of the answer.
    _request_id: Option<IdReservation>,
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.client.answer_complete.set(true);
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = Box<dyn std::error::Error + Send + Sync>;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

//! Requests of clients, each from its head to its one answer.

use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::{self, HeaderValue};
use hyper::{Request, Response, StatusCode, Version};
use millethook_engine::driver::{Reply, RequestHead};
use millethook_engine::upload::{MAX_UPLOAD_BYTES, Upload, UploadError};

use super::Ingress;
use super::client::{Client, Phase};
use crate::answer::{self, AnswerBody};
use crate::body::{FeedError, Gone, Held, Pace, ReadError, feed, framing, hold};
use crate::edge::{CONTEXT, Kept, Receipt};
use crate::guard::HeadScan;
use crate::head::{HeadOverrides, parse_head};

/// When a client should come back whose request waits for one that is kept.
const COME_BACK: Duration = Duration::from_secs(1);

impl Ingress {
    pub(super) async fn serve(
        self: Rc<Ingress>,
        client: Rc<Client>,
        request: Request<Incoming>,
    ) -> Result<Response<Answer>, Gone> {
        // With pipelining, the next request is read before the last answer is out.
        client.complete.set(false);
        if client.phase.get() != Phase::Partial {
            // What came with the last request was not looked at.
            client.enter(Phase::Partial);
            client.head.replace(HeadScan::default());
        }
        let old = request.version() == Version::HTTP_10;
        let (mut response, last) = match self.reply(&client, request).await? {
            Ok(Answered::Driver(reply)) => (written(reply), false),
            Ok(Answered::Kept(receipt)) => (accepted(receipt), false),
            // What follows a malformed request cannot be parsed either.
            Err(status) => {
                let last = [StatusCode::BAD_REQUEST, StatusCode::REQUEST_TIMEOUT];
                (plain(status), last.contains(&status))
            }
        };
        // A successor goes on with the connection.
        if last || (self.last_taken.get().is_some() && self.successor.borrow().is_none()) {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        client.open_ended.set(old && response.body().size_hint().exact().is_none());
        client.enter(Phase::Answered);
        let (head, body) = response.into_parts();
        Ok(Response::from_parts(head, Answer { body, client }))
    }

    /// The answer to one request, or the status that tells what is wrong with it.
    async fn reply(
        &self,
        client: &Client,
        request: Request<Incoming>,
    ) -> Result<Result<Answered, StatusCode>, Gone> {
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
        if !client.head.borrow().one_framing(chunked) {
            return Ok(Err(StatusCode::BAD_REQUEST));
        }
        let (method, uri, headers) = (&head.method, &head.uri, &head.headers);
        // Held until the request is taken: while it is, its class keeps its place.
        let names = self.names.borrow().clone();
        let (request_head, id) =
            match parse_head(&names, method, uri, headers, HeadOverrides::default()) {
                Ok(request_head) => request_head,
                Err(invalid) => return Ok(Err(invalid.status())),
            };
        let Some(reservation) = self.ids.reserve(id.as_bytes()) else {
            return Ok(Err(StatusCode::CONFLICT));
        };
        // Without this, the process that takes over could take the same id on a connection of its own.
        let successor = self.successor.borrow().clone();
        if let Some(successor) = successor {
            match successor.claim(reservation.id()).await {
                Some(true) => {}
                Some(false) => return Ok(Err(StatusCode::CONFLICT)),
                None => return Ok(Ok(Answered::Driver(refused(None)))),
            }
        }
        client.enter(Phase::Body);
        let (mut body, mut pace) = (body, Pace::new());
        let mut account = self.bytes.reservation();
        let held = match hold(&mut body, MAX_UPLOAD_BYTES, &mut account, &mut pace).await {
            Ok(held) => held,
            Err(e) => return unread(e).map(Err),
        };
        // It never ran, and its id is free again.
        if self.last_taken.get().is_some_and(|last| Instant::now() >= last) {
            return Ok(Ok(Answered::Driver(refused(None))));
        }
        client.enter(Phase::Taken);
        reservation.keep();
        let taken = Instant::now();
        self.driver.wait_for_current_list().await;
        let left = request_head.left.saturating_sub(taken.elapsed());
        let request_head = RequestHead { left, ..request_head };
        let pieces = match held {
            Held::Whole(pieces) => {
                let edge = self.edge.borrow().clone();
                let taken = match &edge {
                    Some(edge) => edge.look(&head, &request_head, &pieces),
                    None => Ok(None),
                };
                let taken = match taken {
                    Ok(taken) => edge.zip(taken),
                    Err(invalid) => return Ok(Err(invalid.status())),
                };
                let left = (Instant::now(), request_head.left);
                if let Some((edge, taken)) = &taken
                    && !edge.wants(taken)
                    && !edge.forerunners(taken).await
                {
                    return Ok(Ok(Answered::Driver(refused(edge.come_back(COME_BACK)))));
                }
                let kept = match taken {
                    Some((edge, taken)) if edge.wants(&taken) => Some((edge, taken)),
                    taken => {
                        let request_head = RequestHead {
                            left: left.1.saturating_sub(left.0.elapsed()),
                            ..request_head
                        };
                        let attempt_request =
                            answer::attempt_request(head, &request_head, pieces, account, None);
                        let mut ticket = self.driver.request(request_head, attempt_request);
                        drop(names);
                        let reply = ticket.reply().await;
                        let never_ran = matches!(reply, Reply::Refused { may_have_run: false, .. });
                        match taken.filter(|(edge, taken)| never_ran && edge.wants_refused(taken)) {
                            None => return Ok(Ok(Answered::Driver(reply))),
                            kept => kept,
                        }
                    }
                };
                let Some((edge, taken)) = kept else {
                    return Ok(Ok(Answered::Driver(Reply::Failed)));
                };
                let left = left.1.saturating_sub(left.0.elapsed());
                return Ok(Ok(match edge.keep(taken, left).await {
                    Kept::OnDisk(receipt) => Answered::Kept(receipt),
                    Kept::Refused(after) => Answered::Driver(refused(edge.come_back(after))),
                    Kept::Unknown => Answered::Driver(Reply::Failed),
                }));
            }
            Held::Part(pieces) => pieces,
        };
        let length: u64 = pieces.iter().map(|piece| piece.len() as u64).sum();
        let (upload, rest) = Upload::new(request_head.left);
        let upload = Some((upload, framing(&body, length)));
        let attempt_request = answer::attempt_request(head, &request_head, pieces, account, upload);
        let mut ticket = self.driver.request(request_head, attempt_request);
        drop(names);
        let fed = {
            let feeding = pin!(feed(&mut body, length, MAX_UPLOAD_BYTES, &mut pace, rest));
            tokio::select! {
                biased;
                // It was refused, or a server had no need of the rest.
                reply = ticket.reply() => return Ok(Ok(Answered::Driver(reply))),
                fed = feeding => fed,
            }
        };
        match fed {
            Err(FeedError::Read(e)) => unread(e).map(Err),
            Err(FeedError::NotTaken(UploadError::Stalled)) => {
                Ok(Ok(Answered::Driver(Reply::Failed)))
            }
            // Why nobody takes it, the reply tells.
            Ok(()) | Err(FeedError::NotTaken(UploadError::Closed)) => {
                Ok(Ok(Answered::Driver(ticket.reply().await)))
            }
        }
    }
}

/// The status for a body that cannot be read, if its client can still be told.
fn unread<E>(e: ReadError<E>) -> Result<StatusCode, Gone> {
    match e {
        ReadError::TooLong => Ok(StatusCode::PAYLOAD_TOO_LARGE),
        ReadError::TooSlow => Ok(StatusCode::REQUEST_TIMEOUT),
        ReadError::Broken(_) => Err(Gone),
    }
}

fn plain(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(Either::Left(Full::default()));
    *response.status_mut() = status;
    response
}

/// What a request is answered with.
enum Answered {
    /// What came of it at servers.
    Driver(Reply),
    /// It is kept, and goes out later.
    Kept(Receipt),
}

fn refused(retry_after: Option<Duration>) -> Reply {
    Reply::Refused { retry_after, may_have_run: false }
}

/// 202 with the receipt: what comes after this write names it (RFC 7240, section 4.1).
fn accepted(Receipt(id): Receipt) -> Response<AnswerBody> {
    let mut response = plain(StatusCode::ACCEPTED);
    let headers = response.headers_mut();
    headers.insert("preference-applied", HeaderValue::from_static("respond-async"));
    if let Ok(id) = HeaderValue::try_from(id.to_string()) {
        headers.insert(&CONTEXT, id);
    }
    *response.body_mut() = Either::Left(Full::from(format!("{id}\n")));
    response
}

fn written(reply: Reply) -> Response<AnswerBody> {
    match reply {
        Reply::Served(head, body) => answer::whole(head, body),
        Reply::Streaming(long) => answer::long(long),
        Reply::Refused { retry_after, .. } => {
            let mut response = plain(StatusCode::SERVICE_UNAVAILABLE);
            if let Some(value) = retry_after.and_then(answer::retry_after) {
                response.headers_mut().insert(header::RETRY_AFTER, value);
            }
            response
        }
        Reply::Failed => plain(StatusCode::BAD_GATEWAY),
    }
}

/// An answer's body. When it is done with, its connection rests again.
pub(super) struct Answer {
    body: AnswerBody,
    client: Rc<Client>,
}

impl Drop for Answer {
    fn drop(&mut self) {
        self.client.complete.set(true);
    }
}

impl Body for Answer {
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

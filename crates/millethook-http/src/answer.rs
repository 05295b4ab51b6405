//! What both forms make of a request and of its answer: the copy that goes to servers, the answer that
//! goes to the caller, and the time at which one that is refused may come back.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::Response;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use millethook_connect::EncodedRequest;
use millethook_connect::request::Framing;
use millethook_engine::budget::ByteReservation;
use millethook_engine::driver::{RequestHead, StreamingReply};
use millethook_engine::upload::Upload;
use millethook_engine::upstream::{AnswerHead, AttemptRequest};

use crate::body::Pieces;
use crate::head::passed_on;

/// An answer's body: whole, or passed on as it comes.
pub type AnswerBody = Either<Full<Bytes>, Pieces>;

/// What servers get, and what is kept for repeats; `upload` is what follows `body`, if it is not whole.
pub fn attempt_request(
    head: Parts,
    request_head: &RequestHead,
    body: Vec<Bytes>,
    account: ByteReservation,
    upload: Option<(Upload, Framing)>,
) -> AttemptRequest {
    let target = head.uri.path_and_query().cloned().map(hyper::Uri::from).unwrap_or_default();
    let (upload, framing) = upload.unzip();
    let framing = framing.unwrap_or(Framing::Complete);
    let headers = passed_on(head.headers);
    AttemptRequest {
        encoded: EncodedRequest::framed(&head.method, &target, &headers, body, framing),
        internal: false,
        repeatable: request_head.repeatable,
        streaming: request_head.streaming,
        aim: request_head.aim,
        reservation: account,
        upload,
        withdrawn: Default::default(),
    }
}

/// A server's answer that is whole.
pub fn whole(head: AnswerHead, body: Bytes) -> Response<AnswerBody> {
    answer(head, Either::Left(Full::new(body)))
}

/// A server's answer that is still coming in.
pub fn long(mut long: StreamingReply) -> Response<AnswerBody> {
    let head = std::mem::take(&mut long.head);
    answer(head, Either::Right(Pieces::from(long)))
}

fn answer(head: AnswerHead, body: AnswerBody) -> Response<AnswerBody> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = passed_on(head.headers);
    response
}

/// The value of `Retry-After`, in seconds with a fraction.
pub fn retry_after(time: Duration) -> Option<HeaderValue> {
    HeaderValue::try_from(format!("{:.3}", time.as_secs_f64())).ok()
}

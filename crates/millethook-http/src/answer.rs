//! Conversions that the daemon and the library share: from a client's request to the request that is sent
//! to servers, and from a server's answer to the response for the caller.

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

use crate::body::StreamingBody;
use crate::head::end_to_end_headers;

/// Body of a response: complete in memory, or streamed from the server.
pub type AnswerBody = Either<Full<Bytes>, StreamingBody>;

/// Builds the request that is sent to servers and kept for retries. `upload` is the rest of the request
/// body, if `body` holds only its first part.
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
    let headers = end_to_end_headers(head.headers);
    AttemptRequest {
        encoded: EncodedRequest::framed(&head.method, &target, &headers, body, framing),
        internal: false,
        repeatable: request_head.repeatable,
        streaming: request_head.streaming,
        aim: request_head.aim,
        reservation: account,
        answer_budget: None,
        upload,
        withdrawn: Default::default(),
        progress: Default::default(),
    }
}

/// Builds the response from a server's answer that was received completely.
pub fn complete_response(head: AnswerHead, body: Bytes) -> Response<AnswerBody> {
    build_response(head, Either::Left(Full::new(body)))
}

/// Builds the response from a server's answer whose body is still being received.
pub fn streaming_response(mut reply: StreamingReply) -> Response<AnswerBody> {
    let head = std::mem::take(&mut reply.head);
    build_response(head, Either::Right(StreamingBody::from(reply)))
}

fn build_response(head: AnswerHead, body: AnswerBody) -> Response<AnswerBody> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = end_to_end_headers(head.headers);
    response
}

/// Value of the `Retry-After` header: seconds, with a fraction.
pub fn retry_after(time: Duration) -> Option<HeaderValue> {
    HeaderValue::try_from(format!("{:.3}", time.as_secs_f64())).ok()
}

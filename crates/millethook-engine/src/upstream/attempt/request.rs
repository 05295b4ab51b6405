//! What an attempt sends.

use std::cell::Cell;
use std::sync::Arc;
use std::time::Duration;

use http::{HeaderMap, Method, Uri};
use millethook_connect::EncodedRequest;

use super::progress::AnswerProgress;
use crate::budget::{ByteBudget, ByteReservation};
use crate::upload::Upload;

/// The fraction of the aim that a handshake may take. A connection that never came up has carried nothing, so another
/// server may get the request while its answer can still be in time.
pub(super) const HANDSHAKE_AIM_DIVISOR: u32 = 2;

/// A client's request in the form that servers get, kept for retries.
pub struct AttemptRequest {
    /// The encoded request.
    pub encoded: EncodedRequest,
    /// Sent by the balancer itself, such as a probe; no client waits for it.
    pub internal: bool,
    /// Running it twice does no harm.
    pub repeatable: bool,
    /// Its answer may be long and slow.
    pub streaming: bool,
    /// Answers within this time count in full.
    pub aim: Duration,
    /// The part of the byte budget that the body takes.
    pub reservation: ByteReservation,
    /// The budget for its buffered answer. `None`: whoever gets the answer accounts for it.
    pub answer_budget: Option<Arc<ByteBudget>>,
    /// The rest of a body that exceeds the buffer.
    pub upload: Option<Upload>,
    /// The request has its answer, or its client has gone; no further attempt may begin.
    pub withdrawn: Cell<bool>,
    /// How far the answers to its attempts are.
    pub progress: AnswerProgress,
}

impl AttemptRequest {
    /// A `GET` of a page of the server itself, for a probe or a trial.
    pub(in crate::upstream) fn internal_get(
        path: &Uri,
        connect_timeout: Duration,
    ) -> AttemptRequest {
        AttemptRequest {
            encoded: EncodedRequest::new(&Method::GET, path, &HeaderMap::new(), Vec::new()),
            internal: true,
            repeatable: true,
            streaming: false,
            aim: connect_timeout * HANDSHAKE_AIM_DIVISOR,
            reservation: ByteReservation::default(),
            answer_budget: None,
            upload: None,
            withdrawn: Cell::default(),
            progress: AnswerProgress::default(),
        }
    }
}

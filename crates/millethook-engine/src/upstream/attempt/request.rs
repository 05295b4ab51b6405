//! What an attempt sends.

use std::cell::Cell;
use std::time::Duration;

use http::{HeaderMap, Method, Uri};
use millethook_connect::EncodedRequest;

use crate::budget::ByteReservation;
use crate::upload::Upload;

/// The share of the aim that a handshake may take. One that never comes up is known to have carried
/// nothing, so another server may get the request while its answer can still be in time.
pub(super) const HANDSHAKE_SHARE: u32 = 2;

/// A client's request as servers get it, kept for repeats.
pub struct AttemptRequest {
    /// What goes out.
    pub encoded: EncodedRequest,
    /// It asks for a page of the server's own, and no caller for it.
    pub internal: bool,
    /// Sent twice, it does no harm.
    pub repeatable: bool,
    /// Its answer may be long, and take its time.
    pub streaming: bool,
    /// Answers within this time count in full.
    pub aim: Duration,
    /// What the body takes of the budget.
    pub reservation: ByteReservation,
    /// What follows the part of the body that is held.
    pub upload: Option<Upload>,
    /// It has its answer, or its client has gone: no attempt of it may begin any more.
    pub withdrawn: Cell<bool>,
}

impl AttemptRequest {
    /// A request for one of a server's own pages.
    pub(in crate::upstream) fn page(path: &Uri, patience: Duration) -> AttemptRequest {
        AttemptRequest {
            encoded: EncodedRequest::new(&Method::GET, path, &HeaderMap::new(), Vec::new()),
            internal: true,
            repeatable: true,
            streaming: false,
            aim: patience * HANDSHAKE_SHARE,
            reservation: ByteReservation::default(),
            upload: None,
            withdrawn: Cell::default(),
        }
    }
}

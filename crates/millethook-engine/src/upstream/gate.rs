//! What has to hold in the instant in which bytes of a request go out, however long ago the attempt was decided on.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

use super::AttemptRequest;

/// Whether a server takes new requests, as far as lists tell: until it drains, leaves, moves or starts anew. One that
/// does so and comes back gets another admission; attempts decided on before keep the one that has ended.
#[derive(Clone, Debug)]
pub struct Admission(Rc<Cell<bool>>);

impl Admission {
    /// One that holds.
    pub fn new() -> Admission {
        Admission(Rc::new(Cell::new(true)))
    }

    /// It holds no more.
    pub fn revoke(&self) {
        self.0.set(false);
    }

    /// Whether it holds.
    pub fn holds(&self) -> bool {
        self.0.get()
    }
}

impl Default for Admission {
    fn default() -> Admission {
        Admission::new()
    }
}

/// The terms of one attempt. What fails them never ran.
///
/// Guards against all that may change while an attempt waits for a connection, for its handshake or to write: its
/// client leaves or has another answer, its server begins to drain or starts anew, its window ends. It could harm only
/// where a request is held back that had begun to run: after the commit point nothing is asked here.
#[derive(Clone, Debug)]
pub struct Gate {
    /// Whether the server may be sent something new.
    pub admission: Admission,
    /// From then on what would make it run must not go out. None: there is no such time.
    pub commit_by: Option<Instant>,
}

impl Gate {
    /// Whether the first byte may go out.
    pub(super) fn may_begin(&self, request: &AttemptRequest, now: Instant) -> bool {
        self.admission.holds() && self.may_commit(request, now)
    }

    /// Whether the bytes may go out that make it run.
    pub(super) fn may_commit(&self, request: &AttemptRequest, now: Instant) -> bool {
        !request.withdrawn.get() && self.commit_by.is_none_or(|by| now < by)
    }
}

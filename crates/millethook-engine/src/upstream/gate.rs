//! Conditions that are checked at the moment when bytes of a request are written, however long ago the attempt was
//! decided.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

use super::AttemptRequest;

/// Whether a server accepts new requests according to the server list, until it drains, leaves, moves or restarts. A
/// server that returns gets a new admission; attempts decided earlier keep the revoked one.
#[derive(Clone, Debug)]
pub struct Admission(Rc<Cell<bool>>);

impl Admission {
    /// Creates a valid admission.
    pub fn new() -> Admission {
        Admission(Rc::new(Cell::new(true)))
    }

    /// Revokes the admission.
    pub fn revoke(&self) {
        self.0.set(false);
    }

    /// Whether the admission is still valid.
    pub fn holds(&self) -> bool {
        self.0.get()
    }
}

impl Default for Admission {
    fn default() -> Admission {
        Admission::new()
    }
}

/// Whoever waits for the answer to a request.
pub trait Caller {
    /// Whether the caller has not left, as far as can be known now.
    fn is_present(&self) -> bool;
}

/// The conditions of one attempt. An attempt that fails them never ran.
///
/// They cover all that may change while an attempt waits for a connection, for its handshake or for buffer space: its
/// client leaves or has another answer, its server starts to drain or restarts, its time window ends. After the
/// commit point nothing is checked here, because holding back a request that has started to run would do harm.
#[derive(Clone)]
pub struct Gate {
    /// Whether the server may get new requests.
    pub admission: Admission,
    /// Bytes that start execution must not be written after this time. `None`: no limit.
    pub commit_by: Option<Instant>,
    /// The index of the attempt among those of its request.
    pub attempt: usize,
    /// Who has to be there still. `None`: the request is withdrawn as its caller leaves.
    pub caller: Option<Rc<dyn Caller>>,
}

impl Gate {
    /// The conditions of a request that no caller waits for.
    pub(super) fn internal(commit_by: Instant) -> Gate {
        Gate { admission: Admission::new(), commit_by: Some(commit_by), attempt: 0, caller: None }
    }

    /// Whether the first byte may be written.
    pub(super) fn may_begin(&self, request: &AttemptRequest, now: Instant) -> bool {
        self.admission.holds() && self.may_commit(request, now)
    }

    /// Whether the bytes that start execution may be written.
    pub(super) fn may_commit(&self, request: &AttemptRequest, now: Instant) -> bool {
        !request.withdrawn.get()
            && self.commit_by.is_none_or(|by| now < by)
            && self.caller.as_ref().is_none_or(|caller| caller.is_present())
    }
}

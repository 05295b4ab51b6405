//! The state of one stored write.

use millethook_lease::Token;
use smallvec::SmallVec;

use crate::WriteId;
use crate::mutant::{self, Mutant};
use crate::record::{End, HostTime, Repeat};

/// The replay state of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The write is in the intake, and its client has no receipt yet: the client may have been told that the write
    /// failed.
    Unacknowledged,
    /// The write has never been sent.
    Kept,
    /// The write is marked as sent under this token, and its outcome is not known.
    InFlight(Token),
    /// The write may have been executed, and repeating it is harmless.
    Repeatable,
    /// The write may have been executed and is not safe to repeat: an operator has to decide.
    InDoubt,
    /// The write has ended.
    Ended(End),
}

/// One stored write.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Offset and length of the record's body in its file. Bodies are read only when they are sent.
    pub location: (u64, u32),
    /// Unix time at which the write was stored, in milliseconds.
    pub kept_ms: u64,
    /// The write's class, as an index into [`Book::classes`](crate::Book::classes).
    pub class: u16,
    /// Whether the write may be repeated.
    pub repeat: Repeat,
    /// Dependencies: the writes named by the client, and the member's previous write.
    pub after: SmallVec<[WriteId; 2]>,
    /// The replay state.
    pub state: State,
    /// Time of the first attempt, unless every attempt is known not to have been executed.
    pub first_sent: Option<HostTime>,
    /// An earlier attempt may have been executed.
    pub may_have_run: bool,
    /// A previous owner whose mark has no recorded outcome. That owner may still report it.
    pub unresolved_owner: Option<Token>,
    /// The write is or was sent without waiting any longer for a dependency.
    pub predecessor_skipped: bool,
}

impl Entry {
    /// Leaves the in-flight state without an end.
    pub(crate) fn clear_in_flight(&mut self) {
        let may_have_run = self.may_have_run || self.unresolved_owner.is_some();
        self.state = match (may_have_run, self.repeat) {
            (false, _) => State::Kept,
            (true, Repeat::Within { .. }) => State::Repeatable,
            (true, Repeat::Never) if mutant::is(Mutant::AlwaysAgain) => State::Repeatable,
            (true, Repeat::Never) => State::InDoubt,
        };
        if !may_have_run {
            self.first_sent = None;
        }
    }

    /// Records that a previous owner marked the write and left no outcome.
    pub(crate) fn set_unresolved(&mut self, owner: Token) {
        self.may_have_run |= self.unresolved_owner.is_some();
        self.unresolved_owner = Some(owner);
    }
}

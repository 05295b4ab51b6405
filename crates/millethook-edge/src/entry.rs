//! One kept write, and how far its replay has come.

use millethook_lease::Token;
use smallvec::SmallVec;

use crate::WriteId;
use crate::mutant::{self, Mutant};
use crate::record::{End, HostTime, Repeat};

/// How far a write has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It is in the intake, and its client has no receipt yet: it may have been answered that the write failed.
    Unacknowledged,
    /// It has never gone out.
    Kept,
    /// It is marked as out under this token, and nothing is known of its end.
    InFlight(Token),
    /// It may have run, and a repeat does no harm.
    Repeatable,
    /// It may have run, and only somebody who knows can say.
    InDoubt,
    /// It has ended.
    Ended(End),
}

/// One write.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Where its record's body is in the file, and how long: bodies are read when they are sent.
    pub location: (u64, u32),
    /// Unix time at which it was kept, in milliseconds.
    pub kept_ms: u64,
    /// Its class, by its place in [`Book::classes`](crate::Book::classes).
    pub class: u16,
    /// What a repeat does.
    pub repeat: Repeat,
    /// What it comes after: what its client named, and its member's last write before it.
    pub after: SmallVec<[WriteId; 2]>,
    /// How far it has come.
    pub state: State,
    /// When it first went out, unless it is known not to have run since.
    pub first_sent: Option<HostTime>,
    /// It went out before and may have run then.
    pub may_have_run: bool,
    /// Whose mark nobody answers for: that owner may still come to say what became of it.
    pub unresolved_owner: Option<Token>,
    /// It goes, or went, without waiting for one that never came.
    pub predecessor_skipped: bool,
}

impl Entry {
    /// It is out no more, and has no end.
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

    /// An owner that is followed has left a mark, and no word.
    pub(crate) fn set_unresolved(&mut self, owner: Token) {
        self.may_have_run |= self.unresolved_owner.is_some();
        self.unresolved_owner = Some(owner);
    }
}

//! Events: changes in the ownership of jobs, as one member sees them.

use crate::JobId;
use crate::token::Token;

/// A change in the ownership of a job that this member has requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// This member owns the job. [`Lease::holds`](super::Lease::holds) must be checked again before each effect.
    Granted(JobId, Token),
    /// This member owned the job and no longer does.
    Lost(JobId, Token),
    /// Another member owns the job under this token.
    Held(JobId, Token),
}

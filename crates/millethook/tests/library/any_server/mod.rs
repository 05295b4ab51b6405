//! Servers without any guarantees: they begin to process a request at the end of its head, close and
//! reset connections at any time, and answer twice.

mod closing;
mod duplicate_answers;
mod early;
mod fleets;

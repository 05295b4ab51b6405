//! One suite for two forms: every scenario runs against the daemon's process and against the
//! library, and what clients and servers received has to be equal.

mod form;

mod bodies;
mod copies;
mod deadlines;
mod equal_answers;
mod invalid;
mod lists;
mod outcomes;
mod requested_closes;
mod stale_copies;

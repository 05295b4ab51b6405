//! One suite, two forms: every scenario runs against the daemon's process and against the library,
//! and what clients got and servers saw has to be equal.

mod form;

mod asked_ends;
mod bodies;
mod copies;
mod ends;
mod equal_answers;
mod invalid;
mod lists;
mod outcomes;
mod stale_copies;

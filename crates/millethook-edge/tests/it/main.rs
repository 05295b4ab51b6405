//! Tests of the edge store's rules.

mod common;
mod ended_unsent;
mod search;

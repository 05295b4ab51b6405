//! Tests of leases on the virtual clock.

mod common;
mod fleet;
mod golden;
mod search;

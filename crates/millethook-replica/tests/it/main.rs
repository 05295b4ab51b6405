//! Tests of replicated evidence on the virtual clock.

mod common;
mod fleet;
mod golden;
mod laws;

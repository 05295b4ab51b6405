//! Tests of membership views on the virtual clock.

mod common;
mod explore;
mod fleet;
mod golden;

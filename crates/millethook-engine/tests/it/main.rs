//! Tests of the engine's modules in one binary. `cost` counts allocations and is a binary of its own.

mod budget;
mod datagrams;
mod discovery;
mod lease_budget;

//! Tests of the exploration, in one test binary.

mod cold;
mod exploration;
mod judge;
mod mutants;
mod replay;

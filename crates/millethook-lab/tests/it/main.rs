//! Tests of what the lab computes from logs and files. `processes` and `scale` start daemons, so they are separate
//! test programs.

mod distribution;
mod figures;
mod figures_golden;
mod reference;
mod relay;
mod soak;

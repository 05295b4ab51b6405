//! What the lab computes from logs and files; `processes` and `scale` start daemons and stay alone.

mod distribution;
mod figures;
mod figures_golden;
mod reference;
mod relay;
mod soak;

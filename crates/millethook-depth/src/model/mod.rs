//! Simulation of the chain on a virtual clock, with the balancer's decision module in each sidecar.

mod calls;
mod queue;
mod server;
mod simulation;

pub use simulation::play;

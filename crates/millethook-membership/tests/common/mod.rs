//! Random input for a membership, compared with a simple reference model.

mod script;
mod world;

pub use script::script;
pub use world::run_script;

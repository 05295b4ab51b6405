//! Random load on a pool, compared with a model that does not use the internals of the pool.

mod connections;
mod model;
mod script;

pub use model::run_script;
pub use script::script;

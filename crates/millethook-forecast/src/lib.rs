//! Forecasts how a change of placement affects hit rates, before the change is made.
//!
//! Two kinds of warm state use the same model. For *connections*, a hit is a request that finds an open connection,
//! and placement is the choice of the servers in a sidecar's subset. For a server's *memory*, a hit is a lookup of
//! data that the server read recently, and placement is the choice of the servers for each slice of the keys. Both
//! are modelled as stores at servers, limited in size and age, that accesses fill.
//!
//! The input is a thin sample: the accesses of the items whose hash is below a threshold (spatial sampling: SHARDS,
//! Waldspurger et al., FAST 2015). All sidecars sample the same items, so samples can be merged. A forecast warms the
//! stores with the sample, applies the change, and plays the sample again; several parts of the sample give the
//! interval. If there is too little data, the forecast says so. `docs/design/forecast.md` gives the reasons.
#![forbid(unsafe_code)]

mod change;
mod forecast;
pub mod mutant;
mod placement;
mod proposal;
mod sample;
mod store;

pub use change::{Change, InvalidChange};
pub use forecast::{
    Estimate, Forecast, InsufficientData, MIN_ACCESSES, Question, WINDOWS, forecast,
};
pub use millethook_lease::{StaleToken, Token};
pub use millethook_machine::{Micros, Violation};
pub use placement::{Assignment, Placement, SLICES, Server};
pub use proposal::{AcceptedProposal, Proposal};
pub use sample::{Access, MAX_ACCESSES, Sample};

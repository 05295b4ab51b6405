//! Client-side load balancing with overload control, as a library.
//!
//! A [`Fleet`] sends requests to a set of servers that do the same work. The same code as in the daemon,
//! `plankvale`, chooses servers, retries requests and sheds load, under the same four rules: every
//! request gets exactly one final answer in time, no request takes effect twice, draining servers get
//! nothing new, and a server that has just started is not overloaded.
//!
//! ```no_run
//! use std::time::Duration;
//! use millethook::{ClassConfig, Fleet, FleetConfig, RequestMeta};
//!
//! # async fn example() -> Result<(), Box<dyn std::error::Error>> {
//! let config = FleetConfig::builder("logboek")
//!     .server("log01", "127.0.0.1:8001".parse()?)
//!     .server("log02", "127.0.0.1:8002".parse()?)
//!     .class(ClassConfig::safe("look", Duration::from_millis(200), Duration::from_secs(1)))
//!     .build()?;
//! let fleet = Fleet::open(config)?;
//! let mut request = http::Request::get("/look/1").body(String::new())?;
//! request.extensions_mut().insert(RequestMeta::new().timeout(Duration::from_millis(500)));
//! let response = fleet.call(request).await?;
//! # Ok(())
//! # }
//! ```
//!
//! Within a process, all fleets of the same name share one engine: [`Fleet::open`] gives each part of
//! the program the same connections and the same budgets.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

#[cfg(feature = "axum")]
mod axum_support;
mod body;
mod budget;
mod config;
mod error;
mod fleet;
mod inherit;
mod member;
mod opening;
mod registry;
mod request;
mod route;
mod shared;
mod thread;
mod usage;

pub use body::Body;
pub use budget::Budget;
pub use config::{ClassConfig, FleetBuilder, FleetConfig, Repeat};
pub use error::{BoxError, Error, Execution, Invalid, OpenError};
pub use fleet::Fleet;
pub use inherit::{Inherit, InheritLayer, Inherited};
pub use member::{Closed, Member};
pub use millethook_connect::Begins;
pub use millethook_connect::pool::Ended as ConnectionsEnded;
pub use millethook_connect::pool::Reuse;
pub use request::RequestMeta;
pub use route::{Route, RouteLayer};
pub use usage::{Drained, PeerView, Usage};

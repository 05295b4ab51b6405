//! Connections to HTTP/1.1 servers as state machines: bytes and times are handed in, decisions come
//! out, and nothing here touches a socket or a clock.
//!
//! - [`answers`]: what answers are compared by, so that a second copy of one is not taken for another one.
//! - [`contract`]: what is known of a request from how much of it was sent.
//! - [`request`]: a request as it goes to servers, encoded once for all its attempts.
//! - [`response`]: answers, read as their bytes come (RFC 9112).
//! - [`exchange`]: one request and its answer on one connection.
//! - [`observations`]: what a server was seen to do with its connections.
//! - [`pool`]: the connections of all servers, and which of them may be used.
#![forbid(unsafe_code)]

pub mod answers;
pub mod contract;
pub mod exchange;
pub mod mutant;
pub mod observations;
pub mod pool;
pub mod request;
pub mod response;

pub use contract::{Begins, Execution, Progress};
pub use exchange::{Exchange, Failure};
pub use pool::Pool;
pub use request::EncodedRequest;
pub use response::{Decoder, Event, ResponseHead};

//! Connections to HTTP/1.1 servers as state machines. Callers pass in bytes and times and get decisions; nothing here
//! uses a socket or a clock.
//!
//! - [`answers`]: fingerprints of answers, by which a second copy of an earlier answer is recognized.
//! - [`contract`]: whether a request may have run, given how much of it was sent.
//! - [`request`]: a request to a server, encoded once for all its attempts.
//! - [`response`]: an incremental decoder of answers (RFC 9112).
//! - [`exchange`]: one request and its answer on one connection.
//! - [`observations`]: what was observed of a server's connections.
//! - [`pool`]: the connection pool of all servers.
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

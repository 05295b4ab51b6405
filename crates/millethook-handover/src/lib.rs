//! Sockets on their way from one process to the next, on one machine and for one user.
//!
//! - [`inherited`] takes over a descriptor that the parent process left open under a known number.
//! - [`endpoint`] is where the process that serves at present can be found: its successor takes the seat, and
//!   passes clients' connections on to whoever holds it.
//! - [`active_process`] is the process that serves until then.
//! - [`request_ids`] goes with them: which ids are in use, so that no request runs at both processes.
//!
//! Descriptors travel as `SCM_RIGHTS` (unix(7)). A connection passed on is the same one to its peer: bytes
//! that nobody has read yet wait in it, so none is lost on the way.
#![forbid(unsafe_code)]

pub mod active_process;
pub mod endpoint;
pub mod inherited;
pub mod request_ids;

//! Passes sockets from a running process to the one that replaces it, on one machine and for one user.
//!
//! - [`inherited`] takes over a descriptor that the parent process left open under a known number.
//! - [`endpoint`] is the socket at which the active process can be found. Its successor takes over the socket's path, and
//!   a process passes its client connections on to whichever process holds that path.
//! - [`active_process`] watches the process that serves until then.
//! - [`request_ids`] passes on which request ids are in use, so that no request runs in both processes.
//!
//! Descriptors are sent as `SCM_RIGHTS` (unix(7)). A connection that is passed on stays open for its peer: unread bytes
//! remain in the socket buffer, so none are lost.
#![forbid(unsafe_code)]

pub mod active_process;
pub mod endpoint;
pub mod inherited;
pub mod request_ids;

//! HTTP/1.1 front end for clients: their connections, the requests on them, and the store for writes that
//! are kept while no server can be reached.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod answer;
pub mod body;
pub mod edge;
pub mod guard;
pub mod head;
pub mod ingress;
pub mod request_ids;

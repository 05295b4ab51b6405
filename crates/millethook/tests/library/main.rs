//! Tests of the library inside a host program: cancellation, sharing, the host's runtime, middleware.

mod any_server;
mod cancel;
mod common;
mod interleavings;
mod members;
mod meta;
mod middleware;
mod new_connections;
mod runtime;
mod sharing;
mod view;

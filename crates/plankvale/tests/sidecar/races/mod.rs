//! Races between two events, each forced: the stand-in holds one event back until the other one has
//! been observed.

mod closing;
mod late_connections;
mod lists;
mod servers;
mod settings;

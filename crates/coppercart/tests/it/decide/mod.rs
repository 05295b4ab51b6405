//! The mechanism and each failure found, driven through `handle`.

mod chips;
mod hedges;
mod overload;
mod requests;
mod selection;
mod servers;

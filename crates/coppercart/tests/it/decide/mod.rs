//! The chip mechanism and regressions of the decision module, driven through `handle`.

mod chips;
mod hedges;
mod overload;
mod requests;
mod selection;
mod servers;

//! Tests of the capacity tables.

mod faults;
mod fit;
mod repository;

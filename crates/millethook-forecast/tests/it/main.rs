//! Tests of forecasts against a synthetic fleet.

mod common;
mod laws;
mod search;
mod truth;

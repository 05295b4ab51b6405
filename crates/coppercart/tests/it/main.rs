//! Integration tests of the decision module, the adapter and the wire format, in one binary.

mod adapter;
mod cold;
mod collapse;
mod common;
mod decide;
mod replay;
mod rules;
mod settings_update;
mod swing;
mod wire;

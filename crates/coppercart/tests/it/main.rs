//! The decisions, the adapter and the wire format, in one program.

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

//! Tests of document distribution in simulated time, built as one program.

mod common;
mod durability;
mod interface;
mod large_documents;
mod lists;
mod moves;
mod overload;
mod restart;
mod search;
mod start;

//! The fleet test-bed: many daemons on loopback, stand-ins for all that is around them, faults injected
//! between them by a timeline, and one verdict. `docs/lab.md` is the users' page.
#![forbid(unsafe_code)]

pub mod cli;
pub mod compare;
pub mod figures;
pub mod ledger;
pub mod plan;
pub mod report;
pub mod scale;
pub mod single_run;
pub mod soak;
pub mod timeline;
pub mod world;

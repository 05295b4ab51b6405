//! Fleet test bed: runs many daemons on loopback with stand-ins for their environment, injects faults by a timeline,
//! and gives one verdict. `docs/lab.md` is the users' page.
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

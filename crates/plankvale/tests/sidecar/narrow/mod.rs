//! Moments in which two events cross, each forced: the stand-in holds one back until the other is seen.

mod closing;
mod commit;
mod lists;
mod servers;
mod settings;

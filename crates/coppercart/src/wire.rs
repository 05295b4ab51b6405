//! The simulator's binary wire format: little-endian frames of fixed-size records, each frame with
//! one tail for data of variable size.
//!
//! The reader is total: any bytes give records or a [`WireError`]. It never panics, and it never
//! allocates by a length that was not checked against the available bytes.
mod batch;
mod codes;
mod error;
mod fields;
mod frame;
mod record;
mod reply;

pub use batch::Batch;
pub use error::WireError;
pub use frame::read_frame;
pub use record::Record;
pub use reply::{ALL_PEERS, Reply};

//! The channel for all that sidecars say to one another.
//!
//! [`frame`] is the form of a datagram: at most 256 bytes, a header, and records of several kinds. [`channel`]
//! decides what goes out when: a budget of bytes a second, fair between kinds by weight. Neither has a clock or a
//! socket; time is handed in, in microseconds.
//!
//! **Versions.** Another version in the first byte is another language: such a frame is dropped. Within a version a
//! reader skips kinds that it does not know, and of a record that is longer than it knows reads the part that it
//! knows. So kinds may be added, and records may grow at their end.
#![forbid(unsafe_code)]

pub mod channel;
pub mod frame;

pub use channel::{Channel, ChannelConfig, Kind};
pub use frame::{Frame, FrameError, FrameWriter, Header, MAX_FRAME_BYTES, MAX_RECORD, fleet_id};

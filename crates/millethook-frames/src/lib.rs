//! The channel for all messages between sidecars.
//!
//! [`frame`] defines the format of a datagram: at most 256 bytes, with a header and records of several kinds. [`channel`]
//! schedules messages: it has a budget of bytes per second, which the kinds share by weight. Neither reads a clock or
//! does I/O; the caller passes in the time in microseconds.
//!
//! **Versions.** A frame with another version in its first byte is dropped. Within a version, a reader skips kinds that
//! it does not know, and reads only the known part of a record that is longer than expected. So kinds may be added, and
//! records may be extended at their end.
#![forbid(unsafe_code)]

pub mod channel;
pub mod frame;

pub use channel::{Channel, ChannelConfig, Kind};
pub use frame::{Frame, FrameError, FrameWriter, Header, MAX_FRAME_BYTES, MAX_RECORD, fleet_id};

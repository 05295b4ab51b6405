//! Messages between views: the payload of a record in a frame, which carries fleet, sender and epoch. Numbers are
//! big-endian.
//!
//! | bytes | content |
//! | --- | --- |
//! | 1 | kind |
//! | 2 | sequence number, repeated in the answer |
//! | 4 | hash of the sender's view |
//! | 2 | sender's incarnation |
//! | 2 | subject: a member, or the start of a part of the table |
//! | 6 | sender's epoch when it wrote the message; epochs of facts are relative to it |
//! | 66 | comparisons only: width of a range of the table (2), hashes of 64 ranges (1 each) |
//! | 7 to 13 each | facts: number (2), status and flags (1), epoch (4: distance from the sender's; or 6), incarnation (2, unless it is 0), reported by (2, if suspect or dead) |

use millethook_machine::codec::{self, BufMut, Header, Malformed, Reader, U48};
use millethook_machine::{message_header, wire_enum};

use crate::fact::{Epoch, Fact, HIGHEST_EPOCH, Status};

/// The maximum length of a content, in bytes.
pub const LONGEST: usize = millethook_machine::MAX_MESSAGE_BYTES;
/// The length of the header, in bytes.
pub(crate) const HEADER_BYTES: usize = MessageHeader::LENGTH;
/// The length of the hashes before the facts of a comparison, in bytes: a width, and 64 hashes.
pub(crate) const DIGEST_BYTES: usize = 66;
/// The length of the longest fact, in bytes.
pub(crate) const LONGEST_FACT: usize = 13;
/// Flag of a fact: its epoch has 6 bytes.
const HAS_WHOLE_EPOCH: u8 = 0x10;
/// Flag of a fact: it has an incarnation.
const HAS_INCARNATION: u8 = 0x20;
/// A number that is not a member's: padding, or the end of the table.
pub(crate) const NO_MEMBER: u16 = u16::MAX;

wire_enum! {
    /// The kind of a message.
    pub(crate) enum MessageKind {
        /// A probe.
        Ping = 1,
        /// The answer to a probe: `subject` is alive.
        Ack = 2,
        /// A request to probe `subject` (SWIM's indirect probe).
        PingReq = 3,
        /// A request for the table from `subject` on.
        Pull = 4,
        /// A part of the table; the next one starts at `subject`.
        PullReply = 5,
        /// Updates.
        Gossip = 6,
        /// Confirms the receipt of a request to probe `subject`.
        PingReqAck = 7,
        /// Hashes of ranges of the table, from `subject` on. The receiver answers with the facts of ranges that differ.
        Compare = 8,
        /// Facts of ranges that differ. The receiver answers with facts that rank higher.
        Differences = 9,
        /// Hashes of parts of a range that differs, from `subject` on. The receiver sends a comparison of one of them.
        Refine = 10,
    }
}

message_header! {
    /// The header of each message.
    pub(crate) struct MessageHeader {
        /// The kind of the message.
        pub kind: MessageKind,
        /// The sequence number that identifies an answer.
        pub sequence: u16,
        /// The hash of the sender's view.
        pub hash: u32,
        /// The sender's incarnation.
        pub incarnation: u16,
        /// The member that the message concerns, or the start of a part of the table.
        pub subject: u16,
        /// The sender's epoch when it wrote the message.
        pub epoch: Epoch as U48,
    }
}

/// Whether a fact carries the member that reported it.
fn has_reporter(status: Status) -> bool {
    matches!(status, Status::Suspect | Status::Dead)
}

/// Appends a fact, whose epoch is relative to `from`, if the message stays within `longest` bytes. Otherwise it changes
/// nothing and returns false.
pub(crate) fn write_fact(bytes: &mut Vec<u8>, fact: &Fact, from: Epoch, longest: usize) -> bool {
    let distance = i32::try_from(fact.epoch as i64 - from as i64);
    let epoch_flag = if distance.is_err() { HAS_WHOLE_EPOCH } else { 0 };
    let incarnation_flag = if fact.incarnation > 0 { HAS_INCARNATION } else { 0 };
    codec::push_within(bytes, longest, |bytes| {
        bytes.put_u16(fact.number);
        bytes.put_u8(fact.status.wire() | epoch_flag | incarnation_flag);
        match distance {
            Ok(distance) => bytes.put_i32(distance),
            Err(_) => codec::put_epoch(bytes, fact.epoch),
        }
        if fact.incarnation > 0 {
            bytes.put_u16(fact.incarnation);
        }
        if has_reporter(fact.status) {
            bytes.put_u16(fact.reported_by);
        }
    })
}

/// Reads a fact, whose epoch is relative to `from`.
///
/// # Errors
/// The message ends too early, or the bytes are not a fact.
pub(crate) fn read_fact(reader: &mut Reader<'_>, from: Epoch) -> Result<Fact, Malformed> {
    let number = reader.u16()?;
    let flags = reader.u8()?;
    let status = Status::from_wire(flags & 0x0f).ok_or(Malformed::Kind)?;
    let epoch = if flags & HAS_WHOLE_EPOCH > 0 {
        reader.u48()?
    } else {
        from.checked_add_signed(i64::from(reader.i32()?)).ok_or(Malformed::Value)?
    };
    let incarnation = if flags & HAS_INCARNATION > 0 { reader.u16()? } else { 0 };
    let reported_by = if has_reporter(status) { reader.u16()? } else { number };
    let valid = number != NO_MEMBER && (1..=HIGHEST_EPOCH).contains(&epoch);
    let fact = Fact { number, epoch, incarnation, status, reported_by };
    valid.then_some(fact).ok_or(Malformed::Value)
}

#[cfg(test)]
mod tests;

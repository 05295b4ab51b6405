//! Messages between replicas: the content of a record in a frame. Numbers are big-endian.
//!
//! | bytes | content |
//! | --- | --- |
//! | 1 | kind |
//! | 2 | salt of the hashes of a comparison, else 0 |
//! | 4 | hash of all shared entries that the sender holds |
//! | 8 | query for a store only: its name; then padding up to 52 bytes |
//! | 32 | comparison only: hashes of 32 ranges of keys, one byte each |
//! | 30 | evidence: 0x10 and the verdict (1), server (8), author (2), author's epoch (6), counter (4), server's epoch (6), zone (1), age (2) |
//! | 17 | departure: 0x20 and how far (1), server (8), server's epoch (6), age (2) |
//! | 25 | job: 0x30 (1), name (8), token (12), counter (2), age (2) |
//! | 45 | store: 0x40 (1), name (8), token (12), `upto` (6), `beyond` (8), `failed` (3 times 2), `left` (2), age (2) |
//!
//! Ages are in milliseconds, 65,535 at most.

use millethook_lease::Token;
use millethook_machine::codec::{self, BufMut, Header, Malformed, Reader};
use millethook_machine::{message_header, wire_enum};

use crate::Micros;
use crate::entry::{Departure, Entry, EntryValue, Key, Verdict};

/// The longest content, in bytes.
pub const LONGEST: usize = millethook_machine::MAX_MESSAGE_BYTES;
/// Bytes of the header.
pub(crate) const HEADER_BYTES: usize = MessageHeader::LENGTH;
/// Bytes of a query for a store: as many as its answer, so that nobody can have a third party sent more than was asked
/// with.
pub(crate) const EDGE_QUERY_BYTES: usize = HEADER_BYTES + 45;
/// Ranges of keys that are compared.
pub(crate) const RANGES: usize = 32;
/// Microseconds of the unit in which ages are sent. Ages are rounded down: rounded up, an entry would age by being
/// sent to and fro.
const AGE_STEP: Micros = 1_000;

wire_enum! {
    /// The kind of a message.
    pub(crate) enum MessageKind {
        /// New entries.
        Gossip = 1,
        /// Hashes of ranges of keys. The receiver answers with the entries of the ranges that differ.
        Compare = 2,
        /// Entries of ranges that differ. The receiver answers with those that it holds in a later form.
        Differences = 3,
        /// A part of all shared entries, for a member that has just come.
        StateTransfer = 4,
        /// A query for the entry of a store.
        EdgeQuery = 5,
    }
}

message_header! {
    /// What stands at the beginning of each message.
    pub(crate) struct MessageHeader {
        /// The kind of the message.
        pub kind: MessageKind,
        /// The salt of the hashes in a comparison.
        pub salt: u16,
        /// The hash of all shared entries that the sender holds.
        pub hash: u32,
    }
}

/// First bytes of records. In the lower half stands the verdict, or how far a server has left.
const EVIDENCE: u8 = 0x10;
const DEPARTURE: u8 = 0x20;
const JOB: u8 = 0x30;
const EDGE: u8 = 0x40;
/// The half of the first byte that says what a record is about.
const SUBJECT: u8 = 0xf0;
/// The half that holds the verdict, or how far a server has left.
const DETAIL: u8 = 0x0f;

/// Adds an entry if the message stays within `longest` bytes; false: it would not, and nothing has changed.
pub(crate) fn write_entry(bytes: &mut Vec<u8>, key: Key, entry: &Entry, longest: usize) -> bool {
    codec::push_within(bytes, longest, |bytes| {
        match (key, entry.value) {
            (
                Key::Evidence { server, author },
                EntryValue::Evidence { author_epoch, counter, server_epoch, verdict, zone },
            ) => {
                bytes.put_u8(EVIDENCE | verdict.to_wire());
                bytes.put_u64(server);
                bytes.put_u16(author);
                codec::put_epoch(bytes, author_epoch);
                bytes.put_u32(counter);
                codec::put_epoch(bytes, server_epoch);
                bytes.put_u8(zone);
            }
            (Key::Departure { server }, EntryValue::Departure { server_epoch, departure }) => {
                bytes.put_u8(DEPARTURE | departure.to_wire());
                bytes.put_u64(server);
                codec::put_epoch(bytes, server_epoch);
            }
            (Key::Job { job }, EntryValue::Job { token, said }) => {
                bytes.put_u8(JOB);
                bytes.put_u64(job);
                token.write(bytes);
                bytes.put_u16(said);
            }
            (Key::Edge { edge }, EntryValue::Edge { token, upto, beyond, failed, left }) => {
                bytes.put_u8(EDGE);
                bytes.put_u64(edge);
                token.write(bytes);
                bytes.put_uint(upto, 6);
                bytes.put_u64(beyond);
                failed.iter().for_each(|f| bytes.put_u16(*f));
                bytes.put_u16(left);
            }
            // The types let a key stand beside another's value; no such entry is ever made.
            _ => return,
        }
        bytes.put_u16(u16::try_from(entry.age / AGE_STEP).unwrap_or(u16::MAX));
    })
}

/// Takes an entry.
///
/// # Errors
/// The message ends too early, or this is no entry.
pub(crate) fn read_entry(reader: &mut Reader<'_>) -> Result<(Key, Entry), Malformed> {
    let kind = reader.u8()?;
    let (key, value) = match (kind & SUBJECT, kind & DETAIL) {
        (EVIDENCE, verdict) => read_evidence(reader, verdict)?,
        (DEPARTURE, departure) => read_departure(reader, departure)?,
        (JOB, 0) => read_job(reader)?,
        (EDGE, 0) => read_edge(reader)?,
        _ => return Err(Malformed::Kind),
    };
    let age = Micros::from(reader.u16()?) * AGE_STEP;
    Ok((key, Entry { value, age }))
}

fn read_evidence(reader: &mut Reader<'_>, verdict: u8) -> Result<(Key, EntryValue), Malformed> {
    let verdict = Verdict::from_wire(verdict).ok_or(Malformed::Kind)?;
    let key = Key::Evidence { server: reader.u64()?, author: reader.u16()? };
    let value = EntryValue::Evidence {
        author_epoch: reader.u48()?,
        counter: reader.u32()?,
        server_epoch: reader.u48()?,
        verdict,
        zone: reader.u8()?,
    };
    Ok((key, value))
}

fn read_departure(reader: &mut Reader<'_>, departure: u8) -> Result<(Key, EntryValue), Malformed> {
    let departure = Departure::from_wire(departure).ok_or(Malformed::Kind)?;
    let key = Key::Departure { server: reader.u64()? };
    Ok((key, EntryValue::Departure { server_epoch: reader.u48()?, departure }))
}

fn read_job(reader: &mut Reader<'_>) -> Result<(Key, EntryValue), Malformed> {
    let key = Key::Job { job: reader.u64()? };
    Ok((key, EntryValue::Job { token: reader.value(Token::read)?, said: reader.u16()? }))
}

fn read_edge(reader: &mut Reader<'_>) -> Result<(Key, EntryValue), Malformed> {
    let key = Key::Edge { edge: reader.u64()? };
    let value = EntryValue::Edge {
        token: reader.value(Token::read)?,
        upto: reader.u48()?,
        beyond: reader.u64()?,
        failed: [reader.u16()?, reader.u16()?, reader.u16()?],
        left: reader.u16()?,
    };
    Ok((key, value))
}

#[cfg(test)]
mod tests;

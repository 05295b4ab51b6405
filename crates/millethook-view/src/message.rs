//! What members say to one another: the content of a record, within a frame that names fleet, sender and epoch.
//!
//! | bytes | what |
//! | --- | --- |
//! | 1 | what it is |
//! | 2 | a number by which an answer is known |
//! | 4 | the hash of the sender's view |
//! | 2 | the sender's incarnation |
//! | 2 | whom it concerns, or where a piece begins or ends |
//! | 6 | the sender's epoch as it wrote this: facts count from it |
//! | 34 | of a comparison only: the width of a range of the table, and the hashes of 16 of them, 2 bytes each |
//! | 7 to 13 each | facts: number (2), status and what follows (1), epoch (4: from the sender's, or 6), incarnation (2, unless it is 0), by whom (2, of the suspect and the dead) |

use crate::fact::{Epoch, Fact, MOST_EPOCH, Status};

/// The longest content.
pub const LONGEST: usize = 241;
pub(crate) const BASE: usize = 17;
/// The hashes of ranges that stand before the facts of a comparison: a width, and 16 of them.
pub(crate) const DIGEST: usize = 66;
/// The longest fact.
pub(crate) const FACT: usize = 13;
/// What follows in a fact, beside the status: a whole epoch, an incarnation.
const WHOLE_EPOCH: u8 = 0x10;
const INCARNATION: u8 = 0x20;
/// No number: padding, or the end of the table.
pub(crate) const NOBODY: u16 = u16::MAX;

/// What a message is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum What {
    /// Are you there?
    Ping = 1,
    /// `about` is there.
    Ack = 2,
    /// Ask `about` for me.
    PingReq = 3,
    /// Give me your table from `about` on.
    Pull = 4,
    /// A piece of the table; the next one begins at `about`.
    Piece = 5,
    /// News.
    Facts = 6,
    /// I have your request to ask `about`.
    Heard = 7,
    /// The hashes of ranges of my table, from `about` on: send me what differs.
    Compare = 8,
    /// What differs, as I believe it; tell me what you know better.
    Differ = 9,
    /// The hashes of parts of a range that differs, from `about` on: ask me for one of them.
    Refine = 10,
}

/// Why a content is no message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Malformed {
    /// Too short, or too long.
    Length,
    /// Of no kind that is known.
    Kind,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Head {
    pub what: What,
    pub seq: u16,
    pub hash: u32,
    pub incarnation: u16,
    pub about: u16,
    pub epoch: Epoch,
}

impl Head {
    pub fn write(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(LONGEST);
        bytes.push(self.what as u8);
        bytes.extend_from_slice(&self.seq.to_be_bytes());
        bytes.extend_from_slice(&self.hash.to_be_bytes());
        bytes.extend_from_slice(&self.incarnation.to_be_bytes());
        bytes.extend_from_slice(&self.about.to_be_bytes());
        bytes.extend_from_slice(&self.epoch.to_be_bytes()[2..]);
        bytes
    }

    pub fn read(bytes: &[u8]) -> Result<(Head, &[u8]), Malformed> {
        if bytes.len() > LONGEST {
            return Err(Malformed::Length);
        }
        let (head, facts) = bytes.split_first_chunk::<BASE>().ok_or(Malformed::Length)?;
        let what = match head[0] {
            1 => What::Ping,
            2 => What::Ack,
            3 => What::PingReq,
            4 => What::Pull,
            5 => What::Piece,
            6 => What::Facts,
            7 => What::Heard,
            8 => What::Compare,
            9 => What::Differ,
            10 => What::Refine,
            _ => return Err(Malformed::Kind),
        };
        let short = |at: usize| u16::from_be_bytes([head[at], head[at + 1]]);
        let hash = u32::from_be_bytes([head[3], head[4], head[5], head[6]]);
        let epoch = whole_epoch(&head[11..]);
        let head =
            Head { what, seq: short(1), hash, incarnation: short(7), about: short(9), epoch };
        Ok((head, facts))
    }
}

fn whole_epoch(bytes: &[u8]) -> Epoch {
    bytes.iter().fold(0, |n: u64, byte| n << 8 | u64::from(*byte))
}

fn has_by(status: Status) -> bool {
    matches!(status, Status::Suspect | Status::Dead)
}

/// Adds a fact, counted from an epoch, if `longest` allows it; false: it does not, and nothing has changed.
pub(crate) fn write_fact(bytes: &mut Vec<u8>, fact: &Fact, from: Epoch, longest: usize) -> bool {
    let before = bytes.len();
    let near = i32::try_from(fact.epoch as i64 - from as i64);
    let whole = if near.is_err() { WHOLE_EPOCH } else { 0 };
    let told = if fact.incarnation > 0 { INCARNATION } else { 0 };
    bytes.extend_from_slice(&fact.number.to_be_bytes());
    bytes.push(fact.status.wire() | whole | told);
    match near {
        Ok(near) => bytes.extend_from_slice(&near.to_be_bytes()),
        Err(_) => bytes.extend_from_slice(&fact.epoch.to_be_bytes()[2..]),
    }
    if fact.incarnation > 0 {
        bytes.extend_from_slice(&fact.incarnation.to_be_bytes());
    }
    if has_by(fact.status) {
        bytes.extend_from_slice(&fact.by.to_be_bytes());
    }
    let fits = bytes.len() <= longest.min(LONGEST);
    if !fits {
        bytes.truncate(before);
    }
    fits
}

/// Facts up to the first that makes no sense, or padding.
pub(crate) fn read_facts(mut bytes: &[u8], from: Epoch) -> impl Iterator<Item = Fact> {
    let mut take = move |count: usize| {
        let (taken, rest) = bytes.split_at_checked(count)?;
        bytes = rest;
        Some(whole_epoch(taken))
    };
    std::iter::from_fn(move || {
        let number = take(2)? as u16;
        let what = take(1)? as u8;
        let status = Status::from_wire(what & 0x0f)?;
        let epoch = match what & WHOLE_EPOCH {
            0 => from.checked_add_signed(i64::from(take(4)? as u32 as i32))?,
            _ => take(6)?,
        };
        let incarnation = if what & INCARNATION > 0 { take(2)? as u16 } else { 0 };
        let by = if has_by(status) { take(2)? as u16 } else { number };
        let sound = number != NOBODY && (1..=MOST_EPOCH).contains(&epoch);
        sound.then_some(Fact { number, epoch, incarnation, status, by })
    })
}

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

use millethook_machine::codec::{self, BufMut};

use crate::fact::{Epoch, Fact, MOST_EPOCH, Status};

/// The longest content.
pub const LONGEST: usize = millethook_machine::LONGEST;
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
        bytes.put_u8(self.what as u8);
        bytes.put_u16(self.seq);
        bytes.put_u32(self.hash);
        bytes.put_u16(self.incarnation);
        bytes.put_u16(self.about);
        codec::put_epoch(&mut bytes, self.epoch);
        bytes
    }

    pub fn read(mut bytes: &[u8]) -> Result<(Head, &[u8]), Malformed> {
        if !(BASE..=LONGEST).contains(&bytes.len()) {
            return Err(Malformed::Length);
        }
        let head = &mut bytes;
        let mut take = |width| codec::uint(head, width).ok_or(Malformed::Length);
        let what = match take(1)? {
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
        let (seq, hash, incarnation) = (take(2)? as u16, take(4)? as u32, take(2)? as u16);
        let (about, epoch) = (take(2)? as u16, take(6)?);
        Ok((Head { what, seq, hash, incarnation, about, epoch }, bytes))
    }
}

fn has_by(status: Status) -> bool {
    matches!(status, Status::Suspect | Status::Dead)
}

/// Adds a fact, counted from an epoch, if `longest` allows it; false: it does not, and nothing has changed.
pub(crate) fn write_fact(bytes: &mut Vec<u8>, fact: &Fact, from: Epoch, longest: usize) -> bool {
    let near = i32::try_from(fact.epoch as i64 - from as i64);
    let whole = if near.is_err() { WHOLE_EPOCH } else { 0 };
    let told = if fact.incarnation > 0 { INCARNATION } else { 0 };
    codec::push_within(bytes, longest, |bytes| {
        bytes.put_u16(fact.number);
        bytes.put_u8(fact.status.wire() | whole | told);
        match near {
            Ok(near) => bytes.put_i32(near),
            Err(_) => codec::put_epoch(bytes, fact.epoch),
        }
        if fact.incarnation > 0 {
            bytes.put_u16(fact.incarnation);
        }
        if has_by(fact.status) {
            bytes.put_u16(fact.by);
        }
    })
}

/// Facts up to the first that makes no sense, or padding.
pub(crate) fn read_facts(bytes: &[u8], from: Epoch) -> impl Iterator<Item = Fact> {
    codec::records(bytes, move |bytes| {
        let mut take = |width| codec::uint(bytes, width);
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

#[cfg(test)]
mod tests {
    use super::*;

    /// What a build of another day wrote has to be read: the form is fixed by bytes.
    #[test]
    fn the_form_is_that_of_the_table() {
        let head = Head {
            what: What::Piece,
            seq: 0x0102,
            hash: 0x0304_0506,
            incarnation: 7,
            about: 8,
            epoch: 0x0000_1112_1314_1516,
        };
        let bytes = [5, 1, 2, 3, 4, 5, 6, 0, 7, 0, 8, 0x11, 0x12, 0x13, 0x14, 0x15, 0x16];
        assert_eq!(head.write(), bytes);
        assert_eq!(Head::read(&bytes), Ok((head, &[][..])));
        assert_eq!(Head::read(&bytes[..16]), Err(Malformed::Length));
        let from = 1_000;
        let near = Fact { number: 1, epoch: 990, incarnation: 0, status: Status::Alive, by: 1 };
        let far = Fact { number: 2, epoch: 1 << 40, incarnation: 3, status: Status::Dead, by: 9 };
        let mut facts = Vec::new();
        assert!(write_fact(&mut facts, &near, from, 241));
        assert!(!write_fact(&mut facts, &far, from, 19));
        assert!(write_fact(&mut facts, &far, from, 20));
        let near_form = [0, 1, Status::Alive.wire(), 0xff, 0xff, 0xff, 0xf6];
        let far_form = [0, 2, Status::Dead.wire() | 0x30, 1, 0, 0, 0, 0, 0, 0, 3, 0, 9];
        assert_eq!(facts, [&near_form[..], &far_form].concat());
        assert_eq!(read_facts(&facts, from).collect::<Vec<_>>(), [near, far]);
    }
}

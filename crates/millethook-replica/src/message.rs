//! What replicas say to one another: the content of a record in a frame. Numbers are big-endian.
//!
//! | bytes | what |
//! | --- | --- |
//! | 1 | what it is |
//! | 2 | of a comparison: the salt of its hashes |
//! | 4 | the hash of all that the sender holds |
//! | 32 | of a comparison only: hashes of 32 ranges of keys, a byte each |
//! | 30 | evidence: 1 and the verdict (1), server (8), author (2), its epoch (6), counter (4), the server's epoch (6), zone (1), age in milliseconds (2) |
//! | 17 | a departure: 2 and how far (1), server (8), its epoch (6), age (2) |

use crate::entry::{Departure, Entry, Key, Verdict, Word};
use crate::{Epoch, Micros};

/// The longest content.
pub const LONGEST: usize = 241;
pub(crate) const BASE: usize = 7;
/// Ranges of keys that are compared.
pub(crate) const RANGES: usize = 32;
/// Ages are told in these steps. Danger: rounded up, an entry that two tell one another to and fro would age by itself.
const STEP: Micros = 1_000;

/// What a message is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum What {
    /// News.
    Facts = 1,
    /// Hashes of ranges: tell me what differs.
    Compare = 2,
    /// What differs, as I hold it: tell me what you know better.
    Differ = 3,
    /// A part of what I hold, for one that has just come.
    Welcome = 4,
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
    pub salt: u16,
    pub hash: u32,
}

impl Head {
    pub fn write(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(LONGEST);
        bytes.push(self.what as u8);
        bytes.extend_from_slice(&self.salt.to_be_bytes());
        bytes.extend_from_slice(&self.hash.to_be_bytes());
        bytes
    }

    pub fn read(bytes: &[u8]) -> Result<(Head, &[u8]), Malformed> {
        if bytes.len() > LONGEST {
            return Err(Malformed::Length);
        }
        let (head, body) = bytes.split_first_chunk::<BASE>().ok_or(Malformed::Length)?;
        let what = match head[0] {
            1 => What::Facts,
            2 => What::Compare,
            3 => What::Differ,
            4 => What::Welcome,
            _ => return Err(Malformed::Kind),
        };
        let salt = u16::from_be_bytes([head[1], head[2]]);
        let hash = u32::from_be_bytes([head[3], head[4], head[5], head[6]]);
        Ok((Head { what, salt, hash }, body))
    }
}

/// Adds an entry if `longest` allows it; false: it does not, and nothing has changed.
pub(crate) fn write_entry(bytes: &mut Vec<u8>, key: Key, entry: &Entry, longest: usize) -> bool {
    let before = bytes.len();
    let epoch = |bytes: &mut Vec<u8>, e: Epoch| bytes.extend_from_slice(&e.to_be_bytes()[2..]);
    match (key, entry.word) {
        (
            Key::Evidence { server, author },
            Word::Evidence { author_epoch, counter, server_epoch, verdict, zone },
        ) => {
            bytes.push(0x10 | verdict as u8);
            bytes.extend_from_slice(&server.to_be_bytes());
            bytes.extend_from_slice(&author.to_be_bytes());
            epoch(bytes, author_epoch);
            bytes.extend_from_slice(&counter.to_be_bytes());
            epoch(bytes, server_epoch);
            bytes.push(zone);
        }
        (Key::Departure { server }, Word::Departure { server_epoch, departure }) => {
            bytes.push(0x20 | departure as u8);
            bytes.extend_from_slice(&server.to_be_bytes());
            epoch(bytes, server_epoch);
        }
        // The types let a key stand beside another's word; no such entry is ever made.
        _ => return true,
    }
    let age = u16::try_from(entry.age / STEP).unwrap_or(u16::MAX);
    bytes.extend_from_slice(&age.to_be_bytes());
    let fits = bytes.len() <= longest.min(LONGEST);
    if !fits {
        bytes.truncate(before);
    }
    fits
}

/// Entries up to the first that makes no sense, or padding.
pub(crate) fn read_entries(mut bytes: &[u8]) -> impl Iterator<Item = (Key, Entry)> {
    let mut take = move |count: usize| {
        let (taken, rest) = bytes.split_at_checked(count)?;
        bytes = rest;
        Some(taken.iter().fold(0u64, |n, byte| n << 8 | u64::from(*byte)))
    };
    std::iter::from_fn(move || {
        let what = take(1)? as u8;
        let (key, word) = match what >> 4 {
            1 => {
                let verdict = Verdict::from_wire(what & 0x0f)?;
                let key = Key::Evidence { server: take(8)?, author: take(2)? as u16 };
                let (author_epoch, counter) = (take(6)?, take(4)? as u32);
                let (server_epoch, zone) = (take(6)?, take(1)? as u8);
                (key, Word::Evidence { author_epoch, counter, server_epoch, verdict, zone })
            }
            2 => {
                let departure = match what & 0x0f {
                    1 => Departure::Leaving,
                    2 => Departure::Gone,
                    _ => return None,
                };
                (
                    Key::Departure { server: take(8)? },
                    Word::Departure { server_epoch: take(6)?, departure },
                )
            }
            _ => return None,
        };
        Some((key, Entry { word, age: take(2)? * STEP }))
    })
}

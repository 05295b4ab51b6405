//! What replicas say to one another: the content of a record in a frame. Numbers are big-endian.
//!
//! | bytes | what |
//! | --- | --- |
//! | 1 | what it is |
//! | 2 | of a comparison: the salt of its hashes |
//! | 4 | the hash of all that the sender holds |
//! | 8 | of a question about a store only: its name; then padding up to 52 bytes |
//! | 32 | of a comparison only: hashes of 32 ranges of keys, a byte each |
//! | 30 | evidence: 1 and the verdict (1), server (8), author (2), its epoch (6), counter (4), the server's epoch (6), zone (1), age in milliseconds (2) |
//! | 25 | a job: 0x30 (1), its name (8), token (12), counter (2), age (2) |
//! | 45 | a store: 0x40 (1), its name (8), token (12), how far (6), bits (8), failed (2 each of 3), left (2), age (2) |
//! | 17 | a departure: 2 and how far (1), server (8), its epoch (6), age (2) |

use millethook_lease::Token;
use millethook_machine::codec::{self, BufMut};

use crate::Micros;
use crate::entry::{Departure, Entry, Key, Verdict, Word};

/// The longest content.
pub const LONGEST: usize = millethook_machine::LONGEST;
pub(crate) const BASE: usize = 7;
/// The length of a question about a store: that of its answer.
pub(crate) const ASK: usize = BASE + 45;
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
    /// How far is this store? Padded to the length of the answer.
    Ask = 5,
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
        bytes.put_u8(self.what as u8);
        bytes.put_u16(self.salt);
        bytes.put_u32(self.hash);
        bytes
    }

    pub fn read(mut bytes: &[u8]) -> Result<(Head, &[u8]), Malformed> {
        if !(BASE..=LONGEST).contains(&bytes.len()) {
            return Err(Malformed::Length);
        }
        let head = &mut bytes;
        let mut take = |width| codec::uint(head, width).ok_or(Malformed::Length);
        let what = match take(1)? {
            1 => What::Facts,
            2 => What::Compare,
            3 => What::Differ,
            4 => What::Welcome,
            5 => What::Ask,
            _ => return Err(Malformed::Kind),
        };
        let (salt, hash) = (take(2)? as u16, take(4)? as u32);
        Ok((Head { what, salt, hash }, bytes))
    }
}

/// Adds an entry if `longest` allows it; false: it does not, and nothing has changed.
pub(crate) fn write_entry(bytes: &mut Vec<u8>, key: Key, entry: &Entry, longest: usize) -> bool {
    codec::push_within(bytes, longest, |bytes| {
        match (key, entry.word) {
            (
                Key::Evidence { server, author },
                Word::Evidence { author_epoch, counter, server_epoch, verdict, zone },
            ) => {
                bytes.put_u8(0x10 | verdict as u8);
                bytes.put_u64(server);
                bytes.put_u16(author);
                codec::put_epoch(bytes, author_epoch);
                bytes.put_u32(counter);
                codec::put_epoch(bytes, server_epoch);
                bytes.put_u8(zone);
            }
            (Key::Departure { server }, Word::Departure { server_epoch, departure }) => {
                bytes.put_u8(0x20 | departure as u8);
                bytes.put_u64(server);
                codec::put_epoch(bytes, server_epoch);
            }
            (Key::Job { job }, Word::Job { token, said }) => {
                bytes.put_u8(0x30);
                bytes.put_u64(job);
                token.write(bytes);
                bytes.put_u16(said);
            }
            (Key::Edge { edge }, Word::Edge { token, upto, beyond, failed, left }) => {
                bytes.put_u8(0x40);
                bytes.put_u64(edge);
                token.write(bytes);
                bytes.put_uint(upto, 6);
                bytes.put_u64(beyond);
                failed.iter().for_each(|f| bytes.put_u16(*f));
                bytes.put_u16(left);
            }
            // The types let a key stand beside another's word; no such entry is ever made.
            _ => return,
        }
        bytes.put_u16(u16::try_from(entry.age / STEP).unwrap_or(u16::MAX));
    })
}

/// Entries up to the first that makes no sense, or padding.
pub(crate) fn read_entries(bytes: &[u8]) -> impl Iterator<Item = (Key, Entry)> {
    codec::records(bytes, |bytes| {
        let what = codec::byte(bytes)?;
        if matches!(what, 0x30 | 0x40) {
            return read_owned(bytes, what);
        }
        let mut take = |width| codec::uint(bytes, width);
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
                let key = Key::Departure { server: take(8)? };
                (key, Word::Departure { server_epoch: take(6)?, departure })
            }
            _ => return None,
        };
        Some((key, Entry { word, age: take(2)? * STEP }))
    })
}

/// What goes by an owner's token.
fn read_owned(bytes: &mut &[u8], what: u8) -> Option<(Key, Entry)> {
    let name = codec::uint(bytes, 8)?;
    let token = Token::read(bytes)?;
    let (key, word) = if what == 0x30 {
        (Key::Job { job: name }, Word::Job { token, said: codec::short(bytes)? })
    } else {
        let (upto, beyond) = (codec::uint(bytes, 6)?, codec::uint(bytes, 8)?);
        let mut failed = [0; 3];
        for f in &mut failed {
            *f = codec::short(bytes)?;
        }
        let left = codec::short(bytes)?;
        (Key::Edge { edge: name }, Word::Edge { token, upto, beyond, failed, left })
    };
    Some((key, Entry { word, age: Micros::from(codec::short(bytes)?) * STEP }))
}

#[cfg(test)]
mod tests {
    use super::*;

    /// What a build of another day wrote has to be read: the form is fixed by bytes.
    #[test]
    fn the_form_is_that_of_the_table() {
        let head = Head { what: What::Compare, salt: 0x0102, hash: 0x0304_0506 };
        assert_eq!(head.write(), [2, 1, 2, 3, 4, 5, 6]);
        assert_eq!(Head::read(&[2, 1, 2, 3, 4, 5, 6, 9]), Ok((head, &[9][..])));
        let evidence = Word::Evidence {
            author_epoch: 0x0000_0102_0304_0506,
            counter: 7,
            server_epoch: 8,
            verdict: Verdict::Silent,
            zone: 3,
        };
        let entry = Entry { word: evidence, age: 258_999 };
        let mut bytes = Vec::new();
        assert!(write_entry(&mut bytes, Key::Evidence { server: 5, author: 6 }, &entry, 241));
        let form = [
            &[0x10 | Verdict::Silent as u8][..],
            &[0, 0, 0, 0, 0, 0, 0, 5, 0, 6, 1, 2, 3, 4, 5, 6, 0, 0, 0, 7],
            &[0, 0, 0, 0, 0, 8, 3, 1, 2],
        ];
        assert_eq!(bytes, form.concat());
        let departure = Word::Departure { server_epoch: 9, departure: Departure::Gone };
        let key = Key::Departure { server: 4 };
        assert!(!write_entry(&mut bytes, key, &Entry { word: departure, age: 0 }, 46));
        assert!(write_entry(&mut bytes, key, &Entry { word: departure, age: 0 }, 47));
        assert_eq!(bytes[30..], [0x22, 0, 0, 0, 0, 0, 0, 0, 4, 0, 0, 0, 0, 0, 9, 0, 0]);
        let read: Vec<_> = read_entries(&bytes).collect();
        assert_eq!(read.len(), 2);
        assert_eq!(read[0].1, Entry { age: 258_000, ..entry });
        assert_eq!(read_entries(&bytes[..46]).count(), 1);
    }
}

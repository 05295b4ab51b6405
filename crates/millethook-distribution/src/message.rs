//! What members say to one another about documents: one message is one content of at most 241 bytes. Numbers are
//! big-endian. The first byte is what it is, with the highest bit set if it is for the receiver's sidecar and not for
//! its control node: one member may be both. What follows is in the order of the fields below: a key has 5 bytes, a
//! token 12, a version 16, a hash of a content 16, hashes of buckets 8 each.

mod fields;
mod lists;
mod parts;

use millethook_lease::Token;
use millethook_machine::codec::{self, BufMut};

use crate::chunks::Wanted;
use crate::{DocumentId, DocumentKey, MAX_MESSAGE_BYTES, Rollout, Version};
pub(crate) use fields::{Delta, Digest, Listed, Lists, Offer, Role, Stage, State, Status, Told};
pub(crate) use lists::{DELTA_PART, MOST_DELTA_PARTS, in_messages};
use lists::{read_delta, read_lists, write_delta, write_lists};
use parts::{
    buckets, id, put_buckets, put_id, read_digest, read_offer, read_rollout, write_digest,
    write_offer, write_rollout,
};

/// Ranges of keys that are compared.
pub(crate) const BUCKETS: usize = 24;
/// Hashes of all that a control node keeps, by bucket.
pub(crate) type Buckets = [u64; BUCKETS];
/// Bytes of an offer before an inline content.
const OFFER: usize = 40;
/// The longest content that travels within a committed offer.
pub(crate) const MOST_INLINE: usize = MAX_MESSAGE_BYTES - OFFER;
/// Bytes of an entry of a list: key, committed and accepted version.
const LISTED: usize = 37;
/// Entries of a list in one message.
pub(crate) const MOST_LISTED: usize = (MAX_MESSAGE_BYTES - 7) / LISTED;
/// Members that are named in one message.
pub(crate) const MOST_MOVED: usize = (MAX_MESSAGE_BYTES - 1) / 2;
const FOR_SIDECAR: u8 = 0x80;

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Message {
    Digest(Digest),
    /// An answer: whether the statuses with this hash are known.
    Agree {
        hash: u64,
        known: bool,
    },
    Offer(Offer),
    Chunk {
        version: Version,
        index: u16,
        count: u16,
        bytes: Vec<u8>,
    },
    /// Send me these chunks of a document, and its head. Without a key: its head has not come.
    Missing {
        of: Role,
        key: Option<DocumentKey>,
        version: Version,
        wanted: Wanted,
    },
    /// I keep this version, or a later one of its key; in answer to a proposal with its round, else 0.
    Accepted {
        id: DocumentId,
        round: u32,
    },
    /// I am the writer under this token: take none below.
    Announce {
        token: Token,
        round: u32,
    },
    /// I take none below, and hold this.
    Promise {
        token: Token,
        round: u32,
        buckets: Buckets,
    },
    /// I know this higher token.
    Stale {
        highest: Token,
    },
    /// What I hold; this writer is the highest that I know.
    Compare {
        highest: Token,
        buckets: Buckets,
    },
    /// Tell me what you hold in a bucket, behind this key.
    List {
        bucket: u8,
        after: Option<DocumentKey>,
        round: u32,
    },
    /// That is what I hold.
    Entries {
        bucket: u8,
        more: bool,
        round: u32,
        entries: Vec<Listed>,
    },
    /// I have started and know nothing of my votes: what do you hold?
    Recover {
        round: u32,
    },
    /// That is what I hold; I have started, too, and do not vote yet.
    Recovered {
        round: u32,
        recovering: bool,
        highest: Token,
        buckets: Buckets,
    },
    /// How far a document has come among the sidecars that I count.
    Report {
        id: DocumentId,
        rollout: Rollout,
    },
    /// These sidecars have come to count me as their first control node. Without members: which do you count? A build that
    /// does not know the question takes it for news of nobody.
    Moved {
        members: Vec<u16>,
    },
    /// These lists I want, and that is how I stand to them.
    Lists(Lists),
    /// An answer: whether the lists with this hash are known.
    AgreeLists {
        hash: u64,
        known: bool,
    },
    Delta(Delta),
}

/// Why a content is no message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Malformed;

impl Message {
    /// The content, for that part of the receiver.
    pub fn write(&self, to: Role) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(MAX_MESSAGE_BYTES);
        let flag = if to == Role::Sidecar { FOR_SIDECAR } else { 0 };
        bytes.put_u8(flag | self.number());
        self.write_fields(&mut bytes);
        debug_assert!(bytes.len() <= MAX_MESSAGE_BYTES, "{} bytes: {self:?}", bytes.len());
        bytes
    }

    fn number(&self) -> u8 {
        match self {
            Message::Digest(_) => 1,
            Message::Agree { .. } => 2,
            Message::Offer(_) => 3,
            Message::Chunk { .. } => 4,
            Message::Missing { .. } => 5,
            Message::Accepted { .. } => 6,
            Message::Announce { .. } => 7,
            Message::Promise { .. } => 8,
            Message::Stale { .. } => 9,
            Message::Compare { .. } => 10,
            Message::List { .. } => 11,
            Message::Entries { .. } => 12,
            Message::Recover { .. } => 13,
            Message::Recovered { .. } => 14,
            Message::Report { .. } => 15,
            Message::Moved { .. } => 16,
            Message::Lists(_) => 17,
            Message::AgreeLists { .. } => 18,
            Message::Delta(_) => 19,
        }
    }

    fn write_fields(&self, bytes: &mut Vec<u8>) {
        match self {
            Message::Digest(digest) => write_digest(bytes, digest),
            Message::Agree { hash, known } | Message::AgreeLists { hash, known } => {
                bytes.put_u64(*hash);
                bytes.put_u8(u8::from(*known));
            }
            Message::Offer(offer) => write_offer(bytes, offer),
            Message::Chunk { version, index, count, bytes: content } => {
                version.write(bytes);
                bytes.put_u16(*index);
                bytes.put_u16(*count);
                bytes.extend_from_slice(content);
            }
            Message::Missing { of, key, version, wanted } => {
                let keyed = if key.is_some() { KEYED } else { 0 };
                bytes.put_u8(u8::from(*of == Role::Sidecar) | keyed);
                if let Some(key) = key {
                    key.write(bytes);
                }
                version.write(bytes);
                wanted.write(bytes);
            }
            Message::Accepted { id, round } => {
                put_id(bytes, *id);
                bytes.put_u32(*round);
            }
            Message::Announce { token, round } => {
                token.write(bytes);
                bytes.put_u32(*round);
            }
            Message::Promise { token, round, buckets } => {
                token.write(bytes);
                bytes.put_u32(*round);
                put_buckets(bytes, buckets);
            }
            Message::Stale { highest } => highest.write(bytes),
            Message::Compare { highest, buckets } => {
                highest.write(bytes);
                put_buckets(bytes, buckets);
            }
            Message::List { bucket, after, round } => {
                bytes.put_u8(*bucket);
                bytes.put_u32(*round);
                if let Some(after) = after {
                    after.write(bytes);
                }
            }
            Message::Entries { bucket, more, round, entries } => {
                bytes.put_u8(*bucket);
                bytes.put_u32(*round);
                bytes.put_u8(u8::from(*more));
                for entry in entries {
                    entry.key.write(bytes);
                    entry.committed.write(bytes);
                    entry.accepted.write(bytes);
                }
            }
            Message::Recover { round } => bytes.put_u32(*round),
            Message::Recovered { round, recovering, highest, buckets } => {
                bytes.put_u32(*round);
                bytes.put_u8(u8::from(*recovering));
                highest.write(bytes);
                put_buckets(bytes, buckets);
            }
            Message::Report { id, rollout } => {
                put_id(bytes, *id);
                write_rollout(bytes, rollout);
            }
            Message::Moved { members } => members.iter().for_each(|member| bytes.put_u16(*member)),
            Message::Lists(lists) => write_lists(bytes, lists),
            Message::Delta(delta) => write_delta(bytes, delta),
        }
    }

    /// Reads a content.
    ///
    /// # Errors
    /// It makes no sense; nothing of it may be used.
    pub fn read(bytes: &[u8]) -> Result<(Role, Message), Malformed> {
        let mut rest = bytes;
        let first = codec::take_u8(&mut rest).ok_or(Malformed)?;
        let to = if first & FOR_SIDECAR > 0 { Role::Sidecar } else { Role::ControlNode };
        let message = read_fields(first & !FOR_SIDECAR, &mut rest).ok_or(Malformed)?;
        Ok((to, message))
    }
}

fn read_fields(number: u8, bytes: &mut &[u8]) -> Option<Message> {
    Some(match number {
        1 => Message::Digest(read_digest(bytes)?),
        2 => {
            Message::Agree { hash: codec::take_uint(bytes, 8)?, known: codec::take_u8(bytes)? > 0 }
        }
        3 => Message::Offer(read_offer(bytes)?),
        4 => {
            let version = Version::read(bytes)?;
            let (index, count) = (codec::take_u16(bytes)?, codec::take_u16(bytes)?);
            Message::Chunk { version, index, count, bytes: bytes.to_vec() }
        }
        5 => {
            let flags = codec::take_u8(bytes)?;
            let of = if flags & 1 > 0 { Role::Sidecar } else { Role::ControlNode };
            let key = if flags & KEYED > 0 { Some(DocumentKey::read(bytes)?) } else { None };
            let version = Version::read(bytes)?;
            Message::Missing { of, key, version, wanted: Wanted::read(bytes) }
        }
        6 => Message::Accepted { id: id(bytes)?, round: codec::take_u32(bytes)? },
        7 => Message::Announce { token: Token::read(bytes)?, round: codec::take_u32(bytes)? },
        8 => {
            let (token, round) = (Token::read(bytes)?, codec::take_u32(bytes)?);
            Message::Promise { token, round, buckets: buckets(bytes)? }
        }
        9 => Message::Stale { highest: Token::read(bytes)? },
        10 => Message::Compare { highest: Token::read(bytes)?, buckets: buckets(bytes)? },
        11 => {
            let (bucket, round) = (codec::take_u8(bytes)?, codec::take_u32(bytes)?);
            Message::List { bucket, round, after: DocumentKey::read(bytes) }
        }
        12 => {
            let (bucket, round) = (codec::take_u8(bytes)?, codec::take_u32(bytes)?);
            let more = codec::take_u8(bytes)? > 0;
            let entries = codec::records(bytes, |bytes| {
                let key = DocumentKey::read(bytes)?;
                let (committed, accepted) = (Version::read(bytes)?, Version::read(bytes)?);
                Some(Listed { key, committed, accepted })
            });
            Message::Entries { bucket, more, round, entries: entries.collect() }
        }
        13 => Message::Recover { round: codec::take_u32(bytes)? },
        14 => {
            let (round, recovering) = (codec::take_u32(bytes)?, codec::take_u8(bytes)? > 0);
            let highest = Token::read(bytes)?;
            Message::Recovered { round, recovering, highest, buckets: buckets(bytes)? }
        }
        15 => Message::Report { id: id(bytes)?, rollout: read_rollout(bytes)? },
        16 => Message::Moved { members: codec::records(bytes, codec::take_u16).collect() },
        17 => Message::Lists(read_lists(bytes)?),
        18 => Message::AgreeLists {
            hash: codec::take_uint(bytes, 8)?,
            known: codec::take_u8(bytes)? > 0,
        },
        19 => Message::Delta(read_delta(bytes)?),
        _ => return None,
    })
}

const KEYED: u8 = 2;

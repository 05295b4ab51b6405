//! Messages of the distribution protocol. Each message is the content of one datagram, at most 241 bytes. Numbers are
//! big-endian. The first byte is the message's type; its highest bit is set if the message is for the receiver's
//! sidecar and not for its control node, since one member may be both. The fields follow in the order in which they are
//! declared below: a key has 5 bytes, a token 12, a version 16, a hash of a content 16, and each bucket hash 8.

mod fields;
mod lists;
mod parts;

use millethook_lease::Token;
use millethook_machine::codec::{self, BufMut};

use crate::chunks::Wanted;
use crate::{DocumentId, DocumentKey, MAX_MESSAGE_BYTES, Rollout, Version};
pub(crate) use fields::{
    Delta, Digest, ListEntry, ListsPayload, ListsUpdate, Offer, Role, Stage, State, Status,
};
pub(crate) use lists::{DELTA_PART_BYTES, MAX_DELTA_PARTS, split_into_messages};
use lists::{read_delta, read_lists, write_delta, write_lists};
use parts::{
    put_buckets, put_id, read_buckets, read_digest, read_id, read_offer, read_rollout,
    write_digest, write_offer, write_rollout,
};

/// The number of ranges of keys that are compared.
pub(crate) const BUCKETS: usize = 24;
/// Hashes of the documents that a control node stores, by bucket.
pub(crate) type Buckets = [u64; BUCKETS];
/// Bytes of an offer before an inline content.
const OFFER_HEADER_BYTES: usize = 40;
/// The longest content that fits into a committed offer.
pub(crate) const MAX_INLINE_BYTES: usize = MAX_MESSAGE_BYTES - OFFER_HEADER_BYTES;
/// Bytes of one list entry: key, committed and accepted version.
const ENTRY_BYTES: usize = 37;
/// The maximum number of list entries in one message.
pub(crate) const MAX_LIST_ENTRIES: usize = (MAX_MESSAGE_BYTES - 7) / ENTRY_BYTES;
/// The maximum number of members named in one message.
pub(crate) const MAX_MOVED_MEMBERS: usize = (MAX_MESSAGE_BYTES - 1) / 2;
/// Flag in the first byte: the message is for the receiver's sidecar.
const FOR_SIDECAR: u8 = 0x80;

/// A message of the protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Message {
    /// The state of a sidecar.
    Digest(Digest),
    /// Answers a digest: whether the statuses with this hash are known.
    DigestReply { hash: u64, known: bool },
    /// Offers a document.
    Offer(Offer),
    /// One chunk of a document's content.
    Chunk { version: Version, index: u16, count: u16, bytes: Vec<u8> },
    /// Requests chunks of a document, and its head. Without a key, the sender has not received the head.
    Fetch {
        /// The role of the sender, to which the parts are sent.
        of: Role,
        key: Option<DocumentKey>,
        version: Version,
        wanted: Wanted,
    },
    /// The sender stores this version or a later one of its key. `round` is that of the proposal being answered, else
    /// 0.
    Accepted { id: DocumentId, round: u32 },
    /// The sender is the writer under this token and asks the receiver to accept no lower token.
    Announce { token: Token, round: u32 },
    /// The sender accepts no lower token and stores documents with these bucket hashes.
    Promise { token: Token, round: u32, buckets: Buckets },
    /// The sender knows this higher token.
    Stale { highest: Token },
    /// The bucket hashes of the sender's committed documents, and the highest writer token that it knows.
    Compare { highest: Token, buckets: Buckets },
    /// Requests the entries of a bucket that follow this key.
    ListBucket { bucket: u8, after: Option<DocumentKey>, round: u32 },
    /// The entries of a bucket.
    BucketEntries { bucket: u8, more: bool, round: u32, entries: Vec<ListEntry> },
    /// The sender has started and has forgotten its votes; it asks what the receiver stores.
    Recover { round: u32 },
    /// Answers `Recover` with the bucket hashes of the sender; `recovering`: it has just started, too, and does not
    /// vote yet.
    Recovered { round: u32, recovering: bool, highest: Token, buckets: Buckets },
    /// The rollout of a document among the sidecars that the sender counts.
    Report { id: DocumentId, rollout: Rollout },
    /// These sidecars now use the sender as their first control node. Without members, it asks for the sidecars that
    /// the receiver counts; a build that does not know this question takes it for an empty notice.
    Moved { members: Vec<u16> },
    /// The lists that the sidecar subscribes to, and their states.
    ListsUpdate(ListsUpdate),
    /// Answers a lists update: whether the lists with this hash are known.
    ListsReply { hash: u64, known: bool },
    /// One part of a delta.
    Delta(Delta),
}

/// The content is not a valid message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Malformed;

impl Message {
    /// Encodes the message, addressed to the given role of the receiver.
    pub fn write(&self, to: Role) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(MAX_MESSAGE_BYTES);
        let flag = if to == Role::Sidecar { FOR_SIDECAR } else { 0 };
        bytes.put_u8(flag | self.type_code());
        self.write_fields(&mut bytes);
        debug_assert!(bytes.len() <= MAX_MESSAGE_BYTES, "{} bytes: {self:?}", bytes.len());
        bytes
    }

    /// The message's type on the wire.
    fn type_code(&self) -> u8 {
        match self {
            Message::Digest(_) => 1,
            Message::DigestReply { .. } => 2,
            Message::Offer(_) => 3,
            Message::Chunk { .. } => 4,
            Message::Fetch { .. } => 5,
            Message::Accepted { .. } => 6,
            Message::Announce { .. } => 7,
            Message::Promise { .. } => 8,
            Message::Stale { .. } => 9,
            Message::Compare { .. } => 10,
            Message::ListBucket { .. } => 11,
            Message::BucketEntries { .. } => 12,
            Message::Recover { .. } => 13,
            Message::Recovered { .. } => 14,
            Message::Report { .. } => 15,
            Message::Moved { .. } => 16,
            Message::ListsUpdate(_) => 17,
            Message::ListsReply { .. } => 18,
            Message::Delta(_) => 19,
        }
    }

    fn write_fields(&self, bytes: &mut Vec<u8>) {
        match self {
            Message::Digest(digest) => write_digest(bytes, digest),
            Message::DigestReply { hash, known } | Message::ListsReply { hash, known } => {
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
            Message::Fetch { of, key, version, wanted } => {
                let keyed = if key.is_some() { HAS_KEY } else { 0 };
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
            Message::ListBucket { bucket, after, round } => {
                bytes.put_u8(*bucket);
                bytes.put_u32(*round);
                if let Some(after) = after {
                    after.write(bytes);
                }
            }
            Message::BucketEntries { bucket, more, round, entries } => {
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
            Message::ListsUpdate(lists) => write_lists(bytes, lists),
            Message::Delta(delta) => write_delta(bytes, delta),
        }
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// The content is malformed; no part of it may be used.
    pub fn read(bytes: &[u8]) -> Result<(Role, Message), Malformed> {
        let mut rest = bytes;
        let first = codec::take_u8(&mut rest).ok_or(Malformed)?;
        let to = if first & FOR_SIDECAR > 0 { Role::Sidecar } else { Role::ControlNode };
        let message = read_fields(first & !FOR_SIDECAR, &mut rest).ok_or(Malformed)?;
        Ok((to, message))
    }
}

fn read_fields(type_code: u8, bytes: &mut &[u8]) -> Option<Message> {
    Some(match type_code {
        1 => Message::Digest(read_digest(bytes)?),
        2 => Message::DigestReply {
            hash: codec::take_uint(bytes, 8)?,
            known: codec::take_u8(bytes)? > 0,
        },
        3 => Message::Offer(read_offer(bytes)?),
        4 => {
            let version = Version::read(bytes)?;
            let (index, count) = (codec::take_u16(bytes)?, codec::take_u16(bytes)?);
            Message::Chunk { version, index, count, bytes: bytes.to_vec() }
        }
        5 => {
            let flags = codec::take_u8(bytes)?;
            let of = if flags & 1 > 0 { Role::Sidecar } else { Role::ControlNode };
            let key = if flags & HAS_KEY > 0 { Some(DocumentKey::read(bytes)?) } else { None };
            let version = Version::read(bytes)?;
            Message::Fetch { of, key, version, wanted: Wanted::read(bytes) }
        }
        6 => Message::Accepted { id: read_id(bytes)?, round: codec::take_u32(bytes)? },
        7 => Message::Announce { token: Token::read(bytes)?, round: codec::take_u32(bytes)? },
        8 => {
            let (token, round) = (Token::read(bytes)?, codec::take_u32(bytes)?);
            Message::Promise { token, round, buckets: read_buckets(bytes)? }
        }
        9 => Message::Stale { highest: Token::read(bytes)? },
        10 => Message::Compare { highest: Token::read(bytes)?, buckets: read_buckets(bytes)? },
        11 => {
            let (bucket, round) = (codec::take_u8(bytes)?, codec::take_u32(bytes)?);
            Message::ListBucket { bucket, round, after: DocumentKey::read(bytes) }
        }
        12 => {
            let (bucket, round) = (codec::take_u8(bytes)?, codec::take_u32(bytes)?);
            let more = codec::take_u8(bytes)? > 0;
            let entries = codec::records(bytes, |bytes| {
                let key = DocumentKey::read(bytes)?;
                let (committed, accepted) = (Version::read(bytes)?, Version::read(bytes)?);
                Some(ListEntry { key, committed, accepted })
            });
            Message::BucketEntries { bucket, more, round, entries: entries.collect() }
        }
        13 => Message::Recover { round: codec::take_u32(bytes)? },
        14 => {
            let (round, recovering) = (codec::take_u32(bytes)?, codec::take_u8(bytes)? > 0);
            let highest = Token::read(bytes)?;
            Message::Recovered { round, recovering, highest, buckets: read_buckets(bytes)? }
        }
        15 => Message::Report { id: read_id(bytes)?, rollout: read_rollout(bytes)? },
        16 => Message::Moved { members: codec::records(bytes, codec::take_u16).collect() },
        17 => Message::ListsUpdate(read_lists(bytes)?),
        18 => Message::ListsReply {
            hash: codec::take_uint(bytes, 8)?,
            known: codec::take_u8(bytes)? > 0,
        },
        19 => Message::Delta(read_delta(bytes)?),
        _ => return None,
    })
}

/// Flag of a fetch request: a key follows.
const HAS_KEY: u8 = 2;

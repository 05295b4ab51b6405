//! Encoding of the parts of messages: heads of documents, digests, reports.

use millethook_machine::codec::{self, BufMut};

use super::{BUCKETS, Buckets, Digest, Offer, Stage, State, Status};
use crate::report::{MAX_NAMED_MEMBERS, MAX_REASON_BYTES};
use crate::{
    ContentHash, DocumentId, DocumentKey, Identity, MAX_MESSAGE_BYTES, Refusal, Rollout, Version,
};

/// Appends bucket hashes.
pub(super) fn put_buckets(bytes: &mut Vec<u8>, buckets: &Buckets) {
    buckets.iter().for_each(|hash| bytes.put_u64(*hash));
}

/// Reads bucket hashes.
pub(super) fn read_buckets(bytes: &mut &[u8]) -> Option<Buckets> {
    let mut buckets = [0; BUCKETS];
    for hash in &mut buckets {
        *hash = codec::take_uint(bytes, 8)?;
    }
    Some(buckets)
}

/// Appends a key and a version.
pub(super) fn put_id(bytes: &mut Vec<u8>, id: DocumentId) {
    id.key.write(bytes);
    id.version.write(bytes);
}

/// Reads a key and a version.
pub(super) fn read_id(bytes: &mut &[u8]) -> Option<DocumentId> {
    Some(DocumentId { key: DocumentKey::read(bytes)?, version: Version::read(bytes)? })
}

/// Appends a refusal, with its reason cut to `max_bytes`.
pub(super) fn put_refusal(bytes: &mut Vec<u8>, refusal: &Refusal, max_bytes: usize) {
    let reason = refusal.cut(max_bytes.min(MAX_REASON_BYTES));
    bytes.put_u8(refusal.code);
    bytes.put_u8(reason.len() as u8);
    bytes.extend_from_slice(reason.as_bytes());
}

/// Reads a refusal.
pub(super) fn read_refusal(bytes: &mut &[u8]) -> Option<Refusal> {
    let (code, length) = (codec::take_u8(bytes)?, usize::from(codec::take_u8(bytes)?));
    let (reason, rest) = bytes.split_at_checked(length)?;
    *bytes = rest;
    Some(Refusal { code, reason: String::from_utf8_lossy(reason).into_owned() })
}

/// Appends a digest.
pub(super) fn write_digest(bytes: &mut Vec<u8>, digest: &Digest) {
    bytes.put_u32(digest.identity.region);
    bytes.put_u32(digest.identity.zone);
    bytes.put_u32(digest.identity.service);
    bytes.put_u16(digest.identity.number);
    bytes.put_u8(digest.rank);
    bytes.put_u64(digest.hash);
    let Some(statuses) = &digest.statuses else { return };
    bytes.put_u8(statuses.len() as u8);
    for (n, status) in statuses.iter().enumerate() {
        bytes.put_u8(status.key.compact());
        status.version.write(bytes);
        bytes.put_u8(status.state.number());
        if let State::Refused(refusal) = &status.state {
            // The maximum size of the statuses that follow.
            let reserved = (statuses.len() - n - 1) * (Version::LENGTH + 4) + 2;
            put_refusal(bytes, refusal, MAX_MESSAGE_BYTES.saturating_sub(bytes.len() + reserved));
        }
    }
}

/// Reads a digest.
pub(super) fn read_digest(bytes: &mut &[u8]) -> Option<Digest> {
    let (region, zone) = (codec::take_u32(bytes)?, codec::take_u32(bytes)?);
    let (service, number) = (codec::take_u32(bytes)?, codec::take_u16(bytes)?);
    let identity = Identity { region, zone, service, number };
    let rank = codec::take_u8(bytes)?;
    let hash = codec::take_uint(bytes, 8)?;
    let statuses = match codec::take_u8(bytes) {
        None => None,
        Some(count) => {
            let mut statuses = Vec::new();
            for _ in 0..count {
                let key = DocumentKey::from_compact(codec::take_u8(bytes)?, &identity)?;
                let version = Version::read(bytes)?;
                let state = match codec::take_u8(bytes)? {
                    0 => State::InForce,
                    1 => State::Offered,
                    2 => State::Refused(read_refusal(bytes)?),
                    _ => return None,
                };
                statuses.push(Status { key, version, state });
            }
            Some(statuses)
        }
    };
    Some(Digest { identity, rank, hash, statuses })
}

const RETRACTED: u8 = 0x10;
const INLINE: u8 = 0x20;

/// Appends an offer.
pub(super) fn write_offer(bytes: &mut Vec<u8>, offer: &Offer) {
    let stage = match offer.stage {
        Stage::Proposed(_) => 0,
        Stage::Accepted => 1,
        Stage::Committed => 2,
    };
    let retracted = if offer.retracted { RETRACTED } else { 0 };
    let inline = if offer.inline.is_some() { INLINE } else { 0 };
    bytes.put_u8(stage | retracted | inline);
    put_id(bytes, offer.id);
    bytes.extend_from_slice(&offer.hash.0);
    if let Stage::Proposed(round) = offer.stage {
        bytes.put_u32(round);
    }
    match &offer.inline {
        Some(content) => {
            bytes.put_u8(content.len() as u8);
            bytes.extend_from_slice(content);
        }
        None => bytes.put_uint(offer.length as u64, 3),
    }
}

/// Reads an offer; None: it is malformed.
pub(super) fn read_offer(bytes: &mut &[u8]) -> Option<Offer> {
    let flags = codec::take_u8(bytes)?;
    let id = read_id(bytes)?;
    let (hash, rest) = bytes.split_first_chunk::<16>()?;
    *bytes = rest;
    let stage = match flags & 0x0f {
        0 => Stage::Proposed(codec::take_u32(bytes)?),
        1 => Stage::Accepted,
        2 => Stage::Committed,
        _ => return None,
    };
    let (length, inline) = if flags & INLINE > 0 {
        let length = usize::from(codec::take_u8(bytes)?);
        (length, Some(bytes.get(..length)?.to_vec()))
    } else {
        (codec::take_uint(bytes, 3)? as usize, None)
    };
    let retracted = flags & RETRACTED > 0;
    let is_valid = length <= crate::MAX_CONTENT_BYTES && (!retracted || length == 0);
    let hash = ContentHash(*hash);
    is_valid.then_some(Offer { stage, id, hash, retracted, length, inline })
}

/// Flag in the byte that counts the named members: the number of moving sidecars follows. It is sent only if there are
/// any.
const MOVING: u8 = 0x80;
/// Flag in the same byte: the sender has the document on its disk.
const PERSISTED: u8 = 0x40;

/// Appends a rollout.
pub(super) fn write_rollout(bytes: &mut Vec<u8>, rollout: &Rollout) {
    for count in [rollout.expected, rollout.in_force, rollout.refused, rollout.not_heard] {
        bytes.put_u16(u16::try_from(count).unwrap_or(u16::MAX));
    }
    let named_count = rollout.not_heard_members.len().min(MAX_NAMED_MEMBERS);
    let moving = if rollout.moving > 0 { MOVING } else { 0 };
    let persisted = if rollout.persisted > 0 { PERSISTED } else { 0 };
    bytes.put_u8(named_count as u8 | moving | persisted);
    if rollout.moving > 0 {
        bytes.put_u16(u16::try_from(rollout.moving).unwrap_or(u16::MAX));
    }
    rollout.not_heard_members[..named_count].iter().for_each(|member| bytes.put_u16(*member));
    if let Some((member, refusal)) = &rollout.first_refusal {
        bytes.put_u16(*member);
        put_refusal(bytes, refusal, MAX_REASON_BYTES);
    }
}

/// Reads a rollout; None: it is malformed.
pub(super) fn read_rollout(bytes: &mut &[u8]) -> Option<Rollout> {
    let mut count = || codec::take_u16(bytes).map(u32::from);
    let (expected, in_force, refused, not_heard) = (count()?, count()?, count()?, count()?);
    let flags = codec::take_u8(bytes)?;
    let moving = if flags & MOVING > 0 { codec::take_u16(bytes)?.into() } else { 0 };
    let persisted = u32::from(flags & PERSISTED > 0);
    let named_count = usize::from(flags & !(MOVING | PERSISTED));
    if named_count > MAX_NAMED_MEMBERS {
        return None;
    }
    let mut not_heard_members = Vec::with_capacity(named_count);
    for _ in 0..named_count {
        not_heard_members.push(codec::take_u16(bytes)?);
    }
    let first_refusal = match codec::take_u16(bytes) {
        Some(member) => Some((member, read_refusal(bytes)?)),
        None => None,
    };
    let (control_nodes, control_nodes_missing) = (0, 0);
    Some(Rollout {
        expected,
        in_force,
        refused,
        first_refusal,
        not_heard,
        not_heard_members,
        moving,
        persisted,
        control_nodes,
        control_nodes_missing,
    })
}

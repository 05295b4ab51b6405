//! The parts of messages: heads of documents, digests, reports.

use millethook_machine::codec::{self, BufMut};

use super::{BUCKETS, Buckets, Digest, Offer, Stage, State, Status};
use crate::report::{MOST_NAMED, MOST_REASON};
use crate::{
    ContentHash, DocumentId, DocumentKey, Identity, MAX_MESSAGE_BYTES, Refusal, Rollout, Version,
};

pub(super) fn put_buckets(bytes: &mut Vec<u8>, buckets: &Buckets) {
    buckets.iter().for_each(|hash| bytes.put_u64(*hash));
}

pub(super) fn buckets(bytes: &mut &[u8]) -> Option<Buckets> {
    let mut buckets = [0; BUCKETS];
    for hash in &mut buckets {
        *hash = codec::take_uint(bytes, 8)?;
    }
    Some(buckets)
}

pub(super) fn put_id(bytes: &mut Vec<u8>, id: DocumentId) {
    id.key.write(bytes);
    id.version.write(bytes);
}

pub(super) fn id(bytes: &mut &[u8]) -> Option<DocumentId> {
    Some(DocumentId { key: DocumentKey::read(bytes)?, version: Version::read(bytes)? })
}

/// Adds a refusal, its reason cut to what `room` allows.
pub(super) fn put_refusal(bytes: &mut Vec<u8>, refusal: &Refusal, room: usize) {
    let reason = refusal.cut(room.min(MOST_REASON));
    bytes.put_u8(refusal.code);
    bytes.put_u8(reason.len() as u8);
    bytes.extend_from_slice(reason.as_bytes());
}

pub(super) fn refusal(bytes: &mut &[u8]) -> Option<Refusal> {
    let (code, length) = (codec::take_u8(bytes)?, usize::from(codec::take_u8(bytes)?));
    let (reason, rest) = bytes.split_at_checked(length)?;
    *bytes = rest;
    Some(Refusal { code, reason: String::from_utf8_lossy(reason).into_owned() })
}

pub(super) fn write_digest(bytes: &mut Vec<u8>, digest: &Digest) {
    bytes.put_u32(digest.who.region);
    bytes.put_u32(digest.who.zone);
    bytes.put_u32(digest.who.service);
    bytes.put_u16(digest.who.number);
    bytes.put_u8(digest.rank);
    bytes.put_u64(digest.hash);
    let Some(statuses) = &digest.statuses else { return };
    bytes.put_u8(statuses.len() as u8);
    for (n, status) in statuses.iter().enumerate() {
        bytes.put_u8(status.key.short());
        status.version.write(bytes);
        bytes.put_u8(status.state.number());
        if let State::Refused(refusal) = &status.state {
            // Those that follow need at most so much.
            let behind = (statuses.len() - n - 1) * (Version::LENGTH + 4) + 2;
            put_refusal(bytes, refusal, MAX_MESSAGE_BYTES.saturating_sub(bytes.len() + behind));
        }
    }
}

pub(super) fn read_digest(bytes: &mut &[u8]) -> Option<Digest> {
    let (region, zone) = (codec::take_u32(bytes)?, codec::take_u32(bytes)?);
    let (service, number) = (codec::take_u32(bytes)?, codec::take_u16(bytes)?);
    let who = Identity { region, zone, service, number };
    let rank = codec::take_u8(bytes)?;
    let hash = codec::take_uint(bytes, 8)?;
    let statuses = match codec::take_u8(bytes) {
        None => None,
        Some(count) => {
            let mut statuses = Vec::new();
            for _ in 0..count {
                let key = DocumentKey::from_short(codec::take_u8(bytes)?, &who)?;
                let version = Version::read(bytes)?;
                let state = match codec::take_u8(bytes)? {
                    0 => State::InForce,
                    1 => State::Offered,
                    2 => State::Refused(refusal(bytes)?),
                    _ => return None,
                };
                statuses.push(Status { key, version, state });
            }
            Some(statuses)
        }
    };
    Some(Digest { who, rank, hash, statuses })
}

const RETRACTED: u8 = 0x10;
const INLINE: u8 = 0x20;

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

pub(super) fn read_offer(bytes: &mut &[u8]) -> Option<Offer> {
    let flags = codec::take_u8(bytes)?;
    let id = id(bytes)?;
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
    let sound = length <= crate::MOST_CONTENT && (!retracted || length == 0);
    let hash = ContentHash(*hash);
    sound.then_some(Offer { stage, id, hash, retracted, length, inline })
}

/// Beside how many members are named: the count of those that move follows. It is told only where there are any.
const MOVING: u8 = 0x80;
/// The sender has the document on its disk.
const KEPT: u8 = 0x40;

pub(super) fn write_rollout(bytes: &mut Vec<u8>, rollout: &Rollout) {
    for count in [rollout.expected, rollout.in_force, rollout.refused, rollout.not_heard] {
        bytes.put_u16(u16::try_from(count).unwrap_or(u16::MAX));
    }
    let named = rollout.not_heard_members.len().min(MOST_NAMED);
    let moving = if rollout.moving > 0 { MOVING } else { 0 };
    let kept = if rollout.kept > 0 { KEPT } else { 0 };
    bytes.put_u8(named as u8 | moving | kept);
    if rollout.moving > 0 {
        bytes.put_u16(u16::try_from(rollout.moving).unwrap_or(u16::MAX));
    }
    rollout.not_heard_members[..named].iter().for_each(|member| bytes.put_u16(*member));
    if let Some((member, refusal)) = &rollout.first_refusal {
        bytes.put_u16(*member);
        put_refusal(bytes, refusal, MOST_REASON);
    }
}

pub(super) fn read_rollout(bytes: &mut &[u8]) -> Option<Rollout> {
    let mut count = || codec::take_u16(bytes).map(u32::from);
    let (expected, in_force, refused, not_heard) = (count()?, count()?, count()?, count()?);
    let flags = codec::take_u8(bytes)?;
    let moving = if flags & MOVING > 0 { codec::take_u16(bytes)?.into() } else { 0 };
    let kept = u32::from(flags & KEPT > 0);
    let named = usize::from(flags & !(MOVING | KEPT));
    if named > MOST_NAMED {
        return None;
    }
    let mut not_heard_members = Vec::with_capacity(named);
    for _ in 0..named {
        not_heard_members.push(codec::take_u16(bytes)?);
    }
    let first_refusal = match codec::take_u16(bytes) {
        Some(member) => Some((member, refusal(bytes)?)),
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
        kept,
        control_nodes,
        control_nodes_missing,
    })
}

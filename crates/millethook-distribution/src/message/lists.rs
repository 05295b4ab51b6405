//! Encoding of messages about server lists, and of deltas. Members of a build that does not know them treat them as
//! malformed and do not answer.

use millethook_machine::codec::{self, BufMut};

use super::parts::{put_id, put_refusal, read_id, read_refusal};
use super::{Delta, ListsPayload, ListsUpdate, State};
use crate::lists::{ListStatus, ListStatuses};
use crate::report::MAX_REASON_BYTES;
use crate::{ContentHash, MAX_CONTENT_BYTES, MAX_MESSAGE_BYTES, Version};

/// Bytes of a message about lists before the first status.
const LISTS_HEADER_BYTES: usize = 1 + 8 + 1;
/// Bytes of a part of a delta before its content.
const DELTA_HEADER_BYTES: usize = 1 + 21 + 16 + 16 + 3 + 1 + 1;
/// Bytes of a delta in one message; the last part may be shorter.
pub(crate) const DELTA_PART_BYTES: usize = MAX_MESSAGE_BYTES - DELTA_HEADER_BYTES;
/// The maximum number of parts of a delta. A delta is sent without a request, like a content with at most this many
/// chunks.
pub(crate) const MAX_DELTA_PARTS: usize = crate::chunks::MAX_EAGER_CHUNKS;
/// The state of a list that the sidecar subscribes to and does not have.
const STATE_ABSENT: u8 = 3;

/// Splits statuses into as many messages as they need.
pub(crate) fn split_into_messages(statuses: &ListStatuses) -> Vec<Vec<(u32, ListStatus)>> {
    let mut messages = Vec::new();
    let mut room = 0;
    for (service, status) in statuses.iter() {
        let mut bytes = Vec::new();
        put_status(&mut bytes, service, status);
        if bytes.len() > room {
            messages.push(Vec::new());
            room = MAX_MESSAGE_BYTES - LISTS_HEADER_BYTES;
        }
        room -= bytes.len();
        if let Some(last) = messages.last_mut() {
            last.push((service, status.clone()));
        }
    }
    messages
}

/// Appends a list status.
fn put_status(bytes: &mut Vec<u8>, service: u32, status: &ListStatus) {
    bytes.put_u32(service);
    if status.version == Version::default() {
        bytes.put_u8(STATE_ABSENT);
        return;
    }
    bytes.put_u8(status.state.number());
    status.version.write(bytes);
    if let State::Refused(refusal) = &status.state {
        put_refusal(bytes, refusal, MAX_REASON_BYTES);
    }
}

/// Reads a list status.
fn read_status(bytes: &mut &[u8]) -> Option<(u32, ListStatus)> {
    let (service, number) = (codec::take_u32(bytes)?, codec::take_u8(bytes)?);
    if number == STATE_ABSENT {
        return Some((service, ListStatus { version: Version::default(), state: State::InForce }));
    }
    let version = Version::read(bytes)?;
    let state = match number {
        0 => State::InForce,
        1 => State::Offered,
        2 => State::Refused(read_refusal(bytes)?),
        _ => return None,
    };
    Some((service, ListStatus { version, state }))
}

/// Appends a lists update.
pub(super) fn write_lists(bytes: &mut Vec<u8>, lists: &ListsUpdate) {
    bytes.put_u64(lists.hash);
    let (number, statuses) = match &lists.payload {
        ListsPayload::Hash => (0, &[][..]),
        ListsPayload::Changes(statuses) => (1, &statuses[..]),
        ListsPayload::Full(statuses) => (2, &statuses[..]),
    };
    bytes.put_u8(number);
    statuses.iter().for_each(|(service, status)| put_status(bytes, *service, status));
}

/// Reads a lists update.
pub(super) fn read_lists(bytes: &mut &[u8]) -> Option<ListsUpdate> {
    let (hash, number) = (codec::take_uint(bytes, 8)?, codec::take_u8(bytes)?);
    let mut statuses = Vec::new();
    while !bytes.is_empty() {
        statuses.push(read_status(bytes)?);
    }
    let payload = match number {
        0 => ListsPayload::Hash,
        1 => ListsPayload::Changes(statuses),
        2 => ListsPayload::Full(statuses),
        _ => return None,
    };
    Some(ListsUpdate { hash, payload })
}

/// Appends a part of a delta.
pub(super) fn write_delta(bytes: &mut Vec<u8>, delta: &Delta) {
    put_id(bytes, delta.id);
    bytes.extend_from_slice(&delta.hash.0);
    bytes.put_uint(delta.length as u64, 3);
    delta.base.write(bytes);
    bytes.put_u8(delta.index);
    bytes.put_u8(delta.count);
    bytes.extend_from_slice(&delta.bytes);
}

/// Reads a part of a delta; None: it is malformed.
pub(super) fn read_delta(bytes: &mut &[u8]) -> Option<Delta> {
    let id = read_id(bytes)?;
    let (hash, rest) = bytes.split_first_chunk::<16>()?;
    *bytes = rest;
    let length = codec::take_uint(bytes, 3)? as usize;
    let base = Version::read(bytes)?;
    let (index, count) = (codec::take_u8(bytes)?, codec::take_u8(bytes)?);
    let is_last = index.checked_add(1)? == count;
    let is_valid = index < count
        && usize::from(count) <= MAX_DELTA_PARTS
        && length <= MAX_CONTENT_BYTES
        && bytes.len() <= DELTA_PART_BYTES
        && (is_last || bytes.len() == DELTA_PART_BYTES);
    let (hash, bytes) = (ContentHash(*hash), bytes.to_vec());
    is_valid.then_some(Delta { id, hash, length, base, index, count, bytes })
}

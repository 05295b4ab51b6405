//! Messages about lists of servers, and deltas. Members of a build without them take them for malformed, and answer
//! nothing.

use millethook_machine::codec::{self, BufMut};

use super::parts::{id, put_id, put_refusal, refusal};
use super::{Delta, Lists, State, Told};
use crate::lists::{ListStatus, ListStatuses};
use crate::report::MOST_REASON;
use crate::{ContentHash, MAX_MESSAGE_BYTES, MOST_CONTENT, Version};

/// Bytes of a message about lists before the first status.
const LISTS: usize = 1 + 8 + 1;
/// Bytes of a part of a delta before its content.
const DELTA: usize = 1 + 21 + 16 + 16 + 3 + 1 + 1;
/// Bytes of a delta in one message; the last part may be shorter.
pub(crate) const DELTA_PART: usize = MAX_MESSAGE_BYTES - DELTA;
/// Parts of the longest delta. A delta comes unasked, as does a content of so many chunks at most.
pub(crate) const MOST_DELTA_PARTS: usize = crate::chunks::MOST_AT_ONCE;
/// The state of a list that is wanted and not there.
const NONE: u8 = 3;

/// Splits statuses into as many messages as they need.
pub(crate) fn in_messages(statuses: &ListStatuses) -> Vec<Vec<(u32, ListStatus)>> {
    let mut messages = Vec::new();
    let mut room = 0;
    for (service, status) in statuses.iter() {
        let mut bytes = Vec::new();
        put_status(&mut bytes, service, status);
        if bytes.len() > room {
            messages.push(Vec::new());
            room = MAX_MESSAGE_BYTES - LISTS;
        }
        room -= bytes.len();
        if let Some(last) = messages.last_mut() {
            last.push((service, status.clone()));
        }
    }
    messages
}

fn put_status(bytes: &mut Vec<u8>, service: u32, status: &ListStatus) {
    bytes.put_u32(service);
    if status.version == Version::default() {
        bytes.put_u8(NONE);
        return;
    }
    bytes.put_u8(status.state.number());
    status.version.write(bytes);
    if let State::Refused(refusal) = &status.state {
        put_refusal(bytes, refusal, MOST_REASON);
    }
}

fn read_status(bytes: &mut &[u8]) -> Option<(u32, ListStatus)> {
    let (service, number) = (codec::take_u32(bytes)?, codec::take_u8(bytes)?);
    if number == NONE {
        return Some((service, ListStatus { version: Version::default(), state: State::InForce }));
    }
    let version = Version::read(bytes)?;
    let state = match number {
        0 => State::InForce,
        1 => State::Offered,
        2 => State::Refused(refusal(bytes)?),
        _ => return None,
    };
    Some((service, ListStatus { version, state }))
}

pub(super) fn write_lists(bytes: &mut Vec<u8>, lists: &Lists) {
    bytes.put_u64(lists.hash);
    let (number, statuses) = match &lists.told {
        Told::Hash => (0, &[][..]),
        Told::Changes(statuses) => (1, &statuses[..]),
        Told::Whole(statuses) => (2, &statuses[..]),
    };
    bytes.put_u8(number);
    statuses.iter().for_each(|(service, status)| put_status(bytes, *service, status));
}

pub(super) fn read_lists(bytes: &mut &[u8]) -> Option<Lists> {
    let (hash, number) = (codec::take_uint(bytes, 8)?, codec::take_u8(bytes)?);
    let mut statuses = Vec::new();
    while !bytes.is_empty() {
        statuses.push(read_status(bytes)?);
    }
    let told = match number {
        0 => Told::Hash,
        1 => Told::Changes(statuses),
        2 => Told::Whole(statuses),
        _ => return None,
    };
    Some(Lists { hash, told })
}

pub(super) fn write_delta(bytes: &mut Vec<u8>, delta: &Delta) {
    put_id(bytes, delta.id);
    bytes.extend_from_slice(&delta.hash.0);
    bytes.put_uint(delta.length as u64, 3);
    delta.base.write(bytes);
    bytes.put_u8(delta.index);
    bytes.put_u8(delta.count);
    bytes.extend_from_slice(&delta.bytes);
}

pub(super) fn read_delta(bytes: &mut &[u8]) -> Option<Delta> {
    let id = id(bytes)?;
    let (hash, rest) = bytes.split_first_chunk::<16>()?;
    *bytes = rest;
    let length = codec::take_uint(bytes, 3)? as usize;
    let base = Version::read(bytes)?;
    let (index, count) = (codec::take_u8(bytes)?, codec::take_u8(bytes)?);
    let is_last = index.checked_add(1)? == count;
    let sound = index < count
        && usize::from(count) <= MOST_DELTA_PARTS
        && length <= MOST_CONTENT
        && bytes.len() <= DELTA_PART
        && (is_last || bytes.len() == DELTA_PART);
    let (hash, bytes) = (ContentHash(*hash), bytes.to_vec());
    sound.then_some(Delta { id, hash, length, base, index, count, bytes })
}

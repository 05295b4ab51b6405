//! Computes and applies deltas between two contents: ranges that are copied from the base, with new bytes in between.
//!
//! A delta is a sequence of steps. Each step is the number of new bytes, these bytes, the position in the base at which
//! the copy begins, relative to the end of the previous copy, and the length of the copy. Numbers are encoded with
//! seven bits a byte, lowest bits first; the relative position is signed ("zigzag"). A delta does not authenticate its
//! result: whoever applies it has to compare the hash of the result.

use std::collections::HashMap;

use crate::MAX_CONTENT_BYTES;

/// Bytes by which a range of the base is looked up; also the length of the shortest range that is copied.
const WINDOW_BYTES: usize = 8;
/// Positions in the base that are compared for one range: those after the end of the last copy, and those before it.
const POSITIONS_AFTER: usize = 8;
const POSITIONS_BEFORE: usize = 2;

/// The delta from a base to a content; None: it is longer than `max_bytes`.
pub(crate) fn compute(base: &[u8], content: &[u8], max_bytes: usize) -> Option<Vec<u8>> {
    let positions = positions_by_window(base);
    let mut delta = Vec::new();
    let (mut at, mut literal, mut expected) = (0, 0, 0);
    while at < content.len() {
        let (begin, length) = longest_copy(base, &positions, &content[at..], expected);
        if length < WINDOW_BYTES {
            at += 1;
        } else {
            put_step(&mut delta, &content[literal..at], begin as i64 - expected as i64, length);
            at += length;
            (literal, expected) = (at, begin + length);
        }
        if delta.len() + (at - literal) > max_bytes {
            return None;
        }
    }
    if literal < content.len() {
        put_step(&mut delta, &content[literal..], 0, 0);
    }
    (delta.len() <= max_bytes).then_some(delta)
}

/// Applies a delta to a base; None: it does not fit the base, or the result does not have `length` bytes.
pub(crate) fn apply(base: &[u8], mut delta: &[u8], length: usize) -> Option<Vec<u8>> {
    let mut content = Vec::new();
    let mut expected = 0i64;
    while !delta.is_empty() {
        let count = usize::try_from(read_number(&mut delta)?).ok()?;
        let (literal, rest) = delta.split_at_checked(count)?;
        delta = rest;
        content.extend_from_slice(literal);
        let offset = read_number(&mut delta)?;
        let offset = (offset >> 1) as i64 ^ -((offset & 1) as i64);
        let begin = usize::try_from(expected.checked_add(offset)?).ok()?;
        let end = begin.checked_add(usize::try_from(read_number(&mut delta)?).ok()?)?;
        content.extend_from_slice(base.get(begin..end)?);
        expected = end as i64;
        if content.len() > MAX_CONTENT_BYTES {
            return None;
        }
    }
    (content.len() == length).then_some(content)
}

/// The positions of each window in the base, in ascending order.
fn positions_by_window(base: &[u8]) -> HashMap<&[u8], Vec<usize>> {
    let mut positions: HashMap<&[u8], Vec<usize>> = HashMap::new();
    for (position, window) in base.windows(WINDOW_BYTES).enumerate() {
        positions.entry(window).or_default().push(position);
    }
    positions
}

/// The longest range of the base that equals the beginning of the content, among the compared positions: its position
/// and its length.
fn longest_copy(
    base: &[u8],
    positions: &HashMap<&[u8], Vec<usize>>,
    content: &[u8],
    expected: usize,
) -> (usize, usize) {
    let window = content.get(..WINDOW_BYTES);
    let Some(positions) = window.and_then(|window| positions.get(window)) else { return (0, 0) };
    let start = positions.partition_point(|position| *position < expected);
    let near = start.saturating_sub(POSITIONS_BEFORE)..positions.len().min(start + POSITIONS_AFTER);
    let length = |position: usize| {
        base[position..].iter().zip(content).take_while(|(base, content)| base == content).count()
    };
    let copies = positions[near].iter().map(|position| (*position, length(*position)));
    copies
        .max_by_key(|(position, length)| (*length, std::cmp::Reverse(position.abs_diff(expected))))
        .unwrap_or((0, 0))
}

fn put_step(delta: &mut Vec<u8>, literal: &[u8], offset: i64, length: usize) {
    put_number(delta, literal.len() as u64);
    delta.extend_from_slice(literal);
    put_number(delta, ((offset << 1) ^ (offset >> 63)) as u64);
    put_number(delta, length as u64);
}

fn put_number(delta: &mut Vec<u8>, mut value: u64) {
    while value >= 0x80 {
        delta.push(value as u8 | 0x80);
        value >>= 7;
    }
    delta.push(value as u8);
}

fn read_number(delta: &mut &[u8]) -> Option<u64> {
    let mut value = 0;
    for shift in (0..28).step_by(7) {
        let (first, rest) = delta.split_first()?;
        *delta = rest;
        value |= u64::from(first & 0x7f) << shift;
        if first & 0x80 == 0 {
            return Some(value);
        }
    }
    None
}

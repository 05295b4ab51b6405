//! Ranges of the table and their hashes.

use millethook_machine::hash::mix;

use crate::fact::Fact;
use crate::message::DIGEST_BYTES;
use crate::table::Table;

/// The number of ranges that are compared at once.
pub(super) const RANGES: usize = 64;

/// [`RANGES`] ranges of `width` members each, from the member `first` on; or a single one of these ranges.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Span {
    /// The first member.
    pub first: u16,
    /// The width of a range, in members.
    pub width: u16,
}

impl Span {
    /// The single ranges, as far as the table of `members` members goes.
    pub fn parts(self, members: usize) -> impl Iterator<Item = Span> {
        let starts =
            (0..RANGES).map(move |n| usize::from(self.first) + n * usize::from(self.width));
        let starts = starts.take_while(move |first| *first < members);
        starts.map(move |first| Span { first: first as u16, ..self })
    }

    /// The facts about the members of a single range.
    pub fn facts(self, table: &Table) -> impl Iterator<Item = Fact> + use<'_> {
        let end = (usize::from(self.first) + usize::from(self.width)).min(table.len());
        (usize::from(self.first)..end).filter_map(|n| table.fact(n as u16))
    }

    /// The hash of a single range in one byte. Hashes that collide by chance differ with another `salt`.
    pub fn digest(self, table: &Table, salt: u16) -> u8 {
        let end = (usize::from(self.first) + usize::from(self.width)).min(table.len());
        let sum = table.range_hash(usize::from(self.first)..end);
        // A multiplication alone would not mix the salt into the sum, and two sums that collide once would collide with
        // every salt.
        mix(u64::from(sum) << 16 | u64::from(salt)) as u8
    }

    /// Appends the width (2 bytes) and the hashes (1 byte each).
    pub fn write(self, table: &Table, salt: u16, bytes: &mut Vec<u8>) {
        bytes.extend_from_slice(&self.width.to_be_bytes());
        let mut digests: Vec<u8> =
            self.parts(table.len()).map(|part| part.digest(table, salt)).collect();
        digests.resize(RANGES, 0);
        bytes.extend_from_slice(&digests);
    }

    /// Reads the span and its hashes at the start of a body. None: there are too few bytes, or the width is 0.
    pub fn read(first: u16, body: &[u8]) -> Option<(Span, impl Iterator<Item = u8> + use<'_>)> {
        let (digest, _) = body.split_first_chunk::<DIGEST_BYTES>()?;
        let (width, hashes) = digest.split_first_chunk::<2>()?;
        let width = u16::from_be_bytes(*width);
        (width > 0).then_some((Span { first, width }, hashes.iter().copied()))
    }
}

#[cfg(test)]
mod tests;

//! Splits the content of a long document into chunks, and keeps sets of chunk numbers.

use crate::document::MAX_CONTENT_BYTES;
use crate::{MAX_MESSAGE_BYTES, Version};

/// Bytes of content in one chunk; the last chunk may be shorter.
pub(crate) const CHUNK_BYTES: usize = MAX_MESSAGE_BYTES - 1 - Version::LENGTH - 4;
/// Chunks of the longest content.
pub(crate) const MAX_CHUNKS: usize = MAX_CONTENT_BYTES.div_ceil(CHUNK_BYTES);
/// A content with at most this many chunks is sent to a sidecar together with its head; a longer one is sent on
/// request. A lost request costs little in relation to a longer content. Sent eagerly, a long content would reach a
/// sidecar twice when another control node that learned of it earlier has already sent it, and control nodes would use
/// their full send rate for that.
pub(crate) const MAX_EAGER_CHUNKS: usize = 16;
const SET_WORDS: usize = MAX_CHUNKS.div_ceil(64);

/// The number of chunks of a content of `length` bytes.
pub(crate) fn count(length: usize) -> usize {
    length.div_ceil(CHUNK_BYTES)
}

/// Whether a content of `length` bytes is sent to a sidecar together with its head.
pub(crate) fn is_sent_eagerly(length: usize) -> bool {
    count(length) <= MAX_EAGER_CHUNKS
}

/// The bytes of chunk `index` of a content.
pub(crate) fn chunk(content: &[u8], index: usize) -> &[u8] {
    let begin = (index * CHUNK_BYTES).min(content.len());
    &content[begin..(begin + CHUNK_BYTES).min(content.len())]
}

/// A set of chunk numbers, as a bit set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ChunkSet([u64; SET_WORDS]);

impl ChunkSet {
    /// The set of all numbers below `count`.
    pub fn below(count: usize) -> ChunkSet {
        let mut all = ChunkSet::default();
        (0..count.min(MAX_CHUNKS)).for_each(|n| all.insert(n));
        all
    }

    /// Adds a number. Numbers beyond the largest possible chunk are ignored.
    pub fn insert(&mut self, index: usize) {
        if let Some(word) = self.0.get_mut(index / 64) {
            *word |= 1 << (index % 64);
        }
    }

    /// Whether the number is in the set.
    pub fn contains(&self, index: usize) -> bool {
        self.0.get(index / 64).is_some_and(|word| word >> (index % 64) & 1 > 0)
    }

    /// Whether the set has no numbers.
    pub fn is_empty(&self) -> bool {
        self.0.iter().all(|word| *word == 0)
    }

    /// Removes and returns the lowest number.
    pub fn pop(&mut self) -> Option<usize> {
        let (n, word) = self.0.iter_mut().enumerate().find(|(_, word)| **word != 0)?;
        let bit = word.trailing_zeros() as usize;
        *word &= *word - 1;
        Some(n * 64 + bit)
    }

    /// The numbers that are in either set.
    pub fn union(self, other: ChunkSet) -> ChunkSet {
        ChunkSet(std::array::from_fn(|n| self.0[n] | other.0[n]))
    }

    /// The numbers of this set that are not in `other`.
    pub fn without(self, other: ChunkSet) -> ChunkSet {
        ChunkSet(std::array::from_fn(|n| self.0[n] & !other.0[n]))
    }

    /// The lowest `max_count` numbers of this set.
    pub fn lowest(mut self, max_count: usize) -> ChunkSet {
        let mut lowest = ChunkSet::default();
        (0..max_count).map_while(|_| self.pop()).for_each(|index| lowest.insert(index));
        lowest
    }

    /// The highest number plus one; 0 for an empty set.
    pub fn end(&self) -> usize {
        let last = self.0.iter().enumerate().rev().find(|(_, word)| **word != 0);
        last.map_or(0, |(n, word)| n * 64 + 64 - word.leading_zeros() as usize)
    }

    /// The numbers of this set that are below `end`.
    pub fn only_below(self, end: usize) -> ChunkSet {
        self.without(self.without(ChunkSet::below(end)))
    }

    /// Appends the set to a message, without trailing zero bytes.
    pub fn write(&self, bytes: &mut Vec<u8>) {
        let all = self.0.iter().flat_map(|word| word.to_le_bytes());
        let all: Vec<u8> = all.collect();
        let end = all.iter().rposition(|byte| *byte != 0).map_or(1, |last| last + 1);
        bytes.extend_from_slice(&all[..end]);
    }

    /// Reads a set that takes up the rest of a message.
    pub fn read(bytes: &mut &[u8]) -> ChunkSet {
        let mut set = ChunkSet::default();
        for (n, byte) in bytes.iter().take(SET_WORDS * 8).enumerate() {
            set.0[n / 8] |= u64::from(*byte) << (n % 8 * 8);
        }
        *bytes = &[];
        set
    }
}

/// The parts of a document that are requested in addition to its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Wanted {
    /// All chunks.
    All,
    /// Only these chunks.
    Chunks(ChunkSet),
}

impl Wanted {
    /// Appends it to the end of a message.
    pub fn write(&self, bytes: &mut Vec<u8>) {
        if let Wanted::Chunks(chunks) = self {
            chunks.write(bytes);
        }
    }

    /// Reads it from the rest of a message.
    pub fn read(bytes: &mut &[u8]) -> Wanted {
        if bytes.is_empty() { Wanted::All } else { Wanted::Chunks(ChunkSet::read(bytes)) }
    }
}

//! Pieces of a long content.

use crate::document::MOST_CONTENT;
use crate::{MAX_MESSAGE_BYTES, Version};

/// Bytes of a content in one chunk; the last one may be shorter.
pub(crate) const CHUNK: usize = MAX_MESSAGE_BYTES - 1 - Version::LENGTH - 4;
/// Chunks of the longest content.
pub(crate) const MOST_CHUNKS: usize = MOST_CONTENT.div_ceil(CHUNK);
/// A content of so many chunks at most is sent to a sidecar together with its head; a longer one once it is asked for. A
/// request that gets lost costs a longer one little in comparison. Sent at once, it would come twice where a sidecar had
/// it from another control node that knew of it earlier, and control nodes send as fast as they may meanwhile.
pub(crate) const MOST_AT_ONCE: usize = 16;
const WORDS: usize = MOST_CHUNKS.div_ceil(64);

/// How many chunks a content has.
pub(crate) fn count(length: usize) -> usize {
    length.div_ceil(CHUNK)
}

/// Whether a content of so many bytes is sent to a sidecar together with its head.
pub(crate) fn comes_at_once(length: usize) -> bool {
    count(length) <= MOST_AT_ONCE
}

/// One chunk of a content.
pub(crate) fn chunk(content: &[u8], index: usize) -> &[u8] {
    let begin = (index * CHUNK).min(content.len());
    &content[begin..(begin + CHUNK).min(content.len())]
}

/// Numbers of chunks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ChunkSet([u64; WORDS]);

impl ChunkSet {
    /// The numbers below `count`.
    pub fn below(count: usize) -> ChunkSet {
        let mut all = ChunkSet::default();
        (0..count.min(MOST_CHUNKS)).for_each(|n| all.insert(n));
        all
    }

    pub fn insert(&mut self, index: usize) {
        if let Some(word) = self.0.get_mut(index / 64) {
            *word |= 1 << (index % 64);
        }
    }

    pub fn contains(&self, index: usize) -> bool {
        self.0.get(index / 64).is_some_and(|word| word >> (index % 64) & 1 > 0)
    }

    pub fn is_empty(&self) -> bool {
        self.0.iter().all(|word| *word == 0)
    }

    /// Takes the lowest number out.
    pub fn pop(&mut self) -> Option<usize> {
        let (n, word) = self.0.iter_mut().enumerate().find(|(_, word)| **word != 0)?;
        let bit = word.trailing_zeros() as usize;
        *word &= *word - 1;
        Some(n * 64 + bit)
    }

    /// All that is in the one or the other.
    pub fn union(self, other: ChunkSet) -> ChunkSet {
        ChunkSet(std::array::from_fn(|n| self.0[n] | other.0[n]))
    }

    /// What is here and not there.
    pub fn without(self, other: ChunkSet) -> ChunkSet {
        ChunkSet(std::array::from_fn(|n| self.0[n] & !other.0[n]))
    }

    /// So many of them, the lowest.
    pub fn lowest(mut self, most: usize) -> ChunkSet {
        let mut lowest = ChunkSet::default();
        (0..most).map_while(|_| self.pop()).for_each(|index| lowest.insert(index));
        lowest
    }

    /// One above the highest number.
    pub fn end(&self) -> usize {
        let last = self.0.iter().enumerate().rev().find(|(_, word)| **word != 0);
        last.map_or(0, |(n, word)| n * 64 + 64 - word.leading_zeros() as usize)
    }

    /// Those below a number.
    pub fn only_below(self, end: usize) -> ChunkSet {
        self.without(self.without(ChunkSet::below(end)))
    }

    /// Adds it to a message, without zeros at its end.
    pub fn write(&self, bytes: &mut Vec<u8>) {
        let all = self.0.iter().flat_map(|word| word.to_le_bytes());
        let all: Vec<u8> = all.collect();
        let end = all.iter().rposition(|byte| *byte != 0).map_or(1, |last| last + 1);
        bytes.extend_from_slice(&all[..end]);
    }

    /// Takes it from the end of a message.
    pub fn read(bytes: &mut &[u8]) -> ChunkSet {
        let mut set = ChunkSet::default();
        for (n, byte) in bytes.iter().take(WORDS * 8).enumerate() {
            set.0[n / 8] |= u64::from(*byte) << (n % 8 * 8);
        }
        *bytes = &[];
        set
    }
}

/// What is asked for of a document, beside its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Wanted {
    /// All chunks.
    All,
    /// Some.
    Chunks(ChunkSet),
}

impl Wanted {
    /// Adds it to the end of a message.
    pub fn write(&self, bytes: &mut Vec<u8>) {
        if let Wanted::Chunks(chunks) = self {
            chunks.write(bytes);
        }
    }

    /// Takes it from the end of a message.
    pub fn read(bytes: &mut &[u8]) -> Wanted {
        if bytes.is_empty() { Wanted::All } else { Wanted::Chunks(ChunkSet::read(bytes)) }
    }
}

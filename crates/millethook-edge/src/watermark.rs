//! The replay progress of a store, as its owner announces it to others.

/// The progress of a write in another store, according to that store's owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The write was served, or ended in a way that does not hold up its successors.
    Ended,
    /// The write ended unsuccessfully.
    Failed,
    /// The write has not ended.
    Open,
    /// No information about the write is available.
    Unknown,
}

/// Maximum number of unsuccessful writes that a watermark names.
pub const MAX_FAILED: usize = 3;

/// The replay progress of a store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Watermark {
    /// All writes up to this number have ended.
    pub upto: u64,
    /// Bit n is set if write `upto + 1 + n` has ended, for the next 64 writes.
    pub beyond: u64,
    /// The latest unsuccessful writes, newest first; 0 is an empty place.
    pub failed: [u64; MAX_FAILED],
}

impl Watermark {
    /// Returns the progress of a write.
    pub fn of(&self, seq: u64) -> Progress {
        let behind = seq.checked_sub(self.upto + 1);
        let ended = behind.is_none_or(|n| n < 64 && self.beyond >> n & 1 == 1);
        let last = self.failed[MAX_FAILED - 1];
        match ended {
            false => Progress::Open,
            true if self.failed.contains(&seq) => Progress::Failed,
            // For writes before the oldest named failure it is not known whether they ended well.
            true if last != 0 && seq < last => Progress::Unknown,
            true => Progress::Ended,
        }
    }
}

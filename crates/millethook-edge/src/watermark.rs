//! How far a store has been replayed, as its owner tells the others.

/// How far other stores have been replayed, by what their owners have told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The write has been served, or an operator has ended it.
    Ended,
    /// It has ended otherwise.
    Failed,
    /// It has none.
    Open,
    /// Nobody speaks of its store.
    Unknown,
}

/// Writes that ended otherwise than well which a mark names, at most.
pub const MAX_FAILED: usize = 3;

/// How far a store is, as others are told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Watermark {
    /// All up to this number have ended,
    pub upto: u64,
    /// and of the 64 behind it those whose bit is set, the first one in the lowest.
    pub beyond: u64,
    /// The last writes that ended otherwise than well, the latest first; 0: none.
    pub failed: [u64; MAX_FAILED],
}

impl Watermark {
    /// What it says of a write.
    pub fn of(&self, seq: u64) -> Progress {
        let behind = seq.checked_sub(self.upto + 1);
        let ended = behind.is_none_or(|n| n < 64 && self.beyond >> n & 1 == 1);
        let last = self.failed[MAX_FAILED - 1];
        match ended {
            false => Progress::Open,
            true if self.failed.contains(&seq) => Progress::Failed,
            // Of what lies before the earliest that is named nobody knows any more whether it ended well.
            true if last != 0 && seq < last => Progress::Unknown,
            true => Progress::Ended,
        }
    }
}

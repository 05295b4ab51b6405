//! Ids of stores and of writes.

use serde::{Deserialize, Serialize};

/// The id of a store. Each process has its own store, so no other process appends to it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct EdgeId(pub u64);

impl EdgeId {
    /// Builds the id of a process's store from the process's number in the fleet and the low 48 bits of its epoch.
    pub fn new(number: u16, epoch: u64) -> EdgeId {
        EdgeId(u64::from(number) << 48 | epoch & 0xffff_ffff_ffff)
    }

    /// The number of the sidecar that owns the store.
    pub fn number(self) -> u16 {
        (self.0 >> 48) as u16
    }
}

impl std::fmt::Display for EdgeId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The error of parsing an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidId;

impl std::fmt::Display for InvalidId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(
            "16 hexadecimal digits of a store expected, and for a write a dash and its number",
        )
    }
}

impl std::error::Error for InvalidId {}

impl std::str::FromStr for EdgeId {
    type Err = InvalidId;

    fn from_str(text: &str) -> Result<EdgeId, InvalidId> {
        let digits = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
        let id = u64::from_str_radix(text, 16).ok().filter(|_| digits);
        id.map(EdgeId).ok_or(InvalidId)
    }
}

/// The id of a stored write. Numbers start at 1.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct WriteId {
    /// The store.
    pub edge: EdgeId,
    /// The write's number in the store.
    pub seq: u64,
}

impl std::fmt::Display for WriteId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}-{:x}", self.edge, self.seq)
    }
}

impl std::str::FromStr for WriteId {
    type Err = InvalidId;

    fn from_str(text: &str) -> Result<WriteId, InvalidId> {
        let (edge, seq) = text.split_once('-').ok_or(InvalidId)?;
        let digits = (1..=16).contains(&seq.len()) && seq.bytes().all(|b| b.is_ascii_hexdigit());
        let seq = u64::from_str_radix(seq, 16).ok().filter(|seq| digits && *seq > 0);
        Ok(WriteId { edge: edge.parse()?, seq: seq.ok_or(InvalidId)? })
    }
}

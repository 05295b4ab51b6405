//! What a write comes after: the header that a client passes on as it got it.

use crate::WriteId;

/// Writes that one context names at most: the nearest ones are enough, as each names its own.
pub const MAX_CONTEXT_IDS: usize = 8;
/// Bytes of a context at most.
pub const MAX_CONTEXT_BYTES: usize = 320;

/// The nearest writes that one comes after.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Context(Vec<WriteId>);

/// Why a header is no context.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Malformed {
    /// Too long.
    Length,
    /// More ids than a context may name.
    Many,
    /// What stands there is no id.
    Id,
}

impl std::fmt::Display for Malformed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Malformed::Length => write!(f, "{MAX_CONTEXT_BYTES} bytes at most expected"),
            Malformed::Many => write!(f, "{MAX_CONTEXT_IDS} ids at most expected"),
            Malformed::Id => f.write_str("ids as they were given expected, with commas between"),
        }
    }
}

impl std::error::Error for Malformed {}

impl Context {
    /// Reads the value of a header; an empty one names nothing.
    ///
    /// # Errors
    /// It holds what was never given out in this form.
    pub fn parse(text: &str) -> Result<Context, Malformed> {
        if text.len() > MAX_CONTEXT_BYTES {
            return Err(Malformed::Length);
        }
        let parts = text.split(',').map(str::trim).filter(|part| !part.is_empty());
        let ids: Result<Vec<WriteId>, _> = parts.map(str::parse).collect();
        let mut ids = ids.map_err(|_| Malformed::Id)?;
        ids.sort_unstable();
        ids.dedup();
        if ids.len() > MAX_CONTEXT_IDS { Err(Malformed::Many) } else { Ok(Context(ids)) }
    }

    /// The writes that it names, in order.
    pub fn ids(&self) -> &[WriteId] {
        &self.0
    }
}

impl std::fmt::Display for Context {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (n, id) in self.0.iter().enumerate() {
            write!(f, "{}{id}", if n == 0 { "" } else { ", " })?;
        }
        Ok(())
    }
}

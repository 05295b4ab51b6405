//! The dependencies of a write, in the header that a client passes on unchanged.

use crate::WriteId;

/// Maximum number of writes in a context. The nearest dependencies suffice, since each of them names its own.
pub const MAX_CONTEXT_IDS: usize = 8;
/// Maximum length of a context in bytes.
pub const MAX_CONTEXT_BYTES: usize = 320;

/// The nearest writes on which a write depends.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Context(Vec<WriteId>);

/// The reason why a header is not a valid context.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Malformed {
    /// The text is longer than [`MAX_CONTEXT_BYTES`].
    Length,
    /// The text has more than [`MAX_CONTEXT_IDS`] ids.
    Many,
    /// A part of the text is not a write id.
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
    /// Parses the value of a header. An empty value names no writes.
    ///
    /// # Errors
    /// The value was not issued by a store in this form.
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

    /// Returns the named writes in ascending order.
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

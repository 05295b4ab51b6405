//! What orders the documents of a key.

use millethook_lease::Token;
use millethook_machine::codec::{self, BufMut};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// The name of one document: no two documents have one, and of two of a key the later one's is greater.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version {
    /// The lease of the writer that made it.
    pub token: Token,
    /// The writer's count of its documents, over all keys.
    pub counter: u32,
}

impl Version {
    /// Bytes of a version in a message.
    pub(crate) const LENGTH: usize = Token::LENGTH + 4;

    /// Adds it to a message.
    pub(crate) fn write(self, bytes: &mut Vec<u8>) {
        self.token.write(bytes);
        bytes.put_u32(self.counter);
    }

    /// Takes it from a message; None: there is less.
    pub(crate) fn read(bytes: &mut &[u8]) -> Option<Version> {
        Some(Version { token: Token::read(bytes)?, counter: codec::take_u32(bytes)? })
    }
}

impl std::fmt::Display for Version {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}-{}", self.token, self.counter)
    }
}

/// A text that is no version.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?}: a token of 24 hexadecimal digits, \"-\" and a number expected")]
pub struct NotAVersion(pub String);

impl std::str::FromStr for Version {
    type Err = NotAVersion;

    fn from_str(text: &str) -> Result<Version, NotAVersion> {
        let wrong = || NotAVersion(text.chars().take(64).collect());
        let (token, counter) = text.split_once('-').ok_or_else(wrong)?;
        let token = token.parse().map_err(|_| wrong())?;
        Ok(Version { token, counter: counter.parse().map_err(|_| wrong())? })
    }
}

impl Serialize for Version {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Version {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Version, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

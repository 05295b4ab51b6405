//! Versions, which order the documents of a key.

use millethook_lease::Token;
use millethook_machine::codec::{self, BufMut};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// The unique identifier of one version of a document. Of two versions of a key, the later one is greater.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version {
    /// The lease token of the writer that created it.
    pub token: Token,
    /// The writer's counter of its documents, over all keys.
    pub counter: u32,
}

impl Version {
    /// The length of an encoded version in bytes.
    pub(crate) const LENGTH: usize = Token::LENGTH + 4;

    /// Appends it to a message.
    pub(crate) fn write(self, bytes: &mut Vec<u8>) {
        self.token.write(bytes);
        bytes.put_u32(self.counter);
    }

    /// Reads it from a message; None: the message is too short.
    pub(crate) fn read(bytes: &mut &[u8]) -> Option<Version> {
        Some(Version { token: Token::read(bytes)?, counter: codec::take_u32(bytes)? })
    }
}

impl std::fmt::Display for Version {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}-{}", self.token, self.counter)
    }
}

/// A text that is not a version.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?}: a token of 24 hexadecimal digits, \"-\" and a number expected")]
pub struct InvalidVersion(pub String);

impl std::str::FromStr for Version {
    type Err = InvalidVersion;

    fn from_str(text: &str) -> Result<Version, InvalidVersion> {
        let invalid = || InvalidVersion(text.chars().take(64).collect());
        let (token, counter) = text.split_once('-').ok_or_else(invalid)?;
        let token = token.parse().map_err(|_| invalid())?;
        Ok(Version { token, counter: counter.parse().map_err(|_| invalid())? })
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

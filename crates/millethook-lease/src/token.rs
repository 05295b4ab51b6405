//! Fencing tokens, which order the owners of a job.

use millethook_machine::codec::{self, BufMut};

use crate::mutant::{self, Mutant};

/// Identifies one lease. Of two leases of a job, the later one has the greater token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token {
    /// The epoch of some acceptor's process: Unix time at its start in milliseconds, 48 bits, raised above every epoch
    /// that it has seen.
    pub epoch: u64,
    /// Counts leases and claims within the epoch.
    pub counter: u32,
    /// The number of the member that the lease was granted to.
    pub owner: u16,
}

impl Token {
    /// The length of a token in a message, in bytes.
    pub const LENGTH: usize = 12;

    /// The lowest token of `owner` that is greater than this one.
    pub fn next(self, owner: u16) -> Token {
        match self.counter.checked_add(1) {
            Some(counter) => Token { epoch: self.epoch, counter, owner },
            None => Token { epoch: self.epoch + 1, counter: 0, owner },
        }
    }

    /// Appends the token to a message.
    pub fn write(self, bytes: &mut Vec<u8>) {
        codec::put_epoch(bytes, self.epoch);
        bytes.put_u32(self.counter);
        bytes.put_u16(self.owner);
    }

    /// Reads a token from the front of a message. None: there are fewer than [`Token::LENGTH`] bytes.
    pub fn read(bytes: &mut &[u8]) -> Option<Token> {
        let (epoch, counter) = (codec::take_epoch(bytes)?, codec::take_u32(bytes)?);
        Some(Token { epoch, counter, owner: codec::take_u16(bytes)? })
    }
}

impl std::fmt::Display for Token {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:012x}{:08x}{:04x}", self.epoch, self.counter, self.owner)
    }
}

impl std::str::FromStr for Token {
    type Err = StaleToken;

    fn from_str(text: &str) -> Result<Token, StaleToken> {
        let invalid = StaleToken { given: Token::default(), highest: Token::default() };
        if text.len() != 2 * Token::LENGTH || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(invalid);
        }
        let part = |range| u64::from_str_radix(&text[range], 16).map_err(|_| invalid);
        let (counter, owner) = (part(12..20)? as u32, part(20..24)? as u16);
        Ok(Token { epoch: part(0..12)?, counter, owner })
    }
}

/// A token that is lower than one that was seen: a later lease has replaced the one that it identifies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StaleToken {
    /// The token that was given.
    pub given: Token,
    /// The highest token that was seen.
    pub highest: Token,
}

impl std::fmt::Display for StaleToken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "token {}: {} is known, that or a higher one expected", self.given, self.highest)
    }
}

impl std::error::Error for StaleToken {}

/// The highest token that was seen at one resource. Each resource that a job changes keeps a fence, which rejects lower
/// tokens. The owner's own check is not enough, because the owner may be suspended between the check and the effect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fence {
    highest: Token,
}

impl Fence {
    /// A fence that has seen this token.
    pub fn at(highest: Token) -> Fence {
        Fence { highest }
    }

    /// The highest token that was seen.
    pub fn highest(&self) -> Token {
        self.highest
    }

    /// Admits a token that is at least as high as all before.
    ///
    /// # Errors
    /// A higher token was seen. Nothing that comes with the lower one may be done.
    pub fn admit(&mut self, token: Token) -> Result<(), StaleToken> {
        if token < self.highest && !mutant::is(Mutant::NoFence) {
            return Err(StaleToken { given: token, highest: self.highest });
        }
        self.highest = self.highest.max(token);
        Ok(())
    }
}

//! What orders the owners of a job.

use millethook_machine::codec::{self, BufMut};

use crate::mutant::{self, Mutant};

/// The name of one grant. Of two grants of a job the later one's is greater.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token {
    /// The epoch of some seat's process: milliseconds of Unix time at its start, 48 bits, raised above all it heard.
    pub epoch: u64,
    /// Grants and tries within it.
    pub counter: u32,
    /// Whose it is.
    pub owner: u16,
}

impl Token {
    /// Bytes of a token.
    pub const LENGTH: usize = 12;

    /// The least one of `owner` that is above this one.
    pub fn next(self, owner: u16) -> Token {
        match self.counter.checked_add(1) {
            Some(counter) => Token { epoch: self.epoch, counter, owner },
            None => Token { epoch: self.epoch + 1, counter: 0, owner },
        }
    }

    /// Adds it to a message.
    pub fn write(self, bytes: &mut Vec<u8>) {
        codec::put_epoch(bytes, self.epoch);
        bytes.put_u32(self.counter);
        bytes.put_u16(self.owner);
    }

    /// Takes it from a message; None: there is less.
    pub fn read(bytes: &mut &[u8]) -> Option<Token> {
        let (epoch, counter) = (codec::epoch(bytes)?, codec::word(bytes)?);
        Some(Token { epoch, counter, owner: codec::short(bytes)? })
    }
}

impl std::fmt::Display for Token {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:012x}{:08x}{:04x}", self.epoch, self.counter, self.owner)
    }
}

impl std::str::FromStr for Token {
    type Err = Stale;

    fn from_str(text: &str) -> Result<Token, Stale> {
        let wrong = Stale { given: Token::default(), highest: Token::default() };
        if text.len() != 2 * Token::LENGTH || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(wrong);
        }
        let part = |range| u64::from_str_radix(&text[range], 16).map_err(|_| wrong);
        let (counter, owner) = (part(12..20)? as u32, part(20..24)? as u16);
        Ok(Token { epoch: part(0..12)?, counter, owner })
    }
}

/// A token that is lower than one that was seen: its owner has been followed by another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stale {
    /// The token that came.
    pub given: Token,
    /// The highest one that is known.
    pub highest: Token,
}

impl std::fmt::Display for Stale {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "token {}: {} is known, that or a higher one expected", self.given, self.highest)
    }
}

impl std::error::Error for Stale {}

/// The highest token that something has seen. It stands wherever a token is used, not only at the owner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fence {
    highest: Token,
}

impl Fence {
    /// One that has seen this.
    pub fn at(highest: Token) -> Fence {
        Fence { highest }
    }

    /// The highest token so far.
    pub fn highest(&self) -> Token {
        self.highest
    }

    /// Takes a token that is as high as all before.
    ///
    /// # Errors
    /// A higher one is known; nothing that comes with the lower one may be done.
    pub fn admit(&mut self, token: Token) -> Result<(), Stale> {
        if token < self.highest && !mutant::is(Mutant::NoFence) {
            return Err(Stale { given: token, highest: self.highest });
        }
        self.highest = self.highest.max(token);
        Ok(())
    }
}

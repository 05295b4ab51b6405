//! What members say to one another about leases: records, one behind another, in a content of at most 241 bytes.
//! Numbers are big-endian.
//!
//! | bytes | of | what |
//! | --- | --- | --- |
//! | 1 | all | what it is |
//! | 8 | all | the job |
//! | 4 | all but the last two | by which an answer is known |
//! | 4 | all but the last two | the list of members that the sender goes by |
//! | 1, and 4 each | claims | lists that it went by before and still heeds, at most 3 |
//! | 12 | all | a token: the one that is claimed, held, released, or the highest that is known |
//! | 2 | claims, *held* | milliseconds: how long the lease is, how much of it is left |

use millethook_machine::Micros;
use millethook_machine::codec::{self, BufMut};

use crate::JobId;
use crate::token::Token;

/// Earlier lists of members that are heeded at once, at most.
pub(crate) const MOST_BEFORE: usize = 3;
/// The longest lease, in microseconds: 65 s.
pub(crate) const LONGEST_LEASE: Micros = u16::MAX as Micros * 1_000;

/// A record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Record {
    pub job: JobId,
    pub say: Say,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Say {
    /// Grant me the job under this token, or go on granting it.
    Claim { nonce: u32, members: u32, before: [u32; MOST_BEFORE], token: Token, lease: Micros },
    /// It is yours.
    Granted { nonce: u32, members: u32, token: Token },
    /// Another one has it, under this token, for so long.
    Held { nonce: u32, members: u32, token: Token, left: Micros },
    /// The token is too low: this one is known.
    Low { nonce: u32, members: u32, token: Token },
    /// I do not want it any more.
    Release { token: Token },
    /// It is free, and you are the next: it was mine under this token.
    Invite { token: Token },
}

impl Record {
    pub fn write(&self, bytes: &mut Vec<u8>) {
        let (kind, token) = match self.say {
            Say::Claim { token, .. } => (1, token),
            Say::Granted { token, .. } => (2, token),
            Say::Held { token, .. } => (3, token),
            Say::Low { token, .. } => (4, token),
            Say::Release { token } => (5, token),
            Say::Invite { token } => (6, token),
        };
        bytes.put_u8(kind);
        bytes.put_u64(self.job.0);
        if let Say::Claim { nonce, members, .. }
        | Say::Granted { nonce, members, .. }
        | Say::Held { nonce, members, .. }
        | Say::Low { nonce, members, .. } = self.say
        {
            bytes.put_u32(nonce);
            bytes.put_u32(members);
        }
        if let Say::Claim { before, .. } = self.say {
            let before = before.iter().filter(|id| **id != 0);
            bytes.put_u8(before.clone().count() as u8);
            before.for_each(|id| bytes.put_u32(*id));
        }
        token.write(bytes);
        if let Say::Claim { lease: time, .. } | Say::Held { left: time, .. } = self.say {
            // Rounded up: who hears it waits long enough.
            bytes.put_u16(time.div_ceil(1_000).min(u64::from(u16::MAX)) as u16);
        }
    }

    pub fn read(bytes: &mut &[u8]) -> Option<Record> {
        let kind = codec::byte(bytes).filter(|kind| (1..=6).contains(kind))?;
        let job = JobId(codec::uint(bytes, 8)?);
        let (nonce, members) = match kind {
            1..=4 => (codec::word(bytes)?, codec::word(bytes)?),
            _ => (0, 0),
        };
        let mut before = [0; MOST_BEFORE];
        if kind == 1 {
            let count = usize::from(codec::byte(bytes)?);
            for id in before.get_mut(..count)? {
                *id = codec::word(bytes).filter(|id| *id != 0)?;
            }
        }
        let token = Token::read(bytes)?;
        let time = match kind {
            1 | 3 => Micros::from(codec::short(bytes)?) * 1_000,
            _ => 0,
        };
        let say = match kind {
            1 => Say::Claim { nonce, members, before, token, lease: time },
            2 => Say::Granted { nonce, members, token },
            3 => Say::Held { nonce, members, token, left: time },
            4 => Say::Low { nonce, members, token },
            5 => Say::Release { token },
            _ => Say::Invite { token },
        };
        Some(Record { job, say })
    }
}

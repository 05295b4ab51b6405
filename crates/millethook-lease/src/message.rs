//! Messages about leases: consecutive records, in at most 241 bytes. Numbers are big-endian.
//!
//! | bytes | of | content |
//! | --- | --- | --- |
//! | 1 | all | kind |
//! | 8 | all | job |
//! | 4 | all but releases and invitations | nonce of the round, repeated in the answer |
//! | 4 | all but releases and invitations | identifier of the member list that the sender uses |
//! | 1, and 4 each | claims | identifiers of earlier member lists that still count for the sender, at most 3 |
//! | 12 | all | token: claimed, granted, held, highest known, released, or of the lease that has ended |
//! | 2 | claims, `Held` | milliseconds: length of the lease, or its remaining time |

use millethook_machine::Micros;
use millethook_machine::codec::{BufMut, Malformed, Reader};
use millethook_machine::wire_enum;

use crate::JobId;
use crate::token::Token;

/// The maximum number of earlier member lists that count at the same time.
pub(crate) const MAX_EARLIER_LISTS: usize = 3;
/// Microseconds of the unit of times on the wire.
const MILLISECOND: Micros = 1_000;
/// The maximum length of a lease, in microseconds: 65 s.
pub(crate) const LONGEST_LEASE: Micros = u16::MAX as Micros * MILLISECOND;

/// A record about one job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Record {
    pub job: JobId,
    pub message: Message,
}

/// The content of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Message {
    /// A request for a lease, or for its renewal, under this token.
    Claim {
        nonce: u32,
        members: u32,
        before: [u32; MAX_EARLIER_LISTS],
        token: Token,
        lease: Micros,
    },
    /// The claim is granted.
    Granted { nonce: u32, members: u32, token: Token },
    /// Another token holds the job for this many microseconds.
    Held { nonce: u32, members: u32, token: Token, left: Micros },
    /// The token of the claim is too low: this higher one is known.
    TokenTooLow { nonce: u32, members: u32, token: Token },
    /// The owner no longer uses this token.
    Release { token: Token },
    /// The lease with this token has ended, and the receiver may claim the job at once.
    Invite { token: Token },
}

wire_enum! {
    /// The kind of a record: its first byte.
    pub(crate) enum RecordKind {
        /// See [`Message::Claim`].
        Claim = 1,
        /// See [`Message::Granted`].
        Granted = 2,
        /// See [`Message::Held`].
        Held = 3,
        /// See [`Message::TokenTooLow`].
        TokenTooLow = 4,
        /// See [`Message::Release`].
        Release = 5,
        /// See [`Message::Invite`].
        Invite = 6,
    }
}

impl Message {
    fn kind(&self) -> RecordKind {
        match self {
            Message::Claim { .. } => RecordKind::Claim,
            Message::Granted { .. } => RecordKind::Granted,
            Message::Held { .. } => RecordKind::Held,
            Message::TokenTooLow { .. } => RecordKind::TokenTooLow,
            Message::Release { .. } => RecordKind::Release,
            Message::Invite { .. } => RecordKind::Invite,
        }
    }
}

impl Record {
    /// Appends it to a message.
    pub fn write(&self, bytes: &mut Vec<u8>) {
        bytes.put_u8(self.message.kind().to_wire());
        bytes.put_u64(self.job.0);
        match self.message {
            Message::Claim { nonce, members, before, token, lease } => {
                put_round_head(bytes, nonce, members);
                let before = before.iter().filter(|id| **id != 0);
                bytes.put_u8(before.clone().count() as u8);
                before.for_each(|id| bytes.put_u32(*id));
                token.write(bytes);
                put_time(bytes, lease);
            }
            Message::Held { nonce, members, token, left } => {
                put_round_head(bytes, nonce, members);
                token.write(bytes);
                put_time(bytes, left);
            }
            Message::Granted { nonce, members, token }
            | Message::TokenTooLow { nonce, members, token } => {
                put_round_head(bytes, nonce, members);
                token.write(bytes);
            }
            Message::Release { token } | Message::Invite { token } => token.write(bytes),
        }
    }

    /// Reads one from a message.
    ///
    /// # Errors
    /// The message ends too early, or the bytes are not a record.
    pub fn read(reader: &mut Reader<'_>) -> Result<Record, Malformed> {
        let kind = RecordKind::from_wire(reader.u8()?).ok_or(Malformed::Kind)?;
        let job = JobId(reader.u64()?);
        let message = match kind {
            RecordKind::Claim => read_claim(reader)?,
            RecordKind::Granted => {
                let (nonce, members) = read_round_head(reader)?;
                Message::Granted { nonce, members, token: read_token(reader)? }
            }
            RecordKind::Held => {
                let (nonce, members) = read_round_head(reader)?;
                Message::Held {
                    nonce,
                    members,
                    token: read_token(reader)?,
                    left: read_time(reader)?,
                }
            }
            RecordKind::TokenTooLow => {
                let (nonce, members) = read_round_head(reader)?;
                Message::TokenTooLow { nonce, members, token: read_token(reader)? }
            }
            RecordKind::Release => Message::Release { token: read_token(reader)? },
            RecordKind::Invite => Message::Invite { token: read_token(reader)? },
        };
        Ok(Record { job, message })
    }
}

/// Appends the nonce of a round and the identifier of a member list.
fn put_round_head(bytes: &mut Vec<u8>, nonce: u32, members: u32) {
    bytes.put_u32(nonce);
    bytes.put_u32(members);
}

/// Appends a time in milliseconds, rounded up so that its reader waits long enough.
fn put_time(bytes: &mut Vec<u8>, time: Micros) {
    bytes.put_u16(time.div_ceil(MILLISECOND).min(u64::from(u16::MAX)) as u16);
}

/// Reads the nonce of a round and the identifier of a member list.
fn read_round_head(reader: &mut Reader<'_>) -> Result<(u32, u32), Malformed> {
    Ok((reader.u32()?, reader.u32()?))
}

fn read_claim(reader: &mut Reader<'_>) -> Result<Message, Malformed> {
    let (nonce, members) = read_round_head(reader)?;
    let mut before = [0; MAX_EARLIER_LISTS];
    let count = usize::from(reader.u8()?);
    for id in before.get_mut(..count).ok_or(Malformed::Value)? {
        // 0 stands for no list.
        *id = Some(reader.u32()?).filter(|id| *id != 0).ok_or(Malformed::Value)?;
    }
    Ok(Message::Claim {
        nonce,
        members,
        before,
        token: read_token(reader)?,
        lease: read_time(reader)?,
    })
}

fn read_token(reader: &mut Reader<'_>) -> Result<Token, Malformed> {
    reader.value(Token::read)
}

fn read_time(reader: &mut Reader<'_>) -> Result<Micros, Malformed> {
    Ok(Micros::from(reader.u16()?) * MILLISECOND)
}

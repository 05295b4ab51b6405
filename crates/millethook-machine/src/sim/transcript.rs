//! A record of every message of a simulated fleet, to compare the bytes of two builds of a state machine.

use std::collections::BTreeMap;
use std::fmt;

/// Offset basis and prime of FNV-1a with 64 bits (Fowler, Noll and Vo).
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// The prefix of a line that holds a message.
const KIND_PREFIX: &str = "kind ";

/// A digest of all messages in sending order, and the full first message of each kind.
///
/// The kind of a message is its first byte. [`fmt::Display`] writes one line with the number of messages, one with the
/// digest and one for each kind, so that a test can compare a run with a file that an earlier build wrote.
#[derive(Clone, Debug)]
pub struct Transcript {
    messages: u64,
    digest: u64,
    first_of_kind: BTreeMap<u8, Vec<u8>>,
}

impl Default for Transcript {
    fn default() -> Transcript {
        Transcript { messages: 0, digest: FNV_OFFSET, first_of_kind: BTreeMap::new() }
    }
}

impl Transcript {
    /// Records a message with its sender, its receiver and the time at which it was sent.
    pub fn record(&mut self, now: crate::Micros, from: u16, to: u16, content: &[u8]) {
        self.messages += 1;
        let envelope = [now, u64::from(from), u64::from(to), content.len() as u64];
        let envelope = envelope.into_iter().flat_map(u64::to_be_bytes);
        for byte in envelope.chain(content.iter().copied()) {
            self.digest = (self.digest ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        }
        if let Some(kind) = content.first() {
            self.first_of_kind.entry(*kind).or_insert_with(|| content.to_vec());
        }
    }

    /// Reads the messages from the [`fmt::Display`] output of a [`Transcript`].
    ///
    /// # Panics
    /// A line of a message is not in hexadecimal digits: the file is damaged.
    pub fn messages_in(text: &str) -> Vec<Vec<u8>> {
        text.lines().filter_map(|line| line.strip_prefix(KIND_PREFIX)).map(message_in).collect()
    }

    /// The first message of each kind, by kind.
    pub fn first_of_kind(&self) -> &BTreeMap<u8, Vec<u8>> {
        &self.first_of_kind
    }
}

impl fmt::Display for Transcript {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "messages {}", self.messages)?;
        writeln!(f, "digest {:016x}", self.digest)?;
        for (kind, content) in &self.first_of_kind {
            write!(f, "{KIND_PREFIX}{kind} ")?;
            content.iter().try_for_each(|byte| write!(f, "{byte:02x}"))?;
            writeln!(f)?;
        }
        Ok(())
    }
}

/// Parses a line after its prefix: the kind in decimal digits, then all bytes of the message in hexadecimal digits.
fn message_in(line: &str) -> Vec<u8> {
    let hex = line.split_once(' ').map_or("", |(_, hex)| hex);
    let byte = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("two digits");
    (0..hex.len()).step_by(2).map(byte).collect()
}

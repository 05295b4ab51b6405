//! Writes replies.

use super::codes::{ACTION, EVERYONE, REPLY_HEADER, action};
use crate::api::{Action, Micros};

/// Builds one reply. Records and tail are collected separately; [`Reply::finish`] joins them.
#[derive(Debug, Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
    count: u32,
}

impl Reply {
    fn push(&mut self, code: u8, fields: &[u8]) {
        let start = self.records.len();
        self.records.push(code);
        self.records.extend_from_slice(fields);
        self.records.resize(start + ACTION, 0);
        self.count += 1;
    }

    fn append_tail(&mut self, bytes: &[u8]) -> [u8; 8] {
        let offset = self.tail.len() as u32;
        self.tail.extend_from_slice(bytes);
        join(&offset.to_le_bytes(), &(bytes.len() as u32).to_le_bytes())
    }

    /// Starts the actions of an instance.
    pub fn select_instance(&mut self, instance: u16) {
        self.push(action::AT, &instance.to_le_bytes());
    }

    /// Reports that the decision code failed.
    pub fn fault(&mut self, text: &str) {
        let field = self.append_tail(text.as_bytes());
        self.push(action::FAULT, &field);
    }

    /// Adds an action of the instance that [`Reply::select_instance`] named last.
    pub fn action(&mut self, action: &Action) {
        match action {
            // The simulator writes each attempt at once, so `commit_within` always holds.
            Action::Send { id, server, timeout, commit_within: _ } => {
                let head: [u8; 14] = join(&id.0.to_le_bytes(), &server.0.to_le_bytes()[..6]);
                let record: [u8; 18] = join(&head, &wire_duration(*timeout).to_le_bytes());
                self.push(action::CALL_OUT, &record);
            }
            Action::Cancel { id, attempt } => {
                let index = u16::try_from(*attempt).unwrap_or(u16::MAX);
                let record: [u8; 10] = join(&id.0.to_le_bytes(), &index.to_le_bytes());
                self.push(action::CANCEL, &record);
            }
            // Follows only an event that the wire format does not have.
            Action::PassOn { .. } => {}
            Action::Refuse { id, retry_after } => {
                let record: [u8; 12] =
                    join(&id.0.to_le_bytes(), &wire_duration(*retry_after).to_le_bytes());
                self.push(action::DENY, &record);
            }
            Action::Fail { id } => self.push(action::SURRENDER, &id.0.to_le_bytes()),
            Action::Timer { delay, token } => {
                let record: [u8; 8] =
                    join(&wire_duration(*delay).to_le_bytes(), &token.to_le_bytes());
                self.push(action::SCHEDULE, &record);
            }
            Action::Probe { server } => self.push(action::CHECK, &server.0.to_le_bytes()[..6]),
            Action::CloseIdle { server } => {
                self.push(action::DISCONNECT, &server.0.to_le_bytes()[..6]);
            }
            Action::Subscribe => self.push(action::SUBSCRIBE, &[1]),
            Action::FetchList => self.push(action::RESOLVE, &[]),
            Action::Tell { peer, data } => {
                let field = self.append_tail(data);
                let record: [u8; 12] = join(&peer.to_le_bytes(), &field);
                self.push(action::TELL, &record);
            }
            Action::Log { text } => {
                let field = self.append_tail(text.as_bytes());
                self.push(action::EMIT, &field);
            }
        }
    }

    /// Appends the whole frame to `out` and resets the builder.
    pub fn finish(&mut self, out: &mut Vec<u8>) {
        let len = REPLY_HEADER + self.records.len() + self.tail.len();
        out.extend_from_slice(&(len as u32).to_le_bytes());
        out.extend_from_slice(&self.count.to_le_bytes());
        out.append(&mut self.records);
        out.append(&mut self.tail);
        self.count = 0;
    }
}

/// The peer number in [`Action::Tell`] that addresses all peers.
pub const ALL_PEERS: u32 = EVERYONE;

/// A duration as the wire format encodes it; longer durations are capped.
fn wire_duration(duration: Micros) -> u32 {
    u32::try_from(duration).unwrap_or(u32::MAX)
}

fn join<const N: usize>(a: &[u8], b: &[u8]) -> [u8; N] {
    let mut out = [0; N];
    out[..a.len()].copy_from_slice(a);
    out[a.len()..].copy_from_slice(b);
    out
}

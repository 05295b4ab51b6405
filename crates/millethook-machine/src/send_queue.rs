//! A bounded queue of messages, in which records for one receiver share a message.

use std::collections::VecDeque;

/// Messages that wait to be sent. A record is added to the last message for its receiver while that has room.
#[derive(Clone, Debug)]
pub struct SendQueue<To> {
    waiting: VecDeque<(To, Vec<u8>)>,
    most: usize,
    /// Messages that were dropped because the queue was full.
    pub dropped: u64,
}

impl<To: Copy + PartialEq> SendQueue<To> {
    /// An empty queue for at most `most` messages.
    pub fn new(most: usize) -> SendQueue<To> {
        SendQueue { waiting: VecDeque::new(), most, dropped: 0 }
    }

    /// Adds a message. It is dropped, and counted, if the queue is full.
    pub fn push(&mut self, to: To, content: Vec<u8>) {
        if self.waiting.len() >= self.most {
            self.dropped += 1;
        } else {
            self.waiting.push_back((to, content));
        }
    }

    /// Adds a record to the last message that waits for this receiver, if it has room, and otherwise as a message of
    /// its own.
    pub fn append(&mut self, to: To, record: &[u8]) {
        let last = self.waiting.iter_mut().rev().find(|(whom, _)| *whom == to);
        match last {
            Some((_, content)) if content.len() + record.len() <= crate::MAX_MESSAGE_BYTES => {
                content.extend_from_slice(record);
            }
            _ => self.push(to, record.to_vec()),
        }
    }

    /// The next message and its receiver.
    pub fn pop(&mut self) -> Option<(To, Vec<u8>)> {
        self.waiting.pop_front()
    }

    /// The number of messages that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no message waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

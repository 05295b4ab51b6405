//! A bounded queue of messages. Records for the same receiver are combined into one message.

use std::collections::VecDeque;

/// Messages that wait to be sent. A record is added to the last message for its receiver while that message has room.
#[derive(Clone, Debug)]
pub struct SendQueue<To> {
    waiting: VecDeque<(To, Vec<u8>)>,
    capacity: usize,
    /// Messages that were dropped because the queue was full.
    pub dropped: u64,
}

impl<To: Copy + PartialEq> SendQueue<To> {
    /// Creates an empty queue for at most `capacity` messages.
    pub fn new(capacity: usize) -> SendQueue<To> {
        SendQueue { waiting: VecDeque::new(), capacity, dropped: 0 }
    }

    /// Adds a message. If the queue is full, the message is dropped and counted.
    pub fn push(&mut self, to: To, content: Vec<u8>) {
        if self.waiting.len() >= self.capacity {
            self.dropped += 1;
        } else {
            self.waiting.push_back((to, content));
        }
    }

    /// Adds a record to the last queued message for this receiver if it fits, and otherwise as a new message.
    pub fn append(&mut self, to: To, record: &[u8]) {
        let last = self.waiting.iter_mut().rev().find(|(receiver, _)| *receiver == to);
        match last {
            Some((_, content)) if content.len() + record.len() <= crate::MAX_MESSAGE_BYTES => {
                content.extend_from_slice(record);
            }
            _ => self.push(to, record.to_vec()),
        }
    }

    /// Takes the next message and its receiver.
    pub fn pop(&mut self) -> Option<(To, Vec<u8>)> {
        self.waiting.pop_front()
    }

    /// The number of queued messages.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no message is queued.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

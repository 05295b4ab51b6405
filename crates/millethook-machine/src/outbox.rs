//! Messages on their way out, bounded, those for one receiver together.

use std::collections::VecDeque;

/// Contents that wait, by receiver. A record is added to the last content for its receiver while that has room.
#[derive(Clone, Debug)]
pub struct Outbox<To> {
    waiting: VecDeque<(To, Vec<u8>)>,
    most: usize,
    /// Records that found no room.
    pub dropped: u64,
}

impl<To: Copy + PartialEq> Outbox<To> {
    /// An empty one, for so many contents at most.
    pub fn new(most: usize) -> Outbox<To> {
        Outbox { waiting: VecDeque::new(), most, dropped: 0 }
    }

    /// Adds a content of its own.
    pub fn push(&mut self, to: To, content: Vec<u8>) {
        if self.waiting.len() >= self.most {
            self.dropped += 1;
        } else {
            self.waiting.push_back((to, content));
        }
    }

    /// Adds a record to what already waits for this receiver, or begins another content.
    pub fn append(&mut self, to: To, record: &[u8]) {
        let last = self.waiting.iter_mut().rev().find(|(whom, _)| *whom == to);
        match last {
            Some((_, content)) if content.len() + record.len() <= crate::LONGEST => {
                content.extend_from_slice(record);
            }
            _ => self.push(to, record.to_vec()),
        }
    }

    /// The next one.
    pub fn pop(&mut self) -> Option<(To, Vec<u8>)> {
        self.waiting.pop_front()
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

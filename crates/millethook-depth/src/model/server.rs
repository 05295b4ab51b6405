//! A simulated server: slots with a queue in front.

use std::collections::VecDeque;

use super::calls::AttemptId;
use crate::chain::Micros;

/// Identifies a server by its tier and its number there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerAt {
    /// The tier, from 0.
    pub tier: usize,
    /// The number.
    pub number: usize,
}

/// An attempt at a server.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// The attempt.
    pub attempt: AttemptId,
    /// The deadline that was sent to the server.
    pub deadline: Micros,
}

/// The result of an attempt's arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// A slot is free, and processing starts.
    Started,
    /// The attempt waits for a slot.
    Queued,
    /// The attempt is refused.
    Refused,
}

/// The state of a server.
#[derive(Debug, Default)]
pub struct Server {
    working: usize,
    waiting: VecDeque<Job>,
}

impl Server {
    /// Admits an attempt if there is a free slot or room in the queue.
    pub fn admit(&mut self, job: Job, slots: usize, queue: usize) -> Admission {
        if self.working < slots {
            self.working += 1;
            Admission::Started
        } else if self.waiting.len() < queue {
            self.waiting.push_back(job);
            Admission::Queued
        } else {
            Admission::Refused
        }
    }

    /// Frees a slot and returns the job that takes it next.
    pub fn free_slot(&mut self) -> Option<Job> {
        let next = self.waiting.pop_front();
        if next.is_none() {
            self.working = self.working.saturating_sub(1);
        }
        next
    }

    /// Returns the load report: waiting requests, and all requests at the server.
    pub fn report(&self) -> [f32; 2] {
        let waiting = self.waiting.len();
        [waiting as f32, (waiting + self.working) as f32]
    }
}

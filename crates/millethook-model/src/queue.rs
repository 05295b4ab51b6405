//! The event queue of the virtual clock.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use crate::Micros;

/// Events ordered by time; events with the same time keep the order in which they were added.
#[derive(Debug)]
pub struct Queue<E> {
    heap: BinaryHeap<Entry<E>>,
    added: u64,
}

#[derive(Debug)]
struct Entry<E> {
    at: Micros,
    number: u64,
    event: E,
}

impl<E> Default for Queue<E> {
    fn default() -> Queue<E> {
        Queue { heap: BinaryHeap::new(), added: 0 }
    }
}

impl<E> Queue<E> {
    /// Adds an event.
    pub fn schedule(&mut self, at: Micros, event: E) {
        self.heap.push(Entry { at, number: self.added, event });
        self.added += 1;
    }

    /// Removes the next event and returns it with its time.
    pub fn pop(&mut self) -> Option<(Micros, E)> {
        self.heap.pop().map(|entry| (entry.at, entry.event))
    }

    /// Returns the number of pending events.
    pub fn len(&self) -> usize {
        self.heap.len()
    }

    /// Returns whether no event is pending.
    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }
}

impl<E> Ord for Entry<E> {
    /// Reversed, because the heap returns the greatest entry first and the earliest event is needed.
    fn cmp(&self, other: &Entry<E>) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Entry<E>) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Entry<E>) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for Entry<E> {}

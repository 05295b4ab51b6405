//! The queue of updates to disseminate. Each is sent a number of times that grows with the logarithm of the fleet's
//! size, the least sent first (SWIM, section 4.1).

use std::collections::VecDeque;

/// The members with a pending update.
#[derive(Clone, Debug)]
pub(crate) struct UpdateQueue {
    /// By number of transmissions: members, each with the stamp under which it was queued.
    levels: Vec<VecDeque<(u16, u32)>>,
    /// By member: the valid stamp; 0: there is no update. Queue entries with another stamp are stale.
    stamps: Vec<u32>,
    /// The number of updates.
    count: usize,
    next: u32,
}

/// Transmissions for each power of ten of the fleet's size, and at least as many as in a fleet of ten.
const TRANSMISSIONS_PER_DECADE: usize = 4;

impl UpdateQueue {
    /// An empty queue for this many members.
    pub fn new(members: usize) -> UpdateQueue {
        let decades = ((members + 1) as f64).log10().ceil().max(1.0) as usize;
        UpdateQueue {
            levels: vec![VecDeque::new(); TRANSMISSIONS_PER_DECADE * decades],
            stamps: vec![0; members],
            count: 0,
            next: 0,
        }
    }

    /// Whether nothing is to be sent.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Queues an update about a member, not sent so far.
    pub fn add(&mut self, number: u16) {
        self.insert(number, 0);
    }

    /// Queues an update about a member ahead of all others.
    pub fn add_first(&mut self, number: u16) {
        self.insert(number, 0);
        if let Some(last) = self.levels[0].pop_back() {
            self.levels[0].push_front(last);
        }
    }

    /// Drops the updates about members that satisfy a predicate.
    pub fn drop_where(&mut self, mut known: impl FnMut(u16) -> bool) {
        for queue in &mut self.levels {
            queue.retain(|&(number, stamp)| {
                let is_current = self.stamps[usize::from(number)] == stamp;
                let dropped = is_current && known(number);
                if dropped {
                    self.stamps[usize::from(number)] = 0;
                    self.count -= 1;
                }
                is_current && !dropped
            });
            queue.shrink_to(queue.len().next_power_of_two().max(64));
        }
    }

    /// Queues an update after `level` transmissions.
    fn insert(&mut self, number: u16, level: usize) {
        let Some(stamp) = self.stamps.get_mut(usize::from(number)) else { return };
        if *stamp == 0 {
            self.count += 1;
        }
        // 0 means that there is no update.
        self.next = self.next.wrapping_add(1).max(1);
        *stamp = self.next;
        self.levels[level].push_back((number, self.next));
        // A member that changes often leaves many stale entries. They are removed, so that memory stays bounded.
        if self.levels[level].len() > 2 * self.stamps.len() + 8 {
            let stamps = &self.stamps;
            self.levels[level].retain(|(n, s)| stamps[usize::from(*n)] == *s);
        }
    }

    /// Offers members to `write`, the least sent first, until it returns false. Each member that was written counts as
    /// sent once more.
    pub fn send(&mut self, mut write: impl FnMut(u16) -> bool) {
        let mut taken: Vec<(u16, usize)> = Vec::new();
        'all: for level in 0..self.levels.len() {
            while let Some(&(number, stamp)) = self.levels[level].front() {
                let is_current = self.stamps[usize::from(number)] == stamp;
                if is_current && !write(number) {
                    break 'all;
                }
                self.levels[level].pop_front();
                if is_current {
                    taken.push((number, level + 1));
                    self.stamps[usize::from(number)] = 0;
                    self.count -= 1;
                }
            }
        }
        let levels = self.levels.len();
        for &(number, level) in taken.iter().filter(|t| t.1 < levels) {
            self.insert(number, level);
        }
    }
}

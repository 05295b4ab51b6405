//! Scheduling of outgoing messages. Messages of several kinds are queued, and the kinds share a budget of bytes per second
//! by weight, as in weighted fair queueing (Demers, Keshav and Shenker, 1989). Messages for the same receiver are combined
//! into one datagram.

use std::collections::VecDeque;

use millethook_machine::Violation;

use crate::frame::{FrameWriter, Header, MAX_RECORD};

/// A point in time or a duration, in microseconds.
pub type Micros = u64;

/// The maximum number of queued messages of a kind. Beyond it the oldest is dropped, because newer messages supersede
/// it.
const MAX_QUEUED: usize = 64;

/// A kind of messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Kind {
    /// The number of the kind in frames.
    pub number: u8,
    /// The kind's share of the budget, relative to the other kinds that have queued messages.
    pub weight: u32,
}

/// The settings of a channel.
#[derive(Clone, Debug)]
pub struct ChannelConfig {
    /// The budget in bytes per second.
    pub rate: u32,
    /// Bytes that may be sent at once after an idle period; at least 256.
    pub burst: u32,
    /// The kinds of messages. Messages of other kinds are rejected.
    pub kinds: Vec<Kind>,
}

/// Tolerance for rounding errors of the budget, in bytes. Without it, the budget could fall just short at the time that
/// [`Channel::poll_timeout`] returned.
const ROUNDING_BYTES: f64 = 1e-3;

struct Queue {
    kind: Kind,
    messages: VecDeque<(u16, Vec<u8>)>,
    /// Bytes sent, divided by the weight. The kind with the lowest value is sent first.
    weighted_bytes: f64,
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams sent.
    pub datagrams: u64,
    /// Bytes sent.
    pub bytes: u64,
    /// Messages that were dropped because newer ones superseded them in the queue.
    pub dropped: u64,
}

/// Queues messages and sends them within the budget.
pub struct Channel {
    rate: f64,
    burst: f64,
    queues: Vec<Queue>,
    /// Remaining bytes of the budget.
    budget: f64,
    /// When `budget` was last updated.
    updated: Micros,
    counts: Counts,
}

impl Channel {
    /// Creates a channel with a full budget.
    pub fn new(config: &ChannelConfig, now: Micros) -> Channel {
        let burst = f64::from(config.burst.max(crate::MAX_FRAME_BYTES as u32));
        let queue =
            |kind: &Kind| Queue { kind: *kind, messages: VecDeque::new(), weighted_bytes: 0.0 };
        Channel {
            rate: f64::from(config.rate.max(1)),
            burst,
            queues: config.kinds.iter().map(queue).collect(),
            budget: burst,
            updated: now,
            counts: Counts::default(),
        }
    }

    /// Counts since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Queues a message. False: the channel does not have this kind, or the message is too long.
    pub fn offer(&mut self, to: u16, kind: u8, content: Vec<u8>) -> bool {
        let lowest =
            self.queues.iter().filter(|q| !q.messages.is_empty()).map(|q| q.weighted_bytes);
        let lowest = lowest.fold(f64::INFINITY, f64::min);
        let Some(queue) = self.queues.iter_mut().find(|q| q.kind.number == kind) else {
            return false;
        };
        if content.len() > MAX_RECORD {
            return false;
        }
        if queue.messages.is_empty() && lowest.is_finite() {
            // A kind accumulates no share of the budget while it is idle.
            queue.weighted_bytes = queue.weighted_bytes.max(lowest);
        }
        queue.messages.push_back((to, content));
        if queue.messages.len() > MAX_QUEUED {
            queue.messages.pop_front();
            self.counts.dropped += 1;
        }
        true
    }

    /// Whether less than a third of the burst is left, or messages are queued. Callers then delay or omit messages that are
    /// not needed now.
    pub fn is_congested(&mut self, now: Micros) -> bool {
        self.update_budget(now);
        self.budget < self.burst / 3.0 || self.queues.iter().any(|q| !q.messages.is_empty())
    }

    fn update_budget(&mut self, now: Micros) {
        let elapsed_s = now.saturating_sub(self.updated) as f64 / 1e6;
        self.updated = self.updated.max(now);
        self.budget = (self.budget + elapsed_s * self.rate).min(self.burst);
    }

    /// Takes the next datagram and its receiver, if there is one and the budget allows it now.
    pub fn poll(&mut self, now: Micros, header: Header) -> Option<(u16, Vec<u8>)> {
        self.update_budget(now);
        // The datagram may have the length of a full frame.
        if self.budget + ROUNDING_BYTES < crate::MAX_FRAME_BYTES as f64 {
            return None;
        }
        let has_messages = |q: &&mut Queue| !q.messages.is_empty();
        let first = self
            .queues
            .iter_mut()
            .filter(has_messages)
            .min_by(|a, b| a.weighted_bytes.total_cmp(&b.weighted_bytes))?;
        let to = first.messages.front()?.0;
        let mut frame = FrameWriter::new(header);
        let mut order: Vec<usize> = (0..self.queues.len()).collect();
        order.sort_by(|a, b| {
            self.queues[*a].weighted_bytes.total_cmp(&self.queues[*b].weighted_bytes)
        });
        for n in order {
            let queue = &mut self.queues[n];
            let mut kept = VecDeque::with_capacity(queue.messages.len());
            for (receiver, content) in queue.messages.drain(..) {
                if receiver == to && frame.push(queue.kind.number, &content) {
                    queue.weighted_bytes +=
                        content.len().max(1) as f64 / f64::from(queue.kind.weight.max(1));
                } else {
                    kept.push_back((receiver, content));
                }
            }
            queue.messages = kept;
        }
        let bytes = frame.finish();
        self.budget -= bytes.len() as f64;
        self.counts.datagrams += 1;
        self.counts.bytes += bytes.len() as u64;
        Some((to, bytes))
    }

    /// Checks every invariant of the channel.
    ///
    /// # Errors
    /// The first invariant that does not hold, with the values.
    pub fn check(&self) -> Result<(), Violation> {
        let rule = Violation::unless;
        for queue in &self.queues {
            let queued = queue.messages.len();
            rule(queued <= MAX_QUEUED, "the number of queued messages is bounded", &|| {
                queued.to_string()
            })?;
            let longest =
                queue.messages.iter().map(|(_, content)| content.len()).max().unwrap_or(0);
            rule(longest <= MAX_RECORD, "a message fits into a datagram", &|| longest.to_string())?;
        }
        rule(self.budget <= self.burst, "the unused budget is at most the burst", &|| {
            format!("{} of {}", self.budget, self.burst)
        })?;
        rule(self.budget >= -ROUNDING_BYTES, "the bytes sent stay within the budget", &|| {
            self.budget.to_string()
        })?;
        let Counts { datagrams, bytes, .. } = self.counts;
        rule(
            bytes <= datagrams * crate::MAX_FRAME_BYTES as u64,
            "a datagram has at most 256 bytes",
            &|| format!("{bytes} bytes in {datagrams}"),
        )
    }

    /// When the budget next allows a datagram. None: no message is queued.
    pub fn poll_timeout(&self) -> Option<Micros> {
        if self.queues.iter().all(|q| q.messages.is_empty()) {
            return None;
        }
        let missing = (crate::MAX_FRAME_BYTES as f64 - self.budget).max(0.0);
        Some(self.updated + (missing / self.rate * 1e6).ceil() as Micros)
    }
}

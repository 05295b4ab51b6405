//! What goes out when: messages of several kinds wait, and a budget of bytes a second is shared among the kinds by
//! weight, as in weighted fair queueing (Demers, Keshav and Shenker, 1989). Messages for one receiver travel
//! together.

use std::collections::VecDeque;

use millethook_machine::Violation;

use crate::frame::{FrameWriter, Header, MAX_RECORD};

/// Microseconds.
pub type Micros = u64;

/// Messages of a kind that wait; of more the oldest goes first: news that waited has been overtaken by newer.
const WAITING: usize = 64;

/// A kind of message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Kind {
    /// Its number in frames.
    pub number: u8,
    /// Its part of the budget while others wait, too.
    pub weight: u32,
}

/// How a channel is set up.
#[derive(Clone, Debug)]
pub struct ChannelConfig {
    /// Bytes a second.
    pub rate: u32,
    /// Bytes that may go out at once after silence; 256 at least.
    pub burst: u32,
    /// The kinds. Others are not taken.
    pub kinds: Vec<Kind>,
}

/// Bytes by which sums of parts may be short of the whole: at the time that [`Channel::poll_timeout`] named there has
/// to be enough.
const ROUNDING: f64 = 1e-3;

struct Queue {
    kind: Kind,
    waiting: VecDeque<(u16, Vec<u8>)>,
    /// Bytes sent over the weight: the least goes first.
    spent: f64,
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams that went out.
    pub datagrams: u64,
    /// Bytes of them.
    pub bytes: u64,
    /// Messages that were overtaken by newer ones while they waited.
    pub dropped: u64,
}

/// The way out.
pub struct Channel {
    rate: f64,
    burst: f64,
    queues: Vec<Queue>,
    left: f64,
    counted: Micros,
    counts: Counts,
}

impl Channel {
    /// One with a full budget.
    pub fn new(config: &ChannelConfig, now: Micros) -> Channel {
        let burst = f64::from(config.burst.max(crate::MAX_FRAME_BYTES as u32));
        let queue = |kind: &Kind| Queue { kind: *kind, waiting: VecDeque::new(), spent: 0.0 };
        Channel {
            rate: f64::from(config.rate.max(1)),
            burst,
            queues: config.kinds.iter().map(queue).collect(),
            left: burst,
            counted: now,
            counts: Counts::default(),
        }
    }

    /// Counts so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Takes a message; false: of no kind that this channel has, or too long.
    pub fn offer(&mut self, to: u16, kind: u8, content: Vec<u8>) -> bool {
        let least = self.queues.iter().filter(|q| !q.waiting.is_empty()).map(|q| q.spent);
        let least = least.fold(f64::INFINITY, f64::min);
        let Some(queue) = self.queues.iter_mut().find(|q| q.kind.number == kind) else {
            return false;
        };
        if content.len() > MAX_RECORD {
            return false;
        }
        if queue.waiting.is_empty() && least.is_finite() {
            // A kind that was silent has saved up nothing.
            queue.spent = queue.spent.max(least);
        }
        queue.waiting.push_back((to, content));
        if queue.waiting.len() > WAITING {
            queue.waiting.pop_front();
            self.counts.dropped += 1;
        }
        true
    }

    /// Whether less than a third of the burst is left, or something waits: who has something to say that can wait
    /// or be left out does so.
    pub fn is_congested(&mut self, now: Micros) -> bool {
        self.count(now);
        self.left < self.burst / 3.0 || self.queues.iter().any(|q| !q.waiting.is_empty())
    }

    fn count(&mut self, now: Micros) {
        let passed = now.saturating_sub(self.counted) as f64 / 1e6;
        self.counted = self.counted.max(now);
        self.left = (self.left + passed * self.rate).min(self.burst);
    }

    /// The next datagram and its receiver, if there is one and the budget allows it now.
    pub fn poll(&mut self, now: Micros, header: Header) -> Option<(u16, Vec<u8>)> {
        self.count(now);
        // What is sent may be as long as a whole frame.
        if self.left + ROUNDING < crate::MAX_FRAME_BYTES as f64 {
            return None;
        }
        let waiting = |q: &&mut Queue| !q.waiting.is_empty();
        let first =
            self.queues.iter_mut().filter(waiting).min_by(|a, b| a.spent.total_cmp(&b.spent))?;
        let to = first.waiting.front()?.0;
        let mut frame = FrameWriter::new(header);
        let mut order: Vec<usize> = (0..self.queues.len()).collect();
        order.sort_by(|a, b| self.queues[*a].spent.total_cmp(&self.queues[*b].spent));
        for n in order {
            let queue = &mut self.queues[n];
            let mut kept = VecDeque::with_capacity(queue.waiting.len());
            for (whom, content) in queue.waiting.drain(..) {
                if whom == to && frame.push(queue.kind.number, &content) {
                    queue.spent +=
                        content.len().max(1) as f64 / f64::from(queue.kind.weight.max(1));
                } else {
                    kept.push_back((whom, content));
                }
            }
            queue.waiting = kept;
        }
        let bytes = frame.finish();
        self.left -= bytes.len() as f64;
        self.counts.datagrams += 1;
        self.counts.bytes += bytes.len() as u64;
        Some((to, bytes))
    }

    /// Looks at every rule of the channel.
    ///
    /// # Errors
    /// The first one that is broken, with the values.
    pub fn check(&self) -> Result<(), Violation> {
        let rule = Violation::unless;
        for queue in &self.queues {
            let waits = queue.waiting.len();
            rule(waits <= WAITING, "messages that wait are bounded", &|| waits.to_string())?;
            let long = queue.waiting.iter().map(|(_, content)| content.len()).max().unwrap_or(0);
            rule(long <= MAX_RECORD, "a message fits a datagram", &|| long.to_string())?;
        }
        rule(self.left <= self.burst, "no more is saved up than the burst", &|| {
            format!("{} of {}", self.left, self.burst)
        })?;
        rule(self.left >= -ROUNDING, "no more goes out than the budget allows", &|| {
            self.left.to_string()
        })?;
        let Counts { datagrams, bytes, .. } = self.counts;
        rule(
            bytes <= datagrams * crate::MAX_FRAME_BYTES as u64,
            "a datagram has 256 bytes at most",
            &|| format!("{bytes} bytes in {datagrams}"),
        )
    }

    /// When the budget next allows what waits; None: nothing waits.
    pub fn poll_timeout(&self) -> Option<Micros> {
        if self.queues.iter().all(|q| q.waiting.is_empty()) {
            return None;
        }
        let lacking = (crate::MAX_FRAME_BYTES as f64 - self.left).max(0.0);
        Some(self.counted + (lacking / self.rate * 1e6).ceil() as Micros)
    }
}

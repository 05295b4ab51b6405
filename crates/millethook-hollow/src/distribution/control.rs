//! A control node and its queue of publications.

use std::collections::VecDeque;

use millethook_distribution::{
    ControlFigures, ControlNode, DistributionConfig, DocumentKey, Rollout, Scope, Token, Version,
};
use millethook_frames::{Channel, ChannelConfig, Frame, Header, fleet_id};
use millethook_machine::Violation;

use super::{DOCUMENT, serial};
use crate::Micros;
use crate::node::{Node, StateSummary};

/// Delay before a failed publication is retried.
const PUBLISH_RETRY_DELAY: Micros = 20_000;
/// The channel's rate is the control node's own budget times this factor. The control node enforces its budget
/// itself; the channel only packs records into frames and must not limit it further.
const CHANNEL_RATE_FACTOR: u32 = 4;

/// A document to be published.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Publication {
    /// When it is due.
    pub at: Micros,
    /// Its serial number.
    pub serial: u32,
    /// Its scope.
    pub scope: Scope,
    /// Size of its body.
    pub bytes: usize,
}

/// One control node.
pub struct Control {
    node: ControlNode,
    channel: Channel,
    header: Header,
    publications: VecDeque<Publication>,
    /// The version of the last publication.
    published: Option<Version>,
}

impl Control {
    /// Creates a control node that has just started, with empty state.
    pub fn new(config: DistributionConfig, (fleet, epoch): (&str, u64), now: Micros) -> Control {
        let rate = config.limits.rate.saturating_mul(CHANNEL_RATE_FACTOR);
        let channel = ChannelConfig { rate, burst: rate, kinds: vec![DOCUMENT] };
        let header = Header { fleet: fleet_id(fleet), from: config.me, epoch };
        Control {
            node: ControlNode::new(config, None, now),
            channel: Channel::new(&channel, now),
            header,
            publications: VecDeque::new(),
            published: None,
        }
    }

    /// Makes this node the writer, with a lease whose owner the plan names.
    pub fn become_writer(&mut self, now: Micros, epoch: u64) {
        let token = Token { epoch, counter: 1, owner: self.header.from };
        self.node.announce_writer(now, token);
    }

    /// Queues documents, to be published when they are due and this node is able to.
    pub fn publish(&mut self, publications: impl IntoIterator<Item = Publication>) {
        self.publications.extend(publications);
    }

    /// Rollout of the last publication as known to the writer, or `None` if nothing was published or it is not
    /// committed.
    pub fn rollout(&self, now: Micros) -> Option<Rollout> {
        self.node.report(now, self.published?)
    }

    /// Returns the control node's counters.
    pub fn figures(&self, now: Micros) -> ControlFigures {
        self.node.figures(now)
    }

    /// Publishes the documents that are due, and returns when the next one is.
    fn publish_due(&mut self, now: Micros) -> Micros {
        while let Some(next) = self.publications.front().copied() {
            if next.at > now {
                return next.at;
            }
            let key = DocumentKey::configuration(next.scope);
            let body = serial::body(next.serial, next.bytes);
            match self.node.publish(now, key, Some(body)) {
                Ok(version) => {
                    self.published = Some(version);
                    self.publications.pop_front();
                }
                // The writer is not ready, or no longer the writer: retried later.
                Err(_) => return now + PUBLISH_RETRY_DELAY,
            }
        }
        Micros::MAX
    }
}

impl Node for Control {
    fn handle(&mut self, now: Micros, from: u16, datagram: &[u8]) {
        let Ok(frame) = Frame::parse(datagram) else { return };
        if frame.header.fleet != self.header.fleet || frame.header.from != from {
            return;
        }
        for (_, content) in frame.records().filter(|(kind, _)| *kind == DOCUMENT.number) {
            self.node.handle(now, from, content);
        }
    }

    fn pump(&mut self, now: Micros, send: &mut dyn FnMut(u16, Vec<u8>)) -> Micros {
        let next = self.publish_due(now);
        if self.node.poll_timeout() <= now {
            self.node.tick(now);
        }
        while self.node.poll_event().is_some() {}
        while let Some((to, content)) = self.node.poll_transmit() {
            // Offered and sent one at a time: a channel with many queued records drops the oldest ones.
            self.channel.offer(to, DOCUMENT.number, content);
            while let Some((to, bytes)) = self.channel.poll(now, self.header) {
                send(to, bytes);
            }
        }
        let next = next.min(self.node.poll_timeout());
        self.channel.poll_timeout().map_or(next, |at| next.min(at))
    }

    fn state_summary(&self) -> StateSummary {
        StateSummary::default()
    }

    fn check(&self, now: Micros) -> Result<(), Violation> {
        self.node.check(now)
    }

    fn control(&mut self) -> Option<&mut Control> {
        Some(self)
    }
}

//! A sidecar that receives documents: subscriber and channel.

use millethook_distribution::{DistributionConfig, Subscriber, SubscriberEvent, Version};
use millethook_frames::{Channel, ChannelConfig, Frame, Header, fleet_id};
use millethook_machine::Violation;

use super::{DOCUMENT, serial};
use crate::Micros;
use crate::node::{Node, StateSummary};

/// Burst size, in seconds of the byte budget.
const BURST_S: u32 = 2;

/// One sidecar's subscriber and channel.
pub struct HollowSubscriber {
    subscriber: Subscriber,
    channel: Channel,
    header: Header,
    serial: u32,
}

impl HollowSubscriber {
    /// Creates a sidecar that has just started, with empty state.
    pub fn new(
        config: DistributionConfig,
        bytes_per_second: u32,
        (fleet, epoch): (&str, u64),
        now: Micros,
    ) -> HollowSubscriber {
        let rate = bytes_per_second;
        let burst = rate.saturating_mul(BURST_S);
        let channel = ChannelConfig { rate, burst, kinds: vec![DOCUMENT] };
        let header = Header { fleet: fleet_id(fleet), from: config.me, epoch };
        HollowSubscriber {
            subscriber: Subscriber::new(config, None, now),
            channel: Channel::new(&channel, now),
            header,
            serial: 0,
        }
    }

    /// Accepts all offered documents, like a daemon whose validation finds no fault.
    fn accept_offered(&mut self, now: Micros) {
        while let Some(SubscriberEvent::Offered { documents }) = self.subscriber.poll_event() {
            let versions: Vec<Version> =
                documents.iter().map(|document| document.version).collect();
            // If a version was replaced in the meantime, the newer one comes with the next event.
            if self.subscriber.accept(now, &versions).is_ok() {
                let serials = documents.iter().map(|document| serial::serial(document));
                self.serial = serials.fold(self.serial, u32::max);
            }
        }
    }
}

impl Node for HollowSubscriber {
    fn handle(&mut self, now: Micros, from: u16, datagram: &[u8]) {
        let Ok(frame) = Frame::parse(datagram) else { return };
        if frame.header.fleet != self.header.fleet || frame.header.from != from {
            return;
        }
        for (_, content) in frame.records().filter(|(kind, _)| *kind == DOCUMENT.number) {
            self.subscriber.handle(now, from, content);
        }
    }

    fn pump(&mut self, now: Micros, send: &mut dyn FnMut(u16, Vec<u8>)) -> Micros {
        self.accept_offered(now);
        if self.subscriber.poll_timeout() <= now {
            self.subscriber.tick(now);
        }
        while let Some((to, content)) = self.subscriber.poll_transmit() {
            self.channel.offer(to, DOCUMENT.number, content);
        }
        while let Some((to, bytes)) = self.channel.poll(now, self.header) {
            send(to, bytes);
        }
        let next = self.subscriber.poll_timeout();
        self.channel.poll_timeout().map_or(next, |at| next.min(at))
    }

    fn state_summary(&self) -> StateSummary {
        StateSummary { hash: 0, count: self.serial }
    }

    fn check(&self, now: Micros) -> Result<(), Violation> {
        self.channel.check()?;
        self.subscriber.check(now)
    }
}

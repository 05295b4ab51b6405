//! One process of the virtual fleet: a control node or a sidecar, its host, and its disk.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;

use millethook_distribution::{
    ControlEvent, ControlNode, Micros, Refusal, Snapshot, Subscriber, SubscriberEvent, Version,
    Violation,
};
use millethook_machine::sim::Machine;

use super::truth::Truth;

/// What outlives a process.
pub type Disk = Rc<RefCell<Option<Snapshot>>>;

/// The two kinds of processes.
pub enum Part {
    Control(Box<ControlNode>),
    Sidecar(Box<Subscriber>),
}

/// One process.
pub struct Member {
    pub number: u16,
    pub part: Part,
    pub disk: Disk,
    pub truth: Rc<RefCell<Truth>>,
    /// The host decides nothing while this is set.
    pub holds: bool,
    /// Nothing is written to the disk while this is set.
    pub slow_disk: bool,
    /// It is of a build without lists: it drops messages that such a build does not know, and sends none.
    pub is_old: bool,
    /// Events of a control node that tests look at.
    pub events: Vec<ControlEvent>,
    /// Versions that this sidecar's host has refused.
    refused: BTreeSet<Version>,
}

/// Whether a sidecar's host takes a content: those that begin with "!" are refused by all, with "?" by odd ones.
pub fn takes(number: u16, body: Option<&[u8]>) -> bool {
    match body.and_then(|body| body.first()) {
        Some(b'!') => false,
        Some(b'?') => number.is_multiple_of(2),
        _ => true,
    }
}

/// Whether a build without lists does not know a message, by its first byte.
fn is_new_message(content: &[u8]) -> bool {
    content.first().is_some_and(|first| (17..=19).contains(&(first & 0x7f)))
}

impl Member {
    pub fn new(number: u16, part: Part, disk: Disk, truth: Rc<RefCell<Truth>>) -> Member {
        let (holds, slow_disk, is_old) = (false, false, false);
        let (events, refused) = (Vec::new(), BTreeSet::new());
        Member { number, part, disk, truth, holds, slow_disk, is_old, events, refused }
    }

    pub fn control(&mut self) -> Option<&mut ControlNode> {
        match &mut self.part {
            Part::Control(node) => Some(node),
            Part::Sidecar(_) => None,
        }
    }

    pub fn sidecar(&self) -> Option<&Subscriber> {
        match &self.part {
            Part::Control(_) => None,
            Part::Sidecar(sidecar) => Some(sidecar),
        }
    }

    /// What the host does with events, and what the truth has to know.
    pub fn settle(&mut self, now: Micros) {
        match &mut self.part {
            Part::Control(node) => {
                while let Some(event) = node.poll_event() {
                    if matches!(event, ControlEvent::Stored(_)) && !self.slow_disk {
                        let snapshot = node.snapshot();
                        node.mark_persisted(&snapshot);
                        *self.disk.borrow_mut() = Some(snapshot);
                    }
                    self.truth.borrow_mut().on_event(self.number, node, &event);
                    self.events.push(event);
                }
                self.truth.borrow_mut().on_control(self.number, node);
            }
            Part::Sidecar(sidecar) if !self.holds => {
                while let Some(SubscriberEvent::Offered { documents }) = sidecar.poll_event() {
                    let (good, bad): (Vec<_>, Vec<_>) =
                        documents.iter().partition(|d| takes(self.number, d.body.as_deref()));
                    for document in bad {
                        let why =
                            Refusal { code: 7, reason: "key x: found !, number expected".into() };
                        let _ = sidecar.refuse(now, document.version, why);
                        self.refused.insert(document.version);
                        // A host with a fault of its own: what was refused may not come into force by it.
                        let _ = sidecar.accept(now, &[document.version]);
                    }
                    let versions: Vec<Version> = good.iter().map(|d| d.version).collect();
                    if sidecar.accept(now, &versions).is_ok() {
                        *self.disk.borrow_mut() = Some(sidecar.snapshot());
                    }
                }
                self.truth.borrow_mut().on_sidecar(self.number, sidecar, &self.refused);
            }
            Part::Sidecar(_) => {}
        }
    }
}

impl Machine for Member {
    fn handle(&mut self, now: Micros, from: u16, content: &[u8]) {
        if self.is_old && is_new_message(content) {
            return;
        }
        match &mut self.part {
            Part::Control(node) => node.handle(now, from, content),
            Part::Sidecar(sidecar) => sidecar.handle(now, from, content),
        }
        self.settle(now);
    }
    fn tick(&mut self, now: Micros) {
        match &mut self.part {
            Part::Control(node) => node.tick(now),
            Part::Sidecar(sidecar) => sidecar.tick(now),
        }
        self.settle(now);
    }
    fn poll_timeout(&self) -> Micros {
        match &self.part {
            Part::Control(node) => node.poll_timeout(),
            Part::Sidecar(sidecar) => sidecar.poll_timeout(),
        }
    }
    fn poll_transmit(&mut self) -> Option<(Option<u16>, Vec<u8>)> {
        let is_old = self.is_old;
        let part = &mut self.part;
        let mut messages = std::iter::from_fn(|| match part {
            Part::Control(node) => node.poll_transmit(),
            Part::Sidecar(sidecar) => sidecar.poll_transmit(),
        });
        let message = messages.find(|(_, content)| !is_old || !is_new_message(content));
        message.map(|(to, content)| (Some(to), content))
    }
    fn check(&self, now: Micros) -> Result<(), Violation> {
        match &self.part {
            Part::Control(node) => node.check(now),
            Part::Sidecar(sidecar) => sidecar.check(now),
        }
    }
}

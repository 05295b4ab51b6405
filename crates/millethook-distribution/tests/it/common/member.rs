//! One process of the simulated fleet: a control node or a sidecar, its host, and its disk.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;

use millethook_distribution::{
    ControlEvent, ControlNode, Micros, Refusal, Snapshot, Subscriber, SubscriberEvent, Version,
    Violation,
};
use millethook_machine::sim::Machine;

use super::oracle::Oracle;

/// The state that survives a restart.
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
    pub oracle: Rc<RefCell<Oracle>>,
    /// The host makes no decisions while this is set.
    pub decisions_paused: bool,
    /// Nothing is written to the disk while this is set.
    pub slow_disk: bool,
    /// It runs a build without lists: it drops messages that such a build does not know, and sends none of them.
    pub is_old: bool,
    /// Events of a control node that tests look at.
    pub events: Vec<ControlEvent>,
    /// Versions that this sidecar's host has refused.
    refused: BTreeSet<Version>,
}

/// Whether a sidecar's host accepts a content: those that begin with "!" are refused by all, those with "?" by odd
/// ones.
pub fn accepts(number: u16, body: Option<&[u8]>) -> bool {
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
    /// Creates a process that has just started.
    pub fn new(number: u16, part: Part, disk: Disk, oracle: Rc<RefCell<Oracle>>) -> Member {
        let (decisions_paused, slow_disk, is_old) = (false, false, false);
        let (events, refused) = (Vec::new(), BTreeSet::new());
        Member { number, part, disk, oracle, decisions_paused, slow_disk, is_old, events, refused }
    }

    /// The control node, if it is one.
    pub fn control(&mut self) -> Option<&mut ControlNode> {
        match &mut self.part {
            Part::Control(node) => Some(node),
            Part::Sidecar(_) => None,
        }
    }

    /// The sidecar, if it is one.
    pub fn sidecar(&self) -> Option<&Subscriber> {
        match &self.part {
            Part::Control(_) => None,
            Part::Sidecar(sidecar) => Some(sidecar),
        }
    }

    /// Handles events as the host does, and reports them to the oracle.
    pub fn process_events(&mut self, now: Micros) {
        match &mut self.part {
            Part::Control(node) => {
                while let Some(event) = node.poll_event() {
                    if matches!(event, ControlEvent::Stored(_)) && !self.slow_disk {
                        let snapshot = node.snapshot();
                        node.mark_persisted(&snapshot);
                        *self.disk.borrow_mut() = Some(snapshot);
                    }
                    self.oracle.borrow_mut().on_event(self.number, node, &event);
                    self.events.push(event);
                }
                self.oracle.borrow_mut().on_control(self.number, node);
            }
            Part::Sidecar(sidecar) if !self.decisions_paused => {
                while let Some(SubscriberEvent::Offered { documents }) = sidecar.poll_event() {
                    let (good, bad): (Vec<_>, Vec<_>) =
                        documents.iter().partition(|d| accepts(self.number, d.body.as_deref()));
                    for document in bad {
                        let why =
                            Refusal { code: 7, reason: "key x: found !, number expected".into() };
                        let _ = sidecar.refuse(now, document.version, why);
                        self.refused.insert(document.version);
                        // A faulty host tries to accept a version that it has refused; this must not put it into force.
                        let _ = sidecar.accept(now, &[document.version]);
                    }
                    let versions: Vec<Version> = good.iter().map(|d| d.version).collect();
                    if sidecar.accept(now, &versions).is_ok() {
                        *self.disk.borrow_mut() = Some(sidecar.snapshot());
                    }
                }
                self.oracle.borrow_mut().on_sidecar(self.number, sidecar, &self.refused);
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
        self.process_events(now);
    }
    fn tick(&mut self, now: Micros) {
        match &mut self.part {
            Part::Control(node) => node.tick(now),
            Part::Sidecar(sidecar) => sidecar.tick(now),
        }
        self.process_events(now);
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

//! The task of a sidecar that takes its list from the control nodes.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use coppercart::api::ListKind;
use millethook_membership::Source;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use tokio::sync::{Notify, mpsc};
use tokio::time::sleep_until;

use super::follower::{FollowerStep, ListFollower, Verdict};
use super::position::ListPosition;
use super::published::{BodyError, PublishedList, decode_confirmation};
use crate::discovery::DiscoveryCommand;
use crate::discovery::call_timing::CallLimits;
use crate::distribution::{Distribution, Document, ListSettings, Refusal};
use crate::keeper::Keeper;
use crate::list::List;
use crate::news::MembershipSink;

/// The code of a refusal: the body cannot be read. That of configuration that makes no sense by itself is the same.
const UNREADABLE: u8 = 1;

/// What is there now, and counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SubscriptionFigures {
    /// The control nodes are heard, and their list is used.
    pub follows: bool,
    /// Discovery is asked.
    pub asks: bool,
    /// The list at hand.
    pub position: Option<ListPosition>,
    /// Lists that were taken from the control nodes.
    pub taken: u64,
    /// Lists from the control nodes that were older than what discovery had told here.
    pub older: u64,
    /// Times that nothing confirmed the list any more.
    pub silences: u64,
}

/// What a [`ListSubscription`] works with.
pub struct SubscriptionParts {
    /// Which list.
    pub settings: ListSettings,
    /// Where it comes from.
    pub distribution: Rc<Distribution>,
    /// Where it goes.
    pub keeper: Rc<Keeper>,
    /// Calls to discovery.
    pub to_discovery: mpsc::UnboundedSender<DiscoveryCommand>,
    /// What the settings say about them.
    pub call_limits: Rc<Cell<CallLimits>>,
    /// Told when the first list has come.
    pub tried: Rc<Notify>,
    /// For random waits.
    pub seed: u64,
}

/// The list of one sidecar, from the control nodes, or from discovery while these are silent.
pub struct ListSubscription {
    parts: SubscriptionParts,
    follower: RefCell<ListFollower>,
    random: RefCell<Pcg32>,
    counts: Cell<SubscriptionFigures>,
}

impl ListSubscription {
    /// One that has not taken anything yet.
    pub(crate) fn new(parts: SubscriptionParts, has_list: bool) -> Rc<ListSubscription> {
        Rc::new(ListSubscription {
            follower: RefCell::new(ListFollower::new(Instant::now(), has_list)),
            random: RefCell::new(Pcg32::seed_from_u64(parts.seed)),
            counts: Cell::default(),
            parts,
        })
    }

    /// What is there now, and counts since the start.
    pub fn figures(&self) -> SubscriptionFigures {
        let follower = self.follower.borrow();
        SubscriptionFigures {
            follows: follower.follows(),
            asks: follower.asks(),
            position: follower.position(),
            ..self.counts.get()
        }
    }

    /// Takes lists until the present `LocalSet` ends. `calls` is what the decisions ask of discovery: they are passed on
    /// while discovery is asked.
    pub(crate) async fn run(
        self: Rc<ListSubscription>,
        mut calls: mpsc::UnboundedReceiver<DiscoveryCommand>,
    ) {
        self.call(DiscoveryCommand::Stop);
        loop {
            let due = self.follower.borrow().next_due();
            let due = async {
                match due {
                    Some(due) => sleep_until(due.into()).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = self.parts.distribution.list_news() => self.take_offered(),
                call = calls.recv() => match call {
                    Some(call) if self.follower.borrow().asks() => self.call(call),
                    Some(_) => {}
                    None => return,
                },
                () = due => {}
            }
            self.follow();
        }
    }

    fn call(&self, call: DiscoveryCommand) {
        // Discovery's side ends with the engine.
        let _ = self.parts.to_discovery.send(call);
    }

    fn count(&self, change: impl FnOnce(&mut SubscriptionFigures)) {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }

    /// Does what is due.
    fn follow(&self) {
        loop {
            let random = f64::from(self.random.borrow_mut().next_u32()) / f64::from(u32::MAX);
            let fleet = self.parts.call_limits.get().fleet;
            let step = self.follower.borrow_mut().poll(Instant::now(), fleet, random);
            let list = &self.parts.settings.name;
            match step {
                None => return,
                Some(FollowerStep::Silent) => {
                    self.count(|counts| counts.silences += 1);
                    self.parts.keeper.source_lost();
                    tracing::warn!(
                        event = "distribution_list_silent",
                        %list,
                        "no control node confirms the list of servers: discovery is asked soon"
                    );
                }
                Some(FollowerStep::AskDiscovery { newer_than }) => {
                    self.call(
                        newer_than.map_or(DiscoveryCommand::Watch, DiscoveryCommand::WatchFrom),
                    );
                }
                Some(FollowerStep::StopAsking) => {
                    self.call(DiscoveryCommand::Stop);
                    tracing::info!(
                        event = "distribution_list_heard",
                        %list,
                        "the list of servers comes from the control nodes again"
                    );
                }
            }
        }
    }

    fn take_offered(&self) {
        let mut documents = self.parts.distribution.take_offered_lists();
        // A confirmation may be that of the list that has come with it.
        documents.sort_by_key(|document| document.key != self.parts.settings.list);
        for document in documents {
            match self.take(&document) {
                Ok(()) => drop(self.parts.distribution.accept(&[document.version])),
                Err(e) => self.refuse(&document, &e),
            }
        }
    }

    /// # Errors
    /// The document makes no sense.
    fn take(&self, document: &Document) -> Result<(), BodyError> {
        // Nothing is published any more. What is at hand ages.
        let Some(body) = &document.body else { return Ok(()) };
        let now = Instant::now();
        if document.key == self.parts.settings.list {
            let published = PublishedList::decode(body)?;
            let verdict = self.follower.borrow_mut().on_published(now, &published);
            self.on_verdict(verdict, published, document);
            return Ok(());
        }
        let position = decode_confirmation(body)?;
        if self.follower.borrow_mut().on_confirmation(now, position) {
            self.confirm(position);
        }
        Ok(())
    }

    fn on_verdict(&self, verdict: Verdict, published: PublishedList, document: &Document) {
        let PublishedList { position, hosts } = published;
        match verdict {
            Verdict::Newer => {
                let servers = hosts.len();
                let list = List { seq: position.seq, whole: true, hosts };
                self.parts.keeper.apply_list(Source::Distribution, &list);
                self.parts.tried.notify_one();
                self.count(|counts| counts.taken += 1);
                tracing::info!(
                    event = "distribution_list_taken",
                    list = %self.parts.settings.name,
                    version = %document.version,
                    %position,
                    servers,
                    "a list of servers from the control nodes"
                );
            }
            Verdict::Same => self.confirm(position),
            Verdict::Older => self.count(|counts| counts.older += 1),
        }
    }

    /// The list at hand is what discovery says now: its age ends.
    fn confirm(&self, position: ListPosition) {
        let unchanged = List { seq: position.seq, whole: false, hosts: Vec::new() };
        self.parts.keeper.apply_list(Source::Distribution, &unchanged);
    }

    fn refuse(&self, document: &Arc<Document>, error: &BodyError) {
        tracing::warn!(
            event = "distribution_list_refused",
            list = %self.parts.settings.name,
            version = %document.version,
            "the list of servers stays as it was: {error}"
        );
        let why = Refusal { code: UNREADABLE, reason: error.to_string() };
        self.parts.distribution.refuse(document.version, why);
    }
}

/// Tells the subscription of what discovery says, on its way to the membership.
pub(crate) struct SubscribedSink {
    /// Where it is on its way to.
    pub sink: Box<dyn MembershipSink>,
    /// Who is told.
    pub subscription: Rc<ListSubscription>,
}

impl MembershipSink for SubscribedSink {
    fn servers(&self, kind: ListKind, list: &List) {
        let whole = kind != ListKind::Changes;
        self.subscription.follower.borrow_mut().on_discovered(whole, list);
        self.sink.servers(kind, list);
    }

    fn discovery_failed(&self) {
        self.sink.discovery_failed();
    }

    fn note(&self, from: u32, data: &[u8]) {
        self.sink.note(from, data);
    }
}

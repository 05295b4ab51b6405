//! The task of a sidecar that gets its list from the control nodes.

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

use super::follower::{FollowerStep, Freshness, ListFollower};
use super::position::ListPosition;
use super::published::{BodyError, PublishedList, decode_confirmation};
use crate::discovery::DiscoveryCommand;
use crate::discovery::call_timing::CallLimits;
use crate::distribution::{Distribution, Document, ListSettings, Refusal};
use crate::list::List;
use crate::membership_store::MembershipStore;
use crate::sinks::MembershipSink;

/// The refusal code for a body that cannot be read, the same as for configuration that is invalid by itself.
const UNREADABLE: u8 = 1;

/// The current state, and counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SubscriptionFigures {
    /// The control nodes confirm the list, and it is in use.
    pub follows: bool,
    /// Discovery is watched.
    pub asks: bool,
    /// The position of the current list.
    pub position: Option<ListPosition>,
    /// Lists that were accepted from the control nodes.
    pub taken: u64,
    /// Lists from the control nodes that were older than the one from discovery.
    pub older: u64,
    /// How often confirmations of the list timed out.
    pub silences: u64,
}

/// The parts of a [`ListSubscription`].
pub struct SubscriptionParts {
    /// The list to subscribe to.
    pub settings: ListSettings,
    /// The source of the list.
    pub distribution: Rc<Distribution>,
    /// The receiver of the list.
    pub membership_store: Rc<MembershipStore>,
    /// The commands to discovery.
    pub to_discovery: mpsc::UnboundedSender<DiscoveryCommand>,
    /// The limits on requests to discovery.
    pub call_limits: Rc<Cell<CallLimits>>,
    /// Notified when the first list has arrived.
    pub tried: Rc<Notify>,
    /// The seed of random waits.
    pub seed: u64,
}

/// The list of one sidecar, from the control nodes or, while they are silent, from discovery.
pub struct ListSubscription {
    parts: SubscriptionParts,
    follower: RefCell<ListFollower>,
    random: RefCell<Pcg32>,
    counts: Cell<SubscriptionFigures>,
}

impl ListSubscription {
    /// Creates a subscription that has not received anything yet.
    pub(crate) fn new(parts: SubscriptionParts, has_list: bool) -> Rc<ListSubscription> {
        Rc::new(ListSubscription {
            follower: RefCell::new(ListFollower::new(Instant::now(), has_list)),
            random: RefCell::new(Pcg32::seed_from_u64(parts.seed)),
            counts: Cell::default(),
            parts,
        })
    }

    /// Returns the current state, and counts since the start.
    pub fn figures(&self) -> SubscriptionFigures {
        let follower = self.follower.borrow();
        SubscriptionFigures {
            follows: follower.follows_control_nodes(),
            asks: follower.watches_discovery(),
            position: follower.position(),
            ..self.counts.get()
        }
    }

    /// Receives lists until the current `LocalSet` ends. `calls` are the balancer's commands to discovery, which are
    /// forwarded only while discovery is watched.
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
                () = self.parts.distribution.wait_for_offered_lists() => self.process_offered(),
                call = calls.recv() => match call {
                    Some(call) if self.follower.borrow().watches_discovery() => self.call(call),
                    Some(_) => {}
                    None => return,
                },
                () = due => {}
            }
            self.run_due_steps();
        }
    }

    fn call(&self, call: DiscoveryCommand) {
        // The receiver lives as long as the engine.
        let _ = self.parts.to_discovery.send(call);
    }

    fn count(&self, change: impl FnOnce(&mut SubscriptionFigures)) {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }

    /// Carries out all due steps.
    fn run_due_steps(&self) {
        loop {
            let random = f64::from(self.random.borrow_mut().next_u32()) / f64::from(u32::MAX);
            let fleet = self.parts.call_limits.get().fleet;
            let step = self.follower.borrow_mut().poll(Instant::now(), fleet, random);
            let list = &self.parts.settings.name;
            match step {
                None => return,
                Some(FollowerStep::Silent) => {
                    self.count(|counts| counts.silences += 1);
                    self.parts.membership_store.source_lost();
                    tracing::warn!(
                        event = "distribution_list_silent",
                        %list,
                        "no control node confirms the server list; falling back to discovery soon"
                    );
                }
                Some(FollowerStep::WatchDiscovery { newer_than }) => {
                    self.call(
                        newer_than.map_or(DiscoveryCommand::Watch, DiscoveryCommand::WatchFrom),
                    );
                }
                Some(FollowerStep::StopWatching) => {
                    self.call(DiscoveryCommand::Stop);
                    tracing::info!(
                        event = "distribution_list_heard",
                        %list,
                        "the control nodes confirm the server list again; stopped watching discovery"
                    );
                }
            }
        }
    }

    fn process_offered(&self) {
        let mut documents = self.parts.distribution.take_offered_lists();
        // Lists first: a confirmation may belong to the list that arrived with it.
        documents.sort_by_key(|document| document.key != self.parts.settings.list);
        for document in documents {
            match self.process(&document) {
                Ok(()) => drop(self.parts.distribution.accept(&[document.version])),
                Err(e) => self.refuse(&document, &e),
            }
        }
    }

    /// Applies a document.
    ///
    /// # Errors
    /// The body cannot be read.
    fn process(&self, document: &Document) -> Result<(), BodyError> {
        // The list was retracted. The current list stays in use and its age grows.
        let Some(body) = &document.body else { return Ok(()) };
        let now = Instant::now();
        if document.key == self.parts.settings.list {
            let published = PublishedList::decode(body)?;
            let freshness = self.follower.borrow_mut().on_published(now, &published);
            self.on_compared(freshness, published, document);
            return Ok(());
        }
        let position = decode_confirmation(body)?;
        if self.follower.borrow_mut().on_confirmation(now, position) {
            self.confirm(position);
        }
        Ok(())
    }

    fn on_compared(&self, freshness: Freshness, published: PublishedList, document: &Document) {
        let PublishedList { position, hosts } = published;
        match freshness {
            Freshness::Newer => {
                let servers = hosts.len();
                let list = List { seq: position.seq, whole: true, hosts };
                self.parts.membership_store.apply_list(Source::Distribution, &list);
                self.parts.tried.notify_one();
                self.count(|counts| counts.taken += 1);
                tracing::info!(
                    event = "distribution_list_taken",
                    list = %self.parts.settings.name,
                    version = %document.version,
                    %position,
                    servers,
                    "applied a server list from the control nodes"
                );
            }
            Freshness::Same => self.confirm(position),
            Freshness::Older => self.count(|counts| counts.older += 1),
        }
    }

    /// Resets the age of the current list, which discovery still has.
    fn confirm(&self, position: ListPosition) {
        let unchanged = List { seq: position.seq, whole: false, hosts: Vec::new() };
        self.parts.membership_store.apply_list(Source::Distribution, &unchanged);
    }

    fn refuse(&self, document: &Arc<Document>, error: &BodyError) {
        tracing::warn!(
            event = "distribution_list_refused",
            list = %self.parts.settings.name,
            version = %document.version,
            "cannot read a server list from the control nodes; keeping the current one: {error}"
        );
        let refusal = Refusal { code: UNREADABLE, reason: error.to_string() };
        self.parts.distribution.refuse(document.version, refusal);
    }
}

/// Passes lists from discovery to the subscription and on to the next sink.
pub(crate) struct SubscribedSink {
    /// The next sink.
    pub sink: Box<dyn MembershipSink>,
    /// The subscription.
    pub subscription: Rc<ListSubscription>,
}

impl MembershipSink for SubscribedSink {
    fn update_servers(&self, kind: ListKind, list: &List) {
        let whole = kind != ListKind::Changes;
        self.subscription.follower.borrow_mut().on_discovered(whole, list);
        self.sink.update_servers(kind, list);
    }

    fn discovery_failed(&self) {
        self.sink.discovery_failed();
    }

    fn handle_message(&self, from: u32, data: &[u8]) {
        self.sink.handle_message(from, data);
    }
}

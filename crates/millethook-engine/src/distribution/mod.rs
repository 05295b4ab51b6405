//! Connects [`millethook_distribution`] with the clock, the channel and the disk. The host of the engine accepts or
//! refuses offered documents and requests publications; this module forwards both.

mod lists;
mod settings;
mod snapshot;

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

pub use millethook_distribution::{
    ControlEvent, ControlFigures, ControlMember, DistributionConfig, Document, DocumentId,
    DocumentKey, DocumentKind, Identity, Limits, MAX_CONTENT_BYTES, PublishError, Refusal, Rollout,
    Scope, SubscriberFigures, Token, Version,
};
use millethook_distribution::{ControlNode, Micros, Subscriber, SubscriberEvent};
use millethook_lease::JobId;
use millethook_machine::hash::mix;
use tokio::sync::Notify;

use crate::leases::Leases;
use crate::names::stable_hash;
use crate::server_lists::is_confirmation;
pub use lists::ListSettings;
use lists::OfferedLists;
pub use settings::{distinct_names, settings};
use snapshot::Store;

/// The job of writing documents.
pub const WRITER: JobId = JobId(mix(0x636f_6e66_6967_7572));
/// The maximum number of control node events that wait for the host.
const MAX_PENDING_EVENTS: usize = 1024;
/// The maximum number of rounds of messages to itself that a member handles in one call.
const MAX_SELF_ROUNDS: usize = 256;
/// The minimum time between two snapshot writes.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(200);

/// Returns the number of the name of a region, zone or service, which is equal at all members.
pub fn name_number(name: &str) -> u32 {
    stable_hash(name.as_bytes()) as u32
}

/// The settings of distribution for one process.
#[derive(Clone, Debug, PartialEq)]
pub struct DistributionSettings {
    /// The configuration of the protocol.
    pub config: DistributionConfig,
    /// The path of the snapshot of the documents in force.
    pub snapshot: Option<PathBuf>,
    /// Whether this process is a candidate for the writer.
    pub publishes: bool,
    /// The size of the receive buffer in bytes that a control node requests from the system.
    pub receive_buffer: usize,
    /// The distributed list of servers; None if there is none.
    pub list: Option<ListSettings>,
}

impl DistributionSettings {
    /// Returns whether this process gets its list of servers from the control nodes.
    pub fn subscribes_to_list(&self) -> bool {
        self.list.as_ref().is_some_and(|list| !list.from_discovery)
    }

    /// Disables the distributed list of servers.
    pub fn disable_list(&mut self) {
        self.list = None;
        self.config.lists.clear();
    }
}

/// The subscriber of this process and, at a control node, its control node.
pub struct Distribution {
    started: Instant,
    subscriber: RefCell<Subscriber>,
    control: Option<RefCell<ControlNode>>,
    publishes: bool,
    receive_buffer: usize,
    /// Whether the lease of the writer was requested.
    lease_requested: Cell<bool>,
    /// The token that the control node last got.
    writer_token: Cell<Option<Token>>,
    offered: RefCell<Option<Vec<Arc<Document>>>>,
    list: Option<ListSettings>,
    offered_lists: OfferedLists,
    control_events: RefCell<VecDeque<ControlEvent>>,
    /// Notified when the host has something to process.
    host_events: Notify,
    /// Notified when there is something to send.
    pub(crate) wake: Arc<Notify>,
    stores: Vec<Store>,
    unsaved: Notify,
}

impl Distribution {
    /// Creates the state from the snapshot, whose documents are in force at once. Nothing is sent before an engine
    /// runs it.
    pub fn new(settings: DistributionSettings) -> Distribution {
        Distribution::create(settings, true)
    }

    /// Creates the state with no document in force, for a snapshot whose documents cannot be used here. A control node
    /// still loads its own snapshot.
    pub fn with_nothing_in_force(settings: DistributionSettings) -> Distribution {
        Distribution::create(settings, false)
    }

    fn create(settings: DistributionSettings, use_snapshot: bool) -> Distribution {
        let DistributionSettings { config, snapshot, publishes, receive_buffer, list } = settings;
        let is_control = config.control_nodes.iter().any(|node| node.number == config.me);
        let subscriber_store = snapshot.clone().map(Store::for_subscriber);
        let control_store = snapshot.filter(|_| is_control).map(Store::for_control_node);
        let load = |store: &Option<Store>| store.as_ref().and_then(Store::load);
        let control = is_control
            .then(|| RefCell::new(ControlNode::new(config.clone(), load(&control_store), 0)));
        let loaded = load(&subscriber_store).filter(|_| use_snapshot);
        Distribution {
            started: Instant::now(),
            subscriber: RefCell::new(Subscriber::new(config, loaded, 0)),
            control,
            publishes: publishes && is_control,
            receive_buffer,
            lease_requested: Cell::new(false),
            writer_token: Cell::new(None),
            offered: RefCell::default(),
            list,
            offered_lists: OfferedLists::default(),
            control_events: RefCell::default(),
            host_events: Notify::new(),
            wake: Arc::new(Notify::new()),
            stores: subscriber_store.into_iter().chain(control_store).collect(),
            unsaved: Notify::new(),
        }
    }

    /// Returns the time at which the clock of this process starts.
    pub(crate) fn started(&self) -> Instant {
        self.started
    }

    fn now(&self) -> Micros {
        self.started.elapsed().as_micros() as Micros
    }

    /// Handles a message of a member.
    pub(crate) fn handle(&self, now: Micros, from: u16, content: &[u8]) {
        // The subscriber and the control node each ignore messages for the other.
        self.subscriber.borrow_mut().handle(now, from, content);
        if let Some(control) = &self.control {
            control.borrow_mut().handle(now, from, content);
        }
    }

    /// Runs the state machines and sends their messages: those of the sidecar with `send`, within the budget of all its
    /// messages, and those of the control node with `push`, which has a budget of its own. Returns the time of the next
    /// call.
    pub(crate) fn pump(
        &self,
        now: Micros,
        (me, leases): (u16, Option<&Leases>),
        mut send: impl FnMut(u16, Vec<u8>),
        mut push: impl FnMut(u16, Vec<u8>),
    ) -> Micros {
        if let Some(leases) = leases {
            self.sync_writer_lease(now, leases);
        }
        for _ in 0..MAX_SELF_ROUNDS {
            let mut to_self = Vec::new();
            let route = |(to, content): (u16, Vec<u8>), send_to: &mut dyn FnMut(u16, Vec<u8>)| {
                if to == me {
                    Some(content)
                } else {
                    send_to(to, content);
                    None
                }
            };
            let mut subscriber = self.subscriber.borrow_mut();
            if subscriber.poll_timeout() <= now {
                subscriber.tick(now);
            }
            while let Some(message) = subscriber.poll_transmit() {
                to_self.extend(route(message, &mut send));
            }
            drop(subscriber);
            if let Some(mut control) = self.control.as_ref().map(RefCell::borrow_mut) {
                if control.poll_timeout() <= now {
                    control.tick(now);
                }
                while let Some(message) = control.poll_transmit() {
                    to_self.extend(route(message, &mut push));
                }
            }
            if to_self.is_empty() {
                break;
            }
            to_self.iter().for_each(|content| self.handle(now, me, content));
        }
        self.fetch_events(leases);
        let control = self.control.as_ref().map_or(Micros::MAX, |c| c.borrow().poll_timeout());
        control.min(self.subscriber.borrow().poll_timeout())
    }

    /// Informs the control node whether this process holds the lease of the writer.
    fn sync_writer_lease(&self, now: Micros, leases: &Leases) {
        let Some(control) = self.control.as_ref().filter(|_| self.publishes) else { return };
        if !self.lease_requested.replace(true) {
            // Requests the longest lease that the settings allow.
            leases.request(now, WRITER, Micros::MAX, 0);
        }
        let token = leases.holds(now, WRITER);
        if self.writer_token.replace(token) == token {
            return;
        }
        match token {
            Some(token) => control.borrow_mut().announce_writer(now, token),
            None => control.borrow_mut().resign(now),
        }
    }

    /// Moves the events of the state machines to where the host fetches them.
    fn fetch_events(&self, leases: Option<&Leases>) {
        let mut has_host_events = false;
        while let Some(event) = self.subscriber.borrow_mut().poll_event() {
            let SubscriberEvent::Offered { documents } = event;
            let (configuration, lists): (Vec<_>, Vec<_>) = (documents.into_iter())
                .partition(|document| document.key.kind == DocumentKind::Configuration);
            // Different parts of the host accept lists and configuration.
            if !lists.is_empty() {
                self.offered_lists.replace(lists);
            }
            if !configuration.is_empty() {
                self.offered.replace(Some(configuration));
                has_host_events = true;
            }
        }
        if let Some(control) = &self.control {
            let mut pending = self.control_events.borrow_mut();
            loop {
                let Some(event) = control.borrow_mut().poll_event() else { break };
                if let (ControlEvent::Deposed { by, .. }, Some(leases)) = (&event, leases) {
                    // The next lease has to use a higher token.
                    leases.observe_token(WRITER, *by);
                }
                if let ControlEvent::Stored(id) = &event {
                    self.on_stored(id.key);
                    continue;
                }
                pending.push_back(event);
                if pending.len() > MAX_PENDING_EVENTS {
                    pending.pop_front();
                }
                has_host_events = true;
            }
        }
        if has_host_events {
            self.host_events.notify_one();
        }
    }

    /// Schedules a snapshot write after the document of a key has changed, unless the snapshot omits it.
    fn on_stored(&self, key: DocumentKey) {
        let document = self.committed(key);
        let body = document.as_ref().and_then(|document| document.body.as_deref());
        if !body.is_some_and(is_confirmation) {
            self.unsaved.notify_one();
        }
    }

    /// Waits until the host has something to process. The host then takes everything that is pending.
    pub async fn wait_for_events(&self) {
        self.host_events.notified().await;
    }

    /// Takes the offered documents of configuration.
    pub fn take_offered(&self) -> Option<Vec<Arc<Document>>> {
        self.offered.take()
    }

    /// Takes the next event of the control node.
    pub fn take_control_event(&self) -> Option<ControlEvent> {
        self.control_events.borrow_mut().pop_front()
    }

    /// Returns the documents of configuration in force, in merge order.
    pub fn in_force(&self) -> Vec<Arc<Document>> {
        let mut documents = self.subscriber.borrow().in_force();
        documents.retain(|document| document.key.kind == DocumentKind::Configuration);
        documents
    }

    /// Accepts these versions, which are in force together from now on. Returns false if one of them is no longer
    /// offered; the caller has to put the previous documents in force again.
    pub fn accept(&self, versions: &[Version]) -> bool {
        let accepted = self.subscriber.borrow_mut().accept(self.now(), versions).is_ok();
        self.unsaved.notify_one();
        self.wake.notify_one();
        accepted
    }

    /// Refuses an offered document.
    pub fn refuse(&self, version: Version, refusal: Refusal) {
        // A document that is no longer offered needs no answer.
        let _ = self.subscriber.borrow_mut().refuse(self.now(), version, refusal);
        self.unsaved.notify_one();
        self.wake.notify_one();
    }

    /// Publishes a document, or retracts it with None; see [`ControlNode::publish`].
    ///
    /// # Errors
    /// Names the reason. A process that is no control node is not the writer.
    pub(crate) fn publish(
        &self,
        leases: &Leases,
        key: DocumentKey,
        body: Option<Vec<u8>>,
    ) -> Result<Version, PublishError> {
        let control = self.control.as_ref().ok_or(PublishError::NotWriter(None))?;
        let now = self.now();
        // Checks the lease right before the effect, because a process that was suspended may have lost it.
        self.sync_writer_lease(now, leases);
        let published = control.borrow_mut().publish(now, key, body);
        self.wake.notify_one();
        published
    }

    /// Returns the rollout state of a version; None if this is no control node or it does not know the version.
    pub fn report(&self, version: Version) -> Option<Rollout> {
        self.control.as_ref()?.borrow().report(self.now(), version)
    }

    /// Returns the counts of the subscriber.
    pub fn figures(&self) -> SubscriberFigures {
        self.subscriber.borrow().figures()
    }

    /// Returns the counts of the control node, if this process is one.
    pub fn control_figures(&self) -> Option<ControlFigures> {
        Some(self.control.as_ref()?.borrow().figures(self.now()))
    }

    /// Returns whether this process is a control node.
    pub fn is_control_node(&self) -> bool {
        self.control.is_some()
    }

    /// Returns the size of the receive buffer in bytes that the socket of this process needs; None for the system's
    /// default, which suffices for a process that is no control node.
    pub fn receive_buffer(&self) -> Option<usize> {
        self.is_control_node().then_some(self.receive_buffer)
    }

    /// Returns a hash of all versions of configuration in force, equal at sidecars that use the same documents.
    pub fn hash(&self) -> u32 {
        let versions = self.in_force();
        let text: Vec<String> =
            versions.iter().map(|d| format!("{} {}", d.key, d.version)).collect();
        name_number(&text.join("\n"))
    }

    /// Writes snapshots as they change, until the current `LocalSet` ends.
    pub(crate) async fn run_snapshot_writer(self: Rc<Distribution>) {
        loop {
            self.unsaved.notified().await;
            self.save().await;
            tokio::time::sleep(MIN_WRITE_INTERVAL).await;
        }
    }

    /// Writes the snapshots that have changed since the last write.
    pub async fn save(&self) {
        for store in &self.stores {
            match self.control.as_ref().filter(|_| store.is_for_control_node()) {
                Some(control) => {
                    let snapshot = Arc::new(store.persisted_part(control.borrow().snapshot()));
                    if store.save(&snapshot).await {
                        control.borrow_mut().mark_persisted(&snapshot);
                    }
                }
                None => {
                    let snapshot =
                        Arc::new(store.persisted_part(self.subscriber.borrow().snapshot()));
                    store.save(&snapshot).await;
                }
            }
        }
    }
}

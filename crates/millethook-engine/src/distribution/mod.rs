//! Distribution at work: the clock, the channel and the disk that [`millethook_distribution`] has not. The host of the
//! engine decides about documents that are offered and makes requests to publish; this passes on both.

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
    DocumentKey, DocumentKind, Identity, Limits, MOST_CONTENT, PublishError, Refusal, Rollout,
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
/// Events of the control node that wait for the host, at most.
const EVENTS: usize = 1024;
/// Contents that a member hands to itself in one go, at most.
const TO_ITSELF: usize = 256;
/// The least time between two writes of a snapshot.
const WRITE_EVERY: Duration = Duration::from_millis(200);

/// The number of a region's, zone's or service's name: the same at all members.
pub fn name_number(name: &str) -> u32 {
    stable_hash(name.as_bytes()) as u32
}

/// How distribution is set up at one process.
#[derive(Clone, Debug, PartialEq)]
pub struct DistributionSettings {
    /// As all members have it.
    pub config: DistributionConfig,
    /// Where the documents in force are kept.
    pub snapshot: Option<PathBuf>,
    /// Whether this process wants to be the writer.
    pub publishes: bool,
    /// Bytes of the receive buffer that a control node asks the system for.
    pub receive_buffer: usize,
    /// The list of servers that comes by distribution; None: none does.
    pub list: Option<ListSettings>,
}

impl DistributionSettings {
    /// Whether the list of servers is taken from the control nodes.
    pub fn subscribes_to_list(&self) -> bool {
        self.list.as_ref().is_some_and(|list| !list.from_discovery)
    }

    /// The list of servers is not taken from the control nodes.
    pub fn disable_list(&mut self) {
        self.list = None;
        self.config.lists.clear();
    }
}

/// A sidecar's part of distribution, and a control node's where this process is one.
pub struct Distribution {
    started: Instant,
    subscriber: RefCell<Subscriber>,
    control: Option<RefCell<ControlNode>>,
    publishes: bool,
    receive_buffer: usize,
    wanted: Cell<bool>,
    /// The token that the control node was told.
    writer: Cell<Option<Token>>,
    offered: RefCell<Option<Vec<Arc<Document>>>>,
    list: Option<ListSettings>,
    offered_lists: OfferedLists,
    control_events: RefCell<VecDeque<ControlEvent>>,
    /// Something for the host.
    host_events: Notify,
    /// Something to be sent.
    pub(crate) wake: Arc<Notify>,
    stores: Vec<Store>,
    unsaved: Notify,
}

impl Distribution {
    /// One that has in force what the snapshot holds. Nothing is sent before it is handed to an engine.
    pub fn new(settings: DistributionSettings) -> Distribution {
        Distribution::with(settings, true)
    }

    /// One that has nothing in force: what its snapshot holds cannot be used here. A control node still keeps what it
    /// kept.
    pub fn with_nothing_in_force(settings: DistributionSettings) -> Distribution {
        Distribution::with(settings, false)
    }

    fn with(settings: DistributionSettings, take_up: bool) -> Distribution {
        let DistributionSettings { config, snapshot, publishes, receive_buffer, list } = settings;
        let is_control = config.control_nodes.iter().any(|node| node.number == config.me);
        let of_subscriber = snapshot.clone().map(Store::of_subscriber);
        let of_control = snapshot.filter(|_| is_control).map(Store::of_control_node);
        let load = |store: &Option<Store>| store.as_ref().and_then(Store::load);
        let control = is_control
            .then(|| RefCell::new(ControlNode::new(config.clone(), load(&of_control), 0)));
        let own = load(&of_subscriber).filter(|_| take_up);
        Distribution {
            started: Instant::now(),
            subscriber: RefCell::new(Subscriber::new(config, own, 0)),
            control,
            publishes: publishes && is_control,
            receive_buffer,
            wanted: Cell::new(false),
            writer: Cell::new(None),
            offered: RefCell::default(),
            list,
            offered_lists: OfferedLists::default(),
            control_events: RefCell::default(),
            host_events: Notify::new(),
            wake: Arc::new(Notify::new()),
            stores: of_subscriber.into_iter().chain(of_control).collect(),
            unsaved: Notify::new(),
        }
    }

    /// When its clock began.
    pub(crate) fn started(&self) -> Instant {
        self.started
    }

    fn now(&self) -> Micros {
        self.started.elapsed().as_micros() as Micros
    }

    /// A content of a member.
    pub(crate) fn handle(&self, now: Micros, from: u16, content: &[u8]) {
        // Each knows which ones are for it.
        self.subscriber.borrow_mut().handle(now, from, content);
        if let Some(control) = &self.control {
            control.borrow_mut().handle(now, from, content);
        }
    }

    /// Does what is due and hands out what is to be sent: what a sidecar says by `say`, within the budget of all that it
    /// says, and what a control node says by `push`, which has a budget of its own. When there is something to do
    /// again.
    pub(crate) fn pump(
        &self,
        now: Micros,
        (me, leases): (u16, Option<&Leases>),
        mut say: impl FnMut(u16, Vec<u8>),
        mut push: impl FnMut(u16, Vec<u8>),
    ) -> Micros {
        if let Some(leases) = leases {
            self.follow_lease(now, leases);
        }
        for _ in 0..TO_ITSELF {
            let mut own = Vec::new();
            let to_all = |(to, content): (u16, Vec<u8>), send: &mut dyn FnMut(u16, Vec<u8>)| {
                if to == me {
                    Some(content)
                } else {
                    send(to, content);
                    None
                }
            };
            let mut subscriber = self.subscriber.borrow_mut();
            if subscriber.poll_timeout() <= now {
                subscriber.tick(now);
            }
            while let Some(message) = subscriber.poll_transmit() {
                own.extend(to_all(message, &mut say));
            }
            drop(subscriber);
            if let Some(mut control) = self.control.as_ref().map(RefCell::borrow_mut) {
                if control.poll_timeout() <= now {
                    control.tick(now);
                }
                while let Some(message) = control.poll_transmit() {
                    own.extend(to_all(message, &mut push));
                }
            }
            if own.is_empty() {
                break;
            }
            own.iter().for_each(|content| self.handle(now, me, content));
        }
        self.fetch_events(leases);
        let control = self.control.as_ref().map_or(Micros::MAX, |c| c.borrow().poll_timeout());
        control.min(self.subscriber.borrow().poll_timeout())
    }

    /// Tells the control node whether this process holds the writer's lease.
    fn follow_lease(&self, now: Micros, leases: &Leases) {
        let Some(control) = self.control.as_ref().filter(|_| self.publishes) else { return };
        if !self.wanted.replace(true) {
            // The longest lease that there is.
            leases.request(now, WRITER, Micros::MAX, 0);
        }
        let token = leases.holds(now, WRITER);
        if self.writer.replace(token) == token {
            return;
        }
        match token {
            Some(token) => control.borrow_mut().announce_writer(now, token),
            None => control.borrow_mut().resign(now),
        }
    }

    fn fetch_events(&self, leases: Option<&Leases>) {
        let mut news = false;
        while let Some(event) = self.subscriber.borrow_mut().poll_event() {
            let SubscriberEvent::Offered { documents } = event;
            let (configuration, lists): (Vec<_>, Vec<_>) = (documents.into_iter())
                .partition(|document| document.key.kind == DocumentKind::Configuration);
            // Each is decided on by another part of the host.
            if !lists.is_empty() {
                self.offered_lists.replace(lists);
            }
            if !configuration.is_empty() {
                self.offered.replace(Some(configuration));
                news = true;
            }
        }
        if let Some(control) = &self.control {
            let mut waiting = self.control_events.borrow_mut();
            loop {
                let Some(event) = control.borrow_mut().poll_event() else { break };
                if let (ControlEvent::Deposed { by, .. }, Some(leases)) = (&event, leases) {
                    // The next lease goes above it.
                    leases.observe_token(WRITER, *by);
                }
                if let ControlEvent::Stored(id) = &event {
                    self.stored(id.key);
                    continue;
                }
                waiting.push_back(event);
                if waiting.len() > EVENTS {
                    waiting.pop_front();
                }
                news = true;
            }
        }
        if news {
            self.host_events.notify_one();
        }
    }

    /// The document of a key has changed: the snapshot is to be written, unless it is not kept anyway.
    fn stored(&self, key: DocumentKey) {
        let document = self.committed(key);
        let body = document.as_ref().and_then(|document| document.body.as_deref());
        if !body.is_some_and(is_confirmation) {
            self.unsaved.notify_one();
        }
    }

    /// Waits until there is something for the host. It takes all that there is then.
    pub async fn wait_for_events(&self) {
        self.host_events.notified().await;
    }

    /// Documents of configuration that wait for a decision.
    pub fn take_offered(&self) -> Option<Vec<Arc<Document>>> {
        self.offered.take()
    }

    /// The next event of the control node.
    pub fn take_control_event(&self) -> Option<ControlEvent> {
        self.control_events.borrow_mut().pop_front()
    }

    /// The documents of configuration in force, in the order of merge.
    pub fn in_force(&self) -> Vec<Arc<Document>> {
        let mut documents = self.subscriber.borrow().in_force();
        documents.retain(|document| document.key.kind == DocumentKind::Configuration);
        documents
    }

    /// These are in force now, together. False: one of them is not offered any more, and what was in force before is
    /// to be in force again.
    pub fn accept(&self, versions: &[Version]) -> bool {
        let accepted = self.subscriber.borrow_mut().accept(self.now(), versions).is_ok();
        self.unsaved.notify_one();
        self.wake.notify_one();
        accepted
    }

    /// This one is not taken.
    pub fn refuse(&self, version: Version, why: Refusal) {
        // One that is not offered any more needs no answer.
        let _ = self.subscriber.borrow_mut().refuse(self.now(), version, why);
        self.unsaved.notify_one();
        self.wake.notify_one();
    }

    /// Publishes a document, or with None retracts it; see [`ControlNode::publish`].
    ///
    /// # Errors
    /// Says why not; where this process is no control node, that it is not the writer.
    pub(crate) fn publish(
        &self,
        leases: &Leases,
        key: DocumentKey,
        body: Option<Vec<u8>>,
    ) -> Result<Version, PublishError> {
        let control = self.control.as_ref().ok_or(PublishError::NotWriter(None))?;
        let now = self.now();
        // The last look before an effect: a process that stood still may have lost the lease.
        self.follow_lease(now, leases);
        let published = control.borrow_mut().publish(now, key, body);
        self.wake.notify_one();
        published
    }

    /// How far a version has come; None: this is no control node, or it knows nothing of it.
    pub fn report(&self, version: Version) -> Option<Rollout> {
        self.control.as_ref()?.borrow().report(self.now(), version)
    }

    /// Counts of the sidecar's part.
    pub fn figures(&self) -> SubscriberFigures {
        self.subscriber.borrow().figures()
    }

    /// Counts of the control node, where this process is one.
    pub fn control_figures(&self) -> Option<ControlFigures> {
        Some(self.control.as_ref()?.borrow().figures(self.now()))
    }

    /// Whether this process is a control node.
    pub fn is_control_node(&self) -> bool {
        self.control.is_some()
    }

    /// Bytes of the receive buffer that the socket of this process needs; None: it is no control node, and needs no more
    /// than any.
    pub fn receive_buffer(&self) -> Option<usize> {
        self.is_control_node().then_some(self.receive_buffer)
    }

    /// A hash of all versions of configuration in force: the same at sidecars that go by the same documents.
    pub fn hash(&self) -> u32 {
        let versions = self.in_force();
        let text: Vec<String> =
            versions.iter().map(|d| format!("{} {}", d.key, d.version)).collect();
        name_number(&text.join("\n"))
    }

    /// Writes snapshots as they change, until the present `LocalSet` ends.
    pub(crate) async fn keep(self: Rc<Distribution>) {
        loop {
            self.unsaved.notified().await;
            self.save().await;
            tokio::time::sleep(WRITE_EVERY).await;
        }
    }

    /// Writes what has changed since the last write.
    pub async fn save(&self) {
        for store in &self.stores {
            match self.control.as_ref().filter(|_| store.is_of_control_node()) {
                Some(control) => {
                    let snapshot = Arc::new(store.kept_part(control.borrow().snapshot()));
                    if store.save(&snapshot).await {
                        control.borrow_mut().kept(&snapshot);
                    }
                }
                None => {
                    let snapshot = Arc::new(store.kept_part(self.subscriber.borrow().snapshot()));
                    store.save(&snapshot).await;
                }
            }
        }
    }
}

//! The task of a control node that publishes the list from discovery.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use coppercart::api::ListKind;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::position::ListPosition;
use super::published::{PublishedList, encode_confirmation};
use super::source::{ListSource, Publication, WriterState};
use crate::distribution::{Distribution, ListSettings, PublishError, Version};
use crate::fleet::Fleet;
use crate::list::List;
use crate::sinks::MembershipSink;

/// The interval of checks whether the control node has become the writer or has learned of another list.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PublisherFigures {
    /// Lists that were published.
    pub published: u64,
    /// Confirmations of the list in force.
    pub confirmed: u64,
    /// Lists that could not be published because they were too long or there was no room.
    pub not_published: u64,
}

/// Publishes the list of one control node while that node is the writer.
pub struct ListPublisher {
    settings: ListSettings,
    source: RefCell<ListSource>,
    fleet: Rc<Fleet>,
    distribution: Rc<Distribution>,
    /// The committed list at the last read.
    committed: RefCell<Option<(Version, Rc<PublishedList>)>>,
    /// The last list whose publication failed.
    failed: Cell<Option<ListPosition>>,
    changed: Notify,
    figures: Cell<PublisherFigures>,
}

impl ListPublisher {
    /// Starts the task on the current `LocalSet`.
    pub(crate) fn start(
        settings: ListSettings,
        fleet: Rc<Fleet>,
        distribution: Rc<Distribution>,
    ) -> Rc<ListPublisher> {
        let publisher = Rc::new(ListPublisher {
            settings,
            source: RefCell::default(),
            fleet,
            distribution,
            committed: RefCell::default(),
            failed: Cell::default(),
            changed: Notify::new(),
            figures: Cell::default(),
        });
        spawn_local(publisher.clone().run());
        publisher
    }

    /// Returns the counts since the start.
    pub fn figures(&self) -> PublisherFigures {
        self.figures.get()
    }

    async fn run(self: Rc<ListPublisher>) {
        loop {
            while let Some(publication) = self.next_publication() {
                if !self.publish(publication) {
                    break;
                }
            }
            // Polls after a change and after a time-out alike.
            let _ = timeout(POLL_INTERVAL, self.changed.notified()).await;
        }
    }

    /// Returns what has to be published now.
    fn next_publication(&self) -> Option<Publication> {
        let control = self.distribution.control_figures()?;
        let committed = self.committed();
        let writer = WriterState {
            ready: control.writer_ready,
            proposals: control.proposals,
            committed: committed.as_deref(),
        };
        self.source.borrow_mut().poll(Instant::now(), writer)
    }

    /// Returns the committed list; None if there is none or it cannot be read.
    fn committed(&self) -> Option<Rc<PublishedList>> {
        let document = self.distribution.committed(self.settings.list)?;
        if let Some((version, list)) = &*self.committed.borrow()
            && *version == document.version
        {
            return Some(list.clone());
        }
        let list = Rc::new(PublishedList::decode(document.body.as_deref()?).ok()?);
        self.committed.replace(Some((document.version, list.clone())));
        Some(list)
    }

    /// Publishes a list or a confirmation. Returns false if that failed, in which case further ones would fail too.
    fn publish(&self, publication: Publication) -> bool {
        let mut figures = self.figures.get();
        let published = match &publication {
            Publication::List(list) => self.publish_list(list),
            Publication::Confirmation(position) => {
                encode_confirmation(*position).is_ok_and(|body| {
                    self.fleet.publish(self.settings.confirmation, Some(body)).is_ok()
                })
            }
        };
        match (&publication, published) {
            (Publication::List(_), true) => figures.published += 1,
            (Publication::Confirmation(_), true) => figures.confirmed += 1,
            (Publication::List(_), false) => {
                figures.not_published += 1;
                self.source.borrow_mut().on_not_published();
            }
            (Publication::Confirmation(_), false) => {}
        }
        self.figures.set(figures);
        published
    }

    fn publish_list(&self, list: &PublishedList) -> bool {
        let body = match list.encode() {
            Ok(body) => body,
            Err(e) => return self.log_failure(list, &e.to_string()),
        };
        match self.fleet.publish(self.settings.list, Some(body)) {
            Ok(version) => {
                tracing::info!(
                    event = "distribution_list_published",
                    list = %self.settings.name,
                    version = %version,
                    position = %list.position,
                    servers = list.hosts.len(),
                    "published the server list from discovery"
                );
                true
            }
            // Another control node has become the writer, or this one is about to be ready.
            Err(PublishError::NotWriter(_) | PublishError::CatchingUp(_)) => false,
            Err(e) => self.log_failure(list, &e.to_string()),
        }
    }

    /// Logs once per list why it was not published.
    fn log_failure(&self, list: &PublishedList, reason: &str) -> bool {
        if self.failed.replace(Some(list.position)) != Some(list.position) {
            tracing::error!(
                event = "distribution_list_not_published",
                list = %self.settings.name,
                position = %list.position,
                servers = list.hosts.len(),
                "cannot publish the server list, so sidecars ask discovery themselves: {reason}"
            );
        }
        false
    }
}

/// Passes lists from discovery to the publisher and on to the next sink.
pub(crate) struct PublishingSink {
    /// The next sink.
    pub sink: Box<dyn MembershipSink>,
    /// The publisher.
    pub publisher: Rc<ListPublisher>,
}

impl MembershipSink for PublishingSink {
    fn update_servers(&self, kind: ListKind, list: &List) {
        self.publisher.source.borrow_mut().on_list(kind != ListKind::Changes, list);
        self.publisher.changed.notify_one();
        self.sink.update_servers(kind, list);
    }

    fn discovery_failed(&self) {
        self.publisher.source.borrow_mut().on_discovery_failed();
        self.sink.discovery_failed();
    }

    fn handle_message(&self, from: u32, data: &[u8]) {
        self.sink.handle_message(from, data);
    }
}

//! Faults on TCP connections between sidecars and servers, by stream class of the sidecar and zone of the server.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::sync::watch;

/// State of the connections from sidecars of one class to servers of one zone.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Link {
    /// Number of active events that cut the link.
    pub cuts: usize,
    /// Additional delay of answers.
    pub delay: Duration,
}

/// The links of all stream classes and zones.
pub struct Links {
    links: Mutex<Vec<Vec<Link>>>,
    changed: watch::Sender<u64>,
}

impl Links {
    /// Creates links without faults.
    pub fn new(classes: usize, zones: usize) -> Links {
        let links = Mutex::new(vec![vec![Link::default(); zones]; classes]);
        Links { links, changed: watch::Sender::new(0) }
    }

    /// The current state of a link.
    pub fn link(&self, class: usize, zone: usize) -> Link {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)[class][zone]
    }

    /// Changes the state of a link.
    pub fn change(&self, class: usize, zone: usize, change: impl FnOnce(&mut Link)) {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut links[class][zone]);
        drop(links);
        self.changed.send_modify(|n| *n += 1);
    }

    /// Waits until a link is cut (`cut`) or restored. Cancel-safe.
    pub async fn wait_until(&self, class: usize, zone: usize, cut: bool) {
        let mut changes = self.changed.subscribe();
        while (self.link(class, zone).cuts > 0) != cut {
            if changes.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }
}

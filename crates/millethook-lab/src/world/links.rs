//! What stands between sidecars and servers on their streams, by class of sidecar and zone of server.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::sync::watch;

/// The state of streams from sidecars of one class to servers of one zone.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Link {
    /// How many events cut it at present.
    pub cuts: usize,
    /// Answers come so much later.
    pub delay: Duration,
}

/// All links.
pub struct Links {
    links: Mutex<Vec<Vec<Link>>>,
    changed: watch::Sender<u64>,
}

impl Links {
    /// Whole ones.
    pub fn new(classes: usize, zones: usize) -> Links {
        let links = Mutex::new(vec![vec![Link::default(); zones]; classes]);
        Links { links, changed: watch::Sender::new(0) }
    }

    /// One of them, as it is now.
    pub fn link(&self, class: usize, zone: usize) -> Link {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)[class][zone]
    }

    /// Changes one.
    pub fn change(&self, class: usize, zone: usize, change: impl FnOnce(&mut Link)) {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut links[class][zone]);
        drop(links);
        self.changed.send_modify(|n| *n += 1);
    }

    /// Waits until a link is cut, or no longer cut. Cancel-safe.
    pub async fn until(&self, class: usize, zone: usize, cut: bool) {
        let mut changes = self.changed.subscribe();
        while (self.link(class, zone).cuts > 0) != cut {
            if changes.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }
}

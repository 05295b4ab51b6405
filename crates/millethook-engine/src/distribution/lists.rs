//! Documents of server lists: which ones this process receives or publishes, and the offered ones.

use std::cell::RefCell;
use std::sync::Arc;

use millethook_distribution::{Document, DocumentKey};
use tokio::sync::Notify;

use super::Distribution;

/// The list of servers that this process receives from the control nodes or publishes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListSettings {
    /// The name of the list.
    pub name: String,
    /// The key of its documents.
    pub list: DocumentKey,
    /// The key of the documents that confirm the list.
    pub confirmation: DocumentKey,
    /// Whether this process watches discovery and publishes its list.
    pub from_discovery: bool,
}

/// Offered documents of lists that the host has not accepted or refused yet.
#[derive(Default)]
pub(super) struct OfferedLists {
    documents: RefCell<Vec<Arc<Document>>>,
    changed: Notify,
}

impl OfferedLists {
    /// Replaces the offered documents.
    pub fn replace(&self, documents: Vec<Arc<Document>>) {
        self.documents.replace(documents);
        self.changed.notify_one();
    }
}

impl Distribution {
    /// Returns the distributed list of servers, if there is one.
    pub(crate) fn list(&self) -> Option<&ListSettings> {
        self.list.as_ref()
    }

    /// Waits until lists of servers or their confirmations are offered.
    pub(crate) async fn wait_for_offered_lists(&self) {
        self.offered_lists.changed.notified().await;
    }

    /// Takes the offered lists of servers and confirmations.
    pub(crate) fn take_offered_lists(&self) -> Vec<Arc<Document>> {
        self.offered_lists.documents.take()
    }

    /// Returns the committed document of a key; None if this process is no control node.
    pub(crate) fn committed(&self, key: DocumentKey) -> Option<Arc<Document>> {
        self.control.as_ref()?.borrow().document(key)
    }
}

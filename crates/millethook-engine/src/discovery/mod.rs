//! The client of discovery: it fetches and watches the list of servers and passes it to a [`MembershipSink`].
//! Incomplete answers are dropped.

mod call;
pub mod call_timing;
pub mod list_fetch;
mod on_request;
mod pushed;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use coppercart::api::ListKind;
use coppercart::settings::Discovery as DiscoveryMode;
use rand_core::SeedableRng;
use rand_pcg::Pcg32;
use tokio::sync::{Notify, mpsc, watch};

use crate::list::List;
use crate::list_clock::ListClock;
use crate::sinks::MembershipSink;
use call_timing::CallLimits;

/// A command of the balancer to the discovery client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryCommand {
    /// Watch for changes from now on.
    Watch,
    /// Fetch the complete list once.
    Fetch,
    /// Watch for changes of the list of this version, which came from another source.
    WatchFrom(u64),
    /// Stop, and cancel open calls. Ignored where lists are pushed.
    Stop,
}

/// Configuration of the discovery client.
pub struct DiscoveryConfig {
    /// The address of discovery, and its changes by new configurations.
    pub address: watch::Receiver<SocketAddr>,
    /// Whether lists are requested or pushed.
    pub mode: DiscoveryMode,
    /// What the current settings say about calls.
    pub limits: Rc<Cell<CallLimits>>,
    /// The version of the remembered list.
    pub version: u64,
    /// The seed of random delays.
    pub seed: u64,
    /// Notified whenever a call ends.
    pub call_ended: Rc<Notify>,
    /// Notified of each current answer, where lists are pushed.
    pub clock: Rc<ListClock>,
}

/// The discovery client.
pub struct Discovery {
    config: DiscoveryConfig,
    /// The version of the current list.
    version: u64,
    /// The next call requests the complete list.
    needs_whole_list: bool,
    random: Pcg32,
}

impl Discovery {
    /// Creates a client that has made no call yet.
    pub fn new(config: DiscoveryConfig) -> Discovery {
        // The agent is on the same machine, so a complete list is cheap.
        let needs_whole_list = config.mode == DiscoveryMode::Pushed;
        let random = Pcg32::seed_from_u64(config.seed);
        Discovery { version: config.version, needs_whole_list, random, config }
    }

    /// Keeps the list current; `commands` come from the balancer.
    pub async fn run(
        self,
        sink: impl MembershipSink,
        commands: mpsc::UnboundedReceiver<DiscoveryCommand>,
    ) {
        match self.config.mode {
            DiscoveryMode::Pushed => pushed::PushedDiscovery::new(self).run(&sink, commands).await,
            DiscoveryMode::OnRequest => {
                on_request::OnRequestDiscovery::new(self).run(&sink, commands).await
            }
        }
    }

    fn address(&self) -> SocketAddr {
        *self.config.address.borrow()
    }

    fn query(&self, hold: std::time::Duration) -> call::Query {
        match self.needs_whole_list {
            true => call::Query::Whole,
            false => call::Query::Newer { than: self.version, hold },
        }
    }

    /// Passes a list on. Returns false if it does not follow the current list.
    ///
    /// A restarted discovery may count from lower versions. A query for changes since our version would return
    /// nothing, or changes that do not follow, so the next call requests the complete list.
    fn deliver(&mut self, sink: &impl MembershipSink, list: &List) -> bool {
        self.needs_whole_list = !list.whole && list.seq < self.version;
        if self.needs_whole_list {
            return false;
        }
        self.version = list.seq;
        sink.update_servers(if list.whole { ListKind::Whole } else { ListKind::Changes }, list);
        true
    }
}

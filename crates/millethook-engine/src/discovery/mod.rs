//! The list of servers: asked for, watched, and told to whoever wants the news. Only whole answers count.

mod asked;
mod call;
pub mod call_timing;
pub mod list_fetch;
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
use crate::news::MembershipSink;
use call_timing::CallLimits;

/// What the module asks of discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryCommand {
    /// Changes from now on.
    Watch,
    /// The whole list, once.
    Fetch,
    /// Changes from now on, of the list of this version: it came from elsewhere.
    WatchFrom(u64),
    /// Nothing any more: what is open is hung up. Where lists are pushed this says nothing.
    Stop,
}

/// What the side that talks to discovery goes by.
pub struct DiscoveryConfig {
    /// Where discovery is; brings word when a new configuration moves it.
    pub address: watch::Receiver<SocketAddr>,
    /// Whether it is asked, or pushes.
    pub mode: DiscoveryMode,
    /// What the settings say about calls, as they are at each time.
    pub limits: Rc<Cell<CallLimits>>,
    /// The version of the list remembered.
    pub version: u64,
    /// Random waits are drawn by it.
    pub seed: u64,
    /// Told of every call that ends.
    pub call_ended: Rc<Notify>,
    /// Told of every answer that is new, where lists are pushed.
    pub clock: Rc<ListClock>,
}

/// The side of discovery that talks to it.
pub struct Discovery {
    config: DiscoveryConfig,
    /// The version of the list at hand.
    version: u64,
    /// The next call is for all of it.
    whole: bool,
    random: Pcg32,
}

impl Discovery {
    /// One that has not called yet.
    pub fn new(config: DiscoveryConfig) -> Discovery {
        // An agent is near, and all of its list costs nothing.
        let whole = config.mode == DiscoveryMode::Pushed;
        let random = Pcg32::seed_from_u64(config.seed);
        Discovery { version: config.version, whole, random, config }
    }

    /// Keeps the list as new as it can be; `calls` is what the module asks.
    pub async fn run(
        self,
        news: impl MembershipSink,
        calls: mpsc::UnboundedReceiver<DiscoveryCommand>,
    ) {
        match self.config.mode {
            DiscoveryMode::Pushed => pushed::Pushed::new(self).run(&news, calls).await,
            DiscoveryMode::OnRequest => asked::Asked::new(self).run(&news, calls).await,
        }
    }

    fn address(&self) -> SocketAddr {
        *self.config.address.borrow()
    }

    fn query(&self, hold: std::time::Duration) -> call::Query {
        match self.whole {
            true => call::Query::Whole,
            false => call::Query::Newer { than: self.version, hold },
        }
    }

    /// Passes a list on; false if it does not go with the one at hand.
    ///
    /// Danger: a discovery that has started anew may count from lower versions. Asked for what is newer than ours it
    /// would have nothing to say, or changes that do not follow: the next call is for all.
    fn tell(&mut self, news: &impl MembershipSink, list: &List) -> bool {
        self.whole = !list.whole && list.seq < self.version;
        if self.whole {
            return false;
        }
        self.version = list.seq;
        news.servers(if list.whole { ListKind::Whole } else { ListKind::Changes }, list);
        true
    }
}

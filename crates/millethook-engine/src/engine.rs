//! Puts an engine together: the driver, its connections, and the sources of its news.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use coppercart::api::ListKind;
use coppercart::settings::{Discovery as How, Settings};
use millethook_connect::Begins;
use millethook_connect::pool::{Limits, Reuse};
use millethook_machine::hash::mix;
use millethook_membership::Source;
use serde_json::Value;
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::spawn_local;

use crate::budget::Sockets;
use crate::datagrams;
use crate::discovery::call_timing::CallLimits;
use crate::discovery::{Discovery, DiscoveryCommand, DiscoveryConfig};
use crate::distribution::Distribution;
use crate::driver::Driver;
use crate::figures::Figures;
use crate::fleet::{Fleet, FleetSettings, obstacle};
use crate::keeper::{Keeper, KeeperConfig};
use crate::list::List;
use crate::names::Names;
use crate::news::{MembershipSink, PeerSender};
use crate::peers::Peers;
use crate::product::usual_reuse;
use crate::server_lists::{
    ListPublisher, ListRole, ListSubscription, PublishingSink, SubscribedSink, SubscriptionParts,
};
use crate::upstream::{Upstream, UpstreamConfig};

/// What an engine is built of.
pub struct EngineConfig {
    /// The module's settings.
    pub settings: Settings,
    /// The names that stand on sockets for the module's numbers.
    pub names: Arc<Names>,
    /// For random numbers.
    pub seed: u64,
    /// Where discovery is; None: `known` is the list, and stays so.
    pub discovery: Option<SocketAddr>,
    /// The list of servers as it was last had.
    pub initial_list: Option<List>,
    /// When servers may begin with a request.
    pub begins: Begins,
    /// How the list of servers outlives the process; None: what sources say is taken as it comes.
    pub membership_store: Option<(String, KeeperConfig)>,
    /// What bounds connections to servers; `settings` tells how long they may rest.
    pub connections: Limits,
    /// For how many requests a connection is used; None: as `settings` price a handshake.
    pub reuse: Option<Reuse>,
    /// The other sidecars, where there is a way to them.
    pub peers: Option<PeerConfig>,
    /// How the view of the fleet is kept; None: there is none.
    pub fleet: Option<FleetSettings>,
    /// Documents for sidecars; None: there are none. Needs `fleet`.
    pub distribution: Option<Distribution>,
}

/// The way to the other sidecars of the tier.
pub struct PeerConfig {
    /// Where datagrams arrive.
    pub listen: SocketAddr,
    /// The sidecars of the tier, by their numbers.
    pub peers: Vec<SocketAddr>,
    /// What is sent there reaches every sidecar of the tier.
    pub all: Option<SocketAddr>,
}

/// An engine at work.
pub struct Engine {
    /// Takes requests.
    pub driver: Rc<Driver>,
    /// The names that stand on sockets for the module's numbers.
    pub names: RefCell<Arc<Names>>,
    /// What it has done so far.
    pub figures: Rc<Figures>,
    /// The sockets that it may hold.
    pub sockets: Rc<Sockets>,
    upstream: Rc<Upstream>,
    /// For how many requests a connection is used, where the configuration says so.
    reuse: Option<Reuse>,
    longest_deadline: Cell<Duration>,
    /// The names of settings that were in force before, for as long as something goes by them.
    before: RefCell<Vec<Arc<Names>>>,
    tried: Rc<Notify>,
    discovery: Option<watch::Sender<SocketAddr>>,
    /// What the settings in force say about calls of discovery.
    call_limits: Rc<Cell<CallLimits>>,
    peers: Option<Rc<Peers>>,
    /// The view of the fleet, where there is one.
    pub fleet: Option<Rc<Fleet>>,
    /// Where the list of servers is kept, if it is.
    pub membership_store: Option<Rc<Keeper>>,
    /// What this process does with the list that comes by distribution, if one does.
    pub list_role: Option<ListRole>,
}

impl Engine {
    /// Starts an engine on the present `LocalSet`; its tasks end with that.
    ///
    /// # Errors
    /// Names the address that datagrams were to arrive at, if it could not be had.
    pub async fn start(config: EngineConfig, sockets: Rc<Sockets>) -> Result<Engine, String> {
        let mut members = 0;
        let peers = match config.peers {
            Some(PeerConfig { listen, peers, all }) => {
                members = peers.len();
                let wanted = config.distribution.as_ref().and_then(Distribution::receive_buffer);
                let bound = datagrams::bind(listen, wanted);
                let bound = bound.map_err(|e| format!("peer_listen: {listen}: {e}"))?;
                if let Some(wanted) = wanted {
                    tell_receive_buffer(wanted, bound.receive_buffer);
                }
                Some(Peers::new(bound.socket, peers, all))
            }
            None => None,
        };
        let fleet = config.fleet.and_then(|of| {
            if let Some(obstacle) = obstacle(&config.settings, members) {
                tracing::warn!(event = "fleet_off", "no view of the fleet: {obstacle}");
                return None;
            }
            let sender = peers.clone()?;
            let (me, zone) = (config.settings.me, config.settings.zone);
            let times =
                (config.settings.longest(|c| c.aim), config.settings.longest(|c| c.deadline));
            let seed = (config.seed, config.distribution);
            Some(Fleet::start(&of, (me, members), (zone, times.0, times.1), seed, sender))
        });
        let names = config.names;
        let limits = &config.settings.limits;
        let figures = Rc::new(Figures::new(&names));
        let upstream = Upstream::new(
            sockets.clone(),
            names.clone(),
            figures.clone(),
            UpstreamConfig {
                begins: config.begins,
                connect_timeout: Duration::from_micros(limits.connect_timeout),
                limits: Limits {
                    idle: Duration::from_micros(limits.conn_idle),
                    ..config.connections
                },
                reuse: config.reuse.unwrap_or_else(|| usual_reuse(&config.settings)),
            },
        );
        let how = config.settings.discovery;
        let call_limits = Rc::new(Cell::new(CallLimits::from(&config.settings)));
        let longest_deadline = Duration::from_micros(config.settings.longest(|c| c.deadline));
        let (to_discovery, calls) = mpsc::unbounded_channel();
        let first_call = to_discovery.clone();
        let teller = peers.clone().map(|p| p as Rc<dyn PeerSender>);
        let driver = Driver::new(
            config.settings,
            config.seed,
            names.clone(),
            upstream.clone(),
            to_discovery,
            teller,
            figures.clone(),
        );
        if let Some(fleet) = &fleet {
            driver.share_evidence_with(fleet);
        }
        let version = config.initial_list.as_ref().map_or(0, |known| known.seq);
        let keeper = config.membership_store.map(|(fleet, keeper)| {
            let (driver, known) = (driver.clone(), config.initial_list.as_ref());
            Keeper::start(driver, upstream.clone(), keeper, &fleet, config.seed, known)
        });
        if let Some(known) = config.initial_list.as_ref().filter(|_| keeper.is_none()) {
            let remembered = config.discovery.is_some();
            let kind = if remembered { ListKind::Remembered } else { ListKind::Whole };
            driver.apply_list(kind, known);
        }
        if how == How::OnRequest && config.initial_list.is_none() && !driver.has_listed_servers() {
            // The decisions ask again for what they had; who has nothing yet asks at once. Discovery runs below.
            let _ = first_call.send(DiscoveryCommand::Watch);
        }
        let tried = Rc::new(Notify::new());
        // Danger: where discovery is asked, thousands of sidecars that start together ask one after the other
        // over some seconds, and it may turn many away. Whoever has a list from before serves by it meanwhile:
        // servers that are gone refuse, and the first answer puts the list right.
        let listed = config.initial_list.as_ref().is_some_and(|known| !known.hosts.is_empty());
        if how == How::OnRequest && listed || keeper.is_some() && driver.has_listed_servers() {
            tried.notify_one();
        }
        let mut list_role = None;
        let discovery = match config.discovery {
            Some(at) => {
                let (discovery, moves) = watch::channel(at);
                let watching = DiscoveryConfig {
                    address: moves,
                    how,
                    limits: call_limits.clone(),
                    version,
                    seed: config.seed,
                    tried: tried.clone(),
                    clock: driver.list_clock(),
                };
                let listed = driver.has_listed_servers();
                let sinks = (driver.clone(), keeper.clone(), fleet.clone());
                list_role = watch_lists(watching, sinks, listed, calls);
                Some(discovery)
            }
            None => {
                tried.notify_one();
                None
            }
        };
        if let Some(peers) = peers.clone() {
            let (driver, fleet) = (driver.clone(), fleet.clone());
            spawn_local(peers.listen(move |from, data| match &fleet {
                Some(fleet) => fleet.datagram(from, data),
                None => driver.note(from, data),
            }));
        }
        Ok(Engine {
            driver,
            names: RefCell::new(names),
            figures,
            sockets,
            upstream,
            reuse: config.reuse,
            longest_deadline: Cell::new(longest_deadline),
            before: RefCell::default(),
            tried,
            discovery,
            call_limits,
            peers,
            fleet,
            membership_store: keeper,
            list_role,
        })
    }

    /// The longest deadline of a class that was ever in force: requests of it may be open.
    pub fn longest_deadline(&self) -> Duration {
        self.longest_deadline.get()
    }

    /// Takes new settings, of which `raw` is the object that they were read from. Requests that are open,
    /// and those whose front still holds the names from before, go on under the settings that they came
    /// under.
    ///
    /// # Errors
    /// Names the key that makes no sense; nothing has changed then.
    pub fn apply_settings(&self, new: Settings, raw: &Value) -> Result<Arc<Names>, String> {
        let mut before = self.before.borrow_mut();
        before.retain(|names| Arc::strong_count(names) > 1);
        // Danger: a request whose body is still coming names its class by its place, and the decisions
        // have not heard of it yet.
        let present = self.names.borrow().clone();
        let held = |place: usize| {
            let names = before.iter().chain([&present]);
            names.flat_map(|names| names.classes.values()).any(|class| class.index == place)
        };
        let settings = self.driver.merge_settings(new, held);
        let names = Arc::new(Names::new(&settings, raw)?);
        let longest = Duration::from_micros(settings.longest(|c| c.deadline));
        self.longest_deadline.set(longest.max(self.longest_deadline.get()));
        self.call_limits.set(CallLimits::from(&settings));
        self.upstream.set_reuse(self.reuse.unwrap_or_else(|| usual_reuse(&settings)));
        self.driver.apply_settings(settings);
        self.figures.set_classes(&names);
        before.push(self.names.replace(names.clone()));
        Ok(names)
    }

    /// Takes a list of servers, or changes of it, that the application's own code knows. It is weighed like
    /// discovery's, where lists are.
    pub fn apply_list(&self, list: &List) {
        match &self.membership_store {
            Some(keeper) => keeper.apply_list(Source::Code, list),
            None => {
                let kind = if list.whole { ListKind::Whole } else { ListKind::Changes };
                self.driver.apply_list(kind, list);
            }
        }
    }

    /// Datagrams that came from no peer's address, or were too long.
    pub fn rejected_datagrams(&self) -> u64 {
        self.peers.as_ref().map_or(0, |peers| peers.strangers())
    }

    /// Waits until discovery has first been tried.
    pub async fn wait_for_discovery(&self) {
        self.tried.notified().await;
    }

    /// Discovery, and the other sidecars, are elsewhere from now on. Requests under way,
    /// connections and what is known of servers stay as they are.
    pub fn update_addresses(
        &self,
        discovery: SocketAddr,
        peers: Vec<SocketAddr>,
        all: Option<SocketAddr>,
    ) {
        if let Some(fleet) = &self.fleet {
            fleet.resized(peers.len());
        }
        if let Some(known) = &self.peers {
            known.moved(peers, all);
        }
        if let Some(to) = &self.discovery {
            to.send_if_modified(|at| std::mem::replace(at, discovery) != discovery);
        }
    }
}

/// Where lists of servers go: to the membership where there is one, else to the driver; and the fleet, which may carry
/// them.
type ListParts = (Rc<Driver>, Option<Rc<Keeper>>, Option<Rc<Fleet>>);

/// Starts the tasks that have lists from discovery, or from the control nodes. `calls` is what the decisions ask of
/// discovery.
fn watch_lists(
    config: DiscoveryConfig,
    (driver, keeper, fleet): ListParts,
    listed: bool,
    calls: mpsc::UnboundedReceiver<DiscoveryCommand>,
) -> Option<ListRole> {
    let (limits, tried, seed) = (config.limits.clone(), config.tried.clone(), config.seed);
    let discovery = Discovery::new(config);
    let sink: Box<dyn MembershipSink> = match &keeper {
        Some(keeper) => Box::new(keeper.clone()),
        None => Box::new(driver),
    };
    let distribution = fleet.as_ref().and_then(|fleet| fleet.distribution.clone());
    let settings = distribution.as_ref().and_then(|of| of.list().cloned());
    match (settings, distribution, fleet, keeper) {
        (Some(settings), Some(distribution), Some(fleet), _) if settings.from_discovery => {
            let publisher = ListPublisher::start(settings, fleet, distribution);
            let sink = PublishingSink { sink, publisher: publisher.clone() };
            spawn_local(discovery.run(sink, calls));
            Some(ListRole::Publishes(publisher))
        }
        (Some(settings), Some(distribution), Some(fleet), Some(keeper)) => {
            // Sidecars that share a seed wait differently all the same.
            let (me, epoch) = fleet.process();
            let seed = mix(seed ^ mix(u64::from(me)) ^ epoch);
            let (to_discovery, own_calls) = mpsc::unbounded_channel();
            let parts = SubscriptionParts {
                settings,
                distribution,
                keeper,
                to_discovery,
                call_limits: limits,
                tried,
                seed,
            };
            let subscription = ListSubscription::new(parts, listed);
            let sink = SubscribedSink { sink, subscription: subscription.clone() };
            spawn_local(discovery.run(sink, own_calls));
            spawn_local(subscription.clone().run(calls));
            Some(ListRole::Takes(subscription))
        }
        _ => {
            spawn_local(discovery.run(sink, calls));
            None
        }
    }
}

/// Says once what the system has given for the receive buffer that was asked for.
fn tell_receive_buffer(wanted: usize, granted: usize) {
    if granted < wanted {
        tracing::warn!(
            event = "distribution_receive_buffer_small",
            wanted,
            granted,
            "receive buffer of the datagram socket: {granted} bytes, {wanted} wanted: see net.core.rmem_max"
        );
    } else {
        tracing::info!(
            event = "distribution_receive_buffer",
            wanted,
            granted,
            "receive buffer of the datagram socket: {granted} bytes, {wanted} wanted"
        );
    }
}

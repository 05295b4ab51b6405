//! Assembles an engine: the driver, its connections, discovery and the fleet.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use coppercart::api::ListKind;
use coppercart::settings::{Discovery as DiscoveryMode, Settings};
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
use crate::fleet::{Fleet, FleetSettings, unavailable_reason};
use crate::list::List;
use crate::membership_store::{MembershipStore, MembershipStoreConfig};
use crate::names::Names;
use crate::peers::Peers;
use crate::product::default_reuse;
use crate::server_lists::{
    ListPublisher, ListRole, ListSubscription, PublishingSink, SubscribedSink, SubscriptionParts,
};
use crate::sinks::{MembershipSink, PeerSender};
use crate::upstream::{Upstream, UpstreamConfig};

/// Configuration of an engine.
pub struct EngineConfig {
    /// The balancer's settings.
    pub settings: Settings,
    /// The names in requests and lists that stand for indices of the settings.
    pub names: Arc<Names>,
    /// The seed of random numbers.
    pub seed: u64,
    /// The address of discovery. `None`: `initial_list` is the list and never changes.
    pub discovery: Option<SocketAddr>,
    /// The list of servers at the start, such as the last one known.
    pub initial_list: Option<List>,
    /// When a server may start to execute a request.
    pub begins: Begins,
    /// How the list of servers survives restarts. `None`: lists of sources are applied without checks.
    pub membership_store: Option<(String, MembershipStoreConfig)>,
    /// Limits on connections to servers. The idle timeout is taken from `settings`.
    pub connections: Limits,
    /// How many requests a connection carries. `None`: derived from the cost of a handshake in `settings`.
    pub reuse: Option<Reuse>,
    /// Bytes that are read from a server at once.
    pub server_read_bytes: usize,
    /// How to reach the other sidecars, if configured.
    pub peers: Option<PeerConfig>,
    /// Settings of the fleet view. `None`: there is none.
    pub fleet: Option<FleetSettings>,
    /// Distribution of documents to sidecars. `None`: there is none. Needs `fleet`.
    pub distribution: Option<Distribution>,
}

/// How to reach the other sidecars of the tier.
pub struct PeerConfig {
    /// The address on which datagrams are received.
    pub listen: SocketAddr,
    /// The addresses of the sidecars, by their numbers.
    pub peers: Vec<SocketAddr>,
    /// An address that reaches every sidecar of the tier.
    pub all: Option<SocketAddr>,
}

/// A running engine.
pub struct Engine {
    /// Accepts requests.
    pub driver: Rc<Driver>,
    /// The names in requests and lists that stand for indices of the settings.
    pub names: RefCell<Arc<Names>>,
    /// Counts since the start.
    pub figures: Rc<Figures>,
    /// The budget of sockets.
    pub sockets: Rc<Sockets>,
    upstream: Rc<Upstream>,
    /// How many requests a connection carries, if configured.
    reuse: Option<Reuse>,
    longest_deadline: Cell<Duration>,
    /// Names of earlier settings that requests still use.
    previous_names: RefCell<Vec<Arc<Names>>>,
    discovery_call_ended: Rc<Notify>,
    discovery: Option<watch::Sender<SocketAddr>>,
    /// What the settings in force say about calls to discovery.
    call_limits: Rc<Cell<CallLimits>>,
    peers: Option<Rc<Peers>>,
    /// The fleet view, if there is one.
    pub fleet: Option<Rc<Fleet>>,
    /// The store of the server list, if it is kept.
    pub membership_store: Option<Rc<MembershipStore>>,
    /// What this process does with the server list that the control nodes distribute, if they do.
    pub list_role: Option<ListRole>,
}

impl Engine {
    /// Starts an engine on the current `LocalSet`; its tasks end with that.
    ///
    /// # Errors
    /// Names the address for datagrams if it cannot be bound.
    pub async fn start(config: EngineConfig, sockets: Rc<Sockets>) -> Result<Engine, String> {
        let mut members = 0;
        let peers = match config.peers {
            Some(PeerConfig { listen, peers, all }) => {
                members = peers.len();
                let wanted = config.distribution.as_ref().and_then(Distribution::receive_buffer);
                let bound = datagrams::bind(listen, wanted);
                let bound = bound.map_err(|e| format!("peer_listen: {listen}: {e}"))?;
                if let Some(wanted) = wanted {
                    log_receive_buffer(wanted, bound.receive_buffer);
                }
                Some(Peers::new(bound.socket, peers, all))
            }
            None => None,
        };
        let fleet = config.fleet.and_then(|fleet_settings| {
            if let Some(reason) = unavailable_reason(&config.settings, members) {
                tracing::warn!(event = "fleet_off", "fleet view is disabled: {reason}");
                return None;
            }
            let sender = peers.clone()?;
            let (me, zone) = (config.settings.me, config.settings.zone);
            let times = (
                config.settings.max_over_classes(|c| c.aim),
                config.settings.max_over_classes(|c| c.deadline),
            );
            let source = (config.seed, config.distribution);
            Some(Fleet::start(
                &fleet_settings,
                (me, members),
                (zone, times.0, times.1),
                source,
                sender,
            ))
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
                    idle_timeout: Duration::from_micros(limits.conn_idle),
                    ..config.connections
                },
                reuse: config.reuse.unwrap_or_else(|| default_reuse(&config.settings)),
                read_bytes: config.server_read_bytes,
            },
        );
        let mode = config.settings.discovery;
        let call_limits = Rc::new(Cell::new(CallLimits::from(&config.settings)));
        let longest_deadline =
            Duration::from_micros(config.settings.max_over_classes(|c| c.deadline));
        let (to_discovery, commands) = mpsc::unbounded_channel();
        let discovery_sender = to_discovery.clone();
        let peer_sender = peers.clone().map(|p| p as Rc<dyn PeerSender>);
        let driver = Driver::new(
            config.settings,
            config.seed,
            names.clone(),
            upstream.clone(),
            to_discovery,
            peer_sender,
            figures.clone(),
        );
        if let Some(fleet) = &fleet {
            driver.share_evidence_with(fleet);
        }
        let version = config.initial_list.as_ref().map_or(0, |list| list.seq);
        let membership_store = config.membership_store.map(|(fleet, store_config)| {
            let (driver, initial_list) = (driver.clone(), config.initial_list.as_ref());
            MembershipStore::start(
                driver,
                upstream.clone(),
                store_config,
                &fleet,
                config.seed,
                initial_list,
            )
        });
        if let Some(list) = config.initial_list.as_ref().filter(|_| membership_store.is_none()) {
            let remembered = config.discovery.is_some();
            let kind = if remembered { ListKind::Remembered } else { ListKind::Whole };
            driver.apply_list(kind, list);
        }
        if mode == DiscoveryMode::OnRequest
            && config.initial_list.is_none()
            && !driver.has_listed_servers()
        {
            // The balancer only asks for updates of a list it has. Without a list, the first one is requested here;
            // discovery starts below.
            let _ = discovery_sender.send(DiscoveryCommand::Watch);
        }
        let discovery_call_ended = Rc::new(Notify::new());
        // With on-request discovery, thousands of sidecars that start together are answered over several seconds, and
        // many may be refused. A sidecar with an earlier list serves with it at once instead of waiting: servers that
        // are gone refuse connections, and the first answer corrects the list.
        let listed = config.initial_list.as_ref().is_some_and(|list| !list.hosts.is_empty());
        if mode == DiscoveryMode::OnRequest && listed
            || membership_store.is_some() && driver.has_listed_servers()
        {
            discovery_call_ended.notify_one();
        }
        let mut list_role = None;
        let discovery = match config.discovery {
            Some(address) => {
                let (discovery, address_changes) = watch::channel(address);
                let discovery_config = DiscoveryConfig {
                    address: address_changes,
                    mode,
                    limits: call_limits.clone(),
                    version,
                    seed: config.seed,
                    call_ended: discovery_call_ended.clone(),
                    clock: driver.list_clock(),
                };
                let listed = driver.has_listed_servers();
                let sinks = (driver.clone(), membership_store.clone(), fleet.clone());
                list_role = watch_lists(discovery_config, sinks, listed, commands);
                Some(discovery)
            }
            None => {
                discovery_call_ended.notify_one();
                None
            }
        };
        if let Some(peers) = peers.clone() {
            let (driver, fleet) = (driver.clone(), fleet.clone());
            spawn_local(peers.receive(move |from, data| match &fleet {
                Some(fleet) => fleet.handle_datagram(from, data),
                None => driver.handle_message(from, data),
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
            previous_names: RefCell::default(),
            discovery_call_ended,
            discovery,
            call_limits,
            peers,
            fleet,
            membership_store,
            list_role,
        })
    }

    /// The longest deadline of a class that was ever in force, because requests of that class may still be open.
    pub fn longest_deadline(&self) -> Duration {
        self.longest_deadline.get()
    }

    /// Takes new settings; `raw` is the object that they were read from. Open requests, and requests whose client
    /// side still holds the earlier names, continue under the earlier settings.
    ///
    /// # Errors
    /// Names the invalid key. Nothing has changed then.
    pub fn apply_settings(&self, new: Settings, raw: &Value) -> Result<Arc<Names>, String> {
        let mut previous_names = self.previous_names.borrow_mut();
        previous_names.retain(|names| Arc::strong_count(names) > 1);
        // A request whose body is still arriving refers to its class by index, and the balancer does not know of the
        // request yet. Without this check its index could be reused for another class.
        let present = self.names.borrow().clone();
        let is_in_use = |index: usize| {
            let names = previous_names.iter().chain([&present]);
            names.flat_map(|names| names.classes.values()).any(|class| class.index == index)
        };
        let settings = self.driver.merge_settings(new, is_in_use);
        let names = Arc::new(Names::new(&settings, raw)?);
        let longest = Duration::from_micros(settings.max_over_classes(|c| c.deadline));
        self.longest_deadline.set(longest.max(self.longest_deadline.get()));
        self.call_limits.set(CallLimits::from(&settings));
        self.upstream.set_reuse(self.reuse.unwrap_or_else(|| default_reuse(&settings)));
        self.driver.apply_settings(settings);
        self.figures.set_classes(&names);
        previous_names.push(self.names.replace(names.clone()));
        Ok(names)
    }

    /// Takes a list of servers, or changes of one, from the application. If a membership store exists, the list is
    /// checked like one from discovery.
    pub fn apply_list(&self, list: &List) {
        match &self.membership_store {
            Some(membership_store) => membership_store.apply_list(Source::Code, list),
            None => {
                let kind = if list.whole { ListKind::Whole } else { ListKind::Changes };
                self.driver.apply_list(kind, list);
            }
        }
    }

    /// Number of datagrams that came from an unknown address or were too long.
    pub fn rejected_datagrams(&self) -> u64 {
        self.peers.as_ref().map_or(0, |peers| peers.rejected_datagrams())
    }

    /// Waits until the first call to discovery has ended.
    pub async fn wait_for_discovery(&self) {
        self.discovery_call_ended.notified().await;
    }

    /// Sets new addresses of discovery and of the other sidecars. Open requests, connections and what is known about
    /// servers are kept.
    pub fn update_addresses(
        &self,
        discovery: SocketAddr,
        peers: Vec<SocketAddr>,
        all: Option<SocketAddr>,
    ) {
        if let Some(fleet) = &self.fleet {
            fleet.set_member_count(peers.len());
        }
        if let Some(own_peers) = &self.peers {
            own_peers.set_addresses(peers, all);
        }
        if let Some(sender) = &self.discovery {
            sender.send_if_modified(|address| std::mem::replace(address, discovery) != discovery);
        }
    }
}

/// Consumers of server lists: the driver, the membership store in front of it if there is one, and the fleet that may
/// distribute them.
type ListParts = (Rc<Driver>, Option<Rc<MembershipStore>>, Option<Rc<Fleet>>);

/// Starts the tasks that get lists from discovery or from the control nodes. `commands` are the balancer's commands to
/// discovery.
fn watch_lists(
    config: DiscoveryConfig,
    (driver, membership_store, fleet): ListParts,
    listed: bool,
    commands: mpsc::UnboundedReceiver<DiscoveryCommand>,
) -> Option<ListRole> {
    let (limits, discovery_call_ended, seed) =
        (config.limits.clone(), config.call_ended.clone(), config.seed);
    let discovery = Discovery::new(config);
    let sink: Box<dyn MembershipSink> = match &membership_store {
        Some(membership_store) => Box::new(membership_store.clone()),
        None => Box::new(driver),
    };
    let distribution = fleet.as_ref().and_then(|fleet| fleet.distribution.clone());
    let settings = distribution.as_ref().and_then(|distribution| distribution.list().cloned());
    match (settings, distribution, fleet, membership_store) {
        (Some(settings), Some(distribution), Some(fleet), _) if settings.from_discovery => {
            let publisher = ListPublisher::start(settings, fleet, distribution);
            let sink = PublishingSink { sink, publisher: publisher.clone() };
            spawn_local(discovery.run(sink, commands));
            Some(ListRole::Publisher(publisher))
        }
        (Some(settings), Some(distribution), Some(fleet), Some(membership_store)) => {
            // Sidecars with the same configured seed still draw different delays.
            let (me, epoch) = fleet.own_identity();
            let seed = mix(seed ^ mix(u64::from(me)) ^ epoch);
            let (to_discovery, own_commands) = mpsc::unbounded_channel();
            let parts = SubscriptionParts {
                settings,
                distribution,
                membership_store,
                to_discovery,
                call_limits: limits,
                tried: discovery_call_ended,
                seed,
            };
            let subscription = ListSubscription::new(parts, listed);
            let sink = SubscribedSink { sink, subscription: subscription.clone() };
            spawn_local(discovery.run(sink, own_commands));
            spawn_local(subscription.clone().run(commands));
            Some(ListRole::Subscriber(subscription))
        }
        _ => {
            spawn_local(discovery.run(sink, commands));
            None
        }
    }
}

/// Logs the size of the receive buffer that the system granted.
fn log_receive_buffer(wanted: usize, granted: usize) {
    if granted < wanted {
        tracing::warn!(
            event = "distribution_receive_buffer_small",
            wanted,
            granted,
            "datagram socket receive buffer is {granted} bytes instead of {wanted}; raise net.core.rmem_max"
        );
    } else {
        tracing::info!(
            event = "distribution_receive_buffer",
            wanted,
            granted,
            "datagram socket receive buffer is {granted} bytes, requested {wanted}"
        );
    }
}

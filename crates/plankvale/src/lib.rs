//! The daemon: clients on one side, servers on the other, and discovery and the other sidecars
//! beside them, for as long as the process lives.
#![forbid(unsafe_code)]

pub mod cli;
pub mod config;
mod edge;
mod fleet;
mod operated;
mod shutdown;
mod succession;

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use millethook_connect::pool::Limits;
use millethook_engine::budget::{Bytes, Sockets};
use millethook_engine::product;
use millethook_engine::{Engine, EngineConfig, PeerConfig};
use millethook_handover::inherited;
use millethook_http::edge::{Edge, EdgeSettings};
use millethook_http::guard::OpenIds;
use millethook_http::ingress::Ingress;
use serde_json::Value;
use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::timeout;

use config::Config;
use millethook_config::Product;
use operated::{Operated, Reloaded};

/// Connections that may wait to be accepted: a crowd comes within a second.
const BACKLOG: i32 = 4096;
/// The share of the memory that bodies of requests may take.
const BODIES: f64 = 0.4;

/// How long the last write of the list of servers may hold up the end.
const LAST_WRITE: Duration = Duration::from_secs(1);
/// How long a process beside another one waits for a list of servers before it accepts clients.
const UNLISTED: Duration = Duration::from_secs(1);

/// A change of the configuration, as SIGHUP brings it, or what is wrong with the file.
pub type Reload = Result<Box<Config>, String>;

/// Runs the sidecar until `stop` is done and all that was taken is answered. `reloads` brings the
/// configurations that come later. An error names the address that could not be had.
pub async fn run(
    config: Config,
    stop: impl Future<Output = ()>,
    reloads: mpsc::Receiver<Reload>,
) -> Result<(), String> {
    let inert = Inert::of(&config);
    let listener = match config.inherited {
        Some(fd) => inherited::listener(fd)
            .and_then(TcpListener::from_std)
            .map_err(|e| format!("LB_INHERITED_FD: {fd}: {e}"))?,
        None => listen(config.listen).map_err(|e| format!("listen: {}: {e}", config.listen))?,
    };
    let admin = match config.admin {
        Some(at) => Some(listen(at).map_err(|e| format!("admin: {at}: {e}"))?),
        None => None,
    };
    let seat = config.inherited.and_then(|_| succession::take_seat(&config.name));
    let Config { peers, peers_all: all, .. } = config;
    let keeper = product::keeper(&config.product, &config.name)?;
    let connections = product::connections(&config.product, Limits::default());
    let peers = config.peer_listen.map(|listen| PeerConfig { listen, peers, all });
    let sockets = Rc::new(Sockets::new(config.sockets));
    let engine = EngineConfig {
        settings: config.settings,
        names: Arc::new(config.names),
        seed: config.seed,
        discovery: Some(config.discovery),
        known: config.known,
        begins: config.begins,
        connections,
        keeper: keeper.map(|keeper| (config.name.clone(), keeper)),
        peers,
        fleet: product::fleet(&config.product),
    };
    let engine = Rc::new(Engine::start(engine, sockets).await?);
    let bytes = Bytes::new((config.memory as f64 * BODIES) as usize);
    let ids = OpenIds::new(engine.longest_deadline());
    let ingress = Ingress::new(
        engine.driver.clone(),
        engine.names.borrow().clone(),
        engine.sockets.clone(),
        bytes,
        ids,
    );
    let edge = keep_writes(&config.product, &engine, &ingress)?;
    let reloaded = Rc::default();
    let follower = Follower {
        inert,
        whole: config.raw,
        engine: engine.clone(),
        ingress: ingress.clone(),
        edge: edge.clone(),
        reloaded: Rc::clone(&reloaded),
    };
    spawn_local(follower.follow(reloads));
    let operated = Rc::new(Operated::new(ingress.clone(), engine.clone(), edge, reloaded));
    if let Some(admin) = admin {
        let at = admin.local_addr().map_err(|e| format!("admin: {e}"))?;
        tracing::info!(event = "admin_listening", "operators call at {at}");
        spawn_local(millethook_admin::serve(admin, operated.clone()));
    }
    let at = listener.local_addr().map_err(|e| format!("listen: {e}"))?;
    tracing::info!(event = "listening", "{} listens on {at}", config.name);
    if let Some(seat) = seat.clone() {
        spawn_local(succession::adopt(seat, ingress.clone()));
    }
    let shares_listener = config.inherited.is_some();
    let (front, driver) = (ingress.clone(), engine.driver.clone());
    let accepting = async move {
        // The process beside this one serves until this one can.
        if shares_listener {
            let _ = timeout(UNLISTED, driver.first_listed()).await;
        }
        front.accept(listener).await;
    };
    tokio::pin!(accepting, stop);
    tokio::select! {
        () = accepting.as_mut() => {}
        () = first_try(&ingress, &engine) => {}
        () = stop => {}
    }
    operated.stopping();
    if let Some(fleet) = &engine.fleet {
        fleet.leave();
    }
    // What is known at the end is kept, however the rest goes.
    if let Some(keeper) = engine.keeper.clone() {
        spawn_local(async move { keeper.save().await });
    }
    if let Some(successor) = seat.and_then(|seat| seat.successor()) {
        tracing::info!(
            event = "handing_over",
            "{}: a successor goes on with clients' connections",
            config.name
        );
        shutdown::hand_over(
            ingress,
            Rc::new(succession::Next(successor)),
            engine.longest_deadline(),
        )
        .await;
        return Ok(());
    }
    tokio::select! {
        () = accepting => {}
        () = shutdown::drain(ingress, engine.longest_deadline()) => {}
    }
    if let Some(keeper) = &engine.keeper {
        let _ = timeout(LAST_WRITE, keeper.save()).await;
    }
    Ok(())
}

/// Keeps writes where the product's file says so.
fn keep_writes(
    product: &Product,
    engine: &Engine,
    ingress: &Ingress,
) -> Result<Option<Rc<Edge>>, String> {
    let Some(of) = &product.edge else { return Ok(None) };
    let Some(fleet) = &engine.fleet else {
        tracing::warn!(event = "edge_off", "no writes are kept: there is no view of the fleet");
        return Ok(None);
    };
    let settings = EdgeSettings {
        folder: of.folder.clone(),
        classes: of.classes.clone(),
        most_bytes: (of.most_mb as u64) << 20,
        most_writes: of.most_writes,
        keep: of.keep,
        forerunner: of.forerunner,
        go_on: of.go_on,
        at_once: of.at_once,
        fleet_per_second: of.fleet_per_second,
        slow: of.slow,
        lease: product.lease.as_ref().map_or(Duration::from_secs(6), |lease| lease.longest),
    };
    let names = engine.names.borrow().clone();
    let edge = Edge::start(settings, engine.driver.clone(), fleet.clone(), names)?;
    ingress.keep_at(edge.clone());
    Ok(Some(edge))
}

/// What a configuration fixes for as long as the process lives.
struct Inert {
    listen: SocketAddr,
    memory: usize,
    sockets: usize,
    peer_listen: Option<SocketAddr>,
    product: Product,
}

impl Inert {
    fn of(config: &Config) -> Inert {
        Inert {
            listen: config.listen,
            memory: config.memory,
            sockets: config.sockets,
            peer_listen: config.peer_listen,
            // Settings follow the file at once; the rest of it is read at the start.
            product: Product { failover: None, ..config.product.clone() },
        }
    }

    /// The keys in which `new` differs.
    fn differences(&self, new: &Inert) -> Vec<&'static str> {
        let (a, b) = (&self.product, &new.product);
        let differs = [
            ("listen", self.listen != new.listen),
            ("limits.memory_mb", self.memory != new.memory),
            ("limits.sockets", self.sockets != new.sockets),
            ("peer_listen", self.peer_listen != new.peer_listen),
            ("[log]", a.log != b.log),
            ("[membership]", a.membership != b.membership),
            ("[connections]", a.connections != b.connections),
            ("[fleet]", a.fleet != b.fleet),
            ("[lease]", a.lease != b.lease),
            ("[edge]", a.edge != b.edge),
        ];
        differs.into_iter().filter_map(|(key, differs)| differs.then_some(key)).collect()
    }
}

/// Takes on new configurations: settings, where discovery is, and where the other sidecars are.
struct Follower {
    inert: Inert,
    /// The whole configuration in force.
    whole: Value,
    engine: Rc<Engine>,
    ingress: Rc<Ingress>,
    edge: Option<Rc<Edge>>,
    reloaded: Rc<Reloaded>,
}

impl Follower {
    async fn follow(mut self, mut reloads: mpsc::Receiver<Reload>) {
        while let Some(config) = reloads.recv().await {
            let count = match config.and_then(|config| self.take(*config)) {
                Ok(()) => &self.reloaded.applied,
                Err(e) => {
                    tracing::error!(
                        event = "reload_rejected",
                        "the configuration stays as it was: {e}"
                    );
                    &self.reloaded.rejected
                }
            };
            count.set(count.get() + 1);
        }
    }

    /// Takes one configuration, or nothing of it.
    fn take(&mut self, config: Config) -> Result<(), String> {
        config.complete(&self.whole).map_err(|e| format!("LB_CONFIG: {e}"))?;
        let kept = self.inert.differences(&Inert::of(&config)).join(", ");
        if !kept.is_empty() {
            tracing::warn!(event = "reload_in_part", keys = %kept, "these change at the next start only");
        }
        let names = self.engine.retune(config.settings, &config.raw["settings"])?;
        if let Some(edge) = &self.edge {
            edge.renamed(names.clone());
        }
        self.ingress.retuned(names, self.engine.longest_deadline());
        tracing::info!(
            event = "reload_applied",
            "new configuration: discovery at {}",
            config.discovery
        );
        self.engine.moved(config.discovery, config.peers, config.peers_all);
        self.whole = config.raw;
        Ok(())
    }
}

/// Marks the ingress ready when discovery has first been tried; never ends.
async fn first_try(ingress: &Ingress, engine: &Engine) {
    engine.discovery_tried().await;
    ingress.discovery_tried();
    std::future::pending().await
}

fn listen(at: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(at), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&at.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

//! The daemon: clients on one side, servers on the other, and discovery and the other sidecars
//! beside them, for as long as the process lives.
#![forbid(unsafe_code)]

pub mod cli;
pub mod config;
mod distribution;
mod edge;
mod fleet;
mod follower;
mod operated;
mod shutdown;
mod succession;
mod tuning;

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use millethook_connect::pool::Limits;
use millethook_engine::budget::{ByteBudget, Sockets};
use millethook_engine::distribution::Distribution;
use millethook_engine::product;
use millethook_engine::{Engine, EngineConfig, PeerConfig};
use millethook_handover::inherited;
use millethook_http::edge::disk::{FileSystem, Storage};
use millethook_http::edge::{Edge, EdgeSettings};
use millethook_http::guard::RequestIdRegistry;
use millethook_http::ingress::Ingress;
use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::timeout;

use config::Config;
use distribution::{Begun, Spool};
use follower::{Follower, Inert};
use millethook_config::Product;
use operated::Operated;

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
    run_on(FileSystem, config, stop, reloads).await
}

/// The same, on a storage of the caller's for writes that are kept.
///
/// # Errors
/// As [`run`].
pub async fn run_on(
    storage: impl Storage,
    config: Config,
    stop: impl Future<Output = ()>,
    reloads: mpsc::Receiver<Reload>,
) -> Result<(), String> {
    let inert = Inert::of(&config);
    let Begun { distribution, tuned } = distribution::begin(&config)?;
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
    let place = config.inherited.and_then(|_| succession::Place::take(&config.name));
    let seat = place.as_ref().map(|place| place.seat.clone());
    let Config { peers, peers_all: all, .. } = config;
    let membership_store = product::membership_store_config(&config.product, &config.name)?;
    let connections = product::connection_limits(&config.product, Limits::default());
    let peers = config.peer_listen.map(|listen| PeerConfig { listen, peers, all });
    let sockets = Rc::new(Sockets::new(config.sockets));
    let engine = EngineConfig {
        settings: tuned.settings,
        names: Arc::new(tuned.names),
        seed: config.seed,
        discovery: Some(config.discovery),
        initial_list: config.known,
        begins: config.begins,
        connections,
        reuse: product::configured_reuse(&config.product),
        membership_store: membership_store.map(|settings| (config.name.clone(), settings)),
        peers,
        fleet: product::fleet_settings(&config.product),
        distribution,
    };
    let engine = Rc::new(Engine::start(engine, sockets).await?);
    let bytes = ByteBudget::new((config.memory as f64 * BODIES) as usize);
    let ids = RequestIdRegistry::new(engine.longest_deadline());
    let ingress = Ingress::new(
        engine.driver.clone(),
        engine.names.borrow().clone(),
        engine.sockets.clone(),
        bytes,
        ids.clone(),
    );
    let edge = keep_writes(&config.product, &engine, &ingress, storage)?;
    let documents = engine.fleet.as_ref().and_then(|fleet| fleet.distribution.clone());
    let spool = take_requests(&config.product, &engine, documents.as_ref())?;
    let reloaded = Rc::default();
    let follower = Follower {
        inert,
        whole: config.raw,
        source: config.source,
        engine: engine.clone(),
        ingress: ingress.clone(),
        edge: edge.clone(),
        reloaded: Rc::clone(&reloaded),
        distribution: documents.clone(),
    };
    spawn_local(follower.follow(reloads));
    let operated = Rc::new(Operated::new(ingress.clone(), engine.clone(), edge, reloaded, spool));
    if let Some(admin) = admin {
        let at = admin.local_addr().map_err(|e| format!("admin: {e}"))?;
        tracing::info!(event = "admin_listening", "operators call at {at}");
        spawn_local(millethook_admin::serve(admin, operated.clone()));
    }
    let at = listener.local_addr().map_err(|e| format!("listen: {e}"))?;
    tracing::info!(event = "listening", "{} listens on {at}", config.name);
    let turn = place.map(|place| place.succeed(ingress.clone(), ids));
    let shares_listener = config.inherited.is_some();
    let (front, driver) = (ingress.clone(), engine.driver.clone());
    let accepting = async move {
        // The process beside this one serves until this one can, and then until it hands over: the two do not know
        // which requests the other one has open.
        if shares_listener {
            let _ = timeout(UNLISTED, driver.wait_for_first_list()).await;
        }
        if let Some(turn) = turn {
            turn.await;
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
    if let Some(membership_store) = engine.membership_store.clone() {
        spawn_local(async move { membership_store.save().await });
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
    if let Some(membership_store) = &engine.membership_store {
        let _ = timeout(LAST_WRITE, membership_store.save()).await;
    }
    if let Some(documents) = documents {
        let _ = timeout(LAST_WRITE, documents.save()).await;
    }
    Ok(())
}

/// Publishes what lies in the folder that the product's file names.
fn take_requests(
    product: &Product,
    engine: &Engine,
    documents: Option<&Rc<Distribution>>,
) -> Result<Option<Rc<Spool>>, String> {
    let folder = product.distribution.as_ref().and_then(|of| of.publish.clone());
    let parts = folder.zip(engine.fleet.as_ref()).zip(documents);
    let spool = parts
        .map(|((folder, fleet), documents)| Spool::start(folder, fleet.clone(), documents.clone()));
    spool.transpose()
}

/// Keeps writes where the product's file says so.
fn keep_writes(
    product: &Product,
    engine: &Engine,
    ingress: &Ingress,
    storage: impl Storage,
) -> Result<Option<Rc<Edge>>, String> {
    let Some(of) = &product.edge else { return Ok(None) };
    let Some(fleet) = &engine.fleet else {
        tracing::warn!(event = "edge_off", "no writes are kept: there is no view of the fleet");
        return Ok(None);
    };
    let settings = EdgeSettings {
        folder: of.folder.clone(),
        classes: of.classes.clone(),
        max_bytes: (of.most_mb as u64) << 20,
        max_open_writes: of.most_writes,
        retention: of.keep,
        predecessor_wait: of.forerunner,
        send_without_predecessor: of.go_on,
        max_concurrent: of.at_once,
        fleet_per_second: of.fleet_per_second,
        slow_disk: of.slow,
        max_lease: product.lease.as_ref().map_or(Duration::from_secs(6), |lease| lease.longest),
    };
    let names = engine.names.borrow().clone();
    let edge = Edge::start(settings, engine.driver.clone(), fleet.clone(), names, storage)?;
    ingress.set_edge(edge.clone());
    Ok(Some(edge))
}

/// Marks the ingress ready when discovery has first been tried; never ends.
async fn first_try(ingress: &Ingress, engine: &Engine) {
    engine.wait_for_discovery().await;
    ingress.mark_discovery_tried();
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

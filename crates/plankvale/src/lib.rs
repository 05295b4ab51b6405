//! The daemon: accepts clients' requests and sends them to servers, with discovery, the view of the
//! fleet and distributed configuration.
#![forbid(unsafe_code)]

mod admin;
pub mod cli;
pub mod config;
mod distribution;
mod edge;
mod effective_settings;
mod fleet;
mod handover;
mod reloader;
mod shutdown;

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use millethook_connect::pool::Limits;
use millethook_engine::budget::{ByteBudget, Sockets};
use millethook_engine::distribution::Distribution;
use millethook_engine::memory::MemoryPlan;
use millethook_engine::product;
use millethook_engine::{Engine, EngineConfig, PeerConfig};
use millethook_handover::inherited;
use millethook_http::edge::disk::{FileSystem, Storage};
use millethook_http::edge::{Edge, EdgeSettings};
use millethook_http::ingress::Ingress;
use millethook_http::request_ids::RequestIdRegistry;
use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::timeout;

use admin::AdminState;
use config::Config;
use distribution::{DistributionStart, Spool};
use millethook_config::ProductConfig;
use reloader::{Reloader, StartupConfig};

/// Length of the listen queue. Many clients may connect within the same second.
const LISTEN_BACKLOG: i32 = 4096;

/// Limit on how long the final write of each snapshot may delay the exit.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a process that shares its listener with another one waits for a list of servers before
/// it accepts clients.
const SERVER_LIST_TIMEOUT: Duration = Duration::from_secs(1);

/// A configuration read at SIGHUP, or the error in the file.
pub type Reload = Result<Box<Config>, String>;

/// Runs the sidecar until `stop` completes and all accepted requests are answered. `reloads` yields
/// later configurations.
///
/// # Errors
/// Names the configuration key or the address that cannot be used.
pub async fn run(
    config: Config,
    stop: impl Future<Output = ()>,
    reloads: mpsc::Receiver<Reload>,
) -> Result<(), String> {
    run_with_storage(FileSystem, config, stop, reloads).await
}

/// Like [`run`], with the caller's storage for kept writes.
///
/// # Errors
/// As [`run`].
pub async fn run_with_storage(
    storage: impl Storage,
    config: Config,
    stop: impl Future<Output = ()>,
    reloads: mpsc::Receiver<Reload>,
) -> Result<(), String> {
    let startup = StartupConfig::of(&config);
    let DistributionStart { distribution, effective } = distribution::start(&config)?;
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
    let process_turn = config.inherited.and_then(|_| handover::ProcessTurn::acquire(&config.name));
    let seat = process_turn.as_ref().map(|turn| turn.seat.clone());
    let Config { peers, peers_all: all, .. } = config;
    let membership_store = product::membership_store_config(&config.product, &config.name)?;
    let connections = product::connection_limits(&config.product, Limits::default());
    let peers = config.peer_listen.map(|listen| PeerConfig { listen, peers, all });
    let memory = MemoryPlan::new(config.memory, Sockets::client_share(config.sockets));
    tracing::info!(
        event = "memory_plan",
        clients = memory.max_clients,
        client_buffer_bytes = memory.client_buffer_bytes,
        server_read_bytes = memory.server_read_bytes,
        buffered_bytes = memory.buffered_bytes,
        "memory limit {} MB",
        config.memory >> 20
    );
    let sockets = Rc::new(Sockets::with_max_clients(config.sockets, memory.max_clients));
    let engine = EngineConfig {
        settings: effective.settings,
        names: Arc::new(effective.names),
        seed: config.seed,
        discovery: Some(config.discovery),
        initial_list: config.known,
        begins: config.begins,
        connections,
        reuse: product::configured_reuse(&config.product),
        membership_store: membership_store.map(|settings| (config.name.clone(), settings)),
        server_read_bytes: memory.server_read_bytes,
        peers,
        fleet: product::fleet_settings(&config.product),
        distribution,
    };
    let engine = Rc::new(Engine::start(engine, sockets).await?);
    let bytes = ByteBudget::new(memory.buffered_bytes);
    let ids = RequestIdRegistry::new(engine.longest_deadline());
    let ingress = Ingress::new(
        engine.driver.clone(),
        engine.names.borrow().clone(),
        engine.sockets.clone(),
        (bytes, memory.client_buffer_bytes),
        ids.clone(),
    );
    let edge = start_edge(&config.product, &engine, &ingress, storage)?;
    let distribution = engine.fleet.as_ref().and_then(|fleet| fleet.distribution.clone());
    let spool = start_spool(&config.product, &engine, distribution.as_ref())?;
    let reload_counts = Rc::default();
    let reloader = Reloader {
        startup,
        raw: config.raw,
        source: config.source,
        engine: engine.clone(),
        ingress: ingress.clone(),
        edge: edge.clone(),
        counts: Rc::clone(&reload_counts),
        distribution: distribution.clone(),
    };
    spawn_local(reloader.run(reloads));
    let admin_state =
        Rc::new(AdminState::new(ingress.clone(), engine.clone(), edge, reload_counts, spool));
    if let Some(admin) = admin {
        let at = admin.local_addr().map_err(|e| format!("admin: {e}"))?;
        tracing::info!(event = "admin_listening", "operators call at {at}");
        spawn_local(millethook_admin::serve(admin, admin_state.clone()));
    }
    let at = listener.local_addr().map_err(|e| format!("listen: {e}"))?;
    tracing::info!(event = "listening", "{} listens on {at}", config.name);
    let turn_reached = process_turn.map(|turn| turn.take_over(ingress.clone(), ids));
    let shares_listener = config.inherited.is_some();
    let (acceptor, driver) = (ingress.clone(), engine.driver.clone());
    let accepting = async move {
        // The other process serves until this one has servers, and then until it hands over: neither
        // process knows which requests the other one has open.
        if shares_listener {
            let _ = timeout(SERVER_LIST_TIMEOUT, driver.wait_for_first_list()).await;
        }
        if let Some(turn_reached) = turn_reached {
            turn_reached.await;
        }
        acceptor.accept(listener).await;
    };
    tokio::pin!(accepting, stop);
    tokio::select! {
        () = accepting.as_mut() => {}
        () = mark_ready(&ingress, &engine) => {}
        () = stop => {}
    }
    admin_state.mark_stopping();
    if let Some(fleet) = &engine.fleet {
        fleet.leave();
    }
    // The list of servers is saved even if the shutdown does not complete.
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
            Rc::new(handover::NextProcess(successor)),
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
        let _ = timeout(FINAL_WRITE_TIMEOUT, membership_store.save()).await;
    }
    if let Some(distribution) = distribution {
        let _ = timeout(FINAL_WRITE_TIMEOUT, distribution.save()).await;
    }
    Ok(())
}

/// Starts publishing requests from the folder that the product's file names.
fn start_spool(
    product: &ProductConfig,
    engine: &Engine,
    distribution: Option<&Rc<Distribution>>,
) -> Result<Option<Rc<Spool>>, String> {
    let folder = product.distribution.as_ref().and_then(|section| section.publish.clone());
    let parts = folder.zip(engine.fleet.as_ref()).zip(distribution);
    let spool = parts.map(|((folder, fleet), distribution)| {
        Spool::start(folder, fleet.clone(), distribution.clone())
    });
    spool.transpose()
}

/// Starts the store of kept writes if the product's file configures one.
fn start_edge(
    product: &ProductConfig,
    engine: &Engine,
    ingress: &Ingress,
    storage: impl Storage,
) -> Result<Option<Rc<Edge>>, String> {
    let Some(section) = &product.edge else { return Ok(None) };
    let Some(fleet) = &engine.fleet else {
        tracing::warn!(event = "edge_off", "writes are not kept: they need a view of the fleet");
        return Ok(None);
    };
    let settings = EdgeSettings {
        folder: section.folder.clone(),
        classes: section.classes.clone(),
        max_bytes: (section.most_mb as u64) << 20,
        max_open_writes: section.most_writes,
        retention: section.keep,
        predecessor_wait: section.forerunner,
        send_without_predecessor: section.go_on,
        max_concurrent: section.at_once,
        fleet_per_second: section.fleet_per_second,
        slow_disk: section.slow,
        max_lease: product.lease.as_ref().map_or(Duration::from_secs(6), |lease| lease.longest),
    };
    let names = engine.names.borrow().clone();
    let edge = Edge::start(settings, engine.driver.clone(), fleet.clone(), names, storage)?;
    ingress.set_edge(edge.clone());
    Ok(Some(edge))
}

/// Marks the ingress ready after the first attempt at discovery; never completes.
async fn mark_ready(ingress: &Ingress, engine: &Engine) {
    engine.wait_for_discovery().await;
    ingress.mark_discovery_tried();
    std::future::pending().await
}

fn listen(at: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(at), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&at.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    TcpListener::from_std(socket.into())
}

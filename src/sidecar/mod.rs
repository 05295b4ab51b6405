//! The sidecar on real sockets: clients on one side, servers on the other, and discovery and the
//! other sidecars beside them. All decisions are [`crate::decide`]'s; `driver` is the only module
//! here that speaks with it.

pub mod budget;
pub mod config;
pub mod discovery;
pub mod driver;
pub mod guard;
pub mod ingress;
pub mod peers;
pub mod shutdown;
pub mod stream;
pub mod upstream;

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::spawn_local;

use crate::api::ListKind;
use config::Config;

/// Connections that may wait to be accepted: a crowd comes within a second.
const BACKLOG: i32 = 4096;
/// The share of the memory that bodies of requests may take.
const BODIES: f64 = 0.4;

/// Runs the sidecar until `stop` is done and all that was taken is answered. `reloads` brings the
/// configurations that come later. An error names the address that could not be had.
pub async fn run(
    config: Config,
    stop: impl Future<Output = ()>,
    reloads: mpsc::Receiver<Config>,
) -> Result<(), String> {
    let inert = Inert::of(&config);
    let listener = listen(config.listen).map_err(|e| format!("listen: {}: {e}", config.listen))?;
    let peers = match config.peer_listen {
        Some(at) => {
            let socket = UdpSocket::bind(at).await;
            let socket = socket.map_err(|e| format!("peer_listen: {at}: {e}"))?;
            Some(peers::Peers::new(socket, config.peers, config.peers_all))
        }
        None => None,
    };
    let names = Rc::new(config.names);
    let sockets = Rc::new(budget::Sockets::new(config.sockets));
    let limits = &config.settings.limits;
    let upstream = upstream::Upstream::new(
        sockets.clone(),
        names.clone(),
        Duration::from_micros(limits.connect_timeout),
        Duration::from_micros(limits.conn_idle),
    );
    let how = config.settings.discovery;
    let deadlines = config.settings.classes.iter().map(|c| c.deadline);
    let longest_deadline = Duration::from_micros(deadlines.max().unwrap_or_default());
    let (to_discovery, calls) = mpsc::unbounded_channel();
    let driver = driver::Driver::new(
        config.settings,
        config.seed,
        names.clone(),
        upstream,
        to_discovery,
        peers.clone(),
    );
    let bytes = budget::Bytes::new((config.memory as f64 * BODIES) as usize);
    let ids = guard::OpenIds::new(longest_deadline);
    let ingress = ingress::Ingress::new(driver.clone(), names, sockets, bytes, ids);

    let tried = Rc::new(Notify::new());
    let version = config.known.as_ref().map_or(0, |known| known.seq);
    if let Some(known) = &config.known {
        driver.servers(ListKind::Remembered, known);
    }
    let (move_to, moves) = watch::channel(config.discovery);
    let discovery = discovery::Discovery::new(moves, how, version, tried.clone());
    spawn_local(discovery.run(driver.clone(), calls));
    if let Some(peers) = peers.clone() {
        spawn_local(peers.listen(driver));
    }
    spawn_local(follow(reloads, inert, move_to, peers));
    let at = listener.local_addr().map_err(|e| format!("listen: {e}"))?;
    tracing::info!("{} listens on {at}", config.name);
    let accepting = ingress.clone().accept(listener);
    tokio::pin!(accepting, stop);
    tokio::select! {
        () = accepting.as_mut() => {}
        () = first_try(&ingress, &tried) => {}
        () = stop => {}
    }
    tokio::select! {
        () = accepting => {}
        () = shutdown::drain(ingress, longest_deadline) => {}
    }
    Ok(())
}

/// What a configuration fixes for as long as the process lives.
#[derive(PartialEq, Eq)]
struct Inert {
    listen: SocketAddr,
    memory: usize,
    sockets: usize,
    peer_listen: Option<SocketAddr>,
}

impl Inert {
    fn of(config: &Config) -> Inert {
        Inert {
            listen: config.listen,
            memory: config.memory,
            sockets: config.sockets,
            peer_listen: config.peer_listen,
        }
    }
}

/// Takes on new configurations: where discovery is, and where the other sidecars are. Requests
/// under way, connections and what is known of servers stay as they are.
async fn follow(
    mut reloads: mpsc::Receiver<Config>,
    inert: Inert,
    move_to: watch::Sender<SocketAddr>,
    peers: Option<Rc<peers::Peers>>,
) {
    while let Some(config) = reloads.recv().await {
        if Inert::of(&config) != inert {
            tracing::warn!("new configuration: sockets and limits change at the next start only");
        }
        if let Some(peers) = &peers {
            peers.moved(config.peers, config.peers_all);
        }
        tracing::info!("new configuration: discovery at {}", config.discovery);
        move_to.send_if_modified(|at| std::mem::replace(at, config.discovery) != config.discovery);
    }
}

/// Marks the ingress ready when discovery has first been tried; never ends.
async fn first_try(ingress: &ingress::Ingress, tried: &Notify) {
    tried.notified().await;
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

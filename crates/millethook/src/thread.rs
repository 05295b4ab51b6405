//! The engine's own thread. Its clock and its sockets do not wait for the host's runtime: whatever
//! that does, deadlines hold here.

use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Instant;

use millethook_engine::budget::{ConnectionPermits, Sockets};
use millethook_engine::driver::{Driver, Reply, RequestHead, Usage};
use millethook_engine::list::List;
use millethook_engine::upstream::AttemptRequest;
use millethook_engine::{Engine, EngineConfig, PeerConfig};
use millethook_http::guard::RequestIdRegistry;
use millethook_http::head::Invalid;
use tokio::sync::{OwnedSemaphorePermit, mpsc, oneshot, watch};
use tokio::task::{LocalSet, spawn_local};

use crate::config::FleetConfig;

/// One request on its way to the engine.
pub(crate) struct Call {
    pub request_head: RequestHead,
    pub id: String,
    pub attempt_request: AttemptRequest,
    /// When the caller stops waiting.
    pub until: Instant,
    pub reply: oneshot::Sender<Result<Reply, Invalid>>,
    /// Its place among the open ones; given back when the engine has closed its books on it.
    pub permit: OwnedSemaphorePermit,
}

/// What the handles tell the engine. The queue is as long as there are open requests, at most.
pub(crate) enum Command {
    Call(Box<Call>),
    Usage(oneshot::Sender<Usage>),
    View(oneshot::Sender<Option<(millethook_view::Counts, u32)>>),
    Servers(List),
    Stop,
}

/// What the handles learn of the engine's life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Life {
    #[default]
    Starting,
    /// Some server is listed, and discovery has been tried.
    Ready,
    Ended,
}

pub(crate) struct Started {
    pub commands: mpsc::UnboundedSender<Command>,
    pub life: watch::Receiver<Life>,
    pub thread: JoinHandle<()>,
}

/// Tells of the end, whichever way the thread comes to it.
struct Alive(watch::Sender<Life>);

impl Drop for Alive {
    fn drop(&mut self) {
        self.0.send_replace(Life::Ended);
    }
}

/// Starts an engine on a thread of its own; it ends at `Stop`, or with the last sender.
pub(crate) fn start(
    config: &FleetConfig,
    servers: Arc<ConnectionPermits>,
) -> std::io::Result<Started> {
    let (commands, queue) = mpsc::unbounded_channel();
    let (tell, life) = watch::channel(Life::Starting);
    let engine = EngineConfig {
        settings: config.settings.clone(),
        names: config.names.clone(),
        seed: config.seed,
        discovery: config.discovery,
        initial_list: config.known.clone(),
        begins: config.begins,
        connections: config.connections,
        reuse: config.reuse,
        // Without a view there is nothing that is said between instances of a library.
        peers: config.view.as_ref().and(config.peers.clone()).map(|(listen, peers)| PeerConfig {
            listen,
            peers,
            all: None,
        }),
        fleet: config.view.clone(),
        distribution: None,
        membership_store: config
            .membership_store
            .clone()
            .map(|settings| (config.name.clone(), settings)),
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    // The kernel cuts names of threads after fifteen bytes.
    let thread = std::thread::Builder::new().name(format!("mh-{}", config.name));
    let thread = thread.spawn(move || {
        let alive = Alive(tell);
        let local = LocalSet::new();
        local.block_on(&runtime, run(engine, servers, queue, &alive.0));
        // What still runs on the set ends here, and with it every socket; then the runtime.
        drop(local);
        drop(runtime);
        drop(alive);
    })?;
    Ok(Started { commands, life, thread })
}

async fn run(
    config: EngineConfig,
    servers: Arc<ConnectionPermits>,
    mut queue: mpsc::UnboundedReceiver<Command>,
    life: &watch::Sender<Life>,
) {
    let sockets = Rc::new(Sockets::for_servers(servers));
    let engine = match Engine::start(config, sockets).await {
        Ok(engine) => Rc::new(engine),
        Err(e) => return tracing::error!(event = "engine_failed", "no engine: {e}"),
    };
    let ids = RequestIdRegistry::new(engine.longest_deadline());
    let ready = async {
        engine.wait_for_discovery().await;
        engine.driver.wait_for_first_list().await;
        life.send_replace(Life::Ready);
        std::future::pending::<()>().await;
    };
    let serving = async {
        while let Some(command) = queue.recv().await {
            match command {
                Command::Call(call) => {
                    spawn_local(serve(engine.driver.clone(), ids.clone(), *call));
                }
                Command::Usage(to) => drop(to.send(engine.driver.usage())),
                Command::View(to) => {
                    let view = engine.fleet.as_ref().map(|fleet| (fleet.counts(), fleet.hash()));
                    let _ = to.send(view);
                }
                Command::Servers(list) => engine.apply_list(&list),
                Command::Stop => return,
            }
        }
    };
    tokio::select! {
        () = serving => {}
        () = ready => {}
    }
    if let Some(fleet) = &engine.fleet {
        fleet.leave();
    }
    if let Some(membership_store) = &engine.membership_store {
        membership_store.save().await;
    }
}

async fn serve(driver: Rc<Driver>, ids: Rc<RequestIdRegistry>, call: Call) {
    let Call { mut request_head, id, attempt_request, until, mut reply, permit } = call;
    // Without this, something is sent for a caller who has already gone.
    if reply.is_closed() {
        return;
    }
    let Some(reservation) = ids.reserve(id.as_bytes()) else {
        let _ = reply.send(Err(Invalid::IdInUse));
        return;
    };
    reservation.commit();
    driver.wait_for_current_list().await;
    request_head.left = until.saturating_duration_since(Instant::now());
    let mut ticket = driver.request(request_head, attempt_request);
    tokio::select! {
        biased;
        answer = ticket.reply() => drop(reply.send(Ok(answer))),
        // The caller has dropped its future: the ticket, dropped, calls the attempts off.
        () = reply.closed() => {}
    }
    drop(ticket);
    drop(permit);
}

//! The engine's thread. Its timers and sockets do not depend on the host's runtime, so deadlines hold
//! even if the host blocks that.

use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Instant;

use millethook_engine::budget::{ConnectionPermits, Sockets};
use millethook_engine::driver::{Driver, Reply, RequestHead, Usage};
use millethook_engine::list::List;
use millethook_engine::memory::MAX_SERVER_READ_BYTES;
use millethook_engine::upstream::AttemptRequest;
use millethook_engine::{Engine, EngineConfig, PeerConfig};
use millethook_http::head::Invalid;
use millethook_http::request_ids::RequestIdRegistry;
use tokio::sync::{OwnedSemaphorePermit, mpsc, oneshot, watch};
use tokio::task::{LocalSet, spawn_local};

use crate::config::FleetConfig;

/// One request on its way to the engine.
pub(crate) struct Call {
    pub request_head: RequestHead,
    pub id: String,
    pub attempt_request: AttemptRequest,
    /// The caller's deadline.
    pub until: Instant,
    pub reply: oneshot::Sender<Result<Reply, Invalid>>,
    /// Counts against the limit on open requests until the engine has finished the request.
    pub permit: OwnedSemaphorePermit,
}

/// Messages from the handles to the engine. The limit on open requests bounds the queued calls.
pub(crate) enum Command {
    Call(Box<Call>),
    Usage(oneshot::Sender<Usage>),
    View(oneshot::Sender<Option<(millethook_view::Counts, u32)>>),
    Servers(List),
    Stop,
}

/// State of the engine, as seen by the handles.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum EngineState {
    #[default]
    Starting,
    /// At least one server is listed, and discovery has been tried.
    Ready,
    Ended,
}

/// A started engine thread.
pub(crate) struct EngineThread {
    pub commands: mpsc::UnboundedSender<Command>,
    pub state: watch::Receiver<EngineState>,
    pub thread: JoinHandle<()>,
}

/// Reports the end of the engine when the thread returns or panics.
struct ReportEnd(watch::Sender<EngineState>);

impl Drop for ReportEnd {
    fn drop(&mut self) {
        self.0.send_replace(EngineState::Ended);
    }
}

/// Starts an engine on its own thread. It ends at `Command::Stop` or when the last sender is dropped.
pub(crate) fn start(
    config: &FleetConfig,
    servers: Arc<ConnectionPermits>,
) -> std::io::Result<EngineThread> {
    let (commands, queue) = mpsc::unbounded_channel();
    let (state_sender, state) = watch::channel(EngineState::Starting);
    let engine = EngineConfig {
        settings: config.settings.clone(),
        names: config.names.clone(),
        seed: config.seed,
        discovery: config.discovery,
        initial_list: config.known.clone(),
        begins: config.begins,
        connections: config.connections,
        reuse: config.reuse,
        server_read_bytes: MAX_SERVER_READ_BYTES,
        // Instances of the library exchange datagrams for the view only.
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
    // Linux truncates thread names to 15 bytes.
    let thread = std::thread::Builder::new().name(format!("mh-{}", config.name));
    let thread = thread.spawn(move || {
        let report_end = ReportEnd(state_sender);
        let local = LocalSet::new();
        local.block_on(&runtime, run(engine, servers, queue, &report_end.0));
        // Dropping the set ends its tasks and closes their sockets, before the end is reported.
        drop(local);
        drop(runtime);
        drop(report_end);
    })?;
    Ok(EngineThread { commands, state, thread })
}

async fn run(
    config: EngineConfig,
    servers: Arc<ConnectionPermits>,
    mut queue: mpsc::UnboundedReceiver<Command>,
    state: &watch::Sender<EngineState>,
) {
    let sockets = Rc::new(Sockets::for_servers(servers));
    let engine = match Engine::start(config, sockets).await {
        Ok(engine) => Rc::new(engine),
        Err(e) => return tracing::error!(event = "engine_failed", "the engine cannot start: {e}"),
    };
    let ids = RequestIdRegistry::new(engine.longest_deadline());
    let ready = async {
        engine.wait_for_discovery().await;
        engine.driver.wait_for_first_list().await;
        state.send_replace(EngineState::Ready);
        std::future::pending::<()>().await;
    };
    let serving = async {
        while let Some(command) = queue.recv().await {
            match command {
                Command::Call(call) => {
                    spawn_local(serve(engine.driver.clone(), ids.clone(), *call));
                }
                Command::Usage(reply) => drop(reply.send(engine.driver.usage())),
                Command::View(reply) => {
                    let view = engine.fleet.as_ref().map(|fleet| (fleet.counts(), fleet.hash()));
                    let _ = reply.send(view);
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
    // The caller has already dropped its future: nothing may be sent for it.
    if reply.is_closed() {
        return;
    }
    let Some(mut reservation) = ids.reserve(id.as_bytes()) else {
        let _ = reply.send(Err(Invalid::IdInUse));
        return;
    };
    reservation.set_may_have_run(true);
    driver.wait_for_current_list().await;
    request_head.left = until.saturating_duration_since(Instant::now());
    let mut ticket = driver.request(request_head, attempt_request);
    tokio::select! {
        biased;
        answer = ticket.reply() => {
            reservation.set_may_have_run(!matches!(
                answer,
                Reply::Refused { may_have_run: false, .. }
            ));
            let _ = reply.send(Ok(answer));
        }
        // The caller has dropped its future: dropping the ticket cancels the attempts.
        () = reply.closed() => {}
    }
    drop(ticket);
    drop(permit);
}

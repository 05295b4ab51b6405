//! Upgrades: a new process of the daemon takes client connections over from the old one. The seat, a
//! socket in a folder that the processes share, is where a process finds its successor.

use std::future::{Future, ready};
use std::io;
use std::path::PathBuf;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use millethook_engine::names::stable_hash;
use millethook_handover::active_process::ActiveProcess;
use millethook_handover::endpoint::{HandoverEndpoint, HandoverItem, Predecessor, Successor};
use millethook_http::ingress::{self, Ingress};
use millethook_http::request_ids::RequestIdRegistry;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Pause after a failed accept.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// This process's turn among the processes of one sidecar.
pub struct ProcessTurn {
    /// The seat, at which the next process can be found.
    pub seat: Rc<HandoverEndpoint>,
    /// Path of the seat.
    path: PathBuf,
    /// The process that held the seat before, if any.
    incumbent: Option<ActiveProcess>,
    /// Whether the previous process has begun to hand over.
    handover_started: watch::Sender<bool>,
}

impl ProcessTurn {
    /// Takes the seat of this sidecar in the folder that its processes share (`TMPDIR`), or queues for it.
    /// Without that folder, or if it cannot be written, the daemon serves without hand-over and drains at
    /// its end.
    pub fn acquire(name: &str) -> Option<ProcessTurn> {
        let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty())?;
        // The name is hashed: it may hold characters that file names cannot, and a socket's path is
        // limited in length.
        let file = format!("plankvale-{:016x}.seat", stable_hash(name.as_bytes()));
        let path = PathBuf::from(folder).join(file);
        let incumbent = ActiveProcess::connect(&path);
        let seat = match incumbent {
            Some(_) => HandoverEndpoint::bind_as_next(&path),
            None => HandoverEndpoint::bind(&path),
        };
        match seat {
            Ok(seat) => {
                let handover_started = watch::Sender::new(false);
                Some(ProcessTurn { seat: seat.into(), path, incumbent, handover_started })
            }
            Err(e) => {
                tracing::warn!(
                    event = "handover_off",
                    "connections cannot be handed over at an upgrade: {}: {e}",
                    path.display()
                );
                None
            }
        }
    }

    /// Starts to take connections over from previous processes. The returned future completes when this
    /// process may accept requests: the previous process has begun to hand over, has ended, or does not
    /// respond.
    pub fn take_over(
        self,
        ingress: Rc<Ingress>,
        ids: Rc<RequestIdRegistry>,
    ) -> impl Future<Output = ()> {
        let ProcessTurn { seat, path, mut incumbent, handover_started } = self;
        let mut started = handover_started.subscribe();
        spawn_local(accept_predecessors(seat.clone(), ingress, ids, handover_started));
        async move {
            while let Some(previous) = incumbent {
                let handed_over = tokio::select! {
                    _ = started.wait_for(|started| *started) => true,
                    () = previous.wait_until_ended() => false,
                };
                incumbent = match seat.promote() {
                    // A process that started later has taken the seat; this one waits for it.
                    Ok(false) if !handed_over => ActiveProcess::connect_next(&path),
                    Ok(_) => None,
                    Err(e) => {
                        tracing::warn!(event = "handover_off", "{}: {e}", path.display());
                        None
                    }
                };
            }
        }
    }
}

/// Accepts previous processes at the seat and takes over what each passes on.
async fn accept_predecessors(
    seat: Rc<HandoverEndpoint>,
    ingress: Rc<Ingress>,
    ids: Rc<RequestIdRegistry>,
    handover_started: watch::Sender<bool>,
) {
    loop {
        match seat.accept_predecessor().await {
            Ok(predecessor) => {
                let receiving = receive_handover(
                    predecessor,
                    ingress.clone(),
                    ids.clone(),
                    handover_started.clone(),
                );
                drop(spawn_local(receiving));
            }
            Err(e) => {
                tracing::warn!(
                    event = "handover_failed",
                    "cannot accept a process that hands connections over: {e}"
                );
                sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
}

/// Takes over connections and request ids from one previous process until it closes the channel.
async fn receive_handover(
    predecessor: Predecessor,
    ingress: Rc<Ingress>,
    ids: Rc<RequestIdRegistry>,
    handover_started: watch::Sender<bool>,
) {
    let mut taken = 0;
    loop {
        let passed = predecessor.next().await;
        // A process that only checks whether this one is alive passes nothing on.
        if let Ok(Some(_)) = passed {
            handover_started.send_replace(true);
        }
        match passed {
            Ok(Some(HandoverItem::Connection(socket, asked))) => {
                let Ok(socket) = TcpStream::from_std(socket) else { continue };
                ingress.adopt(socket, asked != 0).await;
                taken += 1;
            }
            Ok(Some(HandoverItem::Ids(open))) => ids.add_in_use(open),
            Ok(Some(HandoverItem::Reservation(claim))) => {
                let granted = ids.reserve_hash(claim.id);
                claim.answer(granted);
            }
            Ok(None) => break,
            Err(e) => {
                tracing::warn!(
                    event = "handover_failed",
                    "hand-over from the previous process: {e}"
                );
                break;
            }
        }
    }
    if taken > 0 {
        tracing::info!(
            event = "took_over",
            "took over {taken} connections of the previous process"
        );
    }
}

/// The next process, as the receiver of client connections.
pub struct NextProcess(pub Successor);

impl ingress::Successor for NextProcess {
    fn pass_ids(&self, ids: &[u64]) {
        if let Err(e) = self.0.pass_ids(ids) {
            tracing::warn!(event = "ids_stay", "cannot pass on the request ids in use: {e}");
        }
    }

    fn reserve_id(&self, id: u64) -> Pin<Box<dyn Future<Output = Option<bool>>>> {
        match self.0.reserve_id(id) {
            Ok(reservation) => Box::pin(reservation.granted()),
            // The channel to the successor is full.
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Box::pin(ready(None)),
            // The successor has ended, so no other process can use the id.
            Err(_) => Box::pin(ready(Some(true))),
        }
    }

    fn pass_connection(&self, connection: &TcpStream, asked: bool) -> bool {
        let passed = self.0.pass(connection, asked.into());
        if let Err(e) = &passed {
            tracing::debug!(event = "connection_stays", "cannot pass on a connection: {e}");
        }
        passed.is_ok()
    }
}

//! A new version of the daemon beside the old one: who holds the seat, and connections on their way.

use std::future::{Future, ready};
use std::io;
use std::path::PathBuf;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use millethook_engine::names::stable_hash;
use millethook_handover::active_process::ActiveProcess;
use millethook_handover::endpoint::{HandoverEndpoint, HandoverItem, Predecessor, Successor};
use millethook_http::guard::RequestIdRegistry;
use millethook_http::ingress::{self, Ingress};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// After a failed accept.
const PAUSE: Duration = Duration::from_millis(20);

/// The place of this process among those of one sidecar.
pub struct Place {
    /// The seat, from which the next process can be found.
    pub seat: Rc<HandoverEndpoint>,
    /// Where that is.
    path: PathBuf,
    /// Who held it before.
    incumbent: Option<ActiveProcess>,
    /// Whether the process before this one has begun to hand over.
    begun: watch::Sender<bool>,
}

impl Place {
    /// Takes the seat of this sidecar, in the folder that its processes share (`TMPDIR`), or stands in line for it. Without that
    /// folder, or where it cannot be written to, the daemon serves all the same, and drains at its end.
    pub fn take(name: &str) -> Option<Place> {
        let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty())?;
        // A name may hold what no file's name can, and a socket's path is short.
        let file = format!("plankvale-{:016x}.seat", stable_hash(name.as_bytes()));
        let path = PathBuf::from(folder).join(file);
        let incumbent = ActiveProcess::connect(&path);
        let seat = match incumbent {
            Some(_) => HandoverEndpoint::bind_as_next(&path),
            None => HandoverEndpoint::bind(&path),
        };
        match seat {
            Ok(seat) => {
                let begun = watch::Sender::new(false);
                Some(Place { seat: seat.into(), path, incumbent, begun })
            }
            Err(e) => {
                tracing::warn!(
                    event = "handover_off",
                    "no connections can be passed on at an upgrade: {}: {e}",
                    path.display()
                );
                None
            }
        }
    }

    /// Goes on with what processes before this one pass on. The future is done once it is this process's turn to take
    /// requests: the one before it has begun to hand over, has ended, or says nothing.
    pub fn succeed(
        self,
        ingress: Rc<Ingress>,
        ids: Rc<RequestIdRegistry>,
    ) -> impl Future<Output = ()> {
        let Place { seat, path, mut incumbent, begun } = self;
        let mut turn = begun.subscribe();
        spawn_local(adopt(seat.clone(), ingress, ids, begun));
        async move {
            while let Some(before) = incumbent {
                let handed_over = tokio::select! {
                    _ = turn.wait_for(|begun| *begun) => true,
                    () = before.wait_until_ended() => false,
                };
                incumbent = match seat.promote() {
                    // One that came later is next, and this one waits for that.
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

/// Goes on with what processes before this one pass on.
async fn adopt(
    seat: Rc<HandoverEndpoint>,
    ingress: Rc<Ingress>,
    ids: Rc<RequestIdRegistry>,
    begun: watch::Sender<bool>,
) {
    loop {
        match seat.accept_predecessor().await {
            Ok(predecessor) => {
                let taking = take_over(predecessor, ingress.clone(), ids.clone(), begun.clone());
                drop(spawn_local(taking));
            }
            Err(e) => {
                tracing::warn!(
                    event = "handover_failed",
                    "a process that wants to pass connections on: {e}"
                );
                sleep(PAUSE).await;
            }
        }
    }
}

async fn take_over(
    predecessor: Predecessor,
    ingress: Rc<Ingress>,
    ids: Rc<RequestIdRegistry>,
    begun: watch::Sender<bool>,
) {
    let mut taken = 0;
    loop {
        let passed = predecessor.next().await;
        // One that only asks whether this process lives passes nothing on.
        if let Ok(Some(_)) = passed {
            begun.send_replace(true);
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
                tracing::warn!(event = "handover_failed", "the process before this one: {e}");
                break;
            }
        }
    }
    if taken > 0 {
        tracing::info!(
            event = "took_over",
            "went on with {taken} connections of the process before this one"
        );
    }
}

/// The process after this one, as clients' connections see it.
pub struct Next(pub Successor);

impl ingress::Successor for Next {
    fn pass_ids(&self, ids: &[u64]) {
        if let Err(e) = self.0.pass_ids(ids) {
            tracing::warn!(event = "ids_stay", "the ids that are in use stay here: {e}");
        }
    }

    fn reserve_id(&self, id: u64) -> Pin<Box<dyn Future<Output = Option<bool>>>> {
        match self.0.reserve_id(id) {
            Ok(asked) => Box::pin(asked.granted()),
            // So much is under way to it that no more fits.
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Box::pin(ready(None)),
            // It has ended, and nobody else can have the id.
            Err(_) => Box::pin(ready(Some(true))),
        }
    }

    fn pass_connection(&self, connection: &TcpStream, asked: bool) -> bool {
        let passed = self.0.pass(connection, asked.into());
        if let Err(e) = &passed {
            tracing::debug!(event = "connection_stays", "a connection stays here: {e}");
        }
        passed.is_ok()
    }
}

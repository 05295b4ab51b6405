//! A new version of the daemon beside the old one: who holds the seat, and connections on their way.

use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use millethook_engine::names::stable_hash;
use millethook_handover::seat::{Predecessor, Seat, Successor};
use millethook_http::ingress::{self, Ingress};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// After a failed accept.
const PAUSE: Duration = Duration::from_millis(20);

/// Takes the seat of this sidecar, in the folder that its processes share (`TMPDIR`). Without that
/// folder, or where it cannot be written to, the daemon serves all the same, and drains at its end.
pub fn take_seat(name: &str) -> Option<Rc<Seat>> {
    let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty())?;
    // A name may hold what no file's name can, and a socket's path is short.
    let file = format!("plankvale-{:016x}.seat", stable_hash(name.as_bytes()));
    let path = PathBuf::from(folder).join(file);
    match Seat::take(&path) {
        Ok(seat) => Some(Rc::new(seat)),
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

/// Goes on with the connections that processes before this one pass on.
pub async fn adopt(seat: Rc<Seat>, ingress: Rc<Ingress>) {
    loop {
        match seat.predecessor().await {
            Ok(predecessor) => drop(spawn_local(take_over(predecessor, ingress.clone()))),
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

async fn take_over(predecessor: Predecessor, ingress: Rc<Ingress>) {
    let mut taken = 0;
    loop {
        match predecessor.next().await {
            Ok(Some((socket, asked))) => {
                let Ok(socket) = TcpStream::from_std(socket) else { continue };
                ingress.adopt(socket, asked != 0).await;
                taken += 1;
            }
            Ok(None) => break,
            Err(e) => {
                tracing::warn!(event = "handover_failed", "the process before this one: {e}");
                break;
            }
        }
    }
    tracing::info!(
        event = "took_over",
        "went on with {taken} connections of the process before this one"
    );
}

/// The process after this one, as clients' connections see it.
pub struct Next(pub Successor);

impl ingress::Successor for Next {
    fn pass(&self, connection: &TcpStream, asked: bool) -> bool {
        let passed = self.0.pass(connection, asked.into());
        if let Err(e) = &passed {
            tracing::debug!(event = "connection_stays", "a connection stays here: {e}");
        }
        passed.is_ok()
    }
}

//! Follows the list of servers, for the contestants without a discovery client of their own.

use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::BodyExt;
use serde::Deserialize;
use tokio::sync::mpsc;

use super::proxy::http_client;

#[derive(Deserialize)]
pub(super) struct List {
    seq: u64,
    hosts: Vec<Entry>,
}

#[derive(Deserialize)]
pub(super) struct Entry {
    dial: SocketAddr,
}

/// Sends each new list of servers to a channel.
pub(super) async fn follow_discovery(
    discovery: SocketAddr,
    list_sender: mpsc::UnboundedSender<Vec<SocketAddr>>,
) {
    let client = http_client();
    let mut seq = 0;
    loop {
        let uri = format!("http://{discovery}/registry/instances?from={seq}&hold_ms=5000");
        let Ok(uri) = uri.parse() else { return };
        let answer = async {
            let body = client.get(uri).await.ok()?.into_body().collect().await.ok()?.to_bytes();
            serde_json::from_slice::<List>(&body).ok()
        };
        match answer.await {
            Some(list) if list.seq > seq => {
                seq = list.seq;
                if list_sender.send(list.hosts.iter().map(|entry| entry.dial).collect()).is_err() {
                    return;
                }
            }
            Some(_) => {}
            None => tokio::time::sleep(Duration::from_millis(50)).await,
        }
    }
}

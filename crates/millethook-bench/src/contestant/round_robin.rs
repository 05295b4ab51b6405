//! A plain hyper reverse proxy that uses the servers round-robin.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use http::{Request, StatusCode};
use http_body_util::Either;
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

use super::proxy::{Answer, HttpClient, Proxy, http_client, listen, readdress, status};
use crate::BenchError;

/// A round-robin proxy: its client, the number of requests so far, and the list of servers.
#[derive(Clone)]
pub(super) struct RoundRobin {
    client: HttpClient,
    servers: Rc<RefCell<(usize, Vec<SocketAddr>)>>,
}

impl Proxy for RoundRobin {
    async fn call(&self, request: Request<Incoming>) -> Answer {
        let at = {
            let mut servers = self.servers.borrow_mut();
            servers.0 += 1;
            let n = servers.0;
            let list = &servers.1;
            if list.is_empty() { None } else { list.get(n % list.len()).copied() }
        };
        let Some(request) = at.and_then(|at| readdress(request, at)) else {
            return status(StatusCode::BAD_GATEWAY);
        };
        match self.client.request(request).await {
            Ok(answer) => answer.map(Either::Left),
            Err(_) => status(StatusCode::BAD_GATEWAY),
        }
    }
}

pub(super) async fn round_robin_proxy(
    mut lists: mpsc::UnboundedReceiver<Vec<SocketAddr>>,
) -> Result<(), BenchError> {
    let proxy = RoundRobin { client: http_client(), servers: Rc::default() };
    let servers = proxy.servers.clone();
    spawn_local(async move {
        while let Some(list) = lists.recv().await {
            servers.borrow_mut().1 = list;
        }
    });
    listen(proxy).await
}

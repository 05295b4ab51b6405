//! A reverse proxy that uses `tower::balance::p2c` with peak EWMA.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use futures_util::stream;
use http::{Request, Response, StatusCode};
use http_body_util::Either;
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tower::Service;
use tower::balance::p2c::Balance;
use tower::discover::Change;
use tower::load::{CompleteOnResponse, PeakEwma};

use super::proxy::{Answer, HttpClient, Proxy, http_client, listen, readdress, status};
use crate::BenchError;

/// A server as a tower service.
pub(super) struct Endpoint {
    client: HttpClient,
    at: SocketAddr,
}

impl Service<Request<Incoming>> for Endpoint {
    type Response = Response<Incoming>;
    type Error = BenchError;
    type Future = Pin<Box<dyn Future<Output = Result<Response<Incoming>, BenchError>> + Send>>;

    fn poll_ready(&mut self, _cx: &mut Context<'_>) -> Poll<Result<(), BenchError>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<Incoming>) -> Self::Future {
        let request = readdress(request, self.at).map(|request| self.client.request(request));
        Box::pin(async move { Ok(request.ok_or("no path")?.await?) })
    }
}

pub(super) type Changes =
    Pin<Box<dyn stream::Stream<Item = Result<Change<SocketAddr, Measured>, BenchError>>>>;

pub(super) type Measured = PeakEwma<Endpoint>;

#[derive(Clone)]
pub(super) struct P2c(Rc<RefCell<Balance<Changes, Request<Incoming>>>>);

impl Proxy for P2c {
    async fn call(&self, request: Request<Incoming>) -> Answer {
        let ready = std::future::poll_fn(|cx| self.0.borrow_mut().poll_ready(cx)).await;
        if ready.is_err() {
            return status(StatusCode::BAD_GATEWAY);
        }
        let answer = self.0.borrow_mut().call(request);
        match answer.await {
            Ok(answer) => answer.map(Either::Left),
            Err(_) => status(StatusCode::BAD_GATEWAY),
        }
    }
}

pub(super) async fn p2c_proxy(
    mut lists: mpsc::UnboundedReceiver<Vec<SocketAddr>>,
) -> Result<(), BenchError> {
    let (change_sender, mut changes) = mpsc::unbounded_channel();
    let client = http_client();
    spawn_local(async move {
        let mut known: Vec<SocketAddr> = Vec::new();
        while let Some(list) = lists.recv().await {
            for at in known.iter().filter(|at| !list.contains(at)) {
                let _ = change_sender.send(Ok(Change::Remove(*at)));
            }
            for at in list.iter().filter(|at| !known.contains(at)) {
                let endpoint = Endpoint { client: client.clone(), at: *at };
                let decay = Duration::from_secs(10).as_nanos() as f64;
                let usual = Duration::from_millis(5);
                let measured = PeakEwma::new(endpoint, usual, decay, CompleteOnResponse::default());
                let _ = change_sender.send(Ok(Change::Insert(*at, measured)));
            }
            known = list;
        }
    });
    let changes: Changes = Box::pin(stream::poll_fn(move |cx| changes.poll_recv(cx)));
    listen(P2c(Rc::new(RefCell::new(Balance::new(changes))))).await
}

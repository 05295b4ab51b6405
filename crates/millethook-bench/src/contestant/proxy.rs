//! Code shared by the contestants that are plain HTTP proxies.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Request, Response, StatusCode, Uri};
use http_body_util::{Either, Empty, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::net::TcpListener;
use tokio::task::spawn_local;

use crate::BenchError;

pub(super) type HttpClient = Client<HttpConnector, Empty<Bytes>>;

pub(super) type Answer = Response<Either<Incoming, Full<Bytes>>>;

pub(super) fn http_client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new()).build(connector)
}

pub(super) fn readdress(
    request: Request<Incoming>,
    at: SocketAddr,
) -> Option<Request<Empty<Bytes>>> {
    let (mut head, _) = request.into_parts();
    let path = head.uri.path_and_query()?.clone();
    head.uri = Uri::builder()
        .scheme("http")
        .authority(at.to_string())
        .path_and_query(path)
        .build()
        .ok()?;
    Some(Request::from_parts(head, Empty::new()))
}

pub(super) fn status(status: StatusCode) -> Answer {
    let mut response = Response::new(Either::Right(Full::default()));
    *response.status_mut() = status;
    response
}

/// Forwards a request and returns the answer.
pub(super) trait Proxy: Clone + 'static {
    fn call(&self, request: Request<Incoming>) -> impl Future<Output = Answer>;
}

pub(super) async fn listen(proxy: impl Proxy) -> Result<(), BenchError> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    eprintln!("listens on {}", listener.local_addr()?);
    loop {
        let (socket, _) = listener.accept().await?;
        let _ = socket.set_nodelay(true);
        let proxy = proxy.clone();
        spawn_local(async move {
            let serving = service_fn(move |request| {
                let proxy = proxy.clone();
                async move { Ok::<_, std::convert::Infallible>(proxy.call(request).await) }
            });
            let _ = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(socket), serving)
                .await;
        });
    }
}

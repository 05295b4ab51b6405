//! A reverse proxy that uses millethook as a library.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Either, Empty, Full};
use hyper::body::Incoming;
use millethook::{ClassConfig, Error, FleetConfig, RequestMeta, Reuse};

use super::proxy::{Answer, Proxy, status};
use super::{AIM, DEADLINE};
use crate::BenchError;

#[derive(Clone)]
pub(super) struct Library(pub(super) millethook::Fleet);

impl Proxy for Library {
    async fn call(&self, request: Request<Incoming>) -> Answer {
        let left = request.headers().get("x-time-left-ms").and_then(|v| v.to_str().ok());
        let left = left.and_then(|v| v.parse().ok()).map_or(DEADLINE, Duration::from_millis);
        let mut inner = Request::new(Empty::<Bytes>::new());
        *inner.uri_mut() = request.uri().clone();
        inner.extensions_mut().insert(RequestMeta::new().timeout(left));
        match self.0.call(inner).await {
            Ok(answer) => {
                let (head, body) = answer.into_parts();
                let body = body.collect().await.map(|body| body.to_bytes()).unwrap_or_default();
                Response::from_parts(head, Either::Right(Full::new(body)))
            }
            Err(Error::Refused { .. }) => status(StatusCode::SERVICE_UNAVAILABLE),
            Err(_) => status(StatusCode::BAD_GATEWAY),
        }
    }
}

/// Returns the library's configuration for a run.
///
/// # Errors
/// Fails if the configuration is invalid.
pub fn library(name: &str, discovery: SocketAddr) -> Result<FleetConfig, BenchError> {
    let class = ClassConfig::safe("look", AIM, DEADLINE);
    // The other contestants reuse a connection for any number of requests.
    let config = FleetConfig::builder(name).discovery(discovery).class(class).open(4096);
    Ok(config.reuse(Reuse::Unlimited).build()?)
}

//! Uses a fleet as a tower service with tower layers, without a web framework.
//!
//!     cargo run --example plain_tower

use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use millethook::{Body, ClassConfig, Error, Execution, Fleet, FleetConfig, RequestMeta};
use millethook_testkit::{Fault, ServerGroup};
use tower::{Service, ServiceBuilder, ServiceExt};

/// Sets a timeout, so that callers need not.
fn with_timeout(mut request: Request<Full<Bytes>>) -> Request<Full<Bytes>> {
    request.extensions_mut().insert(RequestMeta::new().timeout(Duration::from_millis(300)));
    request
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    // Three servers: the first refuses some requests, the second resets some connections.
    let stage = ServerGroup::new(3, |a| match (a.server, a.nth % 3) {
        (0, 0) => Fault::Reject,
        (1, 0) => Fault::Reset,
        (server, _) => Fault::Serve(format!("from server {server}")),
    });
    let (aim, deadline) = (Duration::from_millis(100), Duration::from_secs(1));
    let mut config = FleetConfig::builder("tower")
        .class(ClassConfig::safe("look", aim, deadline))
        .class(ClassConfig::at_most_once("order", aim, deadline));
    for (n, server) in stage.servers.iter().enumerate() {
        config = config.server(&format!("s{n}"), server.address);
    }
    let fleet = Fleet::open(config.build()?)?;
    let mut service = ServiceBuilder::new().map_request(with_timeout).service(fleet.clone());

    for n in 0..12 {
        let request = match n % 2 {
            0 => Request::get(format!("/look/{n}")),
            _ => Request::post(format!("/order/{n}")),
        };
        let request = request.body(Full::new(Bytes::from_static(b"")))?;
        let path = request.uri().path().to_owned();
        let end: Result<Response<Body>, Error> = service.ready().await?.call(request).await;
        match end {
            Ok(answer) => {
                let body = answer.into_body().collect().await.map_err(|e| e.to_string())?;
                println!("{path}: {}", String::from_utf8_lossy(&body.to_bytes()));
            }
            Err(e) => match e.execution() {
                Execution::NeverRan => println!("{path}: {e}; nothing has happened"),
                Execution::MayHaveRun => println!("{path}: {e}; it is not sent again"),
            },
        }
    }
    fleet.drain(Duration::from_secs(1)).await;
    Ok(())
}

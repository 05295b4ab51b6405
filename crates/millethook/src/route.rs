//! Middleware that sends the requests of some classes to a fleet and all others to the application.

use std::collections::BTreeSet;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use http::header::RETRY_AFTER;
use http::{Request, Response};
use http_body_util::Either;
use millethook_http::answer;
use tower_layer::Layer;
use tower_service::Service;

use crate::body::Body;
use crate::error::{BoxError, Error};
use crate::fleet::Fleet;

impl Error {
    /// The HTTP response for this error: [`Error::status`], with `Retry-After` in seconds if the time is
    /// known.
    pub fn into_response(self) -> Response<Body> {
        let mut response = Response::new(Body::empty());
        *response.status_mut() = self.status();
        if let Some(value) = self.retry_after().and_then(answer::retry_after) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
        response
    }
}

/// Sends requests of some classes to a fleet, by the first segment of their paths; all others go to the
/// application. A refusal becomes 503 with `Retry-After`, a failure 502 or 504.
#[derive(Clone, Debug)]
pub struct RouteLayer {
    fleet: Fleet,
    /// None for all classes of the fleet.
    classes: Option<Arc<BTreeSet<String>>>,
}

impl RouteLayer {
    /// Sends the requests of all classes of the fleet to it.
    pub fn new(fleet: Fleet) -> RouteLayer {
        RouteLayer { fleet, classes: None }
    }

    /// Sends only the requests of these classes to the fleet.
    pub fn classes<I>(mut self, classes: I) -> RouteLayer
    where
        I: IntoIterator,
        I::Item: Into<String>,
    {
        self.classes = Some(Arc::new(classes.into_iter().map(Into::into).collect()));
        self
    }
}

impl<S> Layer<S> for RouteLayer {
    type Service = Route<S>;

    fn layer(&self, inner: S) -> Route<S> {
        Route { inner, to: self.clone() }
    }
}

/// The service of [`RouteLayer`].
#[derive(Clone, Debug)]
pub struct Route<S> {
    inner: S,
    to: RouteLayer,
}

impl<S> Route<S> {
    fn goes_to_fleet(&self, path: &str) -> bool {
        let class = path.trim_start_matches('/').split('/').next().unwrap_or_default();
        match &self.to.classes {
            Some(classes) => classes.contains(class),
            None => self.to.fleet.has_class(class),
        }
    }
}

impl<S, B, R> Service<Request<B>> for Route<S>
where
    S: Service<Request<B>, Response = Response<R>>,
    S::Future: Send + 'static,
    S::Error: Send + 'static,
    B: http_body::Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<BoxError> + Send,
    R: Send + 'static,
{
    type Response = Response<Either<R, Body>>;
    type Error = S::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, S::Error>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), S::Error>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, request: Request<B>) -> Self::Future {
        if self.goes_to_fleet(request.uri().path()) {
            let fleet = self.to.fleet.clone();
            Box::pin(async move {
                let end = fleet.call(request).await;
                Ok(end.unwrap_or_else(Error::into_response).map(Either::Right))
            })
        } else {
            let handled = self.inner.call(request);
            Box::pin(async move { Ok(handled.await?.map(Either::Left)) })
        }
    }
}

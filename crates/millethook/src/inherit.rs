//! Passes the timeout, tenant and id of a request on to the calls that its handler makes.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use http::header::HeaderMap;
use http::{Request, Response, StatusCode};
use http_body_util::Either;
use millethook_http::head::{
    ACCOUNT, CORRELATION_ID, Invalid, TIME_LEFT, parse_time_left, single_value,
};
use tower_layer::Layer;
use tower_service::Service;

use crate::body::Body;

tokio::task_local! {
    static CURRENT: Inherited;
}

/// The remaining time, tenant and id of a request that is being handled.
///
/// [`InheritLayer`] stores it in a task-local, where calls of the same task find it, and in the request's
/// extensions. Tasks that the handler spawns do not inherit it by themselves; use
/// [`Inherited::scope`] for them.
#[derive(Clone, Debug)]
pub struct Inherited(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    until: Option<Instant>,
    tenant: Option<String>,
    correlation: Option<String>,
    calls: AtomicU32,
}

impl Inherited {
    /// Reads the headers of a request; its remaining time runs from now.
    ///
    /// # Errors
    /// A header is repeated or has an invalid value.
    pub fn from_headers(headers: &HeaderMap) -> Result<Inherited, Invalid> {
        let owned = |name| Ok(single_value(headers, name)?.map(str::to_owned));
        let left = single_value(headers, &TIME_LEFT)?.map(parse_time_left).transpose()?;
        Ok(Inherited(Arc::new(Inner {
            until: left.map(|left| Instant::now() + left),
            tenant: owned(&ACCOUNT)?,
            correlation: owned(&CORRELATION_ID)?.filter(|id| !id.is_empty()),
            calls: AtomicU32::new(0),
        })))
    }

    /// The value that the current task has inherited.
    pub fn current() -> Option<Inherited> {
        CURRENT.try_with(Inherited::clone).ok()
    }

    /// Wraps a future so that its calls inherit this value, for example in a spawned task.
    pub fn scope<F: Future>(self, future: F) -> impl Future<Output = F::Output> {
        CURRENT.scope(self, future)
    }

    /// How long the sender of the request still waits; None if the request does not say.
    pub fn left(&self) -> Option<Duration> {
        self.0.until.map(|until| until.saturating_duration_since(Instant::now()))
    }

    /// The request's tenant.
    pub fn tenant(&self) -> Option<&str> {
        self.0.tenant.as_deref()
    }

    /// The request's id.
    pub fn correlation(&self) -> Option<&str> {
        self.0.correlation.as_deref()
    }

    /// An id for the next call made for this request. Each call gets its own, as ids must be unique.
    pub(crate) fn next_id(&self) -> Option<String> {
        let id = self.0.correlation.as_deref()?;
        let n = self.0.calls.fetch_add(1, Ordering::Relaxed) + 1;
        Some(format!("{id}.{n}"))
    }
}

/// Makes the calls of handlers inherit the request's remaining time, tenant and id. A request in which
/// one of these is invalid or repeated is answered 400 and not handled.
#[derive(Clone, Copy, Debug, Default)]
pub struct InheritLayer(());

impl InheritLayer {
    /// Creates the layer.
    pub fn new() -> InheritLayer {
        InheritLayer(())
    }
}

impl<S> Layer<S> for InheritLayer {
    type Service = Inherit<S>;

    fn layer(&self, inner: S) -> Inherit<S> {
        Inherit { inner }
    }
}

/// The service of [`InheritLayer`].
#[derive(Clone, Debug)]
pub struct Inherit<S> {
    inner: S,
}

impl<S, B, R> Service<Request<B>> for Inherit<S>
where
    S: Service<Request<B>, Response = Response<R>>,
    S::Future: Send + 'static,
    S::Error: Send + 'static,
    R: Send + 'static,
{
    type Response = Response<Either<R, Body>>;
    type Error = S::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, S::Error>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), S::Error>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, mut request: Request<B>) -> Self::Future {
        match Inherited::from_headers(request.headers()) {
            Ok(inherited) => {
                request.extensions_mut().insert(inherited.clone());
                let handled = inherited.scope(self.inner.call(request));
                Box::pin(async move { Ok(handled.await?.map(Either::Left)) })
            }
            Err(_) => {
                let mut response = Response::new(Either::Right(Body::empty()));
                *response.status_mut() = StatusCode::BAD_REQUEST;
                Box::pin(std::future::ready(Ok(response)))
            }
        }
    }
}

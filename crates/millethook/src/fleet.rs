//! The handle through which a host program uses a fleet.

use std::future::Future;
use std::pin::Pin;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use http::{Request, Response};
use millethook_engine::driver::Reply;
use millethook_engine::upload::{MAX_UPLOAD_BYTES, Upload, UploadError, UploadSource};
use millethook_http::answer;
use millethook_http::body::{
    BodyLimits, BufferedBody, ForwardError, ReadError, StallBudget, buffer_body, forward_rest,
    framing,
};
use millethook_view::Counts;
use tokio::sync::oneshot;
use tokio::time::{timeout, timeout_at};
use tower_service::Service;

use crate::body::Body;
use crate::config::FleetConfig;
use crate::error::{BoxError, Error, Execution, OpenError};
use crate::inherit::Inherited;
use crate::opening::Opening;
use crate::registry;
use crate::request::{RequestMeta, read_attributes};
use crate::shared::Shared;
use crate::thread::{Call, Command, EngineState};
use crate::usage::{Drained, PeerView, Usage};

/// The engine answers by the deadline. A call without an answer fails this long after it: the engine's
/// thread has ended or gets no processor time.
const ENGINE_REPLY_GRACE: Duration = Duration::from_millis(100);

/// A fleet of servers, ready for requests. Clones are the same handle. The engine behind them ends when
/// the last clone of the last opening is dropped and no request is open.
///
/// Calls need a tokio runtime with time enabled, of any flavour.
#[derive(Clone)]
pub struct Fleet {
    opening: Arc<Opening>,
}

impl std::fmt::Debug for Fleet {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Fleet").field("name", &self.shared().config.name).finish()
    }
}

/// Limits on the bodies of calls. All of their bytes are charged.
const BODY_LIMITS: BodyLimits = BodyLimits { max_bytes: MAX_UPLOAD_BYTES, uncharged_bytes: 0 };

/// A body that the host produces. It is read as soon as there is room, and the host's time counts from there.
struct HostBody;

impl UploadSource for HostBody {
    fn earliest_end(&self, _unread: Option<u64>) -> Instant {
        Instant::now()
    }
}

impl Fleet {
    /// Opens a fleet: the engine that is open in this process under the configuration's name, or a new
    /// one. Blocks while a thread starts and, if a fleet of this name is just ending, until that has
    /// ended.
    ///
    /// # Errors
    /// [`OpenError::Conflict`] if the fleet is open with another configuration, and
    /// [`OpenError::System`] if the system cannot provide a thread or an event queue.
    pub fn open(config: FleetConfig) -> Result<Fleet, OpenError> {
        let shared = registry::open(config)?;
        Ok(Fleet { opening: Arc::new(Opening::new(shared)) })
    }

    fn shared(&self) -> &Arc<Shared> {
        &self.opening.shared
    }

    /// Waits until a server is known and discovery has been tried; false if the fleet ended first.
    /// Cancel-safe.
    pub async fn ready(&self) -> bool {
        let mut state = self.shared().state.clone();
        let state_after_start = state.wait_for(|state| *state != EngineState::Starting).await;
        state_after_start.is_ok_and(|state| *state == EngineState::Ready)
    }

    /// Sends a request and returns its answer. Under [`Begins::Head`](crate::Begins::Head), that is any
    /// answer except server errors (5xx) and those that ask for a retry (408, 421, 425, 429); under
    /// [`Begins::Whole`](crate::Begins::Whole), one with status 200.
    ///
    /// A body of up to 64 KiB is read completely first. A longer one, up to 32 MiB, is streamed after
    /// that; from then on the request stays with one server and is not retried. The caller's timeout runs
    /// from the call, for a longer body from the body's end, and is cut to the class's deadline; by then
    /// there is an answer or an error. For an answer over 64 KiB, the head is there by then.
    ///
    /// Dropping the future cancels the request at any stage: its attempts end, their resources are
    /// released, and nothing more is sent for it. A server that has already begun to process it may still
    /// run it.
    ///
    /// # Errors
    /// See [`Error`]; [`Error::execution`] says whether the request may have run.
    pub async fn call<B>(&self, request: Request<B>) -> Result<Response<Body>, Error>
    where
        B: http_body::Body,
        B::Error: Into<BoxError>,
    {
        let began = Instant::now();
        let open_request = self.opening.begin_request().ok_or(Error::Closed)?;
        let shared = self.shared();
        let (mut head, body) = request.into_parts();
        let meta = head.extensions.remove::<RequestMeta>().unwrap_or_default();
        let inherited = Inherited::current().or_else(|| head.extensions.remove::<Inherited>());
        let names = &shared.config.names;
        let (request_head, id) =
            read_attributes(names, &mut head, meta, inherited.as_ref(), || shared.new_id())?;
        let Ok(permit) = shared.permits.clone().try_acquire_owned() else {
            return Err(refused_unsent());
        };
        let until = began + request_head.left;
        let mut body_bytes = shared.bytes.reservation();
        // The host's body may stall; only the request's timeout bounds the read.
        let (mut body, mut stalls) = (Box::pin(body), StallBudget::unbounded());
        let buffering = buffer_body(&mut body, BODY_LIMITS, &mut body_bytes, &mut stalls, || until);
        let buffered = match timeout_at(until.into(), buffering).await {
            Ok(Ok(buffered)) => buffered,
            Ok(Err(ReadError::TooLong)) => return Err(too_large()),
            Ok(Err(ReadError::Broken(e))) => return Err(Error::Body(e.into())),
            // The request has timed out before it was sent.
            Ok(Err(ReadError::TooSlow | ReadError::NoMemory)) | Err(_) => {
                return Err(refused_unsent());
            }
        };
        let left = request_head.left;
        let (pieces, rest) = match buffered {
            BufferedBody::Complete(pieces) => (pieces, None),
            BufferedBody::Partial(pieces) => (pieces, Some(Upload::new(left))),
        };
        let length: u64 = pieces.iter().map(|piece| piece.len() as u64).sum();
        let (upload, rest) = rest.unzip();
        let upload = upload.map(|upload| (upload, framing(&body, length)));
        let attempt_request =
            answer::attempt_request(head, &request_head, pieces, body_bytes, upload);
        let (reply, mut answer) = oneshot::channel();
        let call = Call { request_head, id, attempt_request, until, reply, permit };
        let sent = shared.commands.send(Command::Call(Box::new(call)));
        sent.map_err(|_| Error::Closed)?;
        let (mut until, mut early) = (until, None);
        if let Some(rest) = rest {
            let forwarding = pin!(forward_rest(
                &mut body,
                length,
                MAX_UPLOAD_BYTES,
                &mut stalls,
                rest,
                &HostBody
            ));
            tokio::select! {
                biased;
                // The request was refused, or a server answered without reading the rest.
                reply = &mut answer => early = Some(reply),
                forwarded = forwarding => match forwarded {
                    // The timeout runs from the last byte of the body.
                    Ok(()) | Err(ForwardError::NotTaken(UploadError::Closed)) => {
                        until = Instant::now() + left;
                    }
                    Err(ForwardError::Read(ReadError::TooLong)) => return Err(too_large()),
                    // Part of the body has been sent, and a server may have begun to process it.
                    Err(ForwardError::Read(ReadError::Broken(_))) => {
                        return Err(Error::Failed { timed_out: false });
                    }
                    Err(_) => return Err(Error::Failed { timed_out: true }),
                },
            }
        }
        let reply = match early {
            Some(reply) => Ok(reply),
            None => timeout_at((until + ENGINE_REPLY_GRACE).into(), answer).await,
        };
        let reply = match reply {
            Ok(Ok(reply)) => reply?,
            // The engine has ended, or its thread does not run.
            Ok(Err(_)) => return Err(Error::Failed { timed_out: false }),
            Err(_) => return Err(Error::Failed { timed_out: true }),
        };
        match reply {
            Reply::Served(head, body) => {
                Ok(answer::complete_response(head, body).map(|body| Body::new(body, None)))
            }
            Reply::Streaming(response) => Ok(answer::streaming_response(response)
                .map(|body| Body::new(body, Some(open_request)))),
            Reply::Refused { retry_after, may_have_run } => {
                let execution =
                    if may_have_run { Execution::MayHaveRun } else { Execution::NeverRan };
                Err(Error::Refused { retry_after, execution })
            }
            Reply::Failed => {
                // The engine stops a few milliseconds before the deadline, to leave time to deliver the
                // answer to the caller.
                let early = Duration::from_millis(10);
                Err(Error::Failed { timed_out: Instant::now() + early >= until })
            }
        }
    }

    /// Shuts this opening down: new calls of its handles fail with [`Error::Closed`], and open requests,
    /// including streamed answers, have `within` to finish. If no other part of the process has the fleet
    /// open, the engine then ends with its connections and its thread, and unanswered requests fail.
    ///
    /// If this future is dropped early, the opening stays closed to new calls, and the engine ends with
    /// its last handle.
    pub async fn drain(&self, within: Duration) -> Drained {
        let opening = &self.opening;
        opening.draining.store(true, Ordering::SeqCst);
        let _ = timeout(within, opening.wait_until_idle()).await;
        let unanswered = opening.open.load(Ordering::SeqCst);
        opening.close();
        if self.shared().has_ended() {
            let mut state = self.shared().state.clone();
            // An error means that the sender is gone, so the engine has ended, too.
            let _ = state.wait_for(|state| *state == EngineState::Ended).await;
        }
        Drained { unanswered }
    }

    /// Sends a command to the engine; returns it if the engine has ended.
    pub(crate) fn command(&self, command: Command) -> Result<(), Command> {
        self.shared().commands.send(command).map_err(|unsent| unsent.0)
    }

    /// The fleet's open requests and the resources it holds; None if it has ended.
    pub async fn usage(&self) -> Option<Usage> {
        let shared = self.shared();
        let (reply, usage) = oneshot::channel();
        shared.commands.send(Command::Usage(reply)).ok()?;
        let engine = usage.await.ok()?;
        Some(Usage {
            open: shared.config.open - shared.permits.available_permits(),
            requests: engine.requests,
            attempts: engine.attempts,
            undecided: engine.undecided,
            sockets: shared.sockets.in_use(),
            opening: engine.connections.opening,
            idle: engine.connections.idle,
            ended: engine.ended,
            body_bytes: shared.bytes.in_use(),
        })
    }

    /// This instance's view of all instances; None if it keeps no view (see [`FleetBuilder::peers`]) or
    /// the fleet has ended. Cancel-safe.
    ///
    /// [`FleetBuilder::peers`]: crate::FleetBuilder::peers
    pub async fn view(&self) -> Option<PeerView> {
        let (reply, view) = oneshot::channel();
        self.shared().commands.send(Command::View(reply)).ok()?;
        let (counts, hash) = view.await.ok()??;
        let Counts { unknown, alive, suspect, dead, left } = counts;
        Some(PeerView { unknown, alive, suspect, dead, left, hash })
    }

    /// Whether the fleet's configuration has this class.
    pub(crate) fn has_class(&self, class: &str) -> bool {
        self.shared().config.names.classes.contains_key(class)
    }
}

/// The error of a request that is refused before anything was sent.
fn refused_unsent() -> Error {
    Error::Refused { retry_after: None, execution: Execution::NeverRan }
}

impl<B> Service<Request<B>> for Fleet
where
    B: http_body::Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<BoxError> + Send,
{
    type Response = Response<Body>;
    type Error = Error;
    type Future = Pin<Box<dyn Future<Output = Result<Response<Body>, Error>> + Send>>;

    /// Always ready: an overloaded fleet refuses requests immediately.
    fn poll_ready(&mut self, _cx: &mut Context<'_>) -> Poll<Result<(), Error>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<B>) -> Self::Future {
        let fleet = self.clone();
        Box::pin(async move { Fleet::call(&fleet, request).await })
    }
}

fn too_large() -> Error {
    Error::TooLarge { limit: MAX_UPLOAD_BYTES as usize }
}

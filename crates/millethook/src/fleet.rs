//! The handle that hosts hold.

use std::future::Future;
use std::pin::Pin;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use http::{Request, Response};
use millethook_engine::driver::Reply;
use millethook_engine::upload::{MAX_UPLOAD_BYTES, Upload, UploadError};
use millethook_http::answer;
use millethook_http::body::{
    BufferedBody, ForwardError, ReadError, StallBudget, buffer_body, forward_rest, framing,
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
use crate::request::{RequestMeta, describe};
use crate::shared::Shared;
use crate::thread::{Call, Command, Life};
use crate::usage::{Drained, PeerView, Usage};

/// The engine answers by the deadline. A call that has heard nothing for so long after it ends by
/// itself: the engine's thread has no processor, or is gone.
const GRACE: Duration = Duration::from_millis(100);

/// A fleet of servers, ready to be called. Clones are the same handle; the engine behind them ends
/// when the last one of the last opening is dropped and nothing is under way.
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

impl Fleet {
    /// Opens a fleet: the engine that is open in this process under the configuration's name, or a
    /// new one. It blocks for the start of a thread, and, where a fleet of this name is just ending,
    /// for its end.
    ///
    /// # Errors
    /// [`OpenError::Conflict`] if the fleet is open with another configuration, and
    /// [`OpenError::System`] if there is no thread or event queue to be had.
    pub fn open(config: FleetConfig) -> Result<Fleet, OpenError> {
        let shared = registry::open(config)?;
        Ok(Fleet { opening: Arc::new(Opening::new(shared)) })
    }

    fn shared(&self) -> &Arc<Shared> {
        &self.opening.shared
    }

    /// Waits until some server is known and discovery has been tried; false if the fleet ended first.
    /// Cancel safe.
    pub async fn ready(&self) -> bool {
        let mut life = self.shared().life.clone();
        let state = life.wait_for(|life| *life != Life::Starting).await;
        state.is_ok_and(|life| *life == Life::Ready)
    }

    /// Sends a request and returns its answer. Under [`Begins::Head`](crate::Begins::Head) that is any
    /// answer that is no server's error (5xx) and does not ask to try again (408, 421, 425, 429); under
    /// [`Begins::Whole`](crate::Begins::Whole) one with the status 200.
    ///
    /// A body of up to 64 KiB is read whole first. Of a longer one, up to 32 MiB, the rest is passed on as it
    /// comes; from then on the request belongs to one server, and is repeated at no other. The time that the
    /// caller gives runs from the call on, for a longer body from its end, and is over at the class's
    /// deadline at the latest; by then there is an answer or an error. Of an answer over 64 KiB the head is
    /// there by then.
    ///
    /// Dropping the future calls the request off wherever it is: attempts are ended, what they held
    /// is given back, and nothing more is sent for it. What a server has begun on by then may have
    /// run.
    ///
    /// # Errors
    /// See [`Error`]; [`Error::execution`] tells whether the request may have run.
    pub async fn call<B>(&self, request: Request<B>) -> Result<Response<Body>, Error>
    where
        B: http_body::Body,
        B::Error: Into<BoxError>,
    {
        let began = Instant::now();
        let entered = self.opening.enter().ok_or(Error::Closed)?;
        let shared = self.shared();
        let (mut head, body) = request.into_parts();
        let meta = head.extensions.remove::<RequestMeta>().unwrap_or_default();
        let inherited = Inherited::present().or_else(|| head.extensions.remove::<Inherited>());
        let names = &shared.config.names;
        let (request_head, id) =
            describe(names, &mut head, meta, inherited.as_ref(), || shared.new_id())?;
        let Ok(permit) = shared.permits.clone().try_acquire_owned() else {
            return Err(unsent());
        };
        let until = began + request_head.left;
        let mut account = shared.bytes.reservation();
        // The host's body has its own pace; the request's time bounds it.
        let (mut body, mut pace) = (Box::pin(body), StallBudget::unbounded());
        let holding = buffer_body(&mut body, MAX_UPLOAD_BYTES, &mut account, &mut pace);
        let held = match timeout_at(until.into(), holding).await {
            Ok(Ok(held)) => held,
            Ok(Err(ReadError::TooLong)) => return Err(too_large()),
            Ok(Err(ReadError::Broken(e))) => return Err(Error::Body(e.into())),
            // Its time is over, and it has gone nowhere.
            Ok(Err(ReadError::TooSlow)) | Err(_) => return Err(unsent()),
        };
        let left = request_head.left;
        let (pieces, rest) = match held {
            BufferedBody::Complete(pieces) => (pieces, None),
            BufferedBody::Partial(pieces) => (pieces, Some(Upload::new(left))),
        };
        let length: u64 = pieces.iter().map(|piece| piece.len() as u64).sum();
        let (upload, rest) = rest.unzip();
        let upload = upload.map(|upload| (upload, framing(&body, length)));
        let attempt_request = answer::attempt_request(head, &request_head, pieces, account, upload);
        let (reply, mut answer) = oneshot::channel();
        let call = Call { request_head, id, attempt_request, until, reply, permit };
        let sent = shared.commands.send(Command::Call(Box::new(call)));
        sent.map_err(|_| Error::Closed)?;
        let (mut until, mut early) = (until, None);
        if let Some(rest) = rest {
            let feeding = pin!(forward_rest(&mut body, length, MAX_UPLOAD_BYTES, &mut pace, rest));
            tokio::select! {
                biased;
                // It was refused, or a server had no need of the rest.
                reply = &mut answer => early = Some(reply),
                fed = feeding => match fed {
                    // The time runs from the last byte on.
                    Ok(()) | Err(ForwardError::NotTaken(UploadError::Closed)) => {
                        until = Instant::now() + left;
                    }
                    Err(ForwardError::Read(ReadError::TooLong)) => return Err(too_large()),
                    // A part of it has gone out, and a server may have begun on that.
                    Err(ForwardError::Read(ReadError::Broken(_))) => {
                        return Err(Error::Failed { timed_out: false });
                    }
                    Err(_) => return Err(Error::Failed { timed_out: true }),
                },
            }
        }
        let reply = match early {
            Some(reply) => Ok(reply),
            None => timeout_at((until + GRACE).into(), answer).await,
        };
        let reply = match reply {
            Ok(Ok(reply)) => reply?,
            // The engine has ended, or its thread stands still.
            Ok(Err(_)) => return Err(Error::Failed { timed_out: false }),
            Err(_) => return Err(Error::Failed { timed_out: true }),
        };
        match reply {
            Reply::Served(head, body) => {
                Ok(answer::complete_response(head, body).map(|body| Body::new(body, None)))
            }
            Reply::Streaming(long) => {
                Ok(answer::streaming_response(long).map(|body| Body::new(body, Some(entered))))
            }
            Reply::Refused { retry_after, may_have_run } => {
                let execution =
                    if may_have_run { Execution::MayHaveRun } else { Execution::NeverRan };
                Err(Error::Refused { retry_after, execution })
            }
            Reply::Failed => {
                // The engine stops a few milliseconds ahead, for the answer's way to the caller.
                let early = Duration::from_millis(10);
                Err(Error::Failed { timed_out: Instant::now() + early >= until })
            }
        }
    }

    /// The planned end of this opening: new calls of its handles are turned away as
    /// [`Error::Closed`], and what is under way, long answers among it, has until `within` to end.
    /// If no other part of the process has the fleet open, the engine then ends, and with it its
    /// connections and its thread; what it had not answered has failed.
    ///
    /// Dropped on the way, the opening stays closed to new calls, and the engine ends with its last
    /// handle.
    pub async fn drain(&self, within: Duration) -> Drained {
        let opening = &self.opening;
        opening.draining.store(true, Ordering::SeqCst);
        let _ = timeout(within, opening.idle()).await;
        let unanswered = opening.open.load(Ordering::SeqCst);
        opening.leave();
        if self.shared().ended() {
            let mut life = self.shared().life.clone();
            // The sender's end says the same.
            let _ = life.wait_for(|life| *life == Life::Ended).await;
        }
        Drained { unanswered }
    }

    pub(crate) fn command(&self, command: Command) -> Result<(), Command> {
        self.shared().commands.send(command).map_err(|unsent| unsent.0)
    }

    /// What the fleet has under way and holds. None: it has ended.
    pub async fn usage(&self) -> Option<Usage> {
        let shared = self.shared();
        let (to, told) = oneshot::channel();
        shared.commands.send(Command::Usage(to)).ok()?;
        let engine = told.await.ok()?;
        Some(Usage {
            open: shared.config.open - shared.permits.available_permits(),
            requests: engine.requests,
            attempts: engine.attempts,
            undecided: engine.undecided,
            sockets: shared.sockets.in_use(),
            opening: engine.connections.opening,
            resting: engine.connections.idle,
            ended: engine.ended,
            body_bytes: shared.bytes.in_use(),
        })
    }

    /// What this instance believes of the others. None: it keeps no view (see [`FleetBuilder::peers`]), or the
    /// fleet has ended. Cancel-safe.
    ///
    /// [`FleetBuilder::peers`]: crate::FleetBuilder::peers
    pub async fn view(&self) -> Option<PeerView> {
        let (to, told) = oneshot::channel();
        self.shared().commands.send(Command::View(to)).ok()?;
        let (counts, hash) = told.await.ok()??;
        let Counts { unknown, alive, suspect, dead, left } = counts;
        Some(PeerView { unknown, alive, suspect, dead, left, hash })
    }

    /// Whether the fleet's configuration has this class.
    pub(crate) fn has_class(&self, class: &str) -> bool {
        self.shared().config.names.classes.contains_key(class)
    }
}

/// Turned away before anything was sent.
fn unsent() -> Error {
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

    /// Always ready: a fleet that can take no more says so by refusing, at once.
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

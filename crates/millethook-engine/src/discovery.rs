//! The list of servers: asked for, watched, and told to whoever wants the news. Only whole answers count.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use coppercart::api::ListKind;
use coppercart::settings::Discovery as How;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::list::List;
use crate::news::MembershipSink;

/// The longest answer: some ten thousand servers.
const LONGEST: usize = 4 << 20;
/// How long a connection to discovery may take to come up.
const CONNECT: Duration = Duration::from_millis(500);
/// Between two pieces of an answer.
const GAP: Duration = Duration::from_millis(700);
/// How long a whole answer may take to come in once it has begun. Danger: one that brings a byte now
/// and then would keep the sidecar from every later list.
const ANSWER: Duration = Duration::from_secs(3);
/// How long a watch may be held where discovery is asked, and how much longer its answer may take. Danger: what a silent
/// watch misses counts as told 6 s after it fell silent; the decisions wait for up to 1.25 s before they ask anew.
const HOLD: Duration = Duration::from_secs(3);
/// The same where lists are pushed.
const PUSHED_HOLD: Duration = Duration::from_millis(500);
/// How long the first byte of an answer may take, beyond that.
const PATIENCE: Duration = Duration::from_millis(1500);
/// Between calls that fail where lists are pushed: the agent is near, and free.
const AGAIN: Duration = Duration::from_millis(100);

/// What the module asks of discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Changes from now on.
    Watch,
    /// The whole list, once.
    Fetch,
}

/// The side of discovery that talks to it.
pub struct Discovery {
    address: watch::Receiver<SocketAddr>,
    how: How,
    connection: Option<(SendRequest<Empty<Bytes>>, AbortHandle)>,
    /// The version of the list at hand.
    version: u64,
    /// The next call is for all of it.
    whole: bool,
    tried: Rc<Notify>,
}

impl Discovery {
    /// `version` is that of the list remembered; `tried` is told of every call that ends.
    /// `address` brings word when a new configuration moves it.
    pub fn new(
        address: watch::Receiver<SocketAddr>,
        how: How,
        version: u64,
        tried: Rc<Notify>,
    ) -> Discovery {
        // An agent is near, and all of its list costs nothing.
        let whole = how == How::Pushed;
        Discovery { address, how, connection: None, version, whole, tried }
    }

    /// Keeps the list as new as it can be; `calls` is what the module asks.
    pub async fn run(mut self, news: impl MembershipSink, calls: mpsc::UnboundedReceiver<Call>) {
        match self.how {
            How::Pushed => self.pushed(&news, calls).await,
            How::Asked => self.fetch_on_request(&news, calls).await,
        }
    }

    /// Danger: what the agent has counts as told, so a watch is always out. A short hold costs
    /// nothing here, and tells soon when the agent has fallen silent.
    async fn pushed(
        &mut self,
        news: &impl MembershipSink,
        mut calls: mpsc::UnboundedReceiver<Call>,
    ) {
        let mut moves = self.address.clone();
        loop {
            tokio::select! {
                // Danger: the old address may keep an open watch waiting, or accept a call that it
                // never answers. It is left at once, also in the middle of a call.
                Ok(()) = moves.changed() => {
                    self.start_over();
                    continue;
                }
                list = self.call(PUSHED_HOLD, GAP) => match list.filter(|list| self.tell(news, list)) {
                    Some(list) => {
                        if list.hosts.is_empty() {
                            // An agent that does not hold calls is not asked without a pause.
                            tokio::time::sleep(AGAIN / 5).await;
                        }
                    }
                    None => {
                        news.discovery_failed();
                        tokio::time::sleep(AGAIN).await;
                    }
                },
                call = calls.recv() => {
                    self.whole |= call == Some(Call::Fetch);
                    self.hang_up();
                }
            }
            self.tried.notify_one();
        }
    }

    /// Here calls load discovery; the module decides when there is to be one after a failure.
    async fn fetch_on_request(
        &mut self,
        news: &impl MembershipSink,
        mut calls: mpsc::UnboundedReceiver<Call>,
    ) {
        // How long the next call may be held; None: there is none until the module asks.
        let mut next = None;
        // The module has asked for changes from now on, and no call has failed since.
        let mut watches = false;
        let mut moves = self.address.clone();
        loop {
            tokio::select! {
                // Danger: a call may hang or trickle where discovery was, for longer than news may take. It is left at
                // once, whatever it is.
                Ok(()) = moves.changed() => {
                    self.start_over();
                    next = Some(Duration::ZERO);
                }
                call = calls.recv() => {
                    self.hang_up();
                    match call {
                        // Answered at once, with what was missed.
                        Some(Call::Watch) => watches = true,
                        Some(Call::Fetch) => self.whole = true,
                        None => return,
                    }
                    next = Some(Duration::ZERO);
                }
                told = self.call_and_tell(next, news) => {
                    watches &= told;
                    next = watches.then_some(HOLD);
                    if !told {
                        news.discovery_failed();
                    }
                    self.tried.notify_one();
                }
            }
        }
    }

    /// A call, if there is to be one; whether it told anything.
    async fn call_and_tell(&mut self, hold: Option<Duration>, news: &impl MembershipSink) -> bool {
        let Some(hold) = hold else { return std::future::pending().await };
        let list = self.call(hold, PATIENCE).await;
        list.is_some_and(|list| self.tell(news, &list))
    }

    /// Passes a list on; false if it does not go with the one at hand.
    ///
    /// Danger: a discovery that has started anew may count from lower versions. Asked for what is newer than ours it
    /// would have nothing to say, or changes that do not follow: the next call is for all.
    fn tell(&mut self, news: &impl MembershipSink, list: &List) -> bool {
        self.whole = !list.whole && list.seq < self.version;
        if self.whole {
            return false;
        }
        self.version = list.seq;
        news.servers(if list.whole { ListKind::Whole } else { ListKind::Changes }, list);
        true
    }

    /// Discovery is elsewhere: what it counts there need not go on from here.
    fn start_over(&mut self) {
        self.hang_up();
        self.whole = true;
    }

    fn hang_up(&mut self) {
        if let Some((_, task)) = self.connection.take() {
            task.abort();
        }
    }

    /// One call: for the whole list where that is due, else a watch that may wait for `hold`. None unless the
    /// answer came whole and can be understood; then the next call has a new connection.
    async fn call(&mut self, hold: Duration, patience: Duration) -> Option<List> {
        let (path, hold) = if self.whole {
            ("/registry/instances".to_owned(), Duration::ZERO)
        } else {
            let path =
                format!("/registry/instances?from={}&hold_ms={}", self.version, hold.as_millis());
            (path, hold)
        };
        let first = hold + patience;
        let address = *self.address.borrow();
        let connection = self.connection.take();
        let mut connection = match connection.filter(|(sender, _)| !sender.is_closed()) {
            Some(connection) => Hanging(Some(connection)),
            None => Hanging(Some(connect(address).await?)),
        };
        let sender = &mut connection.0.as_mut()?.0;
        let answer = timeout(first, async {
            sender.ready().await.ok()?;
            let request =
                Request::get(path).header(HOST, address.to_string()).body(Empty::new()).ok()?;
            sender.send_request(request).await.ok()
        });
        let answer = answer.await.ok()??;
        if answer.status() != StatusCode::OK {
            return None;
        }
        let mut body = Limited::new(answer.into_body(), LONGEST);
        let read = async {
            let mut text = Vec::new();
            // Danger: an answer may stop in the middle and stay open. While it moves, it is read on.
            while let Some(frame) = timeout(GAP.max(patience), body.frame()).await.ok()? {
                if let Ok(data) = frame.ok()?.into_data() {
                    text.extend_from_slice(&data);
                }
            }
            Some(text)
        };
        let text = timeout(ANSWER, read).await.ok()??;
        let list = serde_json::from_slice(&text).ok()?;
        self.connection = connection.0.take();
        Some(list)
    }
}

/// A connection that is closed when a call is dropped on the way.
struct Hanging(Option<(SendRequest<Empty<Bytes>>, AbortHandle)>);

impl Drop for Hanging {
    fn drop(&mut self) {
        if let Some((_, task)) = self.0.take() {
            task.abort();
        }
    }
}

async fn connect(address: SocketAddr) -> Option<(SendRequest<Empty<Bytes>>, AbortHandle)> {
    let socket = timeout(CONNECT, TcpStream::connect(address)).await.ok()?.ok()?;
    socket.set_nodelay(true).ok()?;
    let (sender, driving) = http1::handshake(TokioIo::new(socket)).await.ok()?;
    let task = tokio::task::spawn_local(async move {
        let _ = driving.await;
    });
    Some((sender, task.abort_handle()))
}

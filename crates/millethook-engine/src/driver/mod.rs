//! The sole owner of the balancer. Whatever happens on sockets is passed to it as events, and each action that it
//! returns is executed here, in order. No other module decides about servers, retries or refusals.

mod attempts;
mod log;
mod membership;
mod pauses;
mod reachability;
mod request;
mod timers;

use std::cell::{Cell, OnceCell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use coppercart::api::{
    Action, Event, LoadReport, Micros, NewRequest, Outcome, RequestId, ServerId,
};
use coppercart::decide::Balancer;
use coppercart::decide::view::ServerCounts;
use coppercart::settings::{Class, ReportMode, Settings};
use millethook_connect::pool::{Counts, Ended};
use rustc_hash::FxHashMap;
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::task::spawn_local;

use crate::discovery::DiscoveryCommand;
use crate::figures::{Counter, Disposition, Figures};
use crate::fleet::Fleet;
use crate::list_clock::ListClock;
use crate::log_limit::LogLimit;
use crate::names::Names;
use crate::sinks::PeerSender;
use crate::upstream::{Admission, AttemptRequest, Caller, Endpoint, SystemCalls, Upstream};

use pauses::Pauses;
use reachability::Reachability;
use request::PendingRequest;
pub use request::{Reply, RequestHead, StreamingReply, Ticket};
use timers::Timers;

/// The final answer should be sent this long before the client stops waiting: delivery takes one or two milliseconds.
/// For impatient clients the margin is at most this fraction of their time; the rest is the server's.
const REPLY_MARGIN: Duration = Duration::from_millis(5);
const REPLY_MARGIN_DIVISOR: u32 = 20;

/// Timeout of a connection that only tests whether a server is reachable.
const CONNECT_TEST_TIMEOUT: Duration = Duration::from_millis(500);

/// A server of the list.
#[derive(Clone)]
struct ListedServer {
    endpoint: Endpoint,
    /// The admission of attempts that are decided from now on.
    admission: Admission,
}

/// The mutable state of a driver.
struct DriverState {
    balancer: Balancer,
    requests: FxHashMap<RequestId, PendingRequest>,
    next_id: u64,
    servers: FxHashMap<ServerId, ListedServer>,
    listed: bool,
}

/// Owns the balancer and executes its actions.
pub struct Driver {
    state: RefCell<DriverState>,
    clock: (Micros, Instant),
    names: Arc<Names>,
    upstream: Rc<Upstream>,
    discovery: mpsc::UnboundedSender<DiscoveryCommand>,
    peers: Option<Rc<dyn PeerSender>>,
    /// The view of the fleet, if evidence is shared with other sidecars.
    fleet: OnceCell<Rc<Fleet>>,
    reachability: RefCell<Reachability>,
    probe_reports: bool,
    /// A buffer for actions that is reused between events.
    actions: Cell<Vec<Action>>,
    timers: Timers,
    pauses: Pauses,
    first_list: Notify,
    list_clock: Rc<ListClock>,
    figures: Rc<Figures>,
    log_limit: LogLimit,
}

/// What an engine has in progress and holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Requests that are unanswered or have attempts in flight.
    pub requests: usize,
    /// Attempts in flight.
    pub attempts: usize,
    /// Requests that the balancer still tracks.
    pub undecided: usize,
    /// Connections to servers, by state.
    pub connections: Counts,
    /// Why connections to servers ended, as counts since the start.
    pub ended: Ended,
    /// System calls on connections to servers since the start.
    pub calls: SystemCalls,
}

impl Driver {
    /// Creates a driver without requests.
    pub fn new(
        settings: Settings,
        seed: u64,
        names: Arc<Names>,
        upstream: Rc<Upstream>,
        discovery: mpsc::UnboundedSender<DiscoveryCommand>,
        peers: Option<Rc<dyn PeerSender>>,
        figures: Rc<Figures>,
    ) -> Rc<Driver> {
        // `born_ms` of servers is Unix time, so the balancer's clock is Unix time, too. It never steps back.
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let clock = (unix.as_micros() as Micros, Instant::now());
        let probe_reports = settings.report.how != ReportMode::Silent;
        let state = RefCell::new(DriverState {
            balancer: Balancer::new(settings, seed, clock.0),
            requests: FxHashMap::default(),
            next_id: 0,
            servers: FxHashMap::default(),
            listed: false,
        });
        let driver = Rc::new(Driver {
            state,
            clock,
            names,
            upstream,
            discovery,
            peers,
            fleet: OnceCell::new(),
            reachability: RefCell::default(),
            probe_reports,
            actions: Cell::default(),
            timers: Timers::default(),
            pauses: Pauses::default(),
            first_list: Notify::new(),
            list_clock: Rc::default(),
            figures,
            log_limit: LogLimit::default(),
        });
        spawn_local(driver.clone().run_timers());
        driver
    }

    fn now(&self) -> Micros {
        self.clock.0 + self.clock.1.elapsed().as_micros() as Micros
    }

    fn event(self: &Rc<Driver>, event: Event<'_>) {
        // Executing an action may cause a nested event, which uses a buffer of its own.
        let mut actions = self.actions.take();
        let now = self.now();
        self.state.borrow_mut().balancer.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.execute(action);
        }
        self.actions.set(actions);
    }

    fn execute(self: &Rc<Driver>, action: Action) {
        match action {
            Action::Send { id, server, timeout, commit_within } => {
                self.send(id, server, (timeout, commit_within));
            }
            Action::Cancel { id, attempt } => {
                let mut state = self.state.borrow_mut();
                let request = state.requests.get_mut(&id).filter(|r| r.streaming.is_none());
                // The attempt still reports its outcome: cancelled, or whatever it reached just now.
                let cancel = request.and_then(|r| r.attempts.get_mut(attempt)?.take());
                if let Some(cancel) = cancel {
                    let _ = cancel.send(());
                }
            }
            Action::PassOn { id, attempt } => {
                let state = self.state.borrow();
                let request = state.requests.get(&id).and_then(|r| r.attempt_request.as_ref());
                if let Some(request) = request {
                    self.figures.count(Counter::AnswersAtDeadline);
                    request.progress.request_pass_on(attempt);
                    self.log_answer_at_deadline(id, attempt);
                }
            }
            Action::Refuse { id, retry_after } => {
                let retry_after = (retry_after > 0).then(|| Duration::from_micros(retry_after));
                let may_have_run =
                    self.state.borrow().requests.get(&id).is_some_and(PendingRequest::may_have_run);
                self.finish_request(id, Reply::Refused { retry_after, may_have_run });
            }
            Action::Fail { id } => self.finish_request(id, Reply::Failed),
            Action::Timer { delay, token } => self.timers.set(delay, token),
            Action::Probe { server } => {
                let endpoint = self.state.borrow().servers.get(&server).map(|s| s.endpoint);
                let driver = self.clone();
                spawn_local(async move {
                    let sent = Instant::now();
                    let (outcome, report) = match endpoint {
                        Some(endpoint) => {
                            driver.upstream.probe(server, endpoint, driver.probe_reports).await
                        }
                        None => (Outcome::ConnectFailed, LoadReport::default()),
                    };
                    let latency = sent.elapsed().as_micros() as Micros;
                    driver.event(Event::Probed { server, outcome, latency, report });
                });
            }
            Action::CloseIdle { server } => self.upstream.close_idle(server, false),
            // Discovery runs as long as the driver does, so sending cannot fail.
            Action::Subscribe => drop(self.discovery.send(DiscoveryCommand::Watch)),
            Action::FetchList => drop(self.discovery.send(DiscoveryCommand::Fetch)),
            Action::Tell { peer, data } => {
                if let Some(peers) = &self.peers {
                    peers.send(peer, &data);
                }
            }
            Action::Log { text } => tracing::info!(event = "decisions", "{text}"),
        }
    }

    /// Takes a request whose ticket is dropped as its caller leaves.
    pub fn request(
        self: &Rc<Driver>,
        head: RequestHead,
        attempt_request: AttemptRequest,
    ) -> Ticket {
        self.request_of(None, head, attempt_request)
    }

    /// Takes a request. No attempt begins once `caller` is not known to be present.
    pub fn request_of(
        self: &Rc<Driver>,
        caller: Option<Rc<dyn Caller>>,
        head: RequestHead,
        attempt_request: AttemptRequest,
    ) -> Ticket {
        let (sender, receiver) = oneshot::channel();
        let id = {
            let mut state = self.state.borrow_mut();
            state.next_id += 1;
            let id = RequestId(state.next_id);
            let pending = PendingRequest {
                class: head.class,
                caller,
                reply: Some(sender),
                attempt_request: Some(Rc::new(attempt_request)),
                attempts: Vec::new(),
                uploading: None,
                streaming: None,
                ended_attempt_may_have_run: false,
            };
            state.requests.insert(id, pending);
            id
        };
        let margin = REPLY_MARGIN.min(head.left / REPLY_MARGIN_DIVISOR);
        self.event(Event::Request(NewRequest {
            id,
            class: head.class,
            tenant: head.tenant,
            key: head.key,
            time_left: (head.left - margin).as_micros() as Micros,
            work_hint: head.hint,
            client_retry: head.repeat,
        }));
        Ticket { id, driver: self.clone(), reply: receiver }
    }

    fn client_gone(self: &Rc<Driver>, id: RequestId) {
        {
            let mut state = self.state.borrow_mut();
            let Some(request) = state.requests.get_mut(&id).filter(|r| !r.is_closed()) else {
                return;
            };
            request.reply = None;
            request.withdraw();
            // The balancer does not cancel an attempt that streams a body or an answer.
            let uploading = request.uploading.and_then(|n| request.attempts.get_mut(n)?.take());
            if let Some(cancel) = uploading {
                let _ = cancel.send(());
            }
            if request.streaming.is_some() {
                // The attempt itself notices that the client is gone.
                return;
            }
        }
        self.event(Event::ClientGone { id });
        self.remove_if_finished(id);
    }

    /// Counts since the start.
    pub fn figures(&self) -> &Figures {
        &self.figures
    }

    /// What the engine has in progress and holds.
    pub fn usage(&self) -> Usage {
        let state = self.state.borrow();
        let in_flight = |r: &PendingRequest| r.attempts.iter().filter(|a| a.is_some()).count();
        Usage {
            requests: state.requests.len(),
            attempts: state.requests.values().map(in_flight).sum(),
            undecided: state.balancer.open_requests(),
            connections: self.upstream.counts(),
            ended: self.upstream.ended(),
            calls: self.upstream.calls(),
        }
    }

    /// Merges `new` settings with those in force. `held` says whether a retired class at an index is still used by
    /// something besides open requests.
    pub fn merge_settings(&self, new: Settings, held: impl Fn(usize) -> bool) -> Settings {
        let state = self.state.borrow();
        let balancer = &state.balancer;
        balancer.settings().merged_with(new, |index| held(index) || balancer.uses_class(index))
    }

    /// Takes the settings that [`Driver::merge_settings`] returned.
    pub fn apply_settings(&self, settings: Settings) {
        self.state.borrow_mut().balancer.update_settings(settings);
    }

    /// The number of listed servers, and how many of them are avoided.
    pub fn server_counts(&self) -> ServerCounts {
        self.state.borrow().balancer.server_counts()
    }

    /// The class at this index of the settings.
    pub fn class(&self, index: usize) -> Option<Class> {
        self.state.borrow().balancer.settings().classes.get(index).cloned()
    }

    /// Whether refusals carry a time to retry after.
    pub fn sends_retry_after(&self) -> bool {
        self.state.borrow().balancer.settings().limits.retry_after
    }

    /// The longest deadline of the classes in force.
    pub fn longest_deadline(&self) -> Duration {
        let longest = self.state.borrow().balancer.settings().max_over_classes(|c| c.deadline);
        Duration::from_micros(longest)
    }

    /// Whether no server can be reached, as far as is known. Once true, it stays true until a server answers or
    /// accepts a connection ([`Driver::try_connect`]).
    pub fn is_isolated(&self) -> bool {
        let state = self.state.borrow();
        let response_timeout =
            Duration::from_micros(state.balancer.settings().max_over_classes(|c| c.aim));
        self.reachability.borrow_mut().is_isolated(
            Instant::now(),
            state.servers.len(),
            response_timeout,
        )
    }

    /// Tests whether the `nth` listed server accepts a connection. Nothing is sent on it.
    pub async fn try_connect(&self, nth: usize) -> bool {
        let dial = {
            let state = self.state.borrow();
            let mut dials: Vec<SocketAddr> =
                state.servers.values().map(|s| s.endpoint.address).collect();
            dials.sort_unstable();
            (!dials.is_empty()).then(|| dials[nth % dials.len()])
        };
        let Some(dial) = dial else { return false };
        let connected =
            tokio::time::timeout(CONNECT_TEST_TIMEOUT, tokio::net::TcpStream::connect(dial)).await;
        let is_reachable = matches!(connected, Ok(Ok(_)));
        if is_reachable {
            self.reachability.borrow_mut().on_response();
        }
        is_reachable
    }

    /// Number of requests that have not ended.
    pub fn outstanding(&self) -> usize {
        self.state.borrow().requests.values().filter(|r| !r.is_closed()).count()
    }

    fn finish_request(self: &Rc<Driver>, id: RequestId, reply: Reply) {
        if let Some(request) = self.state.borrow_mut().requests.get_mut(&id) {
            request.withdraw();
            if let Some(sender) = request.reply.take() {
                let refused = matches!(reply, Reply::Refused { .. });
                let disposition =
                    if refused { Disposition::Declined } else { Disposition::Aborted };
                self.figures.request_ended(request.class, disposition);
                let _ = sender.send(reply);
            }
        }
        self.remove_if_finished(id);
    }

    fn remove_if_finished(&self, id: RequestId) {
        let mut state = self.state.borrow_mut();
        if state.requests.get(&id).is_some_and(PendingRequest::is_finished) {
            state.requests.remove(&id);
        }
    }
}

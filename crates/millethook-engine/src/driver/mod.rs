//! The sole owner of the decisions. What happens on sockets goes in as events; every action that
//! comes out is carried out here, in order. Nothing else reasons about servers, retries or
//! refusals.

mod attempts;
mod membership;
mod pauses;
mod reach;
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
use coppercart::settings::{Class, ReportHow, Settings};
use millethook_connect::pool::{Counts, Ended};
use rustc_hash::FxHashMap;
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::task::spawn_local;

use crate::discovery::DiscoveryCommand;
use crate::figures::{Disposition, Figures};
use crate::fleet::Fleet;
use crate::list_clock::ListClock;
use crate::names::Names;
use crate::news::PeerSender;
use crate::upstream::{Admission, AttemptRequest, SystemCalls, Upstream};

use pauses::Pauses;
use reach::Reach;
use request::Pending;
pub use request::{Reply, RequestHead, StreamingReply, Ticket};
use timers::Timers;

/// A final answer should be on its way this long before the client stops waiting: to get there takes
/// one or two milliseconds. Of a hurried client's time it is this share at most; the rest is the server's.
const MARGIN: Duration = Duration::from_millis(5);
const MARGIN_SHARE: u32 = 20;

/// How long a server has for a connection that only tells whether it is there.
const TRIAL: Duration = Duration::from_millis(500);

/// A server of the list.
#[derive(Clone)]
struct ListedServer {
    dial: SocketAddr,
    born_ms: u64,
    /// What attempts go by that are decided on from now on.
    admission: Admission,
}

struct Core {
    balancer: Balancer,
    requests: FxHashMap<RequestId, Pending>,
    next_id: u64,
    servers: FxHashMap<ServerId, ListedServer>,
    listed: bool,
}

/// Owns the decisions and carries them out.
pub struct Driver {
    core: RefCell<Core>,
    clock: (Micros, Instant),
    names: Arc<Names>,
    upstream: Rc<Upstream>,
    discovery: mpsc::UnboundedSender<DiscoveryCommand>,
    peers: Option<Rc<dyn PeerSender>>,
    /// The other sidecars, where evidence is shared with them.
    fleet: OnceCell<Rc<Fleet>>,
    reach: RefCell<Reach>,
    probe_reports: bool,
    /// Room for actions, kept between events.
    actions: Cell<Vec<Action>>,
    timers: Timers,
    pauses: Pauses,
    first_list: Notify,
    list_clock: Rc<ListClock>,
    figures: Rc<Figures>,
}

/// What an engine has under way and holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Requests whose books are open: unanswered, or with attempts still out.
    pub requests: usize,
    /// Attempts that are out.
    pub attempts: usize,
    /// Requests that the decisions still know.
    pub undecided: usize,
    /// Connections to servers, by state.
    pub connections: Counts,
    /// Why connections to servers ended, in numbers so far.
    pub ended: Ended,
    /// Calls to the system on connections to servers so far.
    pub calls: SystemCalls,
}

impl Driver {
    /// A driver with nothing under way.
    pub fn new(
        settings: Settings,
        seed: u64,
        names: Arc<Names>,
        upstream: Rc<Upstream>,
        discovery: mpsc::UnboundedSender<DiscoveryCommand>,
        peers: Option<Rc<dyn PeerSender>>,
        figures: Rc<Figures>,
    ) -> Rc<Driver> {
        // `born_ms` of servers is Unix time, so the module's clock is, too; it never steps back.
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let clock = (unix.as_micros() as Micros, Instant::now());
        let probe_reports = settings.report.how != ReportHow::Silent;
        let core = RefCell::new(Core {
            balancer: Balancer::new(settings, seed, clock.0),
            requests: FxHashMap::default(),
            next_id: 0,
            servers: FxHashMap::default(),
            listed: false,
        });
        let driver = Rc::new(Driver {
            core,
            clock,
            names,
            upstream,
            discovery,
            peers,
            fleet: OnceCell::new(),
            reach: RefCell::default(),
            probe_reports,
            actions: Cell::default(),
            timers: Timers::default(),
            pauses: Pauses::default(),
            first_list: Notify::new(),
            list_clock: Rc::default(),
            figures,
        });
        spawn_local(driver.clone().run_timers());
        driver
    }

    fn now(&self) -> Micros {
        self.clock.0 + self.clock.1.elapsed().as_micros() as Micros
    }

    fn event(self: &Rc<Driver>, event: Event<'_>) {
        // What is carried out may bring the next event, which then has a list of its own.
        let mut actions = self.actions.take();
        let now = self.now();
        self.core.borrow_mut().balancer.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.carry_out(action);
        }
        self.actions.set(actions);
    }

    fn carry_out(self: &Rc<Driver>, action: Action) {
        match action {
            Action::Send { id, server, timeout, commit_within } => {
                self.send(id, server, (timeout, commit_within));
            }
            Action::Cancel { id, attempt } => {
                let mut core = self.core.borrow_mut();
                let request = core.requests.get_mut(&id).filter(|r| r.streaming.is_none());
                // The attempt goes on to be told as cancelled, or as what it came to just now.
                let cancel = request.and_then(|r| r.attempts.get_mut(attempt)?.take());
                if let Some(cancel) = cancel {
                    let _ = cancel.send(());
                }
            }
            Action::Refuse { id, retry_after } => {
                let retry_after = (retry_after > 0).then(|| Duration::from_micros(retry_after));
                let may_have_run =
                    self.core.borrow().requests.get(&id).is_some_and(Pending::may_have_run);
                self.end(id, Reply::Refused { retry_after, may_have_run });
            }
            Action::Fail { id } => self.end(id, Reply::Failed),
            Action::Timer { delay, token } => self.timers.set(delay, token),
            Action::Probe { server } => {
                let dial = self.core.borrow().servers.get(&server).map(|s| s.dial);
                let driver = self.clone();
                spawn_local(async move {
                    let sent = Instant::now();
                    let (outcome, report) = match dial {
                        Some(dial) => {
                            driver.upstream.probe(server, dial, driver.probe_reports).await
                        }
                        None => (Outcome::ConnectFailed, LoadReport::default()),
                    };
                    let latency = sent.elapsed().as_micros() as Micros;
                    driver.event(Event::Probed { server, outcome, latency, report });
                });
            }
            Action::CloseIdle { server } => self.upstream.close_idle(server, false),
            // Discovery runs as long as the driver does.
            Action::Subscribe => drop(self.discovery.send(DiscoveryCommand::Watch)),
            Action::FetchList => drop(self.discovery.send(DiscoveryCommand::Fetch)),
            Action::Tell { peer, data } => {
                if let Some(peers) = &self.peers {
                    peers.tell(peer, &data);
                }
            }
            Action::Log { text } => tracing::info!(event = "decisions", "{text}"),
        }
    }

    /// Takes a whole request.
    pub fn request(self: &Rc<Driver>, asked: RequestHead, spec: AttemptRequest) -> Ticket {
        let (reply, waiting) = oneshot::channel();
        let id = {
            let mut core = self.core.borrow_mut();
            core.next_id += 1;
            let id = RequestId(core.next_id);
            let pending = Pending {
                class: asked.class,
                reply: Some(reply),
                spec: Some(Rc::new(spec)),
                attempts: Vec::new(),
                uploading: None,
                streaming: None,
                touched: false,
            };
            core.requests.insert(id, pending);
            id
        };
        let margin = MARGIN.min(asked.left / MARGIN_SHARE);
        self.event(Event::Request(NewRequest {
            id,
            class: asked.class,
            tenant: asked.tenant,
            key: asked.key,
            left: (asked.left - margin).as_micros() as Micros,
            hint: asked.hint,
            repeat: asked.repeat,
        }));
        Ticket { id, driver: self.clone(), reply: waiting }
    }

    fn client_gone(self: &Rc<Driver>, id: RequestId) {
        {
            let mut core = self.core.borrow_mut();
            let Some(request) = core.requests.get_mut(&id).filter(|r| !r.ended()) else {
                return;
            };
            request.reply = None;
            request.withdraw();
            // The decisions call off nothing whose bytes pass from side to side.
            let uploading = request.uploading.and_then(|n| request.attempts.get_mut(n)?.take());
            if let Some(cancel) = uploading {
                let _ = cancel.send(());
            }
            if request.streaming.is_some() {
                // The attempt itself finds nobody to pass the answer on to.
                return;
            }
        }
        self.event(Event::ClientGone { id });
        self.forget(id);
    }

    /// What is under way and held here.
    pub fn usage(&self) -> Usage {
        let core = self.core.borrow();
        let out = |r: &Pending| r.attempts.iter().filter(|a| a.is_some()).count();
        Usage {
            requests: core.requests.len(),
            attempts: core.requests.values().map(out).sum(),
            undecided: core.balancer.open(),
            connections: self.upstream.counts(),
            ended: self.upstream.ended(),
            calls: self.upstream.calls(),
        }
    }

    /// What the settings would be if `new` followed those in force now; `held` tells of places of retired
    /// classes that something beside open requests still goes by.
    pub fn settings_with(&self, new: Settings, held: impl Fn(usize) -> bool) -> Settings {
        let core = self.core.borrow();
        let balancer = &core.balancer;
        balancer.settings().followed_by(new, |place| held(place) || balancer.uses_class(place))
    }

    /// Takes settings of [`Driver::settings_with`].
    pub fn apply_settings(&self, settings: Settings) {
        self.core.borrow_mut().balancer.retune(settings);
    }

    /// Servers on the list, and those of them that are avoided.
    pub fn server_counts(&self) -> ServerCounts {
        self.core.borrow().balancer.server_counts()
    }

    /// The class at this place of the settings.
    pub fn class(&self, place: usize) -> Option<Class> {
        self.core.borrow().balancer.settings().classes.get(place).cloned()
    }

    /// Whether clients that are refused are told when to come back.
    pub fn sends_retry_after(&self) -> bool {
        self.core.borrow().balancer.settings().limits.retry_after
    }

    /// The longest deadline of a class in force.
    pub fn longest_deadline(&self) -> Duration {
        let longest = self.core.borrow().balancer.settings().longest(|c| c.deadline);
        Duration::from_micros(longest)
    }

    /// Whether no server can be reached, for all that is known here. Once that is so it stays so until one answers
    /// or takes a connection ([`Driver::try_connect`]).
    pub fn is_isolated(&self) -> bool {
        let core = self.core.borrow();
        let patience = Duration::from_micros(core.balancer.settings().longest(|c| c.aim));
        self.reach.borrow_mut().is_isolated(Instant::now(), core.servers.len(), patience)
    }

    /// Tries whether one server takes a connection, the `nth` of those that are listed; nothing is sent on it.
    pub async fn try_connect(&self, nth: usize) -> bool {
        let dial = {
            let core = self.core.borrow();
            let mut dials: Vec<SocketAddr> = core.servers.values().map(|s| s.dial).collect();
            dials.sort_unstable();
            (!dials.is_empty()).then(|| dials[nth % dials.len()])
        };
        let Some(dial) = dial else { return false };
        let connected = tokio::time::timeout(TRIAL, tokio::net::TcpStream::connect(dial)).await;
        let well = matches!(connected, Ok(Ok(_)));
        if well {
            self.reach.borrow_mut().heard();
        }
        well
    }

    /// Requests that are taken and have no end yet.
    pub fn outstanding(&self) -> usize {
        self.core.borrow().requests.values().filter(|r| !r.ended()).count()
    }

    fn end(self: &Rc<Driver>, id: RequestId, reply: Reply) {
        if let Some(request) = self.core.borrow_mut().requests.get_mut(&id) {
            request.withdraw();
            if let Some(to) = request.reply.take() {
                let refused = matches!(reply, Reply::Refused { .. });
                let how = if refused { Disposition::Declined } else { Disposition::Aborted };
                self.figures.ended(request.class, how);
                let _ = to.send(reply);
            }
        }
        self.forget(id);
    }

    fn forget(&self, id: RequestId) {
        let mut core = self.core.borrow_mut();
        if core.requests.get(&id).is_some_and(Pending::forgettable) {
            core.requests.remove(&id);
        }
    }
}

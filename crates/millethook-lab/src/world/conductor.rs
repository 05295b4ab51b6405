//! Executes a plan: starts the fleet, performs the steps at their times, and shuts everything down.

mod steps;

use std::collections::HashMap;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use indicatif::ProgressBar;
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep, sleep_until, timeout};

use super::addresses::Addresses;
use super::agent::Agent;
use super::client::{Clients, Lateness, Receipts};
use super::directory::Directory;
use super::network::NetworkModel;
use super::processes::{Ended, Events, Processes, Ready};
use super::publisher::{Publisher, unix_us_of_zero};
use super::registry::Registry;
use super::relay::Relay;
use super::server::{RunContext, Server};
use super::views::Views;
use super::{Options, Outcome, RunError, ServerSample, documents, machine_error};
use crate::ledger::{Clock, Ledger, Micros};
use crate::plan::Plan;
use crate::timeline::Timeline;

/// Time after SIGTERM in which clients still open connections. On open ones they send until the sidecar exits.
const CONNECTS_AFTER_SIGTERM: Duration = Duration::from_millis(300);
/// Time that a planned exit may take beyond the longest deadline.
const EXIT_MARGIN: Duration = Duration::from_millis(700);
/// Interval of the lab's check for its own stalls.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Delay of a check from which on it counts as a stall.
const STALL_THRESHOLD: Duration = Duration::from_millis(30);
/// Interval between samples of processes.
const PROCESS_SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
const SERVER_SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Time limit for outstanding answers after the end of the load.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Time limit for killed processes to exit.
const KILL_TIMEOUT: Duration = Duration::from_secs(10);

/// An action at a time that follows from the run and is not in the plan.
enum Deferred {
    /// Starts a sidecar's process again.
    Start { sidecar: usize },
    /// Stops the application from opening connections to a sidecar that is exiting.
    StopConnecting { sidecar: usize },
    /// Kills a process whose planned exit takes too long.
    Overdue { pid: i32 },
    /// Removes a server that has left from the directory.
    Remove { name: String },
    /// Restarts a server's process.
    RestartServer { index: usize },
}

struct Conductor {
    timeline: Arc<Timeline>,
    plan: Arc<Plan>,
    context: Arc<RunContext>,
    ledger: Arc<Ledger>,
    clock: Clock,
    fleet: Processes,
    directory: Arc<Directory>,
    agents: Vec<Arc<Agent>>,
    relay: Arc<Relay>,
    clients: Vec<Arc<Clients>>,
    /// For each position in the fleet: the server's name, its generation, and its process.
    servers: Vec<(String, u32, Arc<Server>)>,
    deferred: Vec<(Instant, Deferred)>,
    /// Sidecars that get SIGTERM as soon as they are ready, with the delay of their restart.
    terminate_at_ready: HashMap<usize, Option<Duration>>,
    /// Tasks that hold idle client connections, by sidecar.
    idle_connections: HashMap<usize, AbortOnDrop>,
    publisher: Arc<Publisher>,
    /// Directory of the daemons' logs.
    folder: PathBuf,
    outcome: Outcome,
}

/// Executes a run. This must be awaited on the main thread, since daemons end with the thread that starts them.
///
/// # Errors
/// An operating system call that the lab depends on fails. Failures of daemons are in the outcome instead.
pub async fn play(
    timeline: Arc<Timeline>,
    plan: Arc<Plan>,
    options: &Options,
    progress: &ProgressBar,
) -> Result<Outcome, RunError> {
    progress.set_message("starting");
    let (mut conductor, mut events) = start(timeline, plan, options).await?;
    let lateness =
        Lateness::new().map_err(|e| machine_error("creating a histogram")(io::Error::other(e)))?;
    let lateness = Arc::new(lateness);
    if conductor.fleet.first_starts(&mut events.exits).await? {
        conductor.begin(&lateness);
        progress.set_message("playing");
        conductor.conduct(&mut events, progress).await?;
    }
    let outcome = conductor.finish(lateness.quantile(0.99));
    wait_until_exited(&mut events).await;
    Ok(outcome)
}

/// Waits until all killed processes have exited, because the next run of the lab binds their addresses.
async fn wait_until_exited(events: &mut Events) {
    // The task that waits for a process holds a sender, so the channel closes after the last exit.
    let exited = async { while events.exits.recv().await.is_some() {} };
    if timeout(KILL_TIMEOUT, exited).await.is_err() {
        tracing::warn!(
            event = "processes_left",
            "killed processes had not exited after {KILL_TIMEOUT:?}"
        );
    }
}

async fn start(
    timeline: Arc<Timeline>,
    plan: Arc<Plan>,
    options: &Options,
) -> Result<(Conductor, Events), RunError> {
    let clock = Clock::stopped();
    let ledger = Arc::new(Ledger::default());
    let count = timeline.sidecars.count;
    let addresses = Addresses::take().map_err(machine_error("reserving a loopback network"))?;
    let directory = Arc::new(Directory::new(clock.clone(), ledger.clone()));
    let context = RunContext::new(clock.clone(), ledger.clone(), timeline.clone(), plan.clone());
    let context = Arc::new(context);
    let any = vec![addresses.stand_in(); plan.stream_classes];
    let mut servers = Vec::new();
    for (index, zone) in plan.server_zones.iter().enumerate() {
        let name = format!("s{index}");
        let server = Server::start(&context, name.clone(), *zone, false, &any);
        let server = server.map_err(machine_error("starting a stand-in server"))?;
        directory.list(&name, &server);
        servers.push((name, 0, server));
    }
    let discovery_settings = &timeline.discovery;
    let registry = discovery_settings.on_request.then(|| {
        Arc::new(Registry::start(
            Duration::from_secs_f64(discovery_settings.work_s),
            discovery_settings.line,
        ))
    });
    ledger.open().polled_discovery = discovery_settings.on_request;
    let (mut agents, mut discovery) = (Vec::new(), Vec::new());
    for (n, sidecar) in plan.sidecars.iter().enumerate() {
        let agent =
            Agent::new(&directory, registry.clone(), &timeline, plan.seed, n, sidecar.stream_class);
        let at = agent.listen(addresses.stand_in()).await;
        discovery.push(at.map_err(machine_error("starting a discovery agent"))?);
        agents.push(agent);
    }
    let model = NetworkModel::new(plan.seed, count, timeline.network.clone());
    let views = timeline.views();
    let relay = Relay::start(clock.clone(), model, count, views, addresses.stand_in()).await;
    let relay = relay.map_err(machine_error("starting the relay"))?;
    let (fleet, events) = Processes::new(
        (&timeline, &plan),
        (&ledger, &clock),
        &relay,
        addresses,
        discovery,
        options,
    )?;
    let control_nodes = 0..timeline.distribution.control_nodes;
    let admins = control_nodes.map(|n| fleet.addresses.admin(n, 0)).collect();
    let publisher = Publisher::new(&clock, &ledger, &options.folder, admins);
    let conductor = Conductor {
        timeline,
        plan,
        context,
        ledger,
        clock,
        fleet,
        directory,
        agents,
        relay,
        clients: Vec::new(),
        servers,
        deferred: Vec::new(),
        terminate_at_ready: HashMap::new(),
        idle_connections: HashMap::new(),
        publisher,
        folder: options.folder.clone(),
        outcome: Outcome::default(),
    };
    Ok((conductor, events))
}

impl Conductor {
    /// Starts the clock, which marks the begin of the load, and creates the clients.
    fn begin(&mut self, lateness: &Arc<Lateness>) {
        self.clock.begin();
        let sidecars_per_chain =
            self.timeline.classes.iter().map(|c| c.chain).max().unwrap_or(0).max(1);
        let mut receipts: Arc<Receipts> = Arc::default();
        for n in 0..self.plan.sidecars.len() {
            let at = self.fleet.addresses.listen(n, 0);
            if n % sidecars_per_chain == 0 {
                receipts = Arc::default();
            }
            let clients = Clients::new(&self.context, n, lateness, at, receipts.clone());
            clients.set_sending(!self.plan.sidecars[n].late);
            self.clients.push(clients);
        }
    }

    async fn conduct(
        &mut self,
        events: &mut Events,
        progress: &ProgressBar,
    ) -> Result<(), RunError> {
        let plan = self.plan.clone();
        let mut steps = plan.steps.iter().peekable();
        let mut running = JoinSet::new();
        for clients in &self.clients {
            running.spawn(clients.clone().run());
        }
        let mut processes = interval(PROCESS_SAMPLE_INTERVAL);
        let mut servers = interval(SERVER_SAMPLE_INTERVAL);
        let watch = tokio::spawn(record_stalls(self.clock.clone(), self.ledger.clone()));
        let _watch = AbortOnDrop(watch.abort_handle());
        for ticks in [&mut processes, &mut servers] {
            ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        }
        let views = Views::new(&self.clock, &self.timeline);
        let admins = (0..self.plan.sidecars.len()).map(|n| self.fleet.addresses.admin(n, 0));
        let _views: Vec<AbortOnDrop> = views.watch(admins).into_iter().map(AbortOnDrop).collect();
        progress.set_length(plan.length.as_secs());
        let end = Instant::from_std(self.clock.at(plan.length + ANSWER_TIMEOUT));
        loop {
            let next = steps.peek().map(|step| Instant::from_std(self.clock.at(step.at)));
            let next_deferred = (0..self.deferred.len()).min_by_key(|n| self.deferred[*n].0);
            let due = next_deferred.map(|n| self.deferred[n].0);
            let alive = self.fleet.running();
            if self.outcome.running.last().is_none_or(|last| last.1 != alive) {
                self.outcome.running.push((self.clock.now(), alive));
            }
            tokio::select! {
                biased;
                () = sleep_until_time(next) => if let Some(step) = steps.next() {
                    self.step(step).await?;
                },
                () = sleep_until_time(due) => if let Some(n) = next_deferred {
                    let (_, action) = self.deferred.swap_remove(n);
                    self.run_deferred(action)?;
                },
                Some(exit) = events.exits.recv() => match self.fleet.ended(&exit) {
                    Ended::ByItself => break,
                    Ended::Planned { sidecar, back } => {
                        self.clients[sidecar].ended();
                        let start = |back| (Instant::now() + back, Deferred::Start { sidecar });
                        self.deferred.extend(back.map(start));
                    }
                },
                Some(ready) = events.readies.recv() => self.ready(&ready),
                _ = processes.tick() => {
                    self.fleet.sample();
                    progress.set_position(self.clock.now() / 1_000_000);
                }
                _ = servers.tick() => {
                    let load = self.servers.iter().map(|s| Some(s.2.load())).collect();
                    self.outcome.servers.push(ServerSample { at: self.clock.now(), load });
                }
                done = running.join_next() => match done {
                    Some(_) if !running.is_empty() => {}
                    _ => break,
                },
                () = sleep_until(end) => {
                    self.fleet.finding("clients were not done 10 s after the load".into());
                    break;
                }
            }
        }
        self.outcome.views = views.take();
        Ok(())
    }

    fn ready(&mut self, ready: &Ready) {
        self.end_absence(ready.sidecar, self.clock.now(), true);
        if let Some(clients) = self.clients.get(ready.sidecar) {
            clients.set_sending(true);
        }
        if let Some(back) = self.terminate_at_ready.remove(&ready.sidecar) {
            self.terminate(ready.sidecar, back);
        }
    }

    /// Stops everything that was started and returns the outcome.
    fn finish(mut self, late_p99: Duration) -> Outcome {
        self.outcome.processes = self.fleet.end_all();
        self.outcome.publications = self.publisher.take();
        if self.timeline.distribution.control_nodes > 0 {
            let (count, zero) = (self.timeline.sidecars.count, unix_us_of_zero(&self.clock));
            self.outcome.documents = documents::read(&self.folder, count, zero);
        }
        for (.., server) in &self.servers {
            server.end();
        }
        let count = |n: &std::sync::atomic::AtomicU64| n.load(Ordering::Relaxed);
        let traffic = self.relay.traffic.iter();
        self.outcome.traffic =
            traffic.map(|t| (count(&t.sent), count(&t.bytes), count(&t.got))).collect();
        let c = &self.relay.counts;
        self.outcome.relay = [&c.lost, &c.cut, &c.strangers, &c.overflow].map(count);
        let available: Vec<_> =
            self.agents.iter().flat_map(|agent| agent.available_notices()).collect();
        self.outcome.records = std::mem::take(&mut *self.ledger.open());
        self.outcome.records.available = available;
        self.outcome.late_p99 = late_p99;
        self.outcome
    }
}

/// Aborts a task when dropped.
struct AbortOnDrop(tokio::task::AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Records the stalls of the lab itself, during which its measurements do not reflect the daemons.
async fn record_stalls(clock: Clock, ledger: Arc<Ledger>) {
    let mut last_check = clock.now();
    loop {
        sleep(STALL_CHECK_INTERVAL).await;
        let now = clock.now();
        if now - last_check > (STALL_CHECK_INTERVAL + STALL_THRESHOLD).as_micros() as Micros {
            ledger.open().stalls.push((last_check, now));
        }
        last_check = now;
    }
}

async fn sleep_until_time(time: Option<Instant>) {
    match time {
        Some(time) => sleep_until(time).await,
        None => std::future::pending().await,
    }
}

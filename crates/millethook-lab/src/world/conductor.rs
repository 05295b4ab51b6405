//! Plays a plan: starts everything, carries the steps out at their times, and takes it all down.

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
use super::server::{Server, Stage};
use super::views::Views;
use super::{Options, Outcome, RunError, ServerSample, documents, machine_error};
use crate::ledger::{Clock, Ledger, Micros};
use crate::plan::Plan;
use crate::timeline::Timeline;

/// After SIGTERM new connections come for so long; on those that stay open clients send up to its end.
const GOES_ON: Duration = Duration::from_millis(300);
/// What a planned end may take beyond the longest deadline.
const END: Duration = Duration::from_millis(700);
/// The lab looks after itself so often,
const LOOK: Duration = Duration::from_millis(10);
/// and a look that is so much later is a stall.
const STALL: Duration = Duration::from_millis(30);
/// Samples.
const PROCESSES: Duration = Duration::from_secs(1);
const SERVERS: Duration = Duration::from_millis(100);
/// Answers may be awaited so long beyond the load.
const LAST: Duration = Duration::from_secs(10);

/// Killed processes are gone within this.
const GONE: Duration = Duration::from_secs(10);

/// What is to happen at a time that the plan could not know.
enum Later {
    /// A process starts again.
    Start { sidecar: usize },
    /// The application opens no new connections to a sidecar that ends.
    StopOffering { sidecar: usize },
    /// A planned end has taken too long.
    Overdue { pid: i32 },
    /// A server that left is listed no longer.
    Gone { name: String },
    /// A server's process comes back.
    Back { place: usize },
}

struct Conductor {
    timeline: Arc<Timeline>,
    plan: Arc<Plan>,
    stage: Arc<Stage>,
    ledger: Arc<Ledger>,
    clock: Clock,
    fleet: Processes,
    directory: Arc<Directory>,
    agents: Vec<Arc<Agent>>,
    relay: Arc<Relay>,
    clients: Vec<Arc<Clients>>,
    /// By place in the fleet: the name, its generation, and the process now there.
    servers: Vec<(String, u32, Arc<Server>)>,
    later: Vec<(Instant, Later)>,
    /// Sidecars that get SIGTERM once they are ready, and when they come back from that.
    terminate_at_ready: HashMap<usize, Option<Duration>>,
    /// Clients that ask for nothing, by sidecar.
    crowds: HashMap<usize, AbortOnDrop>,
    publisher: Arc<Publisher>,
    /// Where logs are.
    folder: PathBuf,
    outcome: Outcome,
}

/// Plays a run. Has to be awaited on the main thread, since daemons end with the thread that starts them.
///
/// # Errors
/// The machine does not give what the lab needs. What daemons do is in the outcome.
pub async fn play(
    timeline: Arc<Timeline>,
    plan: Arc<Plan>,
    options: &Options,
    progress: &ProgressBar,
) -> Result<Outcome, RunError> {
    progress.set_message("starting");
    let (mut lead, mut events) = start(timeline, plan, options).await?;
    let lateness =
        Lateness::new().map_err(|e| machine_error("a histogram")(io::Error::other(e)))?;
    let lateness = Arc::new(lateness);
    if lead.fleet.first_starts(&mut events.exits).await? {
        lead.begin(&lateness);
        progress.set_message("playing");
        lead.conduct(&mut events, progress).await?;
    }
    let outcome = lead.finish(lateness.quantile(0.99));
    until_gone(&mut events).await;
    Ok(outcome)
}

/// Waits until all processes that were killed are gone: the next run of this process binds their addresses.
async fn until_gone(events: &mut Events) {
    // Each process that is waited for holds a sender.
    let gone = async { while events.exits.recv().await.is_some() {} };
    if timeout(GONE, gone).await.is_err() {
        tracing::warn!(event = "processes_left", "killed processes were not gone after {GONE:?}");
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
    let addresses =
        Addresses::take().map_err(machine_error("a loopback network of the lab's own"))?;
    let directory = Arc::new(Directory::new(clock.clone(), ledger.clone()));
    let stage = Stage::new(clock.clone(), ledger.clone(), timeline.clone(), plan.clone());
    let stage = Arc::new(stage);
    let any = vec![addresses.stand_in(); plan.stream_classes];
    let mut servers = Vec::new();
    for (place, zone) in plan.server_zones.iter().enumerate() {
        let name = format!("s{place}");
        let server = Server::start(&stage, name.clone(), *zone, false, &any);
        let server = server.map_err(machine_error("a stand-in server"))?;
        directory.list(&name, &server);
        servers.push((name, 0, server));
    }
    let asked = &timeline.discovery;
    let registry = asked
        .asked
        .then(|| Arc::new(Registry::start(Duration::from_secs_f64(asked.work_s), asked.line)));
    ledger.open().asked = asked.asked;
    let (mut agents, mut discovery) = (Vec::new(), Vec::new());
    for (n, sidecar) in plan.sidecars.iter().enumerate() {
        let agent =
            Agent::new(&directory, registry.clone(), &timeline, plan.seed, n, sidecar.stream_class);
        let at = agent.listen(addresses.stand_in()).await;
        discovery.push(at.map_err(machine_error("an agent of discovery"))?);
        agents.push(agent);
    }
    let model = NetworkModel::new(plan.seed, count, timeline.network.clone());
    let views = timeline.views();
    let relay = Relay::start(clock.clone(), model, count, views, addresses.stand_in()).await;
    let relay = relay.map_err(machine_error("the relay"))?;
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
        stage,
        ledger,
        clock,
        fleet,
        directory,
        agents,
        relay,
        clients: Vec::new(),
        servers,
        later: Vec::new(),
        terminate_at_ready: HashMap::new(),
        crowds: HashMap::new(),
        publisher,
        folder: options.folder.clone(),
        outcome: Outcome::default(),
    };
    Ok((conductor, events))
}

impl Conductor {
    /// The load begins: from here on the clock runs.
    fn begin(&mut self, lateness: &Arc<Lateness>) {
        self.clock.begin();
        let shared = self.timeline.classes.iter().map(|c| c.chain).max().unwrap_or(0).max(1);
        let mut receipts: Arc<Receipts> = Arc::default();
        for n in 0..self.plan.sidecars.len() {
            let at = self.fleet.addresses.listen(n, 0);
            if n % shared == 0 {
                receipts = Arc::default();
            }
            let clients = Clients::new(&self.stage, n, lateness, at, receipts.clone());
            clients.offer(!self.plan.sidecars[n].late);
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
        let mut processes = interval(PROCESSES);
        let mut servers = interval(SERVERS);
        let watch = tokio::spawn(watch_for_stalls(self.clock.clone(), self.ledger.clone()));
        let _watch = AbortOnDrop(watch.abort_handle());
        for ticks in [&mut processes, &mut servers] {
            ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        }
        let views = Views::new(&self.clock, &self.timeline);
        let admins = (0..self.plan.sidecars.len()).map(|n| self.fleet.addresses.admin(n, 0));
        let _views: Vec<AbortOnDrop> = views.watch(admins).into_iter().map(AbortOnDrop).collect();
        progress.set_length(plan.length.as_secs());
        let end = Instant::from_std(self.clock.at(plan.length + LAST));
        loop {
            let next = steps.peek().map(|step| Instant::from_std(self.clock.at(step.at)));
            let later = (0..self.later.len()).min_by_key(|n| self.later[*n].0);
            let due = later.map(|n| self.later[n].0);
            let alive = self.fleet.running();
            if self.outcome.running.last().is_none_or(|last| last.1 != alive) {
                self.outcome.running.push((self.clock.now(), alive));
            }
            tokio::select! {
                biased;
                () = at(next) => if let Some(step) = steps.next() {
                    self.step(step).await?;
                },
                () = at(due) => if let Some(n) = later {
                    let (_, later) = self.later.swap_remove(n);
                    self.later(later)?;
                },
                Some(exit) = events.exits.recv() => match self.fleet.ended(&exit) {
                    Ended::ByItself => break,
                    Ended::Planned { sidecar, back } => {
                        self.clients[sidecar].ended();
                        let start = |back| (Instant::now() + back, Later::Start { sidecar });
                        self.later.extend(back.map(start));
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
        self.back(ready.sidecar, self.clock.now(), true);
        if let Some(clients) = self.clients.get(ready.sidecar) {
            clients.offer(true);
        }
        if let Some(back) = self.terminate_at_ready.remove(&ready.sidecar) {
            self.terminate(ready.sidecar, back);
        }
    }

    /// Ends everything that was started, and what is left is the outcome.
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
        let has: Vec<_> = self.agents.iter().flat_map(|agent| agent.has()).collect();
        self.outcome.records = std::mem::take(&mut *self.ledger.open());
        self.outcome.records.available = has;
        self.outcome.late_p99 = late_p99;
        self.outcome
    }
}

/// Ends a task with its owner.
struct AbortOnDrop(tokio::task::AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Writes down when the lab stood still: what it measures then is its own.
async fn watch_for_stalls(clock: Clock, ledger: Arc<Ledger>) {
    let mut looked = clock.now();
    loop {
        sleep(LOOK).await;
        let now = clock.now();
        if now - looked > (LOOK + STALL).as_micros() as Micros {
            ledger.open().stalls.push((looked, now));
        }
        looked = now;
    }
}

async fn at(time: Option<Instant>) {
    match time {
        Some(time) => sleep_until(time).await,
        None => std::future::pending().await,
    }
}

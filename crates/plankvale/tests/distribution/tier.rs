//! A tier of daemons, the first few of which are control nodes, and what operators do with it.

use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Condvar, Mutex, PoisonError};
use std::thread::sleep;
use std::time::{Duration, Instant};

use millethook_testkit::*;
use serde_json::{Value, json};
use tempfile::TempDir;

/// Control nodes of a tier.
pub const CONTROL_NODES: usize = 3;
/// Seconds that `--wait` gets; far beyond what it takes.
const WAIT_S: &str = "20";

/// Tiers at a time: with many daemons at once on a busy machine they would take their clocks from one another.
const TIERS_AT_A_TIME: usize = 3;

static RUNNING: Mutex<usize> = Mutex::new(0);
static ONE_ENDED: Condvar = Condvar::new();
/// Each tier has a loopback address of its own, so that no port that it has looked up is another's by then.
static TIERS: AtomicU8 = AtomicU8::new(0);

/// One of the tiers that may run.
struct Turn;

impl Turn {
    /// Waits for it.
    fn take() -> Turn {
        let running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
        let mut running = ONE_ENDED
            .wait_while(running, |running| *running >= TIERS_AT_A_TIME)
            .unwrap_or_else(PoisonError::into_inner);
        *running += 1;
        Turn
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        *RUNNING.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        ONE_ENDED.notify_one();
    }
}

/// What one member's configuration is.
pub type Change = fn(usize, &mut Value);

/// How the members of a tier differ from those of other tiers.
pub struct Members<'m> {
    /// Changes a member's configuration.
    pub change: &'m dyn Fn(usize, &mut Value),
    /// Further lines of `[distribution]` in a member's file, and sections behind it. Gets the tier's folder.
    pub product: &'m dyn Fn(usize, &Path) -> String,
}

/// The daemons, by member number. None: it does not run.
pub struct Tier {
    pub members: Vec<Option<Sidecar>>,
    configs: Vec<Value>,
    folder: TempDir,
    _agent: Agent,
    // Last, so that all daemons have ended by then.
    _turn: Turn,
}

/// What a command of the daemon's program said.
#[derive(Debug)]
pub struct Said {
    pub code: Option<i32>,
    pub text: String,
}

/// Which region, zone and service a member is of.
pub fn place(member: usize) -> (&'static str, &'static str, &'static str) {
    let region = ["west", "east"][member % 2];
    let zone = ["a", "b", "c"][member % 3];
    let service = if member < CONTROL_NODES { "control" } else { ["orders", "pages"][member % 2] };
    (region, zone, service)
}

fn product(folder: &Path, member: usize) -> String {
    let (region, zone, service) = place(member);
    let nodes: Vec<String> = (0..CONTROL_NODES)
        .map(|node| {
            let (region, zone, _) = place(node);
            format!("{{ member = {node}, region = \"{region}\", zone = \"{zone}\" }}")
        })
        .collect();
    let snapshot = folder.join(format!("documents-{member}"));
    let publish = match member < CONTROL_NODES {
        true => format!("publish = {:?}\n", spool(folder, member)),
        false => String::new(),
    };
    format!(
        "[fleet]\nname = \"tests\"\nperiod_s = 0.1\nbytes_per_second = 20000\n\
         [lease]\nseats = 3\nlongest_s = 1\n\
         [distribution]\nregion = \"{region}\"\nzone = \"{zone}\"\nservice = \"{service}\"\n\
         control_nodes = [{}]\nsnapshot = {snapshot:?}\n{publish}\
         digest_s = 0.2\nsilence_s = 1\ngive_up_s = 5\n",
        nodes.join(", ")
    )
}

fn spool(folder: &Path, member: usize) -> PathBuf {
    folder.join(format!("spool-{member}"))
}

/// Addresses that nobody has at the moment, and that no other tier gets.
fn free(count: usize) -> Vec<SocketAddr> {
    let host = Ipv4Addr::new(127, 0, 1, TIERS.fetch_add(1, Ordering::SeqCst));
    let sockets: Vec<UdpSocket> =
        (0..count).map(|_| UdpSocket::bind((host, 0)).expect("an address")).collect();
    sockets.iter().map(|socket| socket.local_addr().expect("an address")).collect()
}

impl Tier {
    /// So many daemons, each listed server of which answers.
    pub fn start(count: usize) -> Tier {
        Tier::start_with(count, |_, _| {})
    }

    /// The same, each configuration changed.
    pub fn start_with(count: usize, change: Change) -> Tier {
        Tier::start_as(count, &Members { change: &change, product: &|_, _| String::new() })
    }

    /// The same, each member as is said.
    pub fn start_as(count: usize, of: &Members<'_>) -> Tier {
        let turn = Turn::take();
        let folder = tempfile::tempdir().expect("a folder");
        let agent = Agent::start(hosts(&[Server::named("a")]));
        let peers = free(count);
        let configs = (0..count)
            .map(|member| {
                let product_file = folder.path().join(format!("product-{member}"));
                let text = product(folder.path(), member) + &(of.product)(member, folder.path());
                std::fs::write(product_file, text).expect("written");
                config(agent.address, |c| {
                    c["admin"] = json!("127.0.0.1:0");
                    c["peer_listen"] = json!(peers[member].to_string());
                    c["peers"] = peers.iter().map(SocketAddr::to_string).collect();
                    c["settings"]["me"] = json!(member);
                    c["settings"]["instances"] = json!(count);
                    c["settings"]["limits"]["mayTell"] = json!(true);
                    (of.change)(member, c);
                })
            })
            .collect();
        let members = (0..count).map(|_| None).collect();
        let mut tier = Tier { members, configs, folder, _agent: agent, _turn: turn };
        (0..count).for_each(|member| tier.start_member(member));
        tier
    }

    /// Starts one that does not run.
    pub fn start_member(&mut self, member: usize) {
        let product = self.folder.path().join(format!("product-{member}"));
        let product = product.to_str().expect("a path").to_owned();
        let env = [("MILLETHOOK_CONFIG", product.as_str())];
        let sidecar = Sidecar::launch_with(&self.configs[member], &env);
        wait_until("ready", || sidecar.admin_request("GET /v1/readyz").status() == 200);
        self.members[member] = Some(sidecar);
    }

    /// SIGKILL.
    pub fn kill(&mut self, member: usize) {
        let mut sidecar = self.members[member].take().expect("it runs");
        sidecar.child.kill().expect("killed");
        sidecar.child.wait().expect("ended");
    }

    /// SIGSTOP or SIGCONT.
    pub fn signal(&self, member: usize, signal: &str) {
        let pid = self.member(member).child.id().to_string();
        assert!(Command::new("kill").args([signal, &pid]).status().expect("it runs").success());
    }

    pub fn member(&self, member: usize) -> &Sidecar {
        self.members[member].as_ref().expect("it runs")
    }

    /// Those that run.
    pub fn running(&self) -> impl Iterator<Item = usize> {
        (0..self.members.len()).filter(|member| self.members[*member].is_some())
    }

    /// The folder of a control node.
    pub fn spool(&self, member: usize) -> PathBuf {
        spool(self.folder.path(), member)
    }

    /// What a member keeps in its file of this name, as far as it is text; None: there is none.
    pub fn kept_by(&self, member: usize, name: &str) -> Option<String> {
        let bytes = std::fs::read(self.folder.path().join(format!("{name}-{member}"))).ok()?;
        Some(String::from_utf8_lossy(&bytes).into_owned())
    }

    /// A file of this test's own.
    pub fn file(&self, name: &str, content: &str) -> PathBuf {
        let path = self.folder.path().join(name);
        std::fs::write(&path, content).expect("written");
        path
    }

    /// Waits for a control node that may publish, other than this one.
    fn writer_but(&self, not: Option<usize>) -> usize {
        let mut writer = None;
        wait_until("a writer", || {
            let others = self.running().filter(|m| *m < CONTROL_NODES && Some(*m) != not);
            writer = others.into_iter().find(|member| {
                self.member(*member).metric("sidecar.distribution.control.writer_ready") == 1
            });
            writer.is_some()
        });
        writer.expect("found")
    }

    pub fn writer(&self) -> usize {
        self.writer_but(None)
    }

    /// The same where this one stands still and cannot be asked.
    pub fn writer_but_stopped(&self, stopped: usize) -> usize {
        self.writer_but(Some(stopped))
    }

    /// The configuration that a member started with.
    pub fn config(&self, member: usize) -> Value {
        self.configs[member].clone()
    }

    /// `plankvale config publish` at a control node.
    pub fn publish_at(&self, node: usize, scope: &str, document: &str) -> Said {
        let file = self.file(&format!("document-{}", scope.replace(':', "-")), document);
        let file = file.to_str().expect("a path");
        self.command(&[
            "publish",
            file,
            "--scope",
            scope,
            "--into",
            &self.spool_path(node),
            "--wait",
            WAIT_S,
        ])
    }

    /// Leaves a document for all members at a control node, without waiting for what becomes of it. `name` is that of
    /// its file.
    pub fn submit(&self, node: usize, name: &str, document: &Value) {
        let file = self.file(name, &document.to_string());
        let file = file.to_str().expect("a path");
        let said =
            self.command(&["publish", file, "--scope", "all", "--into", &self.spool_path(node)]);
        assert_eq!(said.code, Some(0), "{said:?}");
    }

    /// The same as [`Tier::publish_at`], at the writer, whoever it is.
    pub fn publish(&self, scope: &str, document: &Value) -> Said {
        self.publish_at(self.writer(), scope, &document.to_string())
    }

    /// Publishes a document that comes to be in force everywhere.
    pub fn puts_into_force(&self, scope: &str, document: &Value) -> Said {
        let said = self.publish(scope, document);
        assert_eq!(said.code, Some(0), "{said:?}");
        said
    }

    /// `plankvale config publish --retract` at the writer.
    pub fn retract(&self, scope: &str) -> Said {
        let into = self.spool_path(self.writer());
        self.command(&["publish", "--retract", "--scope", scope, "--into", &into, "--wait", WAIT_S])
    }

    /// The path of [`Tier::spool`] as text.
    pub fn spool_path(&self, node: usize) -> String {
        self.spool(node).to_str().expect("a path").to_owned()
    }

    /// `plankvale config`.
    pub fn command(&self, args: &[&str]) -> Said {
        let output = Command::new(program("plankvale")).arg("config").args(args).output();
        let output = output.expect("it runs");
        let text = String::from_utf8_lossy(&output.stdout).into_owned()
            + &String::from_utf8_lossy(&output.stderr);
        Said { code: output.status.code(), text }
    }

    /// Whether a member takes requests of a class.
    pub fn takes(&self, member: usize, class: &str) -> bool {
        let answer = self.member(member).request(safe().replace("/look", &format!("/{class}")));
        match answer.status() {
            200 => true,
            404 => false,
            other => panic!("{other} of member {member} for {class}"),
        }
    }

    /// Waits until exactly these members take requests of a class.
    pub fn until_taken_by(&self, class: &str, members: &[usize]) {
        wait_until(&format!("{class} taken by {members:?} alone"), || {
            self.running().all(|member| self.takes(member, class) == members.contains(&member))
        });
    }

    /// Looks for a while: these members, and no others, take requests of a class all the time.
    pub fn stays_taken_by(&self, class: &str, members: &[usize], time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            for member in self.running() {
                let taken = self.takes(member, class);
                assert_eq!(taken, members.contains(&member), "{class} at member {member}");
            }
            sleep(Duration::from_millis(20));
        }
    }

    /// Every member that runs.
    pub fn all(&self) -> Vec<usize> {
        self.running().collect()
    }
}

/// A document by which the three classes of the tests and these further ones are taken.
pub fn classes(further: &[&str]) -> Value {
    let mut classes = settings_json()["classes"].as_array().expect("a list").clone();
    let safe = classes[0].clone();
    classes.extend(further.iter().map(|name| {
        let mut class = safe.clone();
        class["name"] = json!(name);
        class
    }));
    json!({"settings": {"classes": classes}})
}

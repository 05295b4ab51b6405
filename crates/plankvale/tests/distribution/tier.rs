//! A tier of daemons, of which the first few are control nodes, and the operators' commands for it.

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

/// The number of control nodes in a tier.
pub const CONTROL_NODES: usize = 3;
/// The value of `--wait` in seconds, far longer than the wait takes.
const WAIT_S: &str = "20";

/// The number of tiers that run at a time: more daemons at once on a busy machine would delay each
/// other's timers.
const MAX_TIERS: usize = 3;

static RUNNING_TIERS: Mutex<usize> = Mutex::new(0);
static TIER_ENDED: Condvar = Condvar::new();
/// Each tier has a loopback address of its own, so that no other tier can take a port between its
/// lookup and its use.
static NEXT_HOST: AtomicU8 = AtomicU8::new(0);

/// A permit to run one tier.
struct TierPermit;

impl TierPermit {
    /// Waits for a permit.
    fn acquire() -> TierPermit {
        let running = RUNNING_TIERS.lock().unwrap_or_else(PoisonError::into_inner);
        let mut running = TIER_ENDED
            .wait_while(running, |running| *running >= MAX_TIERS)
            .unwrap_or_else(PoisonError::into_inner);
        *running += 1;
        TierPermit
    }
}

impl Drop for TierPermit {
    fn drop(&mut self) {
        *RUNNING_TIERS.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        TIER_ENDED.notify_one();
    }
}

/// Changes one member's configuration.
pub type ConfigChange = fn(usize, &mut Value);

/// How the members of a tier differ from the default.
pub struct MemberDifferences<'m> {
    /// Changes a member's configuration.
    pub change: &'m dyn Fn(usize, &mut Value),
    /// Further lines of `[distribution]` in a member's product file, and sections after it, given
    /// the tier's folder.
    pub product: &'m dyn Fn(usize, &Path) -> String,
}

/// The daemons, by member number; None if a member does not run.
pub struct Tier {
    pub members: Vec<Option<Sidecar>>,
    configs: Vec<Value>,
    folder: TempDir,
    _agent: Agent,
    // Declared last, so that all daemons have exited before the permit is released.
    _permit: TierPermit,
}

/// The exit code and output of a command.
#[derive(Debug)]
pub struct CommandOutput {
    pub code: Option<i32>,
    pub text: String,
}

/// The region, zone and service of a member.
pub fn location(member: usize) -> (&'static str, &'static str, &'static str) {
    let region = ["west", "east"][member % 2];
    let zone = ["a", "b", "c"][member % 3];
    let service = if member < CONTROL_NODES { "control" } else { ["orders", "pages"][member % 2] };
    (region, zone, service)
}

fn product(folder: &Path, member: usize) -> String {
    let (region, zone, service) = location(member);
    let nodes: Vec<String> = (0..CONTROL_NODES)
        .map(|node| {
            let (region, zone, _) = location(node);
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

/// Addresses that are free at the moment and are not given to another tier.
fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let host = Ipv4Addr::new(127, 0, 1, NEXT_HOST.fetch_add(1, Ordering::SeqCst));
    let sockets: Vec<UdpSocket> =
        (0..count).map(|_| UdpSocket::bind((host, 0)).expect("an address")).collect();
    sockets.iter().map(|socket| socket.local_addr().expect("an address")).collect()
}

impl Tier {
    /// Starts a tier of this many daemons with one server that answers.
    pub fn start(count: usize) -> Tier {
        Tier::start_with(count, |_, _| {})
    }

    /// Like [`Tier::start`], with a change to each configuration.
    pub fn start_with(count: usize, change: ConfigChange) -> Tier {
        Tier::start_with_members(
            count,
            &MemberDifferences { change: &change, product: &|_, _| String::new() },
        )
    }

    /// Like [`Tier::start`], with these differences of the members.
    pub fn start_with_members(count: usize, of: &MemberDifferences<'_>) -> Tier {
        let permit = TierPermit::acquire();
        let folder = tempfile::tempdir().expect("a folder");
        let agent = Agent::start(hosts(&[Server::named("a")]));
        let peers = free_addresses(count);
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
        let mut tier = Tier { members, configs, folder, _agent: agent, _permit: permit };
        (0..count).for_each(|member| tier.start_member(member));
        tier
    }

    /// Starts a member that does not run.
    pub fn start_member(&mut self, member: usize) {
        let product = self.folder.path().join(format!("product-{member}"));
        let product = product.to_str().expect("a path").to_owned();
        let env = [("MILLETHOOK_CONFIG", product.as_str())];
        let sidecar = Sidecar::launch_with(&self.configs[member], &env);
        wait_until("ready", || sidecar.admin_request("GET /v1/readyz").status() == 200);
        self.members[member] = Some(sidecar);
    }

    /// Kills a member with SIGKILL.
    pub fn kill(&mut self, member: usize) {
        let mut sidecar = self.members[member].take().expect("it runs");
        sidecar.child.kill().expect("killed");
        sidecar.child.wait().expect("ended");
    }

    /// Sends SIGSTOP or SIGCONT.
    pub fn signal(&self, member: usize, signal: &str) {
        let pid = self.member(member).child.id().to_string();
        assert!(Command::new("kill").args([signal, &pid]).status().expect("it runs").success());
    }

    pub fn member(&self, member: usize) -> &Sidecar {
        self.members[member].as_ref().expect("it runs")
    }

    /// The members that run.
    pub fn running(&self) -> impl Iterator<Item = usize> {
        (0..self.members.len()).filter(|member| self.members[*member].is_some())
    }

    /// The spool folder of a control node.
    pub fn spool(&self, member: usize) -> PathBuf {
        spool(self.folder.path(), member)
    }

    /// The content of the file of this name that a member stores, decoded as text; None if there is
    /// no such file.
    pub fn stored_text(&self, member: usize, name: &str) -> Option<String> {
        let bytes = std::fs::read(self.folder.path().join(format!("{name}-{member}"))).ok()?;
        Some(String::from_utf8_lossy(&bytes).into_owned())
    }

    /// Writes a file into the tier's folder.
    pub fn file(&self, name: &str, content: &str) -> PathBuf {
        let path = self.folder.path().join(name);
        std::fs::write(&path, content).expect("written");
        path
    }

    /// Waits for a control node, other than this one, that may publish.
    fn writer_other_than(&self, excluded: Option<usize>) -> usize {
        let mut writer = None;
        wait_until("a writer", || {
            let others = self.running().filter(|m| *m < CONTROL_NODES && Some(*m) != excluded);
            writer = others.into_iter().find(|member| {
                self.member(*member).metric("sidecar.distribution.control.writer_ready") == 1
            });
            writer.is_some()
        });
        writer.expect("found")
    }

    pub fn writer(&self) -> usize {
        self.writer_other_than(None)
    }

    /// Like [`Tier::writer`] while this control node is paused and cannot answer.
    pub fn writer_other_than_paused(&self, stopped: usize) -> usize {
        self.writer_other_than(Some(stopped))
    }

    /// The configuration with which a member started.
    pub fn config(&self, member: usize) -> Value {
        self.configs[member].clone()
    }

    /// Runs `plankvale config publish` at a control node.
    pub fn publish_at(&self, node: usize, scope: &str, document: &str) -> CommandOutput {
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

    /// Submits a document for all members to a control node without waiting for the result. `name`
    /// is the name of its file.
    pub fn submit(&self, node: usize, name: &str, document: &Value) {
        let file = self.file(name, &document.to_string());
        let file = file.to_str().expect("a path");
        let output =
            self.command(&["publish", file, "--scope", "all", "--into", &self.spool_path(node)]);
        assert_eq!(output.code, Some(0), "{output:?}");
    }

    /// Like [`Tier::publish_at`], at the current writer.
    pub fn publish(&self, scope: &str, document: &Value) -> CommandOutput {
        self.publish_at(self.writer(), scope, &document.to_string())
    }

    /// Publishes a document that is expected to come into force everywhere.
    pub fn publish_everywhere(&self, scope: &str, document: &Value) -> CommandOutput {
        let output = self.publish(scope, document);
        assert_eq!(output.code, Some(0), "{output:?}");
        output
    }

    /// Runs `plankvale config publish --retract` at the writer.
    pub fn retract(&self, scope: &str) -> CommandOutput {
        let spool_path = self.spool_path(self.writer());
        self.command(&[
            "publish",
            "--retract",
            "--scope",
            scope,
            "--into",
            &spool_path,
            "--wait",
            WAIT_S,
        ])
    }

    /// [`Tier::spool`] as text.
    pub fn spool_path(&self, node: usize) -> String {
        self.spool(node).to_str().expect("a path").to_owned()
    }

    /// Runs `plankvale config`.
    pub fn command(&self, args: &[&str]) -> CommandOutput {
        let output = Command::new(program("plankvale")).arg("config").args(args).output();
        let output = output.expect("it runs");
        let text = String::from_utf8_lossy(&output.stdout).into_owned()
            + &String::from_utf8_lossy(&output.stderr);
        CommandOutput { code: output.status.code(), text }
    }

    /// Whether a member accepts requests of a class.
    pub fn accepts_class(&self, member: usize, class: &str) -> bool {
        let answer = self.member(member).request(safe().replace("/look", &format!("/{class}")));
        match answer.status() {
            200 => true,
            404 => false,
            other => panic!("{other} of member {member} for {class}"),
        }
    }

    /// Waits until exactly these members accept requests of a class.
    pub fn wait_until_accepted_by(&self, class: &str, members: &[usize]) {
        wait_until(&format!("{class} taken by {members:?} alone"), || {
            self.running()
                .all(|member| self.accepts_class(member, class) == members.contains(&member))
        });
    }

    /// Checks for a while that exactly these members accept requests of a class.
    pub fn check_accepted_by(&self, class: &str, members: &[usize], time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            for member in self.running() {
                let accepted = self.accepts_class(member, class);
                assert_eq!(accepted, members.contains(&member), "{class} at member {member}");
            }
            sleep(Duration::from_millis(20));
        }
    }

    /// The members that run.
    pub fn running_members(&self) -> Vec<usize> {
        self.running().collect()
    }
}

/// A document that defines the tests' three classes and these additional ones.
pub fn document_with_classes(additional: &[&str]) -> Value {
    let mut classes = settings_json()["classes"].as_array().expect("a list").clone();
    let safe = classes[0].clone();
    classes.extend(additional.iter().map(|name| {
        let mut class = safe.clone();
        class["name"] = json!(name);
        class
    }));
    json!({"settings": {"classes": classes}})
}

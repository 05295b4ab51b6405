//! The list of servers across restarts: a snapshot in place of discovery, trusted according to its
//! age.

use std::path::PathBuf;
use std::process::{Command, Output};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

use millethook_membership::History;
use millethook_membership::list::Host;
use millethook_membership::snapshot::{Remembered, Snapshot};
use millethook_membership::store::{Store, read_any_fleet};
use millethook_testkit::*;
use serde_json::{Value, json};

const DAY: u64 = 86_400_000;

/// A folder with the product file and the snapshot of one sidecar.
struct SnapshotFolder(PathBuf);

impl SnapshotFolder {
    /// `more` is appended to `[membership]`.
    fn new(more: &str) -> SnapshotFolder {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let n = NEXT.fetch_add(1, Ordering::SeqCst);
        let folder =
            std::env::temp_dir().join(format!("plankvale-kept-{}-{n}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let folder = SnapshotFolder(folder);
        let text = format!(
            "[membership]\nsnapshot = {:?}\ntrial_spread_s = 0\ntrials_per_second = 50\nwrite_every_s = 0.1\n{more}\n",
            folder.snapshot()
        );
        std::fs::write(folder.file(), text).expect("written");
        folder
    }

    fn file(&self) -> String {
        self.0.join("millethook.toml").to_string_lossy().into_owned()
    }

    fn snapshot(&self) -> PathBuf {
        self.0.join("members")
    }

    /// Writes a snapshot of servers that were last confirmed `age_ms` ago.
    fn remember(&self, hosts: &[Value], age_ms: u64) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock").as_millis() as u64;
        let confirmed_ms = now - age_ms;
        let host =
            |host: &Value| -> Host { serde_json::from_value(host.clone()).expect("an entry") };
        let servers = hosts.iter().map(|h| Remembered { confirmed_ms, host: host(h) }).collect();
        let snapshot = Snapshot {
            fleet: "n0".into(),
            written_ms: confirmed_ms,
            seq: 900,
            history: History::default(),
            servers,
        };
        Store::new(self.snapshot(), "n0").save(&snapshot).expect("written");
    }

    fn launch(&self, config: &Value) -> Sidecar {
        Sidecar::launch_with(config, &[("MILLETHOOK_CONFIG", &self.file())])
    }
}

impl Drop for SnapshotFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn config_with_discovery_down() -> Value {
    config(refusing_address(), |c| {
        c["admin"] = json!("127.0.0.1:0");
        c["settings"]["limits"]["connectTimeout"] = json!(250_000);
    })
}

/// A server of the fleet: its health page reports its name, and it answers requests with its name.
fn member(name: &'static str) -> (Server, RequestLog) {
    let (list, log, _) = servers(1, move |mut conn, seen| {
        if seen.message.first.starts_with("GET /health/live ") {
            conn.send(answer("200 OK", &format!("X-Server-Name: {name}\r\n"), "up"));
        } else {
            conn.send(ok(name));
        }
        Some(conn)
    });
    (list.into_iter().next().expect("one"), log)
}

/// Repeats the request, as a client would, until it is served.
fn wait_until_served_by(sidecar: &Sidecar, by: &str) {
    wait_until("served", || {
        let message = sidecar.request(safe());
        message.status() == 200 && message.body == by.as_bytes()
    });
}

#[test]
fn a_recent_snapshot_serves_at_once_while_discovery_is_down() {
    let (server, _) = member("s-a");
    let folder = SnapshotFolder::new("");
    folder.remember(&[host("s-a", server.address)], 60_000);
    let sidecar = folder.launch(&config_with_discovery_down());
    assert_eq!(sidecar.served_by(), "s-a", "the very first request");
    assert_eq!(sidecar.metric("sidecar.membership.remembered"), 1);
    assert_eq!(sidecar.metric("sidecar.membership.trials"), 0);
}

/// All servers of a recent snapshot are in another zone: they are used until discovery lists
/// others.
#[test]
fn a_snapshot_of_another_zone_is_used_across_zones() {
    let (remote, _) = member("s-far");
    let (local, _) = member("s-near");
    let zoned = |name: &str, server: &Server, zone: &str| {
        let mut entry = host(name, server.address);
        entry["site"] = json!(zone);
        entry
    };
    let folder = SnapshotFolder::new("");
    folder.remember(&[zoned("s-far", &remote, "b")], 60_000);
    let sidecar = folder.launch(&config_with_discovery_down());
    assert_eq!(sidecar.served_by(), "s-far");
    let agent = Agent::start(vec![zoned("s-far", &remote, "b"), zoned("s-near", &local, "a")]);
    let mut config_with_discovery = config_with_discovery_down();
    config_with_discovery["discovery"] = json!(agent.address.to_string());
    sidecar.reload(&config_with_discovery.to_string());
    wait_until_served_by(&sidecar, "s-near");
}

/// Discovery alternates between available and unavailable, each time with an older version: no open
/// request is lost, and no server is dropped.
#[test]
fn discovery_that_flaps_changes_nothing() {
    let (server, _) = member("s-a");
    let folder = SnapshotFolder::new("");
    folder.remember(&[host("s-a", server.address)], 60_000);
    let mut config = config_with_discovery_down();
    let sidecar = folder.launch(&config);
    for _ in 0..5 {
        let agent = Agent::start(vec![host("s-a", server.address)]);
        config["discovery"] = json!(agent.address.to_string());
        sidecar.reload(&config.to_string());
        wait_until("discovery is queried", || agent.calls() > 0);
        assert_eq!(sidecar.request(safe()).status(), 200);
        config["discovery"] = json!(refusing_address().to_string());
        sidecar.reload(&config.to_string());
        assert_eq!(sidecar.request(safe()).status(), 200);
    }
}

/// Without any list requests are refused at once, and served once the first list arrives.
#[test]
fn without_any_list_requests_are_refused_until_one_comes() {
    let (server, _) = member("s-a");
    let folder = SnapshotFolder::new("");
    let sidecar = folder.launch(&config_with_discovery_down());
    for request in [safe(), unsafe_with("an order")] {
        assert_eq!(sidecar.request(request).status(), 503, "trying again is harmless");
    }
    let agent = Agent::start(vec![host("s-a", server.address)]);
    let mut config_with_discovery = config_with_discovery_down();
    config_with_discovery["discovery"] = json!(agent.address.to_string());
    sidecar.reload(&config_with_discovery.to_string());
    wait_until_served_by(&sidecar, "s-a");
    wait_until("ready", || {
        sidecar.request("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n").status() == 200
    });
}

/// Guards against an order that is sent to another program, which now has an address from last
/// month.
#[test]
fn an_old_snapshot_serves_only_servers_that_confirm_their_identity() {
    let (good, _) = member("s-a");
    let (stranger, stranger_log) = member("somebody-else");
    let (silent, silent_log, _) = servers(1, |_, _| None);
    let folder = SnapshotFolder::new("identity_header = \"X-Server-Name\"");
    let refusing = refusing_address();
    let list = [
        host("s-a", good.address),
        host("s-b", stranger.address),
        host("s-c", silent[0].address),
        host("s-d", refusing),
    ];
    folder.remember(&list, 20 * DAY);
    let sidecar = folder.launch(&config_with_discovery_down());
    wait_until_served_by(&sidecar, "s-a");
    wait_until("the other servers are dropped", || {
        sidecar.metric("sidecar.membership.dropped") >= 2
    });
    for _ in 0..20 {
        let body = "an order";
        let status = sidecar.request(unsafe_with(body)).status();
        assert!(status == 200 || status == 503, "{status}");
    }
    // Each of these servers has received trials and nothing else.
    assert!(stranger_log.count() >= 1);
    assert_eq!(stranger_log.count(), 1, "one trial, and no request");
    assert!(silent_log.count() <= 4, "only trials");
    assert_eq!(sidecar.metric("sidecar.membership.confirmed"), 1);
}

#[test]
fn a_snapshot_too_old_for_trials_is_unused_until_discovery_answers() {
    let (old, old_log) = member("s-old");
    let (new, _) = member("s-new");
    let folder = SnapshotFolder::new("");
    folder.remember(&[host("s-old", old.address)], 2_000 * DAY);
    let agent = Agent::start(vec![host("s-new", new.address)]);
    let sidecar = folder.launch(&config_with_discovery_down());
    let answer = sidecar.request(safe());
    assert_eq!(answer.status(), 503, "refused at once, as there is no server");
    let mut config_with_discovery = config_with_discovery_down();
    config_with_discovery["discovery"] = json!(agent.address.to_string());
    sidecar.reload(&config_with_discovery.to_string());
    wait_until_served_by(&sidecar, "s-new");
    assert_eq!(old_log.count(), 0);
    // The stored list is the live one from now on.
    wait_until("written", || {
        read_any_fleet(&folder.snapshot())
            .is_ok_and(|s| s.servers.len() == 1 && s.servers[0].host.host == "s-new")
    });
}

#[test]
fn an_empty_registry_does_not_clear_a_good_list() {
    let members: Vec<_> = ["s-a", "s-b", "s-c", "s-d", "s-e"].into_iter().map(member).collect();
    let names = ["s-a", "s-b", "s-c", "s-d", "s-e"];
    let all: Vec<_> =
        members.iter().zip(names).map(|((s, _), name)| host(name, s.address)).collect();
    let agent = Agent::start(all.clone());
    let folder = SnapshotFolder::new("suspect_hold_s = 3600");
    let mut config = config_with_discovery_down();
    config["discovery"] = json!(agent.address.to_string());
    let sidecar = folder.launch(&config);
    wait_until("the list is applied", || sidecar.request(safe()).status() == 200);
    agent.set_hosts(Vec::new());
    sidecar.wait_for_log("suspect_list_held");
    for _ in 0..20 {
        assert_eq!(sidecar.request(safe()).status(), 200);
    }
    assert_eq!(sidecar.metric("sidecar.membership.held"), 1);
    agent.set_hosts(all[..4].to_vec());
    wait_until("the held list is released", || sidecar.metric("sidecar.membership.held") == 0);
    assert_eq!(sidecar.metric("sidecar.membership.live"), 4);
}

#[test]
fn without_the_guard_or_after_its_time_an_empty_list_is_applied() {
    let members: Vec<_> = ["s-a", "s-b", "s-c", "s-d", "s-e"].into_iter().map(member).collect();
    let listed = members.iter().enumerate().map(|(i, (s, _))| host(&format!("s-{i}"), s.address));
    let all: Vec<_> = listed.collect();
    for more in ["suspect_share = 0", "suspect_hold_s = 0.2"] {
        let agent = Agent::start(all.clone());
        let folder = SnapshotFolder::new(more);
        let mut config = config_with_discovery_down();
        config["discovery"] = json!(agent.address.to_string());
        let sidecar = folder.launch(&config);
        wait_until("the list is applied", || sidecar.request(safe()).status() == 200);
        agent.set_hosts(Vec::new());
        wait_until("the empty list is applied", || sidecar.request(safe()).status() == 503);
    }
}

#[test]
fn an_unusable_snapshot_is_ignored() {
    let (server, _) = member("s-a");
    let agent = Agent::start(vec![host("s-a", server.address)]);
    let folder = SnapshotFolder::new("");
    std::fs::write(folder.snapshot(), "millethook-membership 1 00000000 5\nhello")
        .expect("written");
    let mut config = config_with_discovery_down();
    config["discovery"] = json!(agent.address.to_string());
    // The test kit does not keep log lines from before the daemon listens, so only the effect is
    // checked.
    let mut sidecar = folder.launch(&config);
    wait_until_served_by(&sidecar, "s-a");
    assert_eq!(sidecar.terminate_and_wait(), Some(0));
    let snapshot = read_any_fleet(&folder.snapshot()).expect("written anew");
    assert_eq!((snapshot.fleet.as_str(), snapshot.servers.len()), ("n0", 1));
}

#[test]
fn an_unwritable_folder_only_prevents_the_snapshot() {
    let (server, _) = member("s-a");
    let agent = Agent::start(vec![host("s-a", server.address)]);
    let folder = SnapshotFolder::new("");
    // A folder is in the place of the file.
    std::fs::create_dir(folder.snapshot()).expect("a folder");
    let mut config = config_with_discovery_down();
    config["discovery"] = json!(agent.address.to_string());
    let sidecar = folder.launch(&config);
    wait_until_served_by(&sidecar, "s-a");
    sidecar.wait_for_log("snapshot_not_written");
    assert_eq!(sidecar.request(safe()).status(), 200);
}

#[test]
fn a_changed_product_file_is_reported_key_by_key_and_not_applied() {
    let (server, _) = member("s-a");
    let agent = Agent::start(vec![host("s-a", server.address)]);
    let folder = SnapshotFolder::new("");
    let mut config = config_with_discovery_down();
    config["discovery"] = json!(agent.address.to_string());
    let sidecar = folder.launch(&config);
    wait_until_served_by(&sidecar, "s-a");
    let text = std::fs::read_to_string(folder.file()).expect("read");
    std::fs::write(folder.file(), format!("{text}\n[connections]\nspare = 1\n")).expect("written");
    sidecar.reload(&config.to_string());
    sidecar.wait_for_log("[connections]");
    std::fs::write(folder.file(), "[membership]\nsnapsot = 3\n").expect("written");
    sidecar.reload(&config.to_string());
    sidecar.wait_for_log("line 2: membership.snapsot: no such key");
    assert_eq!(sidecar.request(safe()).status(), 200);
}

fn run_program(args: &[&str]) -> Output {
    Command::new(program("plankvale")).env_clear().args(args).output().expect("it runs")
}

#[test]
fn the_command_line_does_as_its_help_says() {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let version = run_program(&["--version"]);
    assert!(version.status.success() && text(&version.stdout).starts_with("plankvale "));
    let help = text(&run_program(&["--help"]).stdout);
    assert!(help.contains("check") && help.contains("--config"), "{help}");

    let folder = SnapshotFolder::new("usable_above = 2");
    let wrong = run_program(&["check", &folder.file()]);
    assert_eq!(wrong.status.code(), Some(2));
    let output = text(&wrong.stderr);
    assert!(
        output.contains("millethook.toml: line 6: membership.usable_above: a share"),
        "{output}"
    );
    let good = SnapshotFolder::new("");
    assert_eq!(run_program(&["check", &good.file()]).status.code(), Some(0));

    good.remember(&[host("s-a", refusing_address())], 3 * DAY);
    let shown = run_program(&["membership", "show", &good.snapshot().to_string_lossy()]);
    let shown = text(&shown.stdout);
    assert!(
        shown.contains("fleet n0, version 900") && shown.contains("confirmed 3 days ago"),
        "{shown}"
    );
    assert_eq!(run_program(&["membership", "show", "/nowhere"]).status.code(), Some(2));
    let unknown = run_program(&["--config", "/nowhere/at/all"]);
    assert_eq!(unknown.status.code(), Some(2));
    assert!(text(&unknown.stderr).contains("/nowhere/at/all"));
}

/// An empty list, then changes, then the end of the hold period of the empty list: the changes
/// remain in force. The held list would remove the added server, and would bring back one that has
/// left.
#[test]
fn changes_after_a_suspect_list_remain_in_force() {
    let names = ["s-a", "s-b", "s-c", "s-d", "s-e"];
    let members: Vec<_> = names.into_iter().map(member).collect();
    let all: Vec<_> =
        members.iter().zip(names).map(|((s, _), name)| host(name, s.address)).collect();
    let (registry, _, _) = servers(1, move |mut conn, seen| {
        let call = &seen.message.first;
        let changes = |hosts: &[Value]| json!({"seq": 3, "whole": false, "hosts": hosts});
        let list = if call.contains("from=3") {
            std::thread::sleep(std::time::Duration::from_millis(50));
            changes(&[]).to_string()
        } else if call.contains("from=2") {
            changes(&all[..1]).to_string()
        } else if call.contains("from=1") {
            full_list(2, &[])
        } else {
            full_list(1, &all)
        };
        conn.send(ok(&list));
        Some(conn)
    });
    let folder = SnapshotFolder::new("suspect_hold_s = 1");
    let mut config = config_with_discovery_down();
    config["discovery"] = json!(registry[0].address.to_string());
    let sidecar = folder.launch(&config);
    sidecar.wait_for_log("suspect_list_taken");
    wait_until("only the server in the changes is left", || {
        sidecar.metric("sidecar.membership.live") == 1
    });
    assert_eq!(sidecar.served_by(), "s-a");
}

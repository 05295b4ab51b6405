//! The list of servers over restarts: a snapshot in place of discovery, weighed by its age.

use std::path::PathBuf;
use std::process::{Command, Output};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

use millethook_membership::History;
use millethook_membership::list::Host;
use millethook_membership::snapshot::{Remembered, Snapshot};
use millethook_membership::store::{Store, show};
use millethook_testkit::*;
use serde_json::{Value, json};

const DAY: u64 = 86_400_000;

/// A folder with the product's file and the snapshot of one sidecar.
struct Kept(PathBuf);

impl Kept {
    /// `more` goes into `[membership]`.
    fn new(more: &str) -> Kept {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let n = NEXT.fetch_add(1, Ordering::SeqCst);
        let folder =
            std::env::temp_dir().join(format!("plankvale-kept-{}-{n}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let kept = Kept(folder);
        let text = format!(
            "[membership]\nsnapshot = {:?}\ntrial_spread_s = 0\ntrials_per_second = 50\nwrite_every_s = 0.1\n{more}\n",
            kept.snapshot()
        );
        std::fs::write(kept.file(), text).expect("written");
        kept
    }

    fn file(&self) -> String {
        self.0.join("millethook.toml").to_string_lossy().into_owned()
    }

    fn snapshot(&self) -> PathBuf {
        self.0.join("members")
    }

    /// Servers that were last confirmed so long ago.
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

impl Drop for Kept {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn down() -> Value {
    config(refusing_address(), |c| {
        c["admin"] = json!("127.0.0.1:0");
        c["settings"]["limits"]["connectTimeout"] = json!(250_000);
    })
}

/// A server of the fleet: it tells its name on its own page, and answers requests with it.
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

/// The whole request is asked again, as a client would, until it is served.
fn served_within(sidecar: &Sidecar, by: &str) {
    wait_until("served", || {
        let message = sidecar.request(safe());
        message.status() == 200 && message.body == by.as_bytes()
    });
}

#[test]
fn a_young_snapshot_serves_at_once_while_discovery_is_down() {
    let (server, _) = member("s-a");
    let kept = Kept::new("");
    kept.remember(&[host("s-a", server.address)], 60_000);
    let sidecar = kept.launch(&down());
    assert_eq!(sidecar.served_by(), "s-a", "the very first request");
    assert_eq!(sidecar.metric("sidecar.membership.remembered"), 1);
    assert_eq!(sidecar.metric("sidecar.membership.trials"), 0);
}

/// All servers of a fresh list stand in another zone: they are used until discovery brings others.
#[test]
fn a_snapshot_of_another_zone_is_used_across_zones() {
    let (far, _) = member("s-far");
    let (near, _) = member("s-near");
    let zoned = |name: &str, server: &Server, zone: &str| {
        let mut entry = host(name, server.address);
        entry["site"] = json!(zone);
        entry
    };
    let kept = Kept::new("");
    kept.remember(&[zoned("s-far", &far, "b")], 60_000);
    let sidecar = kept.launch(&down());
    assert_eq!(sidecar.served_by(), "s-far");
    let agent = Agent::start(vec![zoned("s-far", &far, "b"), zoned("s-near", &near, "a")]);
    let mut live = down();
    live["discovery"] = json!(agent.address.to_string());
    sidecar.reload(&live.to_string());
    served_within(&sidecar, "s-near");
}

/// Up and down by turns, with an older version each time: nothing under way is lost, and nobody is forgotten.
#[test]
fn discovery_that_flaps_changes_nothing() {
    let (server, _) = member("s-a");
    let kept = Kept::new("");
    kept.remember(&[host("s-a", server.address)], 60_000);
    let mut config = down();
    let sidecar = kept.launch(&config);
    for _ in 0..5 {
        let agent = Agent::start(vec![host("s-a", server.address)]);
        config["discovery"] = json!(agent.address.to_string());
        sidecar.reload(&config.to_string());
        wait_until("asked", || agent.calls() > 0);
        assert_eq!(sidecar.request(safe()).status(), 200);
        config["discovery"] = json!(refusing_address().to_string());
        sidecar.reload(&config.to_string());
        assert_eq!(sidecar.request(safe()).status(), 200);
    }
}

/// No list at all: refused at once, and served once the first list is there.
#[test]
fn without_any_list_requests_are_refused_until_one_comes() {
    let (server, _) = member("s-a");
    let kept = Kept::new("");
    let sidecar = kept.launch(&down());
    for request in [safe(), unsafe_with("an order")] {
        assert_eq!(sidecar.request(request).status(), 503, "trying again is harmless");
    }
    let agent = Agent::start(vec![host("s-a", server.address)]);
    let mut live = down();
    live["discovery"] = json!(agent.address.to_string());
    sidecar.reload(&live.to_string());
    served_within(&sidecar, "s-a");
    wait_until("ready", || {
        sidecar.request("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n").status() == 200
    });
}

/// Danger: an address of last month may be held by another program, which must not get an order.
#[test]
fn of_an_old_snapshot_only_who_answers_as_itself_gets_requests() {
    let (good, _) = member("s-a");
    let (stranger, stranger_seen) = member("somebody-else");
    let (mute, mute_seen, _) = servers(1, |_, _| None);
    let kept = Kept::new("identity_header = \"X-Server-Name\"");
    let gone = refusing_address();
    let list = [
        host("s-a", good.address),
        host("s-b", stranger.address),
        host("s-c", mute[0].address),
        host("s-d", gone),
    ];
    kept.remember(&list, 20 * DAY);
    let sidecar = kept.launch(&down());
    served_within(&sidecar, "s-a");
    wait_until("the others fell out", || sidecar.metric("sidecar.membership.dropped") >= 2);
    for _ in 0..20 {
        let body = "an order";
        let status = sidecar.request(unsafe_with(body)).status();
        assert!(status == 200 || status == 503, "{status}");
    }
    // Each of them has seen trials, and nothing else.
    assert!(stranger_seen.count() >= 1);
    assert_eq!(stranger_seen.count(), 1, "one trial, and no request");
    assert!(mute_seen.count() <= 4, "trials alone");
    assert_eq!(sidecar.metric("sidecar.membership.confirmed"), 1);
}

#[test]
fn a_snapshot_too_old_to_be_tried_is_refused_by_and_discovery_puts_it_right() {
    let (old, old_seen) = member("s-old");
    let (new, _) = member("s-new");
    let kept = Kept::new("");
    kept.remember(&[host("s-old", old.address)], 2_000 * DAY);
    let agent = Agent::start(vec![host("s-new", new.address)]);
    let sidecar = kept.launch(&down());
    let answer = sidecar.request(safe());
    assert_eq!(answer.status(), 503, "refused at once: there is nobody to send it to");
    let mut live = down();
    live["discovery"] = json!(agent.address.to_string());
    sidecar.reload(&live.to_string());
    served_within(&sidecar, "s-new");
    assert_eq!(old_seen.count(), 0);
    // The kept list is the live one from now on.
    wait_until("written", || {
        show(&kept.snapshot())
            .is_ok_and(|s| s.servers.len() == 1 && s.servers[0].host.host == "s-new")
    });
}

#[test]
fn an_empty_registry_does_not_wipe_a_good_list() {
    let members: Vec<_> = ["s-a", "s-b", "s-c", "s-d", "s-e"].into_iter().map(member).collect();
    let names = ["s-a", "s-b", "s-c", "s-d", "s-e"];
    let all: Vec<_> =
        members.iter().zip(names).map(|((s, _), name)| host(name, s.address)).collect();
    let agent = Agent::start(all.clone());
    let kept = Kept::new("suspect_hold_s = 3600");
    let mut config = down();
    config["discovery"] = json!(agent.address.to_string());
    let sidecar = kept.launch(&config);
    wait_until("listed", || sidecar.request(safe()).status() == 200);
    agent.set_hosts(Vec::new());
    sidecar.wait_for_log("suspect_list_held");
    for _ in 0..20 {
        assert_eq!(sidecar.request(safe()).status(), 200);
    }
    assert_eq!(sidecar.metric("sidecar.membership.held"), 1);
    agent.set_hosts(all[..4].to_vec());
    wait_until("taken back", || sidecar.metric("sidecar.membership.held") == 0);
    assert_eq!(sidecar.metric("sidecar.membership.live"), 4);
}

#[test]
fn without_the_guard_or_after_its_time_an_empty_list_holds() {
    let members: Vec<_> = ["s-a", "s-b", "s-c", "s-d", "s-e"].into_iter().map(member).collect();
    let listed = members.iter().enumerate().map(|(i, (s, _))| host(&format!("s-{i}"), s.address));
    let all: Vec<_> = listed.collect();
    for more in ["suspect_share = 0", "suspect_hold_s = 0.2"] {
        let agent = Agent::start(all.clone());
        let kept = Kept::new(more);
        let mut config = down();
        config["discovery"] = json!(agent.address.to_string());
        let sidecar = kept.launch(&config);
        wait_until("listed", || sidecar.request(safe()).status() == 200);
        agent.set_hosts(Vec::new());
        wait_until("the empty list holds", || sidecar.request(safe()).status() == 503);
    }
}

#[test]
fn a_snapshot_that_cannot_be_used_is_told_and_nothing_else() {
    let (server, _) = member("s-a");
    let agent = Agent::start(vec![host("s-a", server.address)]);
    let kept = Kept::new("");
    std::fs::write(kept.snapshot(), "millethook-membership 1 00000000 5\nhello").expect("written");
    let mut config = down();
    config["discovery"] = json!(agent.address.to_string());
    // What is logged before it listens is not kept by the stand-in; its effect is.
    let mut sidecar = kept.launch(&config);
    served_within(&sidecar, "s-a");
    assert_eq!(sidecar.terminate_and_wait(), Some(0));
    let kept = show(&kept.snapshot()).expect("written anew");
    assert_eq!((kept.fleet.as_str(), kept.servers.len()), ("n0", 1));
}

#[test]
fn a_folder_that_cannot_be_written_costs_the_snapshot_alone() {
    let (server, _) = member("s-a");
    let agent = Agent::start(vec![host("s-a", server.address)]);
    let kept = Kept::new("");
    // A folder stands where the file is to be.
    std::fs::create_dir(kept.snapshot()).expect("a folder");
    let mut config = down();
    config["discovery"] = json!(agent.address.to_string());
    let sidecar = kept.launch(&config);
    served_within(&sidecar, "s-a");
    sidecar.wait_for_log("snapshot_not_written");
    assert_eq!(sidecar.request(safe()).status(), 200);
}

#[test]
fn a_changed_file_is_told_key_by_key_and_kept() {
    let (server, _) = member("s-a");
    let agent = Agent::start(vec![host("s-a", server.address)]);
    let kept = Kept::new("");
    let mut config = down();
    config["discovery"] = json!(agent.address.to_string());
    let sidecar = kept.launch(&config);
    served_within(&sidecar, "s-a");
    let text = std::fs::read_to_string(kept.file()).expect("read");
    std::fs::write(kept.file(), format!("{text}\n[connections]\nspare = 1\n")).expect("written");
    sidecar.reload(&config.to_string());
    sidecar.wait_for_log("[connections]");
    std::fs::write(kept.file(), "[membership]\nsnapsot = 3\n").expect("written");
    sidecar.reload(&config.to_string());
    sidecar.wait_for_log("line 2: membership.snapsot: no such key");
    assert_eq!(sidecar.request(safe()).status(), 200);
}

fn cli(args: &[&str]) -> Output {
    Command::new(program("plankvale")).env_clear().args(args).output().expect("it runs")
}

#[test]
fn the_command_line_does_as_its_help_says() {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let version = cli(&["--version"]);
    assert!(version.status.success() && text(&version.stdout).starts_with("plankvale "));
    let help = text(&cli(&["--help"]).stdout);
    assert!(help.contains("check") && help.contains("--config"), "{help}");

    let kept = Kept::new("usable_above = 2");
    let wrong = cli(&["check", &kept.file()]);
    assert_eq!(wrong.status.code(), Some(2));
    let told = text(&wrong.stderr);
    assert!(told.contains("millethook.toml: line 6: membership.usable_above: a share"), "{told}");
    let good = Kept::new("");
    assert_eq!(cli(&["check", &good.file()]).status.code(), Some(0));

    good.remember(&[host("s-a", refusing_address())], 3 * DAY);
    let shown = cli(&["membership", "show", &good.snapshot().to_string_lossy()]);
    let shown = text(&shown.stdout);
    assert!(
        shown.contains("fleet n0, version 900") && shown.contains("confirmed 3 days ago"),
        "{shown}"
    );
    assert_eq!(cli(&["membership", "show", "/nowhere"]).status.code(), Some(2));
    let unknown = cli(&["--config", "/nowhere/at/all"]);
    assert_eq!(unknown.status.code(), Some(2));
    assert!(text(&unknown.stderr).contains("/nowhere/at/all"));
}

/// An empty list, then changes, then the end of the wait for the empty list: what the changes said holds on. The list
/// that was held would take the server off again, and would bring back one that has left.
#[test]
fn changes_after_a_suspect_list_outlast_it() {
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
    let kept = Kept::new("suspect_hold_s = 1");
    let mut config = down();
    config["discovery"] = json!(registry[0].address.to_string());
    let sidecar = kept.launch(&config);
    sidecar.wait_for_log("suspect_list_taken");
    wait_until("only the one that changes named is left", || {
        sidecar.metric("sidecar.membership.live") == 1
    });
    assert_eq!(sidecar.served_by(), "s-a");
}

//! The admin address: readiness, metrics that agree with what peers received, and callers that stay
//! connected.

use std::net::TcpStream;
use std::sync::mpsc::channel;

use millethook_testkit::*;
use serde_json::{Value, json};

fn config_with_admin(agent: &Agent) -> Value {
    config(agent.address, |c| c["admin"] = json!("127.0.0.1:0"))
}

#[test]
fn ready_once_there_is_a_list() {
    let agent = Agent::start(Vec::new());
    let sidecar = Sidecar::launch(&config_with_admin(&agent));
    assert_eq!(sidecar.admin_request("GET /v1/readyz").status(), 503);
    agent.set_hosts(hosts(&[Server::named("a")]));
    wait_until("ready", || sidecar.admin_request("GET /v1/readyz").status() == 200);
    assert_eq!(sidecar.admin_request("PUT /v1/readyz").status(), 405);
    assert_eq!(sidecar.admin_request("GET /v1/nothing").status(), 404);
    assert_eq!(sidecar.metric("sidecar.discovered"), 1);
}

#[test]
fn metrics_agree_with_what_peers_received() {
    let (arrived, arrivals) = channel();
    // Orders fail, and requests of class `keep` are held until the test releases them.
    let (servers, log, _) = servers(2, move |mut conn, seen| {
        match seen.message.first.split(['/', ' ']).nth(2) {
            Some("order") => conn.send(answer("500 No", "", "")),
            Some("keep") => {
                let (release, released) = channel::<()>();
                let _ = arrived.send(release);
                let _ = released.recv_timeout(WAIT_TIMEOUT);
                conn.send(ok("kept"));
            }
            _ => conn.send(ok("seen")),
        }
        Some(conn)
    });
    let agent = Agent::start(hosts(&servers));
    let sidecar = Sidecar::start(&config_with_admin(&agent));
    for _ in 0..5 {
        assert_eq!(sidecar.request(safe()).status(), 200);
    }
    assert_eq!(sidecar.request(unsafe_with("x")).status(), 502);
    let mut keep_client = sidecar.client();
    keep_client.send(keyed());
    let release = receive(&arrivals);
    assert_eq!(sidecar.metric("sidecar.outstanding"), 1);
    release.send(()).unwrap();
    assert_eq!(keep_client.message().unwrap().status(), 200);
    // An invalid request is not counted as a request.
    assert_eq!(sidecar.request("GET /nothing HTTP/1.1\r\nHost: a\r\n\r\n").status(), 404);
    agent.set_hosts(Vec::new());
    wait_until("an empty list", || sidecar.metric("sidecar.discovered") == 0);
    assert_eq!(sidecar.request(safe()).status(), 503);
    for (name, value) in [
        ("succeeded.look", 5),
        ("declined.look", 1),
        ("aborted.look", 0),
        ("succeeded.keep", 1),
        ("aborted.order", 1),
        ("succeeded.order", 0),
        ("outstanding", 0),
        ("ejected", 0),
    ] {
        assert_eq!(sidecar.metric(&format!("sidecar.{name}")), value, "{name}");
    }
    assert_eq!(sidecar.metric("sidecar.forwards"), log.count() as u64);
}

#[test]
fn an_unresponsive_server_is_ejected() {
    let dead = Server::start(drop);
    let agent =
        Agent::start(vec![host("s-dead", dead.address), host("s-b", Server::named("b").address)]);
    let sidecar = Sidecar::start(&config_with_admin(&agent));
    wait_until("the server is ejected", || {
        sidecar.request(safe());
        sidecar.metric("sidecar.ejected") == 1
    });
    assert_eq!(sidecar.metric("sidecar.discovered"), 2);
}

#[test]
fn configurations_are_counted() {
    let agent = Agent::start(hosts(&[Server::named("a")]));
    let config = config_with_admin(&agent);
    let sidecar = Sidecar::start(&config);
    assert_eq!(sidecar.metric("sidecar.sighup_applied"), 0);
    sidecar.reload(&config.to_string());
    wait_until("the configuration is applied", || sidecar.metric("sidecar.sighup_applied") == 1);
    sidecar.reload("{");
    wait_until("the configuration is rejected", || sidecar.metric("sidecar.sighup_rejected") == 1);
    assert_eq!(sidecar.metric("sidecar.sighup_applied"), 1);
}

/// Guards against callers that connect and send nothing, or half a request, and lock out other
/// callers.
#[test]
fn idle_admin_callers_do_not_block_others() {
    let agent = Agent::start(hosts(&[Server::named("a")]));
    let sidecar = Sidecar::start(&config_with_admin(&agent));
    let before = sidecar.descriptors();
    let admin = sidecar.admin.unwrap();
    let mut silent: Vec<_> = (0..200)
        .map(|n| {
            let mut caller = Conn::new(TcpStream::connect(admin).unwrap());
            if n % 2 == 0 {
                caller.send("GET /v1/me");
            }
            caller
        })
        .collect();
    assert_eq!(sidecar.admin_request("GET /v1/readyz").status(), 200);
    assert!(sidecar.descriptors() <= before + 20, "{} descriptors", sidecar.descriptors());
    // Each of them is disconnected in the end.
    assert!(silent.iter_mut().all(|caller| caller.closed_by_peer()));
    assert_eq!(sidecar.admin_request("GET /v1/readyz").status(), 200);
}

#[test]
fn an_invalid_admin_address_is_reported() {
    let agent = Agent::start(Vec::new());
    let output =
        failed_start(&config(agent.address, |c| c["admin"] = json!("here")).to_string(), &[]);
    assert!(
        String::from_utf8_lossy(&output.stderr).contains("admin: an address and a port expected")
    );
}

//! Kept writes of a process whose disk is slow, and that dies: what its clients were told holds for the next owner, too.

use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};

use millethook_testkit::*;

use crate::edge::*;

/// Where the process below finds the folder of its configuration.
const FOLDER: &str = "MILLETHOOK_TEST_FOLDER";

/// Not a test by itself: the process that [`SlowProcess`] starts, a daemon whose disk syncs nothing that it takes in.
/// It ends by itself.
#[test]
fn a_process_on_a_disk_that_syncs_nothing() {
    let Some(folder) = std::env::var_os(FOLDER) else { return };
    std::thread::spawn(|| {
        std::thread::sleep(WAIT_TIMEOUT);
        std::process::exit(1);
    });
    let folder = std::path::PathBuf::from(folder);
    let config = std::fs::read_to_string(folder.join("config.json")).expect("a configuration");
    serve_on(&config, &folder.join("product.toml"), Held::default(), std::future::pending());
}

/// A daemon in a process of its own, which can be killed as no other can be.
struct SlowProcess {
    child: Child,
    address: SocketAddr,
}

impl SlowProcess {
    fn start(site: &Site, agent: &Agent) -> SlowProcess {
        let address = nowhere();
        let mut config = site.config(agent);
        config["listen"] = serde_json::json!(address.to_string());
        let folder = site.folder.path();
        std::fs::write(folder.join("config.json"), config.to_string()).expect("written");
        let program = std::env::current_exe().expect("this program");
        let child = Command::new(program)
            .args(["--exact", "edge_death::a_process_on_a_disk_that_syncs_nothing"])
            .env(FOLDER, folder)
            .stdout(Stdio::null())
            .spawn()
            .expect("it starts");
        let process = SlowProcess { child, address };
        wait_until("ready", || {
            process
                .request("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n")
                .is_some_and(|m| m.status() == 200)
        });
        process
    }

    fn request(&self, request: impl AsRef<[u8]>) -> Option<Message> {
        Conn::new(TcpStream::connect(self.address).ok()?).request(request)
    }
}

impl Drop for SlowProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Danger: the withdrawal of a write that was answered 502 waits for the same slow disk. Its process dies before that is
/// there, and the next owner sent the write behind its final answer.
#[test]
fn a_write_that_was_answered_502_is_not_sent_by_the_next_owner() {
    let site = Site::new();
    let agent = Agent::start(vec![host("s-a", nowhere())]);
    let slow = SlowProcess::start(&site, &agent);
    assert_eq!(slow.request(order("slow", ASKS)).expect("an answer").status(), 502);
    assert_eq!(site.told(&["show"]).0.lines().count(), 2, "it is in the file");
    drop(slow);
    let (server, seen) = counting();
    agent.set_hosts(vec![host("s-b", server.address)]);
    let next = site.start(&agent);
    // Sent or withdrawn, the next owner gives it an end.
    wait_until("the next owner is done with it", || {
        next.metric("sidecar.edge.stores") == 1 && next.metric("sidecar.edge.left") == 0
    });
    // The server is there to be reached.
    wait_until("another write is served", || next.request(order("next", "")).status() == 200);
    let seen = seen.lock().expect("a log");
    assert!(seen.iter().all(|m| m.body == b"next"), "{seen:?}\n{}", site.told(&["show"]).0);
    assert!(site.told(&["show"]).0.contains("0 done"), "{}", site.told(&["show"]).0);
}

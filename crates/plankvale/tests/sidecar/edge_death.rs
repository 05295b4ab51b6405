//! Stored writes of a process with a slow disk that is killed: the answers that its clients
//! received also bind the next owner of the store.

use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};

use millethook_testkit::*;

use crate::edge::*;

/// The variable with which the process below finds the folder of its configuration.
const FOLDER_VARIABLE: &str = "MILLETHOOK_TEST_FOLDER";

/// Not a test by itself: the process that [`SlowProcess`] starts, a daemon whose disk never syncs
/// the intake file. It exits by itself.
#[test]
fn a_process_on_a_disk_that_syncs_nothing() {
    let Some(folder) = std::env::var_os(FOLDER_VARIABLE) else { return };
    std::thread::spawn(|| {
        std::thread::sleep(WAIT_TIMEOUT);
        std::process::exit(1);
    });
    let folder = std::path::PathBuf::from(folder);
    let config = std::fs::read_to_string(folder.join("config.json")).expect("a configuration");
    run_on_storage(
        &config,
        &folder.join("product.toml"),
        GatedStorage::default(),
        std::future::pending(),
    );
}

/// A daemon in a process of its own, which can be killed independently.
struct SlowProcess {
    child: Child,
    address: SocketAddr,
}

impl SlowProcess {
    fn start(store_folder: &StoreFolder, agent: &Agent) -> SlowProcess {
        let address = unused_address();
        let mut config = store_folder.config(agent);
        config["listen"] = serde_json::json!(address.to_string());
        let folder = store_folder.folder.path();
        std::fs::write(folder.join("config.json"), config.to_string()).expect("written");
        let program = std::env::current_exe().expect("this program");
        let child = Command::new(program)
            .args(["--exact", "edge_death::a_process_on_a_disk_that_syncs_nothing"])
            .env(FOLDER_VARIABLE, folder)
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

/// Guards against sending a write after its final answer: a write was answered 502, and its
/// withdrawal waits for the same slow disk. The process is killed before the withdrawal is stored,
/// and the next owner sent the write.
#[test]
fn a_write_that_was_answered_502_is_not_sent_by_the_next_owner() {
    let store_folder = StoreFolder::new();
    let agent = Agent::start(vec![host("s-a", unused_address())]);
    let slow = SlowProcess::start(&store_folder, &agent);
    assert_eq!(slow.request(order_request("slow", PREFER_ASYNC)).expect("an answer").status(), 502);
    assert_eq!(store_folder.edge_command(&["show"]).0.lines().count(), 2, "it is in the file");
    drop(slow);
    let (server, seen) = recording_server();
    agent.set_hosts(vec![host("s-b", server.address)]);
    let next = store_folder.start(&agent);
    // Sent or withdrawn, the next owner finishes the write.
    wait_until("the next owner has finished the write", || {
        next.metric("sidecar.edge.stores") == 1 && next.metric("sidecar.edge.left") == 0
    });
    // The server can be reached.
    wait_until("another write is served", || {
        next.request(order_request("next", "")).status() == 200
    });
    let seen = seen.lock().expect("a log");
    assert!(
        seen.iter().all(|m| m.body == b"next"),
        "{seen:?}\n{}",
        store_folder.edge_command(&["show"]).0
    );
    assert!(
        store_folder.edge_command(&["show"]).0.contains("0 done"),
        "{}",
        store_folder.edge_command(&["show"]).0
    );
}

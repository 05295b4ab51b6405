//! The daemon's process.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::thread;

use serde_json::{Value, json};

use crate::violations::Checked;
use crate::{Agent, Conn, Message, Server, hosts, receive, safe, settings_json, wait_until};

/// The price of a handshake in the platform's settings, for each first attempt.
const HANDSHAKE_PRICE: f64 = 0.08;

/// A configuration for a sidecar of these peers.
pub fn config(discovery: SocketAddr, change: impl FnOnce(&mut Value)) -> Value {
    let mut settings = settings_json();
    settings["kinds"] = json!(["std"]);
    settings["prices"] = json!({"handshake": HANDSHAKE_PRICE});
    settings["limits"]["connectTimeout"] = json!(1_000_000);
    settings["tenants"] = json!([{"name": "acme", "quotaPerS": 1000.0, "share": 1.0}]);
    let mut config = json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(),
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": settings,
    });
    change(&mut config);
    config
}

/// The path of a program of this workspace, beside which the test's own program was built.
///
/// # Panics
/// If it has not been built.
pub fn program(name: &str) -> PathBuf {
    let mut path = std::env::current_exe().expect("a test knows its own path");
    path.pop();
    if path.ends_with("deps") || path.ends_with("examples") {
        path.pop();
    }
    path.push(name);
    assert!(path.exists(), "{}: build it first: cargo build -p {name}", path.display());
    path
}

static FILES: AtomicUsize = AtomicUsize::new(0);

/// The daemon's command for this configuration, and the file in which it stands.
pub fn command(config: &str) -> (Command, PathBuf) {
    command_of(&program("plankvale"), config)
}

fn command_of(program: &Path, config: &str) -> (Command, PathBuf) {
    let n = FILES.fetch_add(1, Ordering::SeqCst);
    let name = format!("plankvale-test-{}-{n}.json", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, config).unwrap();
    let mut command = Command::new(program);
    command.env_clear().env("LB_CONFIG", &path).stdin(Stdio::null());
    command.stdout(Stdio::piped()).stderr(Stdio::piped());
    (command, path)
}

/// Runs a sidecar that cannot start.
pub fn failed_start(config: &str, env: &[(&str, &str)]) -> Output {
    let (mut command, path) = command(config);
    let output = command.envs(env.iter().copied()).output().unwrap();
    let _ = std::fs::remove_file(path);
    output
}

/// A daemon in a process of its own. Dropped, it ends.
pub struct Sidecar {
    /// The process.
    pub child: Child,
    /// Where clients connect.
    pub address: SocketAddr,
    /// Where operators call, if they may.
    pub admin: Option<SocketAddr>,
    path: PathBuf,
    log: Mutex<Receiver<String>>,
    _checked: Checked,
}

impl Sidecar {
    /// Starts one and waits until it is ready.
    pub fn start(config: &Value) -> Sidecar {
        Sidecar::start_program(&program("plankvale"), config)
    }

    /// The same with this build of the daemon.
    pub fn start_program(program: &Path, config: &Value) -> Sidecar {
        Sidecar::launch_program(program, config).ready()
    }

    /// The same with further variables.
    pub fn start_with(config: &Value, env: &[(&str, &str)]) -> Sidecar {
        Sidecar::launch_with(config, env).ready()
    }

    /// Waits until it is ready.
    fn ready(self) -> Sidecar {
        wait_until("ready", || {
            let mut client = self.client();
            client.send("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n");
            client.message().is_some_and(|m| m.status() == 200)
        });
        self
    }

    /// Starts one with further variables, and waits until it listens.
    pub fn launch_with(config: &Value, env: &[(&str, &str)]) -> Sidecar {
        let (mut command, path) = command(&config.to_string());
        command.envs(env.iter().copied());
        Sidecar::spawn((command, path))
    }

    /// Starts one and waits until it listens.
    pub fn launch(config: &Value) -> Sidecar {
        Sidecar::launch_program(&program("plankvale"), config)
    }

    fn launch_program(program: &Path, config: &Value) -> Sidecar {
        Sidecar::spawn(command_of(program, &config.to_string()))
    }

    /// Starts one that shares the clients' listening socket and a folder with others, as an upgrade does,
    /// and waits until it listens.
    pub fn launch_with_listener(config: &Value, listener: &TcpListener, folder: &Path) -> Sidecar {
        let (command, path) = command_of(&program("plankvale"), &config.to_string());
        // Only a shell can leave a descriptor open under a number without `unsafe`.
        let mut shell = Command::new("/bin/sh");
        shell.args(["-c", "exec \"$0\" 7<&0 </dev/null"]).arg(command.get_program());
        let socket: OwnedFd = listener.try_clone().unwrap().into();
        shell.env_clear().env("LB_CONFIG", &path).env("LB_INHERITED_FD", "7");
        shell.env("TMPDIR", folder).stdin(socket).stdout(Stdio::piped()).stderr(Stdio::piped());
        Sidecar::spawn((shell, path))
    }

    fn spawn((mut command, path): (Command, PathBuf)) -> Sidecar {
        let mut child = command.spawn().unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let (tell, told) = channel();
        let nowhere = ([0, 0, 0, 0], 0).into();
        // A process that outlives its test connects to ports that are other tests' by then. From here on
        // its end is this value's, also if what it writes cannot be read.
        let mut sidecar = Sidecar {
            child,
            address: nowhere,
            admin: None,
            path,
            log: Mutex::new(told),
            _checked: Checked::default(),
        };
        while sidecar.address == nowhere {
            let mut line = String::new();
            assert_ne!(log.read_line(&mut line).unwrap(), 0, "the sidecar ended");
            if let Some((_, at)) = line.trim().split_once("operators call at ") {
                sidecar.admin = Some(first_word(at).parse().unwrap());
            }
            if let Some((_, at)) = line.trim().split_once("listens on ") {
                sidecar.address = first_word(at).parse().unwrap();
            }
        }
        thread::spawn(move || {
            for line in log.lines().map_while(Result::ok) {
                let _ = tell.send(line);
            }
        });
        sidecar
    }

    /// One with as many servers as given and an agent that lists them.
    pub fn with_servers(servers: &[Server]) -> (Sidecar, Agent) {
        let agent = Agent::start(hosts(servers));
        (Sidecar::start(&config(agent.address, |_| {})), agent)
    }

    /// A new connection of a client.
    pub fn client(&self) -> Conn {
        Conn::new(TcpStream::connect(self.address).unwrap())
    }

    /// One whose classes have long answers, with as many servers as given.
    pub fn streaming(servers: &[Server]) -> (Sidecar, Agent) {
        let agent = Agent::start(hosts(servers));
        let config = config(agent.address, |c| {
            for class in c["settings"]["classes"].as_array_mut().unwrap() {
                class["streaming"] = json!(true);
            }
        });
        (Sidecar::start(&config), agent)
    }

    /// Sends one request on a new connection and reads its answer.
    pub fn request(&self, request: impl AsRef<[u8]>) -> Message {
        let mut client = self.client();
        client.send(request);
        client.message().expect("an answer")
    }

    /// One call at the operators' address.
    pub fn admin_request(&self, call: &str) -> Message {
        let mut operator = Conn::new(TcpStream::connect(self.admin.unwrap()).unwrap());
        operator.send(format!("{call} HTTP/1.1\r\nHost: a\r\n\r\n"));
        operator.message().expect("an answer")
    }

    /// A figure of `GET /v1/metrics`.
    pub fn metric(&self, name: &str) -> u64 {
        let metrics = String::from_utf8(self.admin_request("GET /v1/metrics").body).unwrap();
        let figure = metrics.lines().find_map(|line| {
            let (key, value) = line.split_once(':')?;
            (key == name).then(|| value.split('|').next().unwrap().parse().unwrap())
        });
        figure.unwrap_or_else(|| panic!("no {name} in {metrics}"))
    }

    /// Who answers a safe request, where servers answer with their names.
    pub fn served_by(&self) -> String {
        String::from_utf8(self.request(safe()).body).unwrap()
    }

    fn signal(&self, which: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([which, &pid]).status().unwrap().success());
    }

    /// Sends SIGTERM: it ends as planned.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Takes the processor from it until [`Sidecar::resume`].
    pub fn pause(&self) {
        self.signal("-STOP");
    }

    /// Lets it go on after [`Sidecar::pause`].
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// Replaces the file of the configuration and tells the sidecar.
    pub fn reload(&self, config: &str) {
        let new = self.path.with_extension("new");
        std::fs::write(&new, config).unwrap();
        std::fs::rename(&new, &self.path).unwrap();
        self.signal("-HUP");
    }

    /// Ends it as planned; its exit code.
    pub fn terminate_and_wait(&mut self) -> Option<i32> {
        self.terminate();
        self.exit_code()
    }

    /// Waits for a line of its log that holds `text`.
    pub fn wait_for_log(&self, text: &str) {
        let log = self.log.lock().unwrap();
        while !receive(&log).contains(text) {}
    }

    /// Its exit code once it has ended, waited for within the bound.
    pub fn exit_code(&mut self) -> Option<i32> {
        let mut status = None;
        wait_until("exit", || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        });
        status.and_then(|s| s.code())
    }

    /// How many file descriptors it has open.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }

    /// The most memory that it has had so far, in MB.
    pub fn memory_mb(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find(|l| l.starts_with("VmHWM:")).unwrap();
        line.split_whitespace().nth(1).unwrap().parse::<usize>().unwrap() / 1024
    }
}

/// A message's end: fields of its event follow.
fn first_word(text: &str) -> &str {
    text.split_whitespace().next().unwrap_or_default()
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.path);
    }
}

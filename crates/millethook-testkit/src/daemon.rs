//! Starts the daemon as a child process and sends requests and signals to it.

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

use crate::violations::ViolationGuard;
use crate::{Agent, Conn, Message, Server, hosts, receive, safe, settings_json, wait_until};

/// The price of a handshake in the platform's settings, in units of one first attempt.
const HANDSHAKE_PRICE: f64 = 0.08;

/// A daemon configuration that uses this discovery address, passed through `customize`.
pub fn config(discovery: SocketAddr, customize: impl FnOnce(&mut Value)) -> Value {
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
    customize(&mut config);
    config
}

/// The path of a workspace program, expected in the build directory of the running test.
///
/// # Panics
///
/// If the program has not been built.
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

static NEXT_FILE: AtomicUsize = AtomicUsize::new(0);

/// The daemon's command line for this configuration, and the path of the configuration file.
pub fn command(config: &str) -> (Command, PathBuf) {
    command_for(&program("plankvale"), config)
}

fn command_for(program: &Path, config: &str) -> (Command, PathBuf) {
    let n = NEXT_FILE.fetch_add(1, Ordering::SeqCst);
    let name = format!("plankvale-test-{}-{n}.json", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, config).unwrap();
    let mut command = Command::new(program);
    command.env_clear().env("LB_CONFIG", &path).stdin(Stdio::null());
    command.stdout(Stdio::piped()).stderr(Stdio::piped());
    (command, path)
}

/// Runs a daemon that is expected to fail at start, and returns its output.
pub fn failed_start(config: &str, env: &[(&str, &str)]) -> Output {
    let (mut command, path) = command(config);
    let output = command.envs(env.iter().copied()).output().unwrap();
    let _ = std::fs::remove_file(path);
    output
}

/// A daemon in a child process, which is killed on drop.
pub struct Sidecar {
    /// The child process.
    pub child: Child,
    /// The address on which it accepts clients.
    pub address: SocketAddr,
    /// The admin address, if one is configured.
    pub admin: Option<SocketAddr>,
    path: PathBuf,
    log: Mutex<Receiver<String>>,
    _guard: ViolationGuard,
}

impl Sidecar {
    /// Starts the daemon and waits until it is ready.
    pub fn start(config: &Value) -> Sidecar {
        Sidecar::start_program(&program("plankvale"), config)
    }

    /// Like [`Sidecar::start`], with this build of the daemon.
    pub fn start_program(program: &Path, config: &Value) -> Sidecar {
        Sidecar::launch_program(program, config).ready()
    }

    /// Like [`Sidecar::start`], with these additional environment variables.
    pub fn start_with(config: &Value, env: &[(&str, &str)]) -> Sidecar {
        Sidecar::launch_with(config, env).ready()
    }

    /// Waits until the readiness check succeeds.
    fn ready(self) -> Sidecar {
        wait_until("ready", || {
            let mut client = self.client();
            client.send("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n");
            client.message().is_some_and(|m| m.status() == 200)
        });
        self
    }

    /// Starts the daemon with additional environment variables and waits until it listens.
    pub fn launch_with(config: &Value, env: &[(&str, &str)]) -> Sidecar {
        let (mut command, path) = command(&config.to_string());
        command.envs(env.iter().copied());
        Sidecar::spawn((command, path))
    }

    /// Starts the daemon and waits until it listens.
    pub fn launch(config: &Value) -> Sidecar {
        Sidecar::launch_program(&program("plankvale"), config)
    }

    fn launch_program(program: &Path, config: &Value) -> Sidecar {
        Sidecar::spawn(command_for(program, &config.to_string()))
    }

    /// Starts a daemon that shares the clients' listening socket and a folder with other processes,
    /// as in an upgrade, and waits until it listens.
    pub fn launch_with_listener(config: &Value, listener: &TcpListener, folder: &Path) -> Sidecar {
        let (command, path) = command_for(&program("plankvale"), &config.to_string());
        // Only a shell can pass an open descriptor under a given number without `unsafe` code.
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
        let (log_sender, log_receiver) = channel();
        let unknown_address = ([0, 0, 0, 0], 0).into();
        // A process that outlives its test would connect to ports that belong to other tests by
        // then. From here on, drop kills the process, also if its output cannot be read.
        let mut sidecar = Sidecar {
            child,
            address: unknown_address,
            admin: None,
            path,
            log: Mutex::new(log_receiver),
            _guard: ViolationGuard::default(),
        };
        while sidecar.address == unknown_address {
            let mut line = String::new();
            assert_ne!(
                log.read_line(&mut line).unwrap(),
                0,
                "the sidecar exited before it listened"
            );
            if let Some((_, at)) = line.trim().split_once("operators call at ") {
                sidecar.admin = Some(first_word(at).parse().unwrap());
            }
            if let Some((_, at)) = line.trim().split_once("listens on ") {
                sidecar.address = first_word(at).parse().unwrap();
            }
        }
        thread::spawn(move || {
            for line in log.lines().map_while(Result::ok) {
                let _ = log_sender.send(line);
            }
        });
        sidecar
    }

    /// Starts a daemon with these servers and a discovery agent that lists them.
    pub fn with_servers(servers: &[Server]) -> (Sidecar, Agent) {
        let agent = Agent::start(hosts(servers));
        (Sidecar::start(&config(agent.address, |_| {})), agent)
    }

    /// Opens a new client connection.
    pub fn client(&self) -> Conn {
        Conn::new(TcpStream::connect(self.address).unwrap())
    }

    /// Like [`Sidecar::with_servers`], with streaming answers in all classes.
    pub fn streaming(servers: &[Server]) -> (Sidecar, Agent) {
        let agent = Agent::start(hosts(servers));
        let config = config(agent.address, |c| {
            for class in c["settings"]["classes"].as_array_mut().unwrap() {
                class["streaming"] = json!(true);
            }
        });
        (Sidecar::start(&config), agent)
    }

    /// Sends one request on a new connection and reads the answer.
    pub fn request(&self, request: impl AsRef<[u8]>) -> Message {
        let mut client = self.client();
        client.send(request);
        client.message().expect("an answer")
    }

    /// Sends one request to the admin address; `call` is the method and path.
    pub fn admin_request(&self, method_and_path: &str) -> Message {
        let mut operator = Conn::new(TcpStream::connect(self.admin.unwrap()).unwrap());
        operator.send(format!("{method_and_path} HTTP/1.1\r\nHost: a\r\n\r\n"));
        operator.message().expect("an answer")
    }

    /// The value of one metric of `GET /v1/metrics`.
    pub fn metric(&self, name: &str) -> u64 {
        let metrics = String::from_utf8(self.admin_request("GET /v1/metrics").body).unwrap();
        let value = metrics.lines().find_map(|line| {
            let (key, value) = line.split_once(':')?;
            (key == name).then(|| value.split('|').next().unwrap().parse().unwrap())
        });
        value.unwrap_or_else(|| panic!("no {name} in {metrics}"))
    }

    /// The body of the answer to a safe request, which is the server's name if servers answer with
    /// their names.
    pub fn served_by(&self) -> String {
        String::from_utf8(self.request(safe()).body).unwrap()
    }

    fn signal(&self, signal_option: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([signal_option, &pid]).status().unwrap().success());
    }

    /// Sends SIGTERM, which starts a graceful shutdown.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Stops the process with SIGSTOP until [`Sidecar::resume`].
    pub fn pause(&self) {
        self.signal("-STOP");
    }

    /// Resumes the process after [`Sidecar::pause`].
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reload(&self, config: &str) {
        let new = self.path.with_extension("new");
        std::fs::write(&new, config).unwrap();
        std::fs::rename(&new, &self.path).unwrap();
        self.signal("-HUP");
    }

    /// Sends SIGTERM and returns the exit code.
    pub fn terminate_and_wait(&mut self) -> Option<i32> {
        self.terminate();
        self.exit_code()
    }

    /// Waits for a log line that contains `text`.
    pub fn wait_for_log(&self, text: &str) {
        let log = self.log.lock().unwrap();
        while !receive(&log).contains(text) {}
    }

    /// Waits until the process has exited and returns the exit code.
    pub fn exit_code(&mut self) -> Option<i32> {
        let mut status = None;
        wait_until("exit", || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        });
        status.and_then(|s| s.code())
    }

    /// The number of open file descriptors.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }

    /// The peak resident memory so far, in MB.
    pub fn memory_mb(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find(|l| l.starts_with("VmHWM:")).unwrap();
        line.split_whitespace().nth(1).unwrap().parse::<usize>().unwrap() / 1024
    }
}

/// The first word of the text; the fields of the log event follow it.
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

//! The two forms under test (daemon and library), and what a scenario records of each.

use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use http_body_util::{BodyExt, Full};
use millethook::{Error, Fleet, FleetConfig};
use millethook_testkit::*;
use serde_json::Value;

/// A client request, for either form.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    pub method: &'static str,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

static NEXT_ID: AtomicUsize = AtomicUsize::new(0);

impl ClientRequest {
    fn new(method: &'static str, path: &str, body: &[u8]) -> ClientRequest {
        let id = NEXT_ID.fetch_add(1, Ordering::SeqCst);
        let header = |name: &str, value: &str| (name.to_owned(), value.to_owned());
        let headers = vec![
            header("host", "app.svc"),
            header("x-correlation-id", &format!("c{id:06x}")),
            header("x-account", "acme"),
            header("x-time-left-ms", "900"),
        ];
        ClientRequest { method, path: path.to_owned(), headers, body: body.to_vec() }
    }

    pub fn safe() -> ClientRequest {
        ClientRequest::new("GET", "/look/1?q=2", b"")
    }

    pub fn keyed() -> ClientRequest {
        ClientRequest::new("POST", "/keep", b"body").with("idempotency-key", "5c0f")
    }

    pub fn at_most_once() -> ClientRequest {
        ClientRequest::new("POST", "/order", b"x")
    }

    /// One request of each class.
    pub fn each() -> [ClientRequest; 3] {
        [ClientRequest::safe(), ClientRequest::keyed(), ClientRequest::at_most_once()]
    }

    /// Adds a header.
    pub fn with(mut self, name: &str, value: &str) -> ClientRequest {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Removes a header.
    pub fn without(mut self, name: &str) -> ClientRequest {
        self.headers.retain(|h| h.0 != name);
        self
    }

    pub fn time_left(self, ms: u64) -> ClientRequest {
        self.without("x-time-left-ms").with("x-time-left-ms", &ms.to_string())
    }

    pub fn path(mut self, path: &str) -> ClientRequest {
        self.path = path.to_owned();
        self
    }

    pub fn body(mut self, body: Vec<u8>) -> ClientRequest {
        self.body = body;
        self
    }
}

/// How a request ended, in terms of the protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    Served(Vec<u8>),
    /// Served, and visibly incomplete.
    Incomplete,
    /// Trying again is harmless.
    Refused {
        /// The client was told when to retry.
        retry_after: bool,
    },
    Failed,
    /// Not an acceptable request, with the status.
    Invalid(u16),
}

pub fn served(body: &str) -> Outcome {
    Outcome::Served(body.as_bytes().to_vec())
}

pub const REFUSED: Outcome = Outcome::Refused { retry_after: false };

/// One of the two forms.
pub trait Form: Sized + Sync {
    /// Starts the form and waits until it is ready.
    fn start(config: &Value) -> Self;
    /// Like [`Form::start`], with this text as the product's configuration file.
    fn start_with(config: &Value, product: &str) -> Self;
    /// Sends a request and waits for its end.
    fn request(&self, client_request: ClientRequest) -> Outcome;
    /// Starts graceful shutdown.
    fn shut_down(&self);
}

pub struct Daemon(Sidecar);

impl Form for Daemon {
    fn start(config: &Value) -> Daemon {
        Daemon(Sidecar::start(config))
    }

    fn start_with(config: &Value, product: &str) -> Daemon {
        let file = product_file(product);
        let path = file.to_str().expect("a path");
        let sidecar = Sidecar::start_with(config, &[("MILLETHOOK_CONFIG", path)]);
        std::fs::remove_file(&file).expect("it has been read");
        Daemon(sidecar)
    }

    fn request(&self, client_request: ClientRequest) -> Outcome {
        let fields: String =
            client_request.headers.iter().map(|(n, v)| format!("{n}: {v}\r\n")).collect();
        let length = match client_request.method {
            "GET" => String::new(),
            _ => format!("Content-Length: {}\r\n", client_request.body.len()),
        };
        let head = format!(
            "{} {} HTTP/1.1\r\n{fields}{length}\r\n",
            client_request.method, client_request.path
        );
        let mut client = self.0.client();
        client.send([head.as_bytes(), &client_request.body].concat());
        let got = client.message().expect("an answer");
        match got.status() {
            200 if got.complete => Outcome::Served(got.body),
            200 => Outcome::Incomplete,
            429 | 503 => Outcome::Refused { retry_after: got.header("retry-after").is_some() },
            502 | 504 => Outcome::Failed,
            other => Outcome::Invalid(other),
        }
    }

    fn shut_down(&self) {
        self.0.terminate();
    }
}

pub struct Library {
    runtime: tokio::runtime::Runtime,
    fleet: Fleet,
}

static NEXT_FILE: AtomicUsize = AtomicUsize::new(0);

/// Writes a temporary file with this text.
fn product_file(text: &str) -> PathBuf {
    let n = NEXT_FILE.fetch_add(1, Ordering::SeqCst);
    let path = std::env::temp_dir().join(format!("conformance-{}-{n}.toml", std::process::id()));
    std::fs::write(&path, text).expect("a place for files");
    path
}

static NEXT_FLEET: AtomicUsize = AtomicUsize::new(0);

impl Library {
    /// The configuration under a unique fleet name.
    fn uniquely_named(config: &Value) -> FleetConfig {
        let mut config = config.clone();
        config["name"] = format!("c{}", NEXT_FLEET.fetch_add(1, Ordering::SeqCst)).into();
        FleetConfig::from_json(&config.to_string()).expect("a sound configuration")
    }

    /// Opens the fleet and waits until it is ready.
    fn open(config: FleetConfig) -> Library {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .expect("a runtime");
        let fleet = Fleet::open(config).expect("a fleet");
        let ready =
            runtime.block_on(async { tokio::time::timeout(WAIT_TIMEOUT, fleet.ready()).await });
        assert_eq!(ready, Ok(true), "ready in time");
        Library { runtime, fleet }
    }
}

impl Form for Library {
    fn start(config: &Value) -> Library {
        Library::open(Library::uniquely_named(config))
    }

    fn start_with(config: &Value, product: &str) -> Library {
        let file = product_file(product);
        let config = Library::uniquely_named(config).with_product(&file).expect("a sound file");
        std::fs::remove_file(&file).expect("it has been read");
        Library::open(config)
    }

    fn request(&self, client_request: ClientRequest) -> Outcome {
        let mut request =
            http::Request::builder().method(client_request.method).uri(&client_request.path);
        for (name, value) in &client_request.headers {
            request = request.header(name, value);
        }
        // What is not a valid URI is not a request; a client library rejects it at once.
        let Ok(request) = request.body(Full::new(bytes::Bytes::from(client_request.body))) else {
            return Outcome::Invalid(400);
        };
        self.runtime.block_on(async {
            match self.fleet.call(request).await {
                Ok(answer) => match answer.into_body().collect().await {
                    Ok(body) => Outcome::Served(body.to_bytes().to_vec()),
                    Err(_) => Outcome::Incomplete,
                },
                Err(Error::Refused { retry_after, .. }) => {
                    Outcome::Refused { retry_after: retry_after.is_some() }
                }
                Err(Error::Closed) => REFUSED,
                Err(Error::Failed { .. }) => Outcome::Failed,
                Err(other) => Outcome::Invalid(other.status().as_u16()),
            }
        })
    }

    fn shut_down(&self) {
        let fleet = self.fleet.clone();
        self.runtime.spawn(async move { fleet.drain(Duration::from_secs(5)).await });
    }
}

/// The results that have to be equal in both forms.
#[derive(Debug, PartialEq, Eq)]
pub struct Record {
    /// How the requests ended, in the order in which they were sent.
    pub outcomes: Vec<Outcome>,
    /// What servers received, in order: server, method and target, key, body.
    pub seen: Vec<(usize, String, Option<String>, Vec<u8>)>,
}

impl Record {
    pub fn of(outcomes: Vec<Outcome>, group: &ServerGroup) -> Record {
        let line = |a: Attempt| (a.server, a.line, a.key, a.message.body);
        Record { outcomes, seen: group.seen().into_iter().map(line).collect() }
    }

    /// Like [`Record::of`] without the server, where any of several may be chosen.
    pub fn without_server(outcomes: Vec<Outcome>, group: &ServerGroup) -> Record {
        let mut record = Record::of(outcomes, group);
        record.seen.iter_mut().for_each(|seen| seen.0 = 0);
        record
    }

    /// The number of attempts.
    pub fn attempts(&self) -> usize {
        self.seen.len()
    }
}

/// Starts a form with the servers of a group, all in one zone.
pub fn start<F: Form>(group: &ServerGroup, customize: impl FnOnce(&mut Value)) -> (F, Agent) {
    let agent = Agent::start(group.hosts());
    (F::start(&config(agent.address, customize)), agent)
}

/// Starts a form with the servers of a group and default settings, and sends these requests one
/// after another.
pub fn send_all<F: Form>(
    group: &ServerGroup,
    requests: impl IntoIterator<Item = ClientRequest>,
) -> Vec<Outcome> {
    let (form, _agent) = start::<F>(group, |_| {});
    requests.into_iter().map(|client_request| form.request(client_request)).collect()
}

/// A form whose settings have no price for handshakes.
pub struct WithoutHandshakePrice<F>(F);

impl<F: Form> WithoutHandshakePrice<F> {
    fn without_price(config: &Value) -> Value {
        let mut config = config.clone();
        if let Some(prices) = config["settings"]["prices"].as_object_mut() {
            prices.remove("handshake");
        }
        config
    }
}

impl<F: Form> Form for WithoutHandshakePrice<F> {
    fn start(config: &Value) -> WithoutHandshakePrice<F> {
        WithoutHandshakePrice(F::start(&Self::without_price(config)))
    }

    fn start_with(config: &Value, product: &str) -> WithoutHandshakePrice<F> {
        WithoutHandshakePrice(F::start_with(&Self::without_price(config), product))
    }

    fn request(&self, client_request: ClientRequest) -> Outcome {
        self.0.request(client_request)
    }

    fn shut_down(&self) {
        self.0.shut_down();
    }
}

/// The product file of a deployment with `reuse = "proven"`.
pub const PROVEN: &str = "[connections]\nreuse = \"proven\"\n";
/// The product file of a deployment that reuses connections without limit.
pub const UNLIMITED: &str = "[connections]\nreuse = \"unlimited\"\n";

/// Defines a test for each scenario, which runs it in both forms and compares the results. Settings
/// have no price for handshakes.
macro_rules! in_both_forms {
    ($($name:ident),* $(,)?) => {
        mod in_both_forms {
            use crate::form::{Daemon, Library, WithoutHandshakePrice, run_in_both_forms};
            $(
                #[test]
                fn $name() {
                    run_in_both_forms(super::$name::<WithoutHandshakePrice<Daemon>>, super::$name::<WithoutHandshakePrice<Library>>);
                }
            )*
        }
    };
}
pub(crate) use in_both_forms;

/// Like [`in_both_forms`], with a price for handshakes, as in the platform's settings.
macro_rules! where_handshakes_cost {
    ($($name:ident),* $(,)?) => {
        mod where_handshakes_cost {
            use crate::form::{Daemon, Library, run_in_both_forms};
            $(
                #[test]
                fn $name() {
                    run_in_both_forms(super::$name::<Daemon>, super::$name::<Library>);
                }
            )*
        }
    };
}
pub(crate) use where_handshakes_cost;

/// Defines the tests of both macros.
macro_rules! with_and_without_handshake_price {
    ($($name:ident),* $(,)?) => {
        crate::form::in_both_forms!($($name),*);
        crate::form::where_handshakes_cost!($($name),*);
    };
}
pub(crate) use with_and_without_handshake_price;

/// Runs a scenario in both forms and compares the results.
pub fn run_in_both_forms<R: PartialEq + std::fmt::Debug>(daemon: fn() -> R, library: fn() -> R) {
    assert_eq!(daemon(), library(), "the daemon's record and the library's");
}

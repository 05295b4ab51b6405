//! The forms, and what a scenario tells of one.

use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use http_body_util::{BodyExt, Full};
use millethook::{Error, Fleet, FleetConfig};
use millethook_testkit::*;
use serde_json::Value;

/// A request as a client makes it, in either form.
#[derive(Clone, Debug)]
pub struct Ask {
    pub method: &'static str,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

static IDS: AtomicUsize = AtomicUsize::new(0);

impl Ask {
    fn new(method: &'static str, path: &str, body: &[u8]) -> Ask {
        let id = IDS.fetch_add(1, Ordering::SeqCst);
        let header = |name: &str, value: &str| (name.to_owned(), value.to_owned());
        let headers = vec![
            header("host", "app.svc"),
            header("x-correlation-id", &format!("c{id:06x}")),
            header("x-account", "acme"),
            header("x-time-left-ms", "900"),
        ];
        Ask { method, path: path.to_owned(), headers, body: body.to_vec() }
    }

    pub fn safe() -> Ask {
        Ask::new("GET", "/look/1?q=2", b"")
    }

    pub fn keyed() -> Ask {
        Ask::new("POST", "/keep", b"body").with("idempotency-key", "5c0f")
    }

    pub fn at_most_once() -> Ask {
        Ask::new("POST", "/order", b"x")
    }

    /// One of each class.
    pub fn each() -> [Ask; 3] {
        [Ask::safe(), Ask::keyed(), Ask::at_most_once()]
    }

    /// With one more header.
    pub fn with(mut self, name: &str, value: &str) -> Ask {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Without a header.
    pub fn without(mut self, name: &str) -> Ask {
        self.headers.retain(|h| h.0 != name);
        self
    }

    pub fn left(self, ms: u64) -> Ask {
        self.without("x-time-left-ms").with("x-time-left-ms", &ms.to_string())
    }

    pub fn path(mut self, path: &str) -> Ask {
        self.path = path.to_owned();
        self
    }

    pub fn body(mut self, body: Vec<u8>) -> Ask {
        self.body = body;
        self
    }
}

/// How a request ended, as the protocol has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    Served(Vec<u8>),
    /// Served, and visibly not whole.
    Broken,
    /// Trying again is harmless.
    Refused {
        /// The client was told when.
        told: bool,
    },
    Failed,
    /// Not a request that can be taken.
    Invalid(u16),
}

pub fn served(body: &str) -> End {
    End::Served(body.as_bytes().to_vec())
}

pub const REFUSED: End = End::Refused { told: false };

/// One of the two.
pub trait Form: Sized + Sync {
    /// Starts it and waits until it is ready.
    fn start(config: &Value) -> Self;
    /// The same with this text as the product's own file.
    fn start_with(config: &Value, product: &str) -> Self;
    /// Makes a request and waits for its end.
    fn request(&self, ask: Ask) -> End;
    /// Begins the planned end.
    fn end(&self);
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

    fn request(&self, ask: Ask) -> End {
        let fields: String = ask.headers.iter().map(|(n, v)| format!("{n}: {v}\r\n")).collect();
        let length = match ask.method {
            "GET" => String::new(),
            _ => format!("Content-Length: {}\r\n", ask.body.len()),
        };
        let head = format!("{} {} HTTP/1.1\r\n{fields}{length}\r\n", ask.method, ask.path);
        let mut client = self.0.client();
        client.send([head.as_bytes(), &ask.body].concat());
        let got = client.message().expect("an answer");
        match got.status() {
            200 if got.complete => End::Served(got.body),
            200 => End::Broken,
            429 | 503 => End::Refused { told: got.header("retry-after").is_some() },
            502 | 504 => End::Failed,
            other => End::Invalid(other),
        }
    }

    fn end(&self) {
        self.0.terminate();
    }
}

pub struct Library {
    runtime: tokio::runtime::Runtime,
    fleet: Fleet,
}

static FILES: AtomicUsize = AtomicUsize::new(0);

/// A file with this text.
fn product_file(text: &str) -> PathBuf {
    let n = FILES.fetch_add(1, Ordering::SeqCst);
    let path = std::env::temp_dir().join(format!("conformance-{}-{n}.toml", std::process::id()));
    std::fs::write(&path, text).expect("a place for files");
    path
}

static FLEETS: AtomicUsize = AtomicUsize::new(0);

impl Library {
    /// A configuration under a name of its own.
    fn configured(config: &Value) -> FleetConfig {
        let mut config = config.clone();
        config["name"] = format!("c{}", FLEETS.fetch_add(1, Ordering::SeqCst)).into();
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
        Library::open(Library::configured(config))
    }

    fn start_with(config: &Value, product: &str) -> Library {
        let file = product_file(product);
        let config = Library::configured(config).with_product(&file).expect("a sound file");
        std::fs::remove_file(&file).expect("it has been read");
        Library::open(config)
    }

    fn request(&self, ask: Ask) -> End {
        let mut request = http::Request::builder().method(ask.method).uri(&ask.path);
        for (name, value) in &ask.headers {
            request = request.header(name, value);
        }
        // A client library would tell so at once: what is no URI is no request.
        let Ok(request) = request.body(Full::new(bytes::Bytes::from(ask.body))) else {
            return End::Invalid(400);
        };
        self.runtime.block_on(async {
            match self.fleet.call(request).await {
                Ok(answer) => match answer.into_body().collect().await {
                    Ok(body) => End::Served(body.to_bytes().to_vec()),
                    Err(_) => End::Broken,
                },
                Err(Error::Refused { retry_after, .. }) => {
                    End::Refused { told: retry_after.is_some() }
                }
                Err(Error::Closed) => REFUSED,
                Err(Error::Failed { .. }) => End::Failed,
                Err(other) => End::Invalid(other.status().as_u16()),
            }
        })
    }

    fn end(&self) {
        let fleet = self.fleet.clone();
        self.runtime.spawn(async move { fleet.drain(Duration::from_secs(5)).await });
    }
}

/// What is to be equal in both forms.
#[derive(Debug, PartialEq, Eq)]
pub struct Record {
    /// How the requests ended, in the order in which they were made.
    pub ends: Vec<End>,
    /// What servers saw: which one, method and target, key, body; in the order in which it came.
    pub seen: Vec<(usize, String, Option<String>, Vec<u8>)>,
}

impl Record {
    pub fn of(ends: Vec<End>, stage: &ServerGroup) -> Record {
        let line = |a: Attempt| (a.server, a.line, a.key, a.message.body);
        Record { ends, seen: stage.seen().into_iter().map(line).collect() }
    }

    /// The same without telling which server it was: where several may be chosen.
    pub fn anywhere(ends: Vec<End>, stage: &ServerGroup) -> Record {
        let mut record = Record::of(ends, stage);
        record.seen.iter_mut().for_each(|seen| seen.0 = 0);
        record
    }

    /// How many attempts there were.
    pub fn attempts(&self) -> usize {
        self.seen.len()
    }
}

/// A form with a stage's servers, all of one zone.
pub fn start<F: Form>(stage: &ServerGroup, change: impl FnOnce(&mut Value)) -> (F, Agent) {
    let agent = Agent::start(stage.hosts());
    (F::start(&config(agent.address, change)), agent)
}

/// A form with a stage's servers and the usual settings; asks these one after another.
pub fn asked<F: Form>(stage: &ServerGroup, asks: impl IntoIterator<Item = Ask>) -> Vec<End> {
    let (form, _agent) = start::<F>(stage, |_| {});
    asks.into_iter().map(|ask| form.request(ask)).collect()
}

/// A form whose settings put no price on handshakes.
pub struct Unpriced<F>(F);

impl<F: Form> Unpriced<F> {
    fn without_price(config: &Value) -> Value {
        let mut config = config.clone();
        if let Some(prices) = config["settings"]["prices"].as_object_mut() {
            prices.remove("handshake");
        }
        config
    }
}

impl<F: Form> Form for Unpriced<F> {
    fn start(config: &Value) -> Unpriced<F> {
        Unpriced(F::start(&Self::without_price(config)))
    }

    fn start_with(config: &Value, product: &str) -> Unpriced<F> {
        Unpriced(F::start_with(&Self::without_price(config), product))
    }

    fn request(&self, ask: Ask) -> End {
        self.0.request(ask)
    }

    fn end(&self) {
        self.0.end();
    }
}

/// The product's file of a deployment that has answers proven.
pub const PROVEN: &str = "[connections]\nreuse = \"proven\"\n";
/// That of one whose connections are used for any number of requests.
pub const UNLIMITED: &str = "[connections]\nreuse = \"unlimited\"\n";

/// A test of each scenario: it is played in both forms, and tells the same of both. Settings put no price on handshakes.
macro_rules! in_both_forms {
    ($($name:ident),* $(,)?) => {
        mod in_both_forms {
            use crate::form::{Daemon, Library, Unpriced, alike};
            $(
                #[test]
                fn $name() {
                    alike(super::$name::<Unpriced<Daemon>>, super::$name::<Unpriced<Library>>);
                }
            )*
        }
    };
}
pub(crate) use in_both_forms;

/// The same where settings price a handshake, as the platform's do.
macro_rules! where_handshakes_cost {
    ($($name:ident),* $(,)?) => {
        mod where_handshakes_cost {
            use crate::form::{Daemon, Library, alike};
            $(
                #[test]
                fn $name() {
                    alike(super::$name::<Daemon>, super::$name::<Library>);
                }
            )*
        }
    };
}
pub(crate) use where_handshakes_cost;

/// Both.
macro_rules! at_either_price {
    ($($name:ident),* $(,)?) => {
        crate::form::in_both_forms!($($name),*);
        crate::form::where_handshakes_cost!($($name),*);
    };
}
pub(crate) use at_either_price;

/// Plays a scenario in both forms.
pub fn alike<R: PartialEq + std::fmt::Debug>(daemon: fn() -> R, library: fn() -> R) {
    assert_eq!(daemon(), library(), "the daemon's record and the library's");
}

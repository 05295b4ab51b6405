//! The product's own configuration file, in TOML.
//!
//! It holds what the platform's `LB_CONFIG` knows nothing of. Everything in it is off until it is written
//! there. A file is read whole: all that is wrong with it is told at once, each with its line, its key and
//! what was expected, and nothing of a file with an error is used. `deploy/millethook.toml` is the commented
//! reference of every key.
#![forbid(unsafe_code)]

mod distribution;
mod reader;

use std::fmt;
use std::path::{Path, PathBuf};
use std::time::Duration;

pub use distribution::{ControlNode, Distribution};
use reader::Reader;

/// The largest file that is read.
const LARGEST: u64 = 1 << 20;

/// The whole file. A section that is not there is None: what it configures is off.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ProductConfig {
    /// `[log]`
    pub log: Log,
    /// `[membership]`
    pub membership: Option<Membership>,
    /// `[connections]`
    pub connections: Connections,
    /// `[failover]`
    pub failover: Option<Failover>,
    /// `[fleet]`
    pub fleet: Option<Fleet>,
    /// `[lease]`
    pub lease: Option<Lease>,
    /// `[edge]`
    pub edge: Option<Edge>,
    /// `[distribution]`
    pub distribution: Option<Distribution>,
}

/// How log lines are written.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Log {
    /// Text or JSON lines.
    pub format: LogFormat,
    /// Directives of `tracing-subscriber`'s `EnvFilter`: a level, or levels by target.
    pub filter: Option<String>,
}

/// The form of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// For people.
    #[default]
    Text,
    /// A JSON object a line, for programs.
    Json,
}

/// How the list of servers outlives the process.
#[derive(Clone, Debug, PartialEq)]
pub struct Membership {
    /// Where the list is kept; None: nothing is written, but lists are still weighed.
    pub snapshot: Option<PathBuf>,
    /// The least time between two writes.
    pub write_every: Duration,
    /// A server of the kept list is used at once while the chance that it is still there is at least this.
    pub usable_above: f64,
    /// Below this chance it is not even tried.
    pub dropped_below: f64,
    /// Trials of doubtful servers a second.
    pub trials_per_second: f64,
    /// Trials at once.
    pub trials_at_once: usize,
    /// The first trials fall at random into this time.
    pub trial_spread: Duration,
    /// The page that a trial asks for.
    pub trial_page: String,
    /// The header in which a server tells its name there.
    pub identity_header: Option<String>,
    /// A whole list with less than this share of the known servers is held as suspect; 0: never.
    pub suspect_share: f64,
    /// For how long it is held.
    pub suspect_hold: Duration,
}

impl Default for Membership {
    fn default() -> Membership {
        Membership {
            snapshot: None,
            write_every: Duration::from_secs(10),
            usable_above: 0.9,
            dropped_below: 0.02,
            trials_per_second: 2.0,
            trials_at_once: 4,
            trial_spread: Duration::from_secs(2),
            trial_page: "/health/live".into(),
            identity_header: None,
            suspect_share: 0.1,
            suspect_hold: Duration::from_secs(30),
        }
    }
}

/// What bounds connections to one server, where it is not as usual.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Connections {
    /// Connections to one server, whatever they do.
    pub per_server: Option<usize>,
    /// Handshakes with one server at once.
    pub opening: Option<usize>,
    /// Connections opened ahead while use rises.
    pub spare: Option<usize>,
    /// For how many requests each is used.
    pub reuse: Option<Reuse>,
}

/// For how many requests a connection to a server is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// For any number: which request an answer was made for is not proven.
    Unlimited,
    /// For two, so that each answer is proven to be its request's own.
    Proven,
}

/// What is done about slow and silent servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Failover {
    /// Another attempt at the aim, where a server has said nothing.
    pub copy_at_aim: bool,
    /// How steeply slow servers get less.
    pub slow_exponent: f64,
}

/// How sidecars keep a view of one another.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// What another fleet says is not heard.
    pub name: String,
    /// Time between two probes.
    pub period: Duration,
    /// Bytes a second that one process may send to others.
    pub bytes_per_second: u32,
    /// Whether sidecars tell one another what they meet at servers, and which servers go.
    pub share_evidence: bool,
}

/// One owner at a time for work of the fleet. Needs `[fleet]`.
#[derive(Clone, Debug, PartialEq)]
pub struct Lease {
    /// Members that grant a job: 3, 5 or 7.
    pub seats: usize,
    /// The longest lease.
    pub longest: Duration,
    /// How much faster or slower than true time any clock runs, at most.
    pub drift: f64,
    /// A list of peers that was replaced is heeded for so long at most.
    pub change: Duration,
    /// Whether one sidecar of each zone tries a server that the fleet doubts.
    pub dead_servers: bool,
}

/// Writes that are kept while no server can be reached. Needs `[lease]`.
#[derive(Clone, Debug, PartialEq)]
pub struct Edge {
    /// Where stores are; sidecars of one host may share it.
    pub folder: PathBuf,
    /// Classes whose writes may be kept.
    pub classes: Vec<String>,
    /// Megabytes that one process keeps at most.
    pub most_mb: usize,
    /// Writes without an end that it keeps at most.
    pub most_writes: usize,
    /// What is kept for longer has expired.
    pub keep: Duration,
    /// For so long a write waits for one that it comes after.
    pub forerunner: Duration,
    /// Whether one whose forerunner failed, or never came, goes all the same.
    pub go_on: bool,
    /// Writes of one store that are out at once.
    pub at_once: usize,
    /// Writes a second that all stores of the fleet send together, at most.
    pub fleet_per_second: f64,
    /// A disk that is busy for longer is slow.
    pub slow: Duration,
}

/// One thing that is wrong with a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Its line, from 1.
    pub line: usize,
    /// The key, with its sections.
    pub key: String,
    /// What was expected there, or what is wrong.
    pub text: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Fault { line, key, text } = self;
        match key.is_empty() {
            true => write!(f, "line {line}: {text}"),
            false => write!(f, "line {line}: {key}: {text}"),
        }
    }
}

/// Why there is no configuration.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file cannot be read.
    #[error("{path}: {cause}")]
    Io {
        /// Which file.
        path: PathBuf,
        /// What the system said.
        cause: std::io::Error,
    },
    /// All that is wrong with it.
    #[error("{}", lines(.path, .faults))]
    Faults {
        /// Which file.
        path: PathBuf,
        /// At least one, by line.
        faults: Vec<Fault>,
    },
}

fn lines(path: &Path, faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(|f| format!("{}: {f}", path.display())).collect();
    lines.join("\n")
}

impl ProductConfig {
    /// Reads a file.
    ///
    /// # Errors
    /// The file cannot be read, or has faults; all of them are told.
    pub fn from_file(path: &Path) -> Result<ProductConfig, Error> {
        let io = |cause| Error::Io { path: path.to_owned(), cause };
        let size = std::fs::metadata(path).map_err(io)?.len();
        if size > LARGEST {
            let text = format!("{size} bytes, {LARGEST} at most expected");
            return Err(io(std::io::Error::other(text)));
        }
        let text = std::fs::read_to_string(path).map_err(io)?;
        let faults = |faults| Error::Faults { path: path.to_owned(), faults };
        ProductConfig::from_toml(&text).map_err(faults)
    }

    /// Reads the file's text.
    ///
    /// # Errors
    /// All faults, by line.
    pub fn from_toml(text: &str) -> Result<ProductConfig, Vec<Fault>> {
        let mut r = Reader::parse(text)?;
        let mut product = ProductConfig::default();
        r.section("log", |r| {
            let format = r.word("format", &["text", "json"]);
            product.log.format = match format.as_deref() {
                Some("json") => LogFormat::Json,
                _ => LogFormat::Text,
            };
            product.log.filter = r.string("filter", "levels, as \"info,millethook_engine=debug\"");
        });
        r.section("membership", |r| {
            let usual = Membership::default();
            let seconds = |r: &mut Reader<'_>, key: &str, usual: Duration, least: f64| {
                let given = r.number(key, least..=86_400.0, "seconds");
                given.map_or(usual, Duration::from_secs_f64)
            };
            product.membership = Some(Membership {
                snapshot: r.string("snapshot", "a path").map(PathBuf::from),
                write_every: seconds(r, "write_every_s", usual.write_every, 0.1),
                usable_above: r.share("usable_above").unwrap_or(usual.usable_above),
                dropped_below: r.share("dropped_below").unwrap_or(usual.dropped_below),
                trials_per_second: r
                    .number("trials_per_second", 0.01..=1000.0, "trials")
                    .unwrap_or(usual.trials_per_second),
                trials_at_once: r.count("trials_at_once", 1..=256).unwrap_or(usual.trials_at_once),
                trial_spread: seconds(r, "trial_spread_s", usual.trial_spread, 0.0),
                trial_page: r
                    .string_that("trial_page", "a path that begins with /", |s| s.starts_with('/'))
                    .unwrap_or(usual.trial_page),
                identity_header: r.string_that("identity_header", "a header's name", is_token),
                suspect_share: r.share("suspect_share").unwrap_or(usual.suspect_share),
                suspect_hold: seconds(r, "suspect_hold_s", usual.suspect_hold, 0.0),
            });
        });
        r.section("connections", |r| {
            product.connections = Connections {
                per_server: r.count("per_server", 1..=65_535),
                opening: r.count("opening", 1..=65_535),
                spare: r.count("spare", 0..=65_535),
                reuse: r.word("reuse", &["unlimited", "proven"]).map(|word| match word.as_str() {
                    "proven" => Reuse::Proven,
                    _ => Reuse::Unlimited,
                }),
            };
        });
        r.section("failover", |r| {
            product.failover = Some(Failover {
                copy_at_aim: r.flag("copy_at_aim").unwrap_or(true),
                slow_exponent: r.number("slow_exponent", 1.0..=8.0, "a figure").unwrap_or(6.0),
            });
        });
        r.section("fleet", |r| {
            let period = r.number("period_s", 0.1..=60.0, "seconds").unwrap_or(1.0);
            product.fleet = Some(Fleet {
                name: r.string("name", "a name").unwrap_or_else(|| "millethook".into()),
                period: Duration::from_secs_f64(period),
                bytes_per_second: r.count("bytes_per_second", 256..=1_000_000).unwrap_or(1_500)
                    as u32,
                share_evidence: r.flag("share_evidence").unwrap_or(false),
            });
        });
        r.section("lease", |r| {
            let seats = r.count("seats", 3..=7).unwrap_or(5);
            if seats % 2 == 0 {
                r.fault_at("lease", "seats", format!("3, 5 or 7 expected, not {seats}"));
            }
            let seconds = |r: &mut Reader<'_>, key: &str, usual: f64, least: f64, most: f64| {
                Duration::from_secs_f64(r.number(key, least..=most, "seconds").unwrap_or(usual))
            };
            product.lease = Some(Lease {
                seats,
                longest: seconds(r, "longest_s", 6.0, 0.5, 60.0),
                drift: r.number("drift", 0.0..=0.2, "a share").unwrap_or(0.01),
                change: seconds(r, "change_s", 3_600.0, 1.0, 86_400.0),
                dead_servers: r.flag("dead_servers").unwrap_or(false),
            });
        });
        r.section("edge", |r| {
            let seconds = |r: &mut Reader<'_>, key: &str, usual: f64, least: f64, most: f64| {
                Duration::from_secs_f64(r.number(key, least..=most, "seconds").unwrap_or(usual))
            };
            let after = r.word("after_failed", &["apart", "go_on"]);
            let folder = r.string("folder", "a path");
            if folder.is_none() {
                r.fault_at("edge", "folder", "a path expected".into());
            }
            product.edge = Some(Edge {
                folder: folder.unwrap_or_default().into(),
                classes: r.names("classes"),
                most_mb: r.count("most_mb", 1..=65_536).unwrap_or(64),
                most_writes: r.count("most_writes", 1..=1_000_000).unwrap_or(20_000),
                keep: seconds(r, "keep_s", 86_400.0, 1.0, 2_592_000.0),
                forerunner: seconds(r, "forerunner_s", 60.0, 1.0, 86_400.0),
                go_on: after.as_deref() == Some("go_on"),
                at_once: r.count("at_once", 1..=256).unwrap_or(4),
                fleet_per_second: r
                    .number("fleet_per_second", 0.1..=100_000.0, "writes")
                    .unwrap_or(1_000.0),
                slow: seconds(r, "slow_s", 0.1, 0.001, 10.0),
            });
        });
        r.section("distribution", |r| product.distribution = Some(distribution::read(r)));
        if let Some(of) = &product.distribution {
            let beside = distribution::Beside {
                fleet: product.fleet.is_some(),
                lease: product.lease.is_some(),
                membership: product.membership.is_some(),
            };
            distribution::check(of, beside, &mut r);
        }
        if product.edge.is_some() && product.lease.is_none() {
            r.fault_at("edge", "", "a section [lease] expected beside it".into());
        }
        let shares = product.fleet.as_ref().map(|fleet| fleet.share_evidence);
        if product.lease.is_some() && shares.is_none() {
            r.fault_at("lease", "", "a section [fleet] expected beside it".into());
        } else if product.lease.as_ref().is_some_and(|l| l.dead_servers) && shares != Some(true) {
            let text = "fleet.share_evidence = true expected beside it".into();
            r.fault_at("lease", "dead_servers", text);
        }
        if let Some(m) = product.membership.as_ref().filter(|m| m.dropped_below > m.usable_above) {
            let text = format!("{} at most expected, as usable_above says", m.usable_above);
            r.fault_at("membership", "dropped_below", text);
        }
        r.finish().map(|()| product)
    }
}

/// A token of HTTP (RFC 9110, section 5.6.2).
fn is_token(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b);
    !text.is_empty() && text.bytes().all(allowed)
}

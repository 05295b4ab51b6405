//! The product's own configuration file, in TOML.
//!
//! It configures features that the platform's `LB_CONFIG` does not cover. A feature is off until the file has a section
//! for it. All errors of a file are reported together, each with its line, its key and what was expected, and a file with
//! an error is not used at all. `deploy/millethook.toml` is the commented reference of all keys.
#![forbid(unsafe_code)]

mod distribution;
mod reader;

use std::fmt;
use std::path::{Path, PathBuf};
use std::time::Duration;

pub use distribution::{ControlNode, Distribution};
use reader::Reader;

/// The largest file that is read, in bytes.
const MAX_FILE_BYTES: u64 = 1 << 20;

/// The content of the file. A missing section is None, and its feature is off.
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

/// The settings of the log.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Log {
    /// The format of log lines.
    pub format: LogFormat,
    /// Directives for `tracing-subscriber`'s `EnvFilter`: a level, or levels by target.
    pub filter: Option<String>,
}

/// The format of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Text for people.
    #[default]
    Text,
    /// One JSON object per line, for programs.
    Json,
}

/// How the server list is kept across restarts.
#[derive(Clone, Debug, PartialEq)]
pub struct Membership {
    /// The snapshot file of the list. None: no snapshot is written, but lists are still rated by age.
    pub snapshot: Option<PathBuf>,
    /// The minimum time between two writes.
    pub write_every: Duration,
    /// A server of the snapshot is used at once while the probability that it still exists is at least this.
    pub usable_above: f64,
    /// Below this probability, a server of the snapshot is dropped without a trial.
    pub dropped_below: f64,
    /// Trials of doubtful servers per second.
    pub trials_per_second: f64,
    /// The maximum number of concurrent trials.
    pub trials_at_once: usize,
    /// The first trials are spread at random over this time.
    pub trial_spread: Duration,
    /// The path that a trial requests.
    pub trial_page: String,
    /// The header of the answer to a trial in which a server gives its name.
    pub identity_header: Option<String>,
    /// A full list with less than this share of the known servers is held as suspect. 0: never.
    pub suspect_share: f64,
    /// How long a suspect list is held.
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

/// Limits of the connections to one server, where they differ from the defaults.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Connections {
    /// The maximum number of connections to one server, in any state.
    pub per_server: Option<usize>,
    /// The maximum number of concurrent handshakes with one server.
    pub opening: Option<usize>,
    /// The number of connections that are opened in advance while the load rises.
    pub spare: Option<usize>,
    /// For how many requests a connection is used.
    pub reuse: Option<Reuse>,
}

/// For how many requests a connection to a server is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// For any number of requests: it is not proven which request an answer belongs to.
    Unlimited,
    /// For two requests, so that each answer is proven to belong to its request.
    Proven,
}

/// How slow and unresponsive servers are handled.
#[derive(Clone, Debug, PartialEq)]
pub struct Failover {
    /// Whether a hedge is sent when the request has reached its aim and the server has not answered.
    pub copy_at_aim: bool,
    /// The exponent by which slow servers get fewer requests.
    pub slow_exponent: f64,
}

/// How sidecars keep a view of one another.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// The name of the fleet. Messages of other fleets are ignored.
    pub name: String,
    /// The interval between two probes.
    pub period: Duration,
    /// Bytes per second that one process may send to others.
    pub bytes_per_second: u32,
    /// Whether sidecars share their evidence on servers, and which servers leave.
    pub share_evidence: bool,
}

/// Leases, which give each job of the fleet one owner at a time. Needs `[fleet]`.
#[derive(Clone, Debug, PartialEq)]
pub struct Lease {
    /// The number of members that grant a lease: 3, 5 or 7.
    pub seats: usize,
    /// The maximum duration of a lease.
    pub longest: Duration,
    /// The maximum drift of any clock from true time, as a share.
    pub drift: f64,
    /// How long a replaced list of peers still counts, at most.
    pub change: Duration,
    /// Whether only one sidecar of each zone tries a server that the fleet suspects to be dead.
    pub dead_servers: bool,
}

/// Writes that are stored while no server can be reached. Needs `[lease]`.
#[derive(Clone, Debug, PartialEq)]
pub struct Edge {
    /// The folder of the stores. Sidecars of one host may share it.
    pub folder: PathBuf,
    /// Classes whose writes may be stored.
    pub classes: Vec<String>,
    /// The maximum size of the writes that one process stores, in megabytes.
    pub most_mb: usize,
    /// The maximum number of unfinished writes that one process stores.
    pub most_writes: usize,
    /// How long a write is stored before it expires.
    pub keep: Duration,
    /// How long a write waits for the write before it.
    pub forerunner: Duration,
    /// Whether a write is sent even if the write before it failed or never arrived.
    pub go_on: bool,
    /// The maximum number of concurrently open writes of one store.
    pub at_once: usize,
    /// The maximum number of writes per second that all stores of the fleet send together.
    pub fleet_per_second: f64,
    /// A disk operation that takes longer than this counts as slow.
    pub slow: Duration,
}

/// An error in a configuration file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The line, starting at 1.
    pub line: usize,
    /// The key, with its sections. Empty if the file is not valid TOML.
    pub key: String,
    /// What was expected, or what is wrong.
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

/// Why a configuration file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file cannot be read.
    #[error("{path}: {cause}")]
    Io {
        /// The file.
        path: PathBuf,
        /// The operating system's error.
        cause: std::io::Error,
    },
    /// The file has errors.
    #[error("{}", format_faults(.path, .faults))]
    Faults {
        /// The file.
        path: PathBuf,
        /// All errors, sorted by line. There is at least one.
        faults: Vec<Fault>,
    },
}

fn format_faults(path: &Path, faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(|f| format!("{}: {f}", path.display())).collect();
    lines.join("\n")
}

impl ProductConfig {
    /// Reads a configuration file.
    ///
    /// # Errors
    /// The file cannot be read, or it has errors. All of them are reported.
    pub fn from_file(path: &Path) -> Result<ProductConfig, Error> {
        let io = |cause| Error::Io { path: path.to_owned(), cause };
        let size = std::fs::metadata(path).map_err(io)?.len();
        if size > MAX_FILE_BYTES {
            let text = format!("{size} bytes, {MAX_FILE_BYTES} at most expected");
            return Err(io(std::io::Error::other(text)));
        }
        let text = std::fs::read_to_string(path).map_err(io)?;
        let faults = |faults| Error::Faults { path: path.to_owned(), faults };
        ProductConfig::from_toml(&text).map_err(faults)
    }

    /// Reads the text of a configuration file.
    ///
    /// # Errors
    /// All errors of the text, sorted by line.
    pub fn from_toml(text: &str) -> Result<ProductConfig, Vec<Fault>> {
        let mut r = Reader::parse(text)?;
        let mut product = ProductConfig::default();
        r.section("log", |r| {
            let format = r.one_of("format", &["text", "json"]);
            product.log.format = match format.as_deref() {
                Some("json") => LogFormat::Json,
                _ => LogFormat::Text,
            };
            product.log.filter = r.string("filter", "levels, as \"info,millethook_engine=debug\"");
        });
        r.section("membership", |r| {
            let defaults = Membership::default();
            let seconds = |r: &mut Reader<'_>, key: &str, default: Duration, least: f64| {
                let given = r.number(key, least..=86_400.0, "seconds");
                given.map_or(default, Duration::from_secs_f64)
            };
            product.membership = Some(Membership {
                snapshot: r.string("snapshot", "a path").map(PathBuf::from),
                write_every: seconds(r, "write_every_s", defaults.write_every, 0.1),
                usable_above: r.share("usable_above").unwrap_or(defaults.usable_above),
                dropped_below: r.share("dropped_below").unwrap_or(defaults.dropped_below),
                trials_per_second: r
                    .number("trials_per_second", 0.01..=1000.0, "trials")
                    .unwrap_or(defaults.trials_per_second),
                trials_at_once: r
                    .count("trials_at_once", 1..=256)
                    .unwrap_or(defaults.trials_at_once),
                trial_spread: seconds(r, "trial_spread_s", defaults.trial_spread, 0.0),
                trial_page: r
                    .string_that("trial_page", "a path that begins with /", |s| s.starts_with('/'))
                    .unwrap_or(defaults.trial_page),
                identity_header: r.string_that("identity_header", "a header's name", is_token),
                suspect_share: r.share("suspect_share").unwrap_or(defaults.suspect_share),
                suspect_hold: seconds(r, "suspect_hold_s", defaults.suspect_hold, 0.0),
            });
        });
        r.section("connections", |r| {
            product.connections = Connections {
                per_server: r.count("per_server", 1..=65_535),
                opening: r.count("opening", 1..=65_535),
                spare: r.count("spare", 0..=65_535),
                reuse: r.one_of("reuse", &["unlimited", "proven"]).map(|reuse| {
                    match reuse.as_str() {
                        "proven" => Reuse::Proven,
                        _ => Reuse::Unlimited,
                    }
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
                r.report_at("lease", "seats", format!("3, 5 or 7 expected, not {seats}"));
            }
            let seconds = |r: &mut Reader<'_>, key: &str, default: f64, least: f64, most: f64| {
                Duration::from_secs_f64(r.number(key, least..=most, "seconds").unwrap_or(default))
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
            let seconds = |r: &mut Reader<'_>, key: &str, default: f64, least: f64, most: f64| {
                Duration::from_secs_f64(r.number(key, least..=most, "seconds").unwrap_or(default))
            };
            let after_failed = r.one_of("after_failed", &["apart", "go_on"]);
            let folder = r.string("folder", "a path");
            if folder.is_none() {
                r.report_at("edge", "folder", "a path expected".into());
            }
            product.edge = Some(Edge {
                folder: folder.unwrap_or_default().into(),
                classes: r.names("classes"),
                most_mb: r.count("most_mb", 1..=65_536).unwrap_or(64),
                most_writes: r.count("most_writes", 1..=1_000_000).unwrap_or(20_000),
                keep: seconds(r, "keep_s", 86_400.0, 1.0, 2_592_000.0),
                forerunner: seconds(r, "forerunner_s", 60.0, 1.0, 86_400.0),
                go_on: after_failed.as_deref() == Some("go_on"),
                at_once: r.count("at_once", 1..=256).unwrap_or(4),
                fleet_per_second: r
                    .number("fleet_per_second", 0.1..=100_000.0, "writes")
                    .unwrap_or(1_000.0),
                slow: seconds(r, "slow_s", 0.1, 0.001, 10.0),
            });
        });
        r.section("distribution", |r| product.distribution = Some(distribution::read(r)));
        if let Some(distribution) = &product.distribution {
            let others = distribution::OtherSections {
                fleet: product.fleet.is_some(),
                lease: product.lease.is_some(),
                membership: product.membership.is_some(),
            };
            distribution::check(distribution, others, &mut r);
        }
        if product.edge.is_some() && product.lease.is_none() {
            r.report_at("edge", "", "a section [lease] expected beside it".into());
        }
        let share_evidence = product.fleet.as_ref().map(|fleet| fleet.share_evidence);
        if product.lease.is_some() && share_evidence.is_none() {
            r.report_at("lease", "", "a section [fleet] expected beside it".into());
        } else if product.lease.as_ref().is_some_and(|l| l.dead_servers)
            && share_evidence != Some(true)
        {
            let text = "fleet.share_evidence = true expected beside it".into();
            r.report_at("lease", "dead_servers", text);
        }
        if let Some(m) = product.membership.as_ref().filter(|m| m.dropped_below > m.usable_above) {
            let text = format!("{} at most expected, as usable_above says", m.usable_above);
            r.report_at("membership", "dropped_below", text);
        }
        r.finish().map(|()| product)
    }
}

/// Whether a text is an HTTP token (RFC 9110, section 5.6.2).
fn is_token(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b);
    !text.is_empty() && text.bytes().all(allowed)
}

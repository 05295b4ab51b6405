//! What the sidecar is told at its start: `LB_CONFIG` and the other `LB_` variables. Everything is
//! checked here; an error names the key.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde_json::Value;

use crate::api::{Health, LoadReport, ServerEntry, ServerId};
use crate::settings::{Repeat, Settings};

/// What a field of a load report may hold. Danger: one figure without sense (an overflow, a time in
/// place of a count) would spoil averages for as long as they remember. No server holds a million
/// requests; a report that says so is none.
const REPORTED: std::ops::RangeInclusive<f32> = 0.0..=1e6;
/// With less memory than this even a few clients' buffers would not fit beside the program.
const LEAST_MEMORY_MB: usize = 16;

/// The configuration, checked.
pub struct Config {
    /// This sidecar's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// Bytes of memory that the process may use.
    pub memory: usize,
    /// Descriptors that the process may hold.
    pub sockets: usize,
    /// Where datagrams of other sidecars arrive, if they may come.
    pub peer_listen: Option<SocketAddr>,
    /// The sidecars of the tier, by their numbers.
    pub peers: Vec<SocketAddr>,
    /// What is sent there reaches every sidecar of the tier.
    pub peers_all: Option<SocketAddr>,
    /// The list of servers as this sidecar last had it.
    pub known: Option<List>,
    /// The module's settings.
    pub settings: Settings,
    /// The names that stand on sockets for the module's numbers.
    pub names: Names,
}

#[derive(Deserialize)]
struct File {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    seed: String,
    limits: Limits,
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    peers_all: Option<SocketAddr>,
    known: Option<List>,
    settings: Value,
}

#[derive(Deserialize)]
struct Limits {
    memory_mb: usize,
    sockets: usize,
}

/// A list of servers, or what changed in it, as discovery writes it.
#[derive(Clone, Debug, Deserialize)]
pub struct List {
    /// The version of the list.
    pub seq: u64,
    /// Whether this is all of it.
    pub whole: bool,
    /// The entries.
    pub hosts: Vec<Host>,
}

/// One server of a list.
#[derive(Clone, Debug, Deserialize)]
pub struct Host {
    /// The name, the same at every sidecar.
    pub host: String,
    /// Where it listens for this sidecar; one that is gone need not say.
    pub dial: Option<SocketAddr>,
    #[serde(default)]
    site: String,
    #[serde(default)]
    class: String,
    #[serde(default)]
    block: u16,
    health: Listed,
    #[serde(default = "one")]
    share: f32,
    #[serde(default)]
    born_ms: u64,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Listed {
    Active,
    Leaving,
    Left,
    /// A word that is not known here. Danger: one such entry would void every list that holds it;
    /// its server gets nothing new, and all others are as the list says.
    #[serde(other)]
    Unknown,
}

fn one() -> f32 {
    1.0
}

impl Host {
    /// The module's name for it.
    pub fn id(&self) -> ServerId {
        ServerId(stable_hash(self.host.as_bytes()))
    }

    /// Whether it has left for good.
    pub fn is_gone(&self) -> bool {
        matches!(self.health, Listed::Left)
    }
}

/// The same number for the same bytes in every build and at every sidecar (FNV-1a).
pub fn stable_hash(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .fold(0xcbf2_9ce4_8422_2325, |h, &b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}

/// A class as it is met on sockets.
#[derive(Clone, Copy, Debug)]
pub struct ClassName {
    /// Its place in the settings.
    pub index: usize,
    /// It decides the method.
    pub repeat: Repeat,
    /// Its answers may be long.
    pub streaming: bool,
    /// The longest that a client of this class waits.
    pub deadline: Duration,
}

/// Names that stand on sockets for numbers of the settings.
#[derive(Default)]
pub struct Names {
    /// Classes by the first part of the path.
    pub classes: HashMap<String, ClassName>,
    /// Tenants by `X-Account`.
    pub tenants: HashMap<String, usize>,
    zones: Vec<String>,
    kinds: Vec<String>,
    columns: Vec<String>,
}

impl Names {
    fn new(settings: &Settings, raw: &Value) -> Result<Names, String> {
        let strings = |key: &str, of: fn(&Value) -> &Value| -> Result<Vec<String>, String> {
            let Some(list) = raw.get(key).and_then(Value::as_array) else {
                return Ok(Vec::new());
            };
            let names: Option<_> = list.iter().map(|v| of(v).as_str().map(str::to_owned)).collect();
            names.ok_or_else(|| format!("settings.{key}: names expected"))
        };
        let mut names = Names {
            zones: settings.zones.clone(),
            kinds: strings("kinds", |v| v)?,
            columns: settings.report.columns.clone(),
            ..Names::default()
        };
        for (index, class) in settings.classes.iter().enumerate() {
            let of = ClassName {
                index,
                repeat: class.repeat,
                streaming: class.streaming,
                deadline: Duration::from_micros(class.deadline),
            };
            if names.classes.insert(class.name.clone(), of).is_some() {
                return Err(format!("settings.classes[{index}].name: a name of its own expected"));
            }
        }
        for (index, name) in strings("tenants", |v| &v["name"])?.into_iter().enumerate() {
            if names.tenants.insert(name, index).is_some() {
                return Err(format!("settings.tenants[{index}].name: a name of its own expected"));
            }
        }
        Ok(names)
    }

    /// A server as the module takes it. A zone or kind that the settings lack is like no other.
    pub fn entry(&self, host: &Host) -> ServerEntry {
        let place = |names: &[String], name: &str| names.iter().position(|n| n == name);
        ServerEntry {
            id: host.id(),
            zone: place(&self.zones, &host.site).and_then(|i| i.try_into().ok()).unwrap_or(u8::MAX),
            kind: place(&self.kinds, &host.class)
                .and_then(|i| i.try_into().ok())
                .unwrap_or(u16::MAX),
            cell: host.block,
            health: match host.health {
                Listed::Active => Health::Ready,
                Listed::Leaving | Listed::Unknown => Health::Draining,
                Listed::Left => Health::Gone,
            },
            power: host.share,
            started: host.born_ms.saturating_mul(1000),
        }
    }

    /// A load report (`inflight=7,queue=2,util=0.61`) in the order of the settings' columns. One
    /// that lacks a column or holds no number is none.
    ///
    /// Danger: servers name the fields as the settings do; looked for under the simulator's words
    /// alone no report is ever read, and nothing but the missing chips tells. Both words count.
    pub fn report(&self, text: &str) -> LoadReport {
        let field = |column: &String| {
            let plain = match column.as_str() {
                "rif" => "inflight",
                "q" => "queue",
                "busy" => "util",
                "lat_ms" => "latency_ms",
                "rate" => "qps",
                "fail_rate" => "eps",
                other => other,
            };
            let fields = text.split(',').filter_map(|f| f.split_once('='));
            let named = |k: &str| k == column || k == plain;
            let value = fields.filter(|(k, _)| named(k.trim())).map(|(_, v)| v).next()?;
            value.trim().parse::<f32>().ok().filter(|v| REPORTED.contains(v))
        };
        let values: Option<_> = self.columns.iter().map(field).collect();
        values.map(LoadReport).unwrap_or_default()
    }
}

impl Config {
    /// Reads the configuration that the variables name.
    pub fn from_env() -> Result<Config, String> {
        let var = |key: &str| match std::env::var(key) {
            Ok(value) if !value.is_empty() => Ok(Some(value)),
            Ok(_) | Err(std::env::VarError::NotPresent) => Ok(None),
            Err(e) => Err(format!("{key}: {e}")),
        };
        let path = var("LB_CONFIG")?.ok_or("LB_CONFIG: the path of the configuration expected")?;
        let text = std::fs::read(&path).map_err(|e| format!("LB_CONFIG: {path}: {e}"))?;
        Config::from_json(&text, [var("LB_NAME")?, var("LB_LISTEN")?, var("LB_DISCOVERY")?])
            .map_err(|e| format!("LB_CONFIG: {e}"))
    }

    /// Reads a configuration; `env` holds the name and the addresses as the variables have them.
    fn from_json(text: &[u8], env: [Option<String>; 3]) -> Result<Config, String> {
        let file: File = serde_json::from_slice(text).map_err(|e| e.to_string())?;
        let [name, listen, discovery] = env;
        let name = agreed("name", file.name, "LB_NAME", name)?;
        let listen = agreed("listen", file.listen, "LB_LISTEN", listen)?;
        // Danger: a new configuration may move discovery while the variable, which stays what it
        // was for as long as the process lives, names the old address. The file holds.
        let discovery = match file.discovery {
            Some(discovery) => discovery,
            None => agreed("discovery", None, "LB_DISCOVERY", discovery)?,
        };
        let address = |key: &str, text: String| {
            text.parse().map_err(|_| format!("{key}: an address and a port expected, not {text:?}"))
        };
        let seed = u64::from_str_radix(&file.seed, 16)
            .map_err(|_| format!("seed: 16 hexadecimal digits expected, not {:?}", file.seed))?;
        if file.limits.sockets < 128 {
            return Err("limits.sockets: 128 or more expected".into());
        }
        if file.limits.memory_mb < LEAST_MEMORY_MB {
            return Err(format!("limits.memory_mb: {LEAST_MEMORY_MB} or more expected"));
        }
        let settings = Settings::from_json(file.settings.to_string().as_bytes())?;
        if !file.peers.is_empty() && file.peers.len() != settings.instances as usize {
            return Err("peers: as many as settings.instances expected".into());
        }
        let names = Names::new(&settings, &file.settings)?;
        Ok(Config {
            name,
            listen: address("listen", listen)?,
            discovery: address("discovery", discovery)?,
            seed,
            memory: file.limits.memory_mb << 20,
            sockets: file.limits.sockets,
            peer_listen: file.peer_listen,
            peers: file.peers,
            peers_all: file.peers_all,
            known: file.known,
            settings,
            names,
        })
    }
}

/// A value that may stand in the file, in a variable or, the same, in both.
fn agreed(
    key: &str,
    file: Option<String>,
    var: &str,
    env: Option<String>,
) -> Result<String, String> {
    match (file, env) {
        (Some(a), Some(b)) if a != b => Err(format!("{key}: {a:?} here, but {b:?} in {var}")),
        (Some(value), _) | (None, Some(value)) => Ok(value),
        (None, None) => Err(format!("{key}: expected here or in {var}")),
    }
}

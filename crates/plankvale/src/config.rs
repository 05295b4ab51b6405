//! What the sidecar is told at its start: `LB_CONFIG` and the other `LB_` variables. Everything is
//! checked here; an error names the key.

use std::net::SocketAddr;
use std::os::fd::RawFd;
use std::path::Path;
use std::rc::Rc;

use coppercart::settings::Settings;
use millethook_config::ProductConfig;
use millethook_connect::Begins;
use millethook_engine::list::List;
use serde::Deserialize;
use serde_json::Value;

use crate::tuning::{SettingsSource, Tuned};

/// With less memory than this even a few clients' buffers would not fit beside the program.
const LEAST_MEMORY_MB: usize = 16;

/// The configuration, checked.
pub struct Config {
    /// This sidecar's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where operators call, if they may.
    pub admin: Option<SocketAddr>,
    /// The clients' listening socket, where whoever started this process holds it.
    pub inherited: Option<RawFd>,
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
    /// When servers may begin with a request.
    pub begins: Begins,
    /// The module's settings, without documents.
    pub settings: Settings,
    /// All of the file.
    pub raw: Value,
    /// What settings in force are made of.
    pub(crate) source: SettingsSource,
    /// The product's own configuration, beside it.
    pub product: Rc<ProductConfig>,
}

/// What a file may lack though the one before it had it.
const MAY_GO: [&str; 2] = ["known", "begins"];

#[derive(Deserialize)]
struct File {
    name: Option<String>,
    listen: Option<String>,
    admin: Option<String>,
    discovery: Option<String>,
    seed: String,
    limits: Limits,
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    peers_all: Option<SocketAddr>,
    known: Option<List>,
    begins: Option<String>,
    settings: Value,
}

#[derive(Deserialize)]
struct Limits {
    memory_mb: usize,
    sockets: usize,
}

impl Config {
    /// Reads the configuration that the variables name, and the product's own file beside it.
    ///
    /// # Errors
    /// Names the variable or the file, the key and what was expected.
    pub fn from_env(product: Option<&Path>) -> Result<Config, String> {
        let product = match product {
            Some(path) => ProductConfig::from_file(path).map_err(|e| e.to_string())?,
            None => ProductConfig::default(),
        };
        Config::of_platform(product.into())
    }

    /// Reads the platform's configuration.
    fn of_platform(product: Rc<ProductConfig>) -> Result<Config, String> {
        let var = |key: &str| match std::env::var(key) {
            Ok(value) if !value.is_empty() => Ok(Some(value)),
            Ok(_) | Err(std::env::VarError::NotPresent) => Ok(None),
            Err(e) => Err(format!("{key}: {e}")),
        };
        let path = var("LB_CONFIG")?.ok_or("LB_CONFIG: the path of the configuration expected")?;
        let text = std::fs::read(&path).map_err(|e| format!("LB_CONFIG: {path}: {e}"))?;
        let variables = [var("LB_NAME")?, var("LB_LISTEN")?, var("LB_DISCOVERY")?];
        let mut config =
            Config::from_json(&text, variables, product).map_err(|e| format!("LB_CONFIG: {e}"))?;
        // Danger: two processes of one sidecar may read the same file, and each has an address of its own
        // for operators. The variable belongs to the process.
        if let Some(admin) = var("LB_ADMIN")? {
            config.admin = Some(address("LB_ADMIN", &admin)?);
        }
        if let Some(fd) = var("LB_INHERITED_FD")? {
            let number = fd.parse().ok().filter(|fd| *fd > 2);
            config.inherited = Some(number.ok_or_else(|| {
                format!("LB_INHERITED_FD: the number of a descriptor above 2 expected, not {fd:?}")
            })?);
        }
        Ok(config)
    }

    /// Reads a configuration; `env` holds the name and the addresses as the variables have them.
    ///
    /// # Errors
    /// Names the key, and what was expected there.
    pub fn from_json(
        text: &[u8],
        env: [Option<String>; 3],
        product: Rc<ProductConfig>,
    ) -> Result<Config, String> {
        let file: File = serde_json::from_slice(text).map_err(|e| e.to_string())?;
        let raw: Value = serde_json::from_slice(text).map_err(|e| e.to_string())?;
        let [name, listen, discovery] = env;
        let name = agreed("name", file.name, "LB_NAME", name)?;
        let listen = agreed("listen", file.listen, "LB_LISTEN", listen)?;
        // Danger: a new configuration may move discovery while the variable, which stays what it
        // was for as long as the process lives, names the old address. The file holds.
        let discovery = match file.discovery {
            Some(discovery) => discovery,
            None => agreed("discovery", None, "LB_DISCOVERY", discovery)?,
        };
        let seed = u64::from_str_radix(&file.seed, 16)
            .map_err(|_| format!("seed: 16 hexadecimal digits expected, not {:?}", file.seed))?;
        if file.limits.sockets < 128 {
            return Err("limits.sockets: 128 or more expected".into());
        }
        if file.limits.memory_mb < LEAST_MEMORY_MB {
            return Err(format!("limits.memory_mb: {LEAST_MEMORY_MB} or more expected"));
        }
        let source = SettingsSource::new(file.settings, file.peers.len(), product.clone());
        let Tuned { settings, .. } = source.tuned(&[])?;
        // The platform promises that its servers begin at a request's last byte.
        let begins = file.begins.map_or(Ok(Begins::Whole), |text| text.parse());
        Ok(Config {
            name,
            listen: address("listen", &listen)?,
            admin: file.admin.map(|admin| address("admin", &admin)).transpose()?,
            inherited: None,
            discovery: address("discovery", &discovery)?,
            seed,
            memory: file.limits.memory_mb << 20,
            sockets: file.limits.sockets,
            peer_listen: file.peer_listen,
            peers: file.peers,
            peers_all: file.peers_all,
            known: file.known,
            begins: begins.map_err(|e| format!("begins: {e}"))?,
            settings,
            raw,
            source,
            product,
        })
    }

    /// Whether it has all that the one in force, `before`, has.
    ///
    /// Guards against files that were cut or written by half: much of a configuration has a default, and
    /// one that lost its `limits` would silently run with others. It does harm to who wants a default
    /// back by leaving a key out; the key is named, and can be written with its default.
    ///
    /// # Errors
    /// Names the first key that is missing.
    pub fn complete(&self, before: &Value) -> Result<(), String> {
        let (Value::Object(before), Value::Object(now)) = (before, &self.raw) else {
            return Err("an object expected".into());
        };
        for (key, before) in before.iter().filter(|(key, _)| !MAY_GO.contains(&key.as_str())) {
            match now.get(key) {
                Some(now) => has_all_of(key, before, now)?,
                None => return Err(format!("{key}: expected, as in the configuration in force")),
            }
        }
        Ok(())
    }
}

/// Whether `now` has each key that `before` has. Of a list, each object has to have what all objects of the
/// list before had.
fn has_all_of(key: &str, before: &Value, now: &Value) -> Result<(), String> {
    match (before, now) {
        (Value::Object(before), Value::Object(now)) => {
            for (name, before) in before {
                let key = format!("{key}.{name}");
                match now.get(name) {
                    Some(now) => has_all_of(&key, before, now)?,
                    None => {
                        return Err(format!("{key}: expected, as in the configuration in force"));
                    }
                }
            }
            Ok(())
        }
        (Value::Array(before), Value::Array(now)) => {
            let mut all = before.iter().filter_map(Value::as_object).cloned();
            let Some(mut common) = all.next() else { return Ok(()) };
            for other in all {
                common.retain(|name, _| other.contains_key(name));
            }
            let common = Value::Object(common);
            let mut each = now.iter().enumerate();
            each.try_for_each(|(i, now)| has_all_of(&format!("{key}[{i}]"), &common, now))
        }
        (Value::Object(_) | Value::Array(_), _) => {
            Err(format!("{key}: another kind of value expected, as in the configuration in force"))
        }
        _ => Ok(()),
    }
}

fn address(key: &str, text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| format!("{key}: an address and a port expected, not {text:?}"))
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

//! The sidecar's configuration: the file `LB_CONFIG` and the other `LB_` variables. All checks happen
//! here; each error names the key.

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

use crate::effective_settings::{EffectiveSettings, SettingsSource};

/// With less memory, the program and the buffers of a few clients do not fit.
const MIN_MEMORY_MB: usize = 16;

/// A checked configuration.
pub struct Config {
    /// This sidecar's name.
    pub name: String,
    /// Address on which clients connect.
    pub listen: SocketAddr,
    /// Address for operators, if there is one.
    pub admin: Option<SocketAddr>,
    /// Descriptor of the clients' listening socket, if the parent process passes it on.
    pub inherited: Option<RawFd>,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Seed for random numbers.
    pub seed: u64,
    /// Bytes of memory that the process may use.
    pub memory: usize,
    /// Number of descriptors that the process may hold.
    pub sockets: usize,
    /// Address on which datagrams of other sidecars arrive, if this sidecar receives any.
    pub peer_listen: Option<SocketAddr>,
    /// Addresses of the tier's sidecars, by member number.
    pub peers: Vec<SocketAddr>,
    /// Address that reaches every sidecar of the tier.
    pub peers_all: Option<SocketAddr>,
    /// The last list of servers that this sidecar had.
    pub known: Option<List>,
    /// The point at which servers may begin to process a request.
    pub begins: Begins,
    /// Settings of the decision module, without documents.
    pub settings: Settings,
    /// The whole file.
    pub raw: Value,
    /// The parts from which the effective settings are made.
    pub(crate) source: SettingsSource,
    /// The product's own configuration.
    pub product: Rc<ProductConfig>,
}

/// Keys that a new file may omit even if the previous one had them.
const OPTIONAL_ON_RELOAD: [&str; 2] = ["known", "begins"];

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
    /// Reads the configuration named by the environment variables, and the product's own file.
    ///
    /// # Errors
    /// Names the variable or the file, the key and the expected value.
    pub fn from_env(product: Option<&Path>) -> Result<Config, String> {
        let product = match product {
            Some(path) => ProductConfig::from_file(path).map_err(|e| e.to_string())?,
            None => ProductConfig::default(),
        };
        Config::from_platform(product.into())
    }

    /// Reads the platform's configuration: `LB_CONFIG` and the variables that override it.
    fn from_platform(product: Rc<ProductConfig>) -> Result<Config, String> {
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
        // Two processes of one sidecar may read the same file, but each needs its own admin address.
        // The variable belongs to the process, so it overrides the file.
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

    /// Reads a configuration; `env` holds the values of `LB_NAME`, `LB_LISTEN` and `LB_DISCOVERY`.
    ///
    /// # Errors
    /// Names the key and the expected value.
    pub fn from_json(
        text: &[u8],
        env: [Option<String>; 3],
        product: Rc<ProductConfig>,
    ) -> Result<Config, String> {
        let file: File = serde_json::from_slice(text).map_err(|e| e.to_string())?;
        let raw: Value = serde_json::from_slice(text).map_err(|e| e.to_string())?;
        let [name, listen, discovery] = env;
        let name = from_file_or_env("name", file.name, "LB_NAME", name)?;
        let listen = from_file_or_env("listen", file.listen, "LB_LISTEN", listen)?;
        // The file overrides the variable: a new configuration may move discovery, while the variable
        // names the old address for the life of the process.
        let discovery = match file.discovery {
            Some(discovery) => discovery,
            None => from_file_or_env("discovery", None, "LB_DISCOVERY", discovery)?,
        };
        let seed = u64::from_str_radix(&file.seed, 16)
            .map_err(|_| format!("seed: 16 hexadecimal digits expected, not {:?}", file.seed))?;
        if file.limits.sockets < 128 {
            return Err("limits.sockets: 128 or more expected".into());
        }
        if file.limits.memory_mb < MIN_MEMORY_MB {
            return Err(format!("limits.memory_mb: {MIN_MEMORY_MB} or more expected"));
        }
        let source = SettingsSource::new(file.settings, file.peers.len(), product.clone());
        let EffectiveSettings { settings, .. } = source.effective(&[])?;
        // The platform guarantees that its servers begin only after a request's last byte.
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

    /// Checks that this configuration has all keys of the one in force, `before`.
    ///
    /// Guards against truncated files: many keys have defaults, so a file that lost its `limits` would
    /// silently run with other limits. As a consequence, leaving a key out does not restore its default;
    /// the error names the key, and the default can be written out.
    ///
    /// # Errors
    /// Names the first missing key.
    pub fn check_complete(&self, before: &Value) -> Result<(), String> {
        let (Value::Object(before), Value::Object(now)) = (before, &self.raw) else {
            return Err("an object expected".into());
        };
        for (key, before) in
            before.iter().filter(|(key, _)| !OPTIONAL_ON_RELOAD.contains(&key.as_str()))
        {
            match now.get(key) {
                Some(now) => check_keys_of(key, before, now)?,
                None => return Err(format!("{key}: expected, as in the configuration in force")),
            }
        }
        Ok(())
    }
}

/// Checks that `now` has each key of `before`. In a list, each object needs the keys that all objects
/// of the previous list had.
fn check_keys_of(key: &str, before: &Value, now: &Value) -> Result<(), String> {
    match (before, now) {
        (Value::Object(before), Value::Object(now)) => {
            for (name, before) in before {
                let key = format!("{key}.{name}");
                match now.get(name) {
                    Some(now) => check_keys_of(&key, before, now)?,
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
            each.try_for_each(|(i, now)| check_keys_of(&format!("{key}[{i}]"), &common, now))
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

/// Returns a value given in the file, in a variable, or in both if they are equal.
fn from_file_or_env(
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

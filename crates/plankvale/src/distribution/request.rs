//! A request to publish a document, as stored in the folder of a control node.

use std::fmt;
use std::str::FromStr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

use millethook_engine::distribution::{DocumentKey, MAX_CONTENT_BYTES, Scope, name_number};
use serde::{Deserialize, Serialize};

/// Maximum size of a request's file: each byte of the content may be escaped as six bytes.
pub const MAX_REQUEST_BYTES: usize = 6 * MAX_CONTENT_BYTES + 1024;
/// Maximum length of the name of a region, zone or service.
const MAX_NAME_BYTES: usize = 64;

/// The sidecars that a document is for, by name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub enum NamedScope {
    /// All sidecars.
    All,
    /// The sidecars of a region.
    Region(String),
    /// The sidecars of a zone.
    Zone(String),
    /// The sidecars of a service.
    Service(String),
    /// One sidecar, by its member number.
    Sidecar(u16),
}

impl NamedScope {
    /// The key of the configuration document for this scope.
    pub fn key(&self) -> DocumentKey {
        DocumentKey::configuration(match self {
            NamedScope::All => Scope::All,
            NamedScope::Region(name) => Scope::Region(name_number(name)),
            NamedScope::Zone(name) => Scope::Zone(name_number(name)),
            NamedScope::Service(name) => Scope::Service(name_number(name)),
            NamedScope::Sidecar(number) => Scope::Sidecar(*number),
        })
    }
}

impl FromStr for NamedScope {
    type Err = String;

    fn from_str(text: &str) -> Result<NamedScope, String> {
        let invalid = || {
            let text: String = text.chars().take(MAX_NAME_BYTES).collect();
            format!(
                "all, region:NAME, zone:NAME, service:NAME or sidecar:NUMBER expected, not {text:?}"
            )
        };
        let name = |name: &str| {
            let fits = !name.is_empty() && name.len() <= MAX_NAME_BYTES;
            fits.then(|| name.to_owned()).ok_or_else(invalid)
        };
        match text.split_once(':') {
            None if text == "all" => Ok(NamedScope::All),
            Some(("region", of)) => name(of).map(NamedScope::Region),
            Some(("zone", of)) => name(of).map(NamedScope::Zone),
            Some(("service", of)) => name(of).map(NamedScope::Service),
            Some(("sidecar", of)) => of.parse().map(NamedScope::Sidecar).map_err(|_| invalid()),
            _ => Err(invalid()),
        }
    }
}

impl fmt::Display for NamedScope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            NamedScope::All => write!(f, "all"),
            NamedScope::Region(name) => write!(f, "region:{name}"),
            NamedScope::Zone(name) => write!(f, "zone:{name}"),
            NamedScope::Service(name) => write!(f, "service:{name}"),
            NamedScope::Sidecar(number) => write!(f, "sidecar:{number}"),
        }
    }
}

impl TryFrom<String> for NamedScope {
    type Error = String;

    fn try_from(text: String) -> Result<NamedScope, String> {
        text.parse()
    }
}

impl From<NamedScope> for String {
    fn from(scope: NamedScope) -> String {
        scope.to_string()
    }
}

/// A request to publish.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Request {
    /// The sidecars that the document is for.
    pub scope: NamedScope,
    /// Whether to retract the document that is published for the scope.
    pub retract: bool,
    /// The document's text; None for a retraction.
    pub document: Option<String>,
    /// Time of the request, in milliseconds of Unix time.
    pub asked_ms: u64,
}

impl Request {
    /// The document's text; None for a retraction.
    ///
    /// # Errors
    /// The request has both or neither: a request that lost its document must not retract anything.
    pub fn body(&self) -> Result<Option<&str>, String> {
        match (self.retract, &self.document) {
            (true, None) => Ok(None),
            (false, Some(text)) => Ok(Some(text)),
            _ => Err("a document, or \"retract\": true, expected".into()),
        }
    }
}

/// The current Unix time in milliseconds.
pub fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// A unique name for a request; later names sort after earlier ones.
pub fn new_name() -> String {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    format!("{:014}-{:07}-{count:04}", now_ms(), std::process::id())
}

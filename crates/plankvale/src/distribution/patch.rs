//! The content of a configuration document: `{"settings": {...}}`, a JSON merge patch (RFC 7396) for
//! the `settings` of `LB_CONFIG`.

use millethook_engine::distribution::{Document, MAX_CONTENT_BYTES, Refusal};
use serde_json::Value;

/// The only key of a document.
const SETTINGS: &str = "settings";
/// Settings that belong to one process. With another value the process would take another member's
/// identity, or would no longer receive documents.
const PROCESS_KEYS: [&str; 3] = ["/me", "/instances", "/limits/mayTell"];

/// Why a document is invalid for every sidecar.
#[derive(Debug, thiserror::Error)]
pub enum DocumentError {
    /// The document is too long.
    #[error("{0} bytes: {MAX_CONTENT_BYTES} at most expected")]
    TooLong(usize),
    /// The document is not JSON.
    #[error("no JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// A part of the document is not an object.
    #[error("{key}: an object expected, found {found}")]
    NotAnObject {
        /// The part.
        key: &'static str,
        /// The kind of value found there.
        found: &'static str,
    },
    /// The document has no settings.
    #[error("settings: expected, found no such key")]
    NoSettings,
    /// The document has an unknown key.
    #[error("{0:?}: no such key, only \"settings\" expected")]
    UnknownKey(String),
    /// The document sets a key that belongs to one process.
    #[error("settings{0}: belongs to one process, only LB_CONFIG sets it")]
    ProcessKey(String),
}

/// Codes of refusals, as reported to the control nodes.
#[derive(Clone, Copy, Debug)]
pub enum RefusalCode {
    /// The document itself is invalid.
    InvalidDocument = 1,
    /// The document is valid, but the settings of this sidecar merged with it are not.
    InvalidSettings = 2,
}

/// The merge patch of a checked document.
#[derive(Clone, Debug, PartialEq)]
pub struct Patch(Value);

impl Patch {
    /// Parses and checks a document's content.
    ///
    /// # Errors
    /// Says what is wrong, where, and what is expected.
    pub fn parse(content: &[u8]) -> Result<Patch, DocumentError> {
        if content.len() > MAX_CONTENT_BYTES {
            return Err(DocumentError::TooLong(content.len()));
        }
        let Value::Object(mut document) = serde_json::from_slice(content)? else {
            return Err(not_an_object("the document", content));
        };
        let settings = document.remove(SETTINGS);
        if let Some(key) = document.keys().next() {
            return Err(DocumentError::UnknownKey(key.chars().take(40).collect()));
        }
        let settings = settings.ok_or(DocumentError::NoSettings)?;
        if !settings.is_object() {
            return Err(DocumentError::NotAnObject { key: SETTINGS, found: json_kind(&settings) });
        }
        // A patch value that is not an object would replace or remove all limits.
        if let Some(limits) = settings.get("limits").filter(|limits| !limits.is_object()) {
            return Err(DocumentError::NotAnObject {
                key: "settings.limits",
                found: json_kind(limits),
            });
        }
        match PROCESS_KEYS.iter().find(|key| settings.pointer(key).is_some()) {
            Some(key) => Err(DocumentError::ProcessKey(key.replace('/', "."))),
            None => Ok(Patch(settings)),
        }
    }

    /// Parses a document's body; a retraction yields an empty patch.
    ///
    /// # Errors
    /// Those of [`Patch::parse`], as a refusal.
    pub fn from_document(document: &Document) -> Result<Patch, Refusal> {
        let Some(body) = &document.body else {
            return Ok(Patch(Value::Object(Default::default())));
        };
        Patch::parse(body).map_err(|e| refusal(RefusalCode::InvalidDocument, &e.to_string()))
    }

    /// Merges the patch into `settings`.
    pub fn apply(&self, settings: &mut Value) {
        json_patch::merge(settings, &self.0);
    }
}

/// Makes a refusal; its reason is truncated when it is sent.
pub fn refusal(code: RefusalCode, reason: &str) -> Refusal {
    Refusal { code: code as u8, reason: reason.to_owned() }
}

fn not_an_object(key: &'static str, content: &[u8]) -> DocumentError {
    let found = serde_json::from_slice(content).map_or("no JSON", |value| json_kind(&value));
    DocumentError::NotAnObject { key, found }
}

fn json_kind(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "true or false",
        Value::Number(_) => "a number",
        Value::String(_) => "a string",
        Value::Array(_) => "a list",
        Value::Object(_) => "an object",
    }
}

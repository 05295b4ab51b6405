//! What a document of configuration says: `{"settings": {...}}`, a JSON merge patch (RFC 7396) for `settings` of
//! `LB_CONFIG`.

use millethook_engine::distribution::{Document, MAX_CONTENT_BYTES, Refusal};
use serde_json::Value;

/// The one key of a document.
const SETTINGS: &str = "settings";
/// Keys of the settings that belong to one process: with another value it would be somebody else, or would not hear
/// of the next document.
const FIXED: [&str; 3] = ["/me", "/instances", "/limits/mayTell"];

/// Why a document cannot be used, wherever it goes.
#[derive(Debug, thiserror::Error)]
pub enum Unsound {
    /// It is too long.
    #[error("{0} bytes: {MAX_CONTENT_BYTES} at most expected")]
    TooLong(usize),
    /// It is no JSON.
    #[error("no JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// A part is no object.
    #[error("{key}: an object expected, found {found}")]
    NotAnObject {
        /// Which part.
        key: &'static str,
        /// What it is.
        found: &'static str,
    },
    /// The settings are not there.
    #[error("settings: expected, found no such key")]
    NoSettings,
    /// A key that is none.
    #[error("{0:?}: no such key, only \"settings\" expected")]
    UnknownKey(String),
    /// A key that belongs to one process.
    #[error("settings{0}: belongs to one process, only LB_CONFIG sets it")]
    Fixed(String),
}

/// Codes of refusals.
#[derive(Clone, Copy, Debug)]
pub enum RefusalCode {
    /// The document by itself makes no sense.
    Unsound = 1,
    /// Merged into this sidecar's settings it makes none.
    Settings = 2,
}

/// A document that was read.
#[derive(Clone, Debug, PartialEq)]
pub struct Patch(Value);

impl Patch {
    /// Reads a document's content.
    ///
    /// # Errors
    /// Says what is wrong, where, and what was expected.
    pub fn read(content: &[u8]) -> Result<Patch, Unsound> {
        if content.len() > MAX_CONTENT_BYTES {
            return Err(Unsound::TooLong(content.len()));
        }
        let Value::Object(mut document) = serde_json::from_slice(content)? else {
            return Err(not_an_object("the document", content));
        };
        let settings = document.remove(SETTINGS);
        if let Some(key) = document.keys().next() {
            return Err(Unsound::UnknownKey(key.chars().take(40).collect()));
        }
        let settings = settings.ok_or(Unsound::NoSettings)?;
        if !settings.is_object() {
            return Err(Unsound::NotAnObject { key: SETTINGS, found: kind(&settings) });
        }
        // A patch replaces what is no object as a whole, or takes it out.
        if let Some(limits) = settings.get("limits").filter(|limits| !limits.is_object()) {
            return Err(Unsound::NotAnObject { key: "settings.limits", found: kind(limits) });
        }
        match FIXED.iter().find(|key| settings.pointer(key).is_some()) {
            Some(key) => Err(Unsound::Fixed(key.replace('/', "."))),
            None => Ok(Patch(settings)),
        }
    }

    /// Reads a document's body; a retraction patches nothing.
    ///
    /// # Errors
    /// As [`Patch::read`], as a refusal.
    pub fn of(document: &Document) -> Result<Patch, Refusal> {
        let Some(body) = &document.body else {
            return Ok(Patch(Value::Object(Default::default())));
        };
        Patch::read(body).map_err(|e| refusal(RefusalCode::Unsound, &e.to_string()))
    }

    /// Changes the settings.
    pub fn apply(&self, settings: &mut Value) {
        json_patch::merge(settings, &self.0);
    }
}

/// A refusal; its reason is cut where it travels.
pub fn refusal(code: RefusalCode, reason: &str) -> Refusal {
    Refusal { code: code as u8, reason: reason.to_owned() }
}

fn not_an_object(key: &'static str, content: &[u8]) -> Unsound {
    let found = serde_json::from_slice(content).map_or("no JSON", |value| kind(&value));
    Unsound::NotAnObject { key, found }
}

fn kind(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "true or false",
        Value::Number(_) => "a number",
        Value::String(_) => "a string",
        Value::Array(_) => "a list",
        Value::Object(_) => "an object",
    }
}

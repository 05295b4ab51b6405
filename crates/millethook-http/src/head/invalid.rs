//! Reasons for which a request head is rejected.

use std::fmt;

use hyper::{Method, StatusCode};

/// Reason why a request is rejected. The request was not sent to any server.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Invalid {
    /// The path can be read in more than one way, or does not begin with a class.
    Path,
    /// The settings have no class of this name.
    UnknownClass(String),
    /// The class requires another method: `GET` if it is safe to repeat, otherwise `POST`.
    Method {
        /// The method that the class requires.
        expected: Method,
    },
    /// The header occurs more than once.
    Doubled(&'static str),
    /// The header is missing, and so is the typed value of the request that could stand for it.
    Missing(&'static str),
    /// The header has an invalid value.
    Header(&'static str),
    /// The header differs from the typed value of the request, or two parts of the request give different
    /// values.
    Disagree(&'static str),
    /// The settings have no tenant of this name.
    UnknownTenant(String),
    /// The request has an idempotency key and its class uses none, or it has none and its class requires
    /// one.
    Key {
        /// Whether the class requires a key.
        needed: bool,
    },
    /// The id belongs to a request that is open or was open recently.
    IdInUse,
}

impl Invalid {
    /// HTTP status of the answer to the client.
    pub fn status(&self) -> StatusCode {
        match self {
            Invalid::UnknownClass(_) => StatusCode::NOT_FOUND,
            Invalid::Method { .. } => StatusCode::METHOD_NOT_ALLOWED,
            Invalid::IdInUse => StatusCode::CONFLICT,
            _ => StatusCode::BAD_REQUEST,
        }
    }
}

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Invalid::Path => f.write_str("path: must begin with a class and have no dot segments"),
            Invalid::UnknownClass(class) => write!(f, "class: {class:?} is not in the settings"),
            Invalid::Method { expected } => write!(f, "method: this class requires {expected}"),
            Invalid::Doubled(name) => write!(f, "{name}: given more than once"),
            Invalid::Missing(name) => write!(f, "{name}: missing"),
            Invalid::Header(name) => write!(f, "{name}: invalid value"),
            Invalid::Disagree(name) => write!(f, "{name}: given twice with different values"),
            Invalid::UnknownTenant(name) => write!(f, "tenant: {name:?} is not in the settings"),
            Invalid::Key { needed: true } => f.write_str("idempotency-key: missing for this class"),
            Invalid::Key { needed: false } => {
                f.write_str("idempotency-key: not allowed for this class")
            }
            Invalid::IdInUse => f.write_str("x-correlation-id: in use by another request"),
        }
    }
}

impl std::error::Error for Invalid {}

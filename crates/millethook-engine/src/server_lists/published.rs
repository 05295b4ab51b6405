//! Encodes the bodies of documents about lists: one byte for the format, then `postcard` content. The document's hash
//! covers them. A document holds at most 64 KiB, which is some 1,800 servers.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::position::ListPosition;
use crate::list::{Host, ListedState};

/// The format byte of a list.
const LIST_FORMAT: u8 = 1;
/// The format byte of a confirmation.
const CONFIRMATION_FORMAT: u8 = 2;

/// A published list.
#[derive(Clone, Debug, PartialEq)]
pub struct PublishedList {
    /// How new it is.
    pub position: ListPosition,
    /// Its entries, without servers that have left.
    pub hosts: Vec<Host>,
}

/// Why a body cannot be read as a list or a confirmation.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The body is empty.
    #[error("no content")]
    Empty,
    /// The body has another format.
    #[error("form {found}: {expected} expected")]
    Form {
        /// The first byte of the body.
        found: u8,
        /// The first byte of a body of the expected format.
        expected: u8,
    },
    /// The content cannot be read.
    #[error("{0}")]
    Content(#[from] postcard::Error),
    /// Further bytes follow the content.
    #[error("{0} bytes too many")]
    TooLong(usize),
    /// The state of a server is unknown.
    #[error("state {0} of a server: 0 to 2 expected")]
    State(u8),
}

/// The stored form of an entry. It is a separate type, so that a new field of [`Host`] does not change the format.
#[derive(Serialize, Deserialize)]
struct Entry {
    host: String,
    dial: Option<SocketAddr>,
    site: String,
    class: String,
    block: u16,
    state: u8,
    share: f32,
    born_ms: u64,
}

#[derive(Serialize, Deserialize)]
struct Content {
    position: ListPosition,
    entries: Vec<Entry>,
}

impl Entry {
    fn from_host(host: &Host) -> Entry {
        Entry {
            host: host.host.clone(),
            dial: host.dial,
            site: host.site.clone(),
            class: host.class.clone(),
            block: host.block,
            state: match host.health {
                ListedState::Active => 0,
                ListedState::Leaving => 1,
                ListedState::Left | ListedState::Unknown => 2,
            },
            share: host.share,
            born_ms: host.born_ms,
        }
    }

    fn into_host(self) -> Result<Host, BodyError> {
        let health = match self.state {
            0 => ListedState::Active,
            1 => ListedState::Leaving,
            2 => ListedState::Unknown,
            other => return Err(BodyError::State(other)),
        };
        let Entry { host, dial, site, class, block, share, born_ms, .. } = self;
        Ok(Host { host, dial, site, class, block, health, share, born_ms })
    }
}

impl PublishedList {
    /// Encodes the body of the document.
    ///
    /// # Errors
    /// `postcard` cannot encode it.
    pub fn encode(&self) -> Result<Vec<u8>, BodyError> {
        let entries =
            self.hosts.iter().filter(|host| !host.is_gone()).map(Entry::from_host).collect();
        let content = Content { position: self.position, entries };
        Ok(postcard::to_extend(&content, vec![LIST_FORMAT])?)
    }

    /// Decodes a body.
    ///
    /// # Errors
    /// The body does not hold a list.
    pub fn decode(body: &[u8]) -> Result<PublishedList, BodyError> {
        let content: Content = decode_body(body, LIST_FORMAT)?;
        let hosts: Result<Vec<Host>, BodyError> =
            content.entries.into_iter().map(Entry::into_host).collect();
        Ok(PublishedList { position: content.position, hosts: hosts? })
    }
}

/// Encodes the confirmation that discovery still has the list at this position.
///
/// # Errors
/// `postcard` cannot encode it.
pub fn encode_confirmation(position: ListPosition) -> Result<Vec<u8>, BodyError> {
    Ok(postcard::to_extend(&position, vec![CONFIRMATION_FORMAT])?)
}

/// Decodes the body of a confirmation.
///
/// # Errors
/// The body does not hold a confirmation.
pub fn decode_confirmation(body: &[u8]) -> Result<ListPosition, BodyError> {
    decode_body(body, CONFIRMATION_FORMAT)
}

/// Returns whether a body holds a confirmation.
pub fn is_confirmation(body: &[u8]) -> bool {
    body.first() == Some(&CONFIRMATION_FORMAT)
}

fn decode_body<'b, T: Deserialize<'b>>(body: &'b [u8], expected: u8) -> Result<T, BodyError> {
    let (&found, content) = body.split_first().ok_or(BodyError::Empty)?;
    if found != expected {
        return Err(BodyError::Form { found, expected });
    }
    let (value, rest) = postcard::take_from_bytes(content)?;
    match rest.len() {
        0 => Ok(value),
        excess => Err(BodyError::TooLong(excess)),
    }
}

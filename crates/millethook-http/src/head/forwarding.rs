//! Selects the headers of a message that are forwarded beyond this hop.

use hyper::header::{self, HeaderMap, HeaderName};

use super::SINGLE_VALUE_HEADERS;

/// Headers for one hop only (RFC 9110, section 7.6.1), and headers that servers and sidecars of the
/// platform use between each other.
static HOP_BY_HOP_HEADERS: [HeaderName; 13] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::EXPECT,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("x-backend-load"),
    HeaderName::from_static("x-unprocessed"),
];

/// Removes the headers of a message that must not be forwarded beyond this hop.
///
/// `Connection` may name further headers to remove, but not those that identify a request: they are for the
/// server, and RFC 9110, section 7.6.1, forbids naming such a header there. Without this exception, a
/// client that names `idempotency-key` there has the key removed from a request that is retried because it
/// has a key, and no server drops the duplicate.
pub fn end_to_end_headers(mut headers: HeaderMap) -> HeaderMap {
    let connection_options: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| !SINGLE_VALUE_HEADERS.contains(&name))
        .collect();
    for name in HOP_BY_HOP_HEADERS.iter().chain(&connection_options) {
        headers.remove(name);
    }
    headers
}

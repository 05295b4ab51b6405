//! Finds the class of a request in its path.

use super::Invalid;

/// Returns the first segment of a path, if the path can be read in only one way.
///
/// One reader takes a path literally (`/look/../order/1`: class `look`), another resolves it first
/// (`/order/1`). The same holds for dots and slashes that are percent-encoded or written as backslashes.
pub(super) fn unambiguous_class(path: &str) -> Result<&str, Invalid> {
    let rest = path.strip_prefix('/').ok_or(Invalid::Path)?;
    let class = rest.split('/').next().filter(|class| !class.is_empty() || rest.is_empty());
    let class = class.ok_or(Invalid::Path)?;
    let has_dot_segment = |bytes: &[u8]| {
        let mut segments = bytes.split(|byte| matches!(byte, b'/' | b'\\'));
        segments.any(|segment| matches!(segment, b"." | b".."))
    };
    let ambiguous = match rest.contains('%') {
        true => has_dot_segment(&percent_decoded(rest).ok_or(Invalid::Path)?),
        false => has_dot_segment(rest.as_bytes()),
    };
    if ambiguous { Err(Invalid::Path) } else { Ok(class) }
}

/// Decodes the percent-encoding of a path. Returns None if an escape is invalid.
fn percent_decoded(path: &str) -> Option<Vec<u8>> {
    let mut chars = path.bytes();
    let mut decoded = Vec::with_capacity(path.len());
    while let Some(byte) = chars.next() {
        let mut digit = || char::from(chars.next()?).to_digit(16);
        decoded.push(if byte == b'%' { (digit()? * 16 + digit()?) as u8 } else { byte });
    }
    Some(decoded)
}

#[cfg(test)]
#[path = "../../tests/unit/head_path.rs"]
mod tests;

//! A check of request heads beyond those of hyper: ambiguous framing.

/// Length of the longest header name that the scan looks for.
const LONGEST_NAME: usize = "transfer-encoding".len();
/// Scans the header names of a request head as its bytes arrive, independently of hyper.
///
/// Guards against request smuggling by a request that has both `Content-Length` and `Transfer-Encoding`:
/// two readers can disagree on where it ends, so that one of them sees a second, hidden request. hyper
/// ignores the length silently. A head that arrived together with bytes of an earlier request is not
/// scanned, so chunked bodies are rejected there as well. This affects only clients that pipeline chunked
/// requests without waiting for the previous answer.
#[derive(Default)]
pub struct HeadScan {
    name_buffer: [u8; LONGEST_NAME],
    /// Bytes of the current line so far, or of its name as far as it may matter.
    line_len: usize,
    colon_seen: bool,
    /// Whether the request line has been read.
    request_line_seen: bool,
    complete: bool,
    has_content_length: bool,
    has_transfer_encoding: bool,
}

impl HeadScan {
    /// Scans the next bytes from the client.
    pub fn scan(&mut self, bytes: &[u8]) {
        for &byte in bytes {
            if self.complete {
                return;
            }
            match byte {
                b'\r' => {}
                b'\n' => {
                    // Empty lines before the request line are skipped.
                    self.complete = self.line_len == 0 && self.request_line_seen;
                    self.request_line_seen |= self.line_len > 0;
                    (self.line_len, self.colon_seen) = (0, false);
                }
                b':' if self.request_line_seen && !self.colon_seen => {
                    self.colon_seen = true;
                    let name = self.name_buffer.get(..self.line_len).unwrap_or_default();
                    self.has_content_length |= name.eq_ignore_ascii_case(b"content-length");
                    self.has_transfer_encoding |= name.eq_ignore_ascii_case(b"transfer-encoding");
                    self.line_len += 1;
                }
                byte => {
                    if let Some(slot) = self.name_buffer.get_mut(self.line_len) {
                        *slot = byte;
                    }
                    self.line_len += 1;
                }
            }
        }
    }

    /// Whether the last head has exactly one framing, so that all readers agree on where its body ends.
    pub fn has_unambiguous_framing(&self, chunked: bool) -> bool {
        !chunked || (self.complete && self.has_transfer_encoding && !self.has_content_length)
    }
}

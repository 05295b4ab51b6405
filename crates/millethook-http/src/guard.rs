//! Checks of client requests beyond those of hyper: heads with ambiguous framing, and request ids that are
//! already in use.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use millethook_engine::names::stable_hash;
use rustc_hash::FxHashSet;

/// Length of the longest header name that the scan looks for.
const LONGEST_NAME: usize = "transfer-encoding".len();
/// Most ids that one generation holds. No sidecar receives more requests than that within one generation.
const MAX_IDS_PER_GENERATION: usize = 1 << 14;

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

/// Ids of requests that are open or were open recently.
///
/// Guards against a second request with an id that is in use: a server that drops duplicates, a log or the
/// client could take the answer to one request for the answer to the other. Each request has a new id, so
/// the check could only reject a request whose connection failed while it was being read; its reservation
/// is released in that case.
pub struct RequestIdRegistry {
    /// Ids first seen in the current generation, ids of the previous one, and when the current one began.
    generations: RefCell<(FxHashSet<u64>, FxHashSet<u64>, Instant)>,
    generation_length: Cell<Duration>,
}

/// Time that ids are kept beyond the longest deadline.
const RETENTION_MARGIN: Duration = Duration::from_millis(500);

impl RequestIdRegistry {
    /// Creates a registry for requests that are open for at most `longest_deadline`.
    pub fn new(longest_deadline: Duration) -> Rc<RequestIdRegistry> {
        Rc::new(RequestIdRegistry {
            generations: RefCell::new((FxHashSet::default(), FxHashSet::default(), Instant::now())),
            generation_length: Cell::new(longest_deadline + RETENTION_MARGIN),
        })
    }

    /// Keeps ids for at least this deadline from now on, after new settings. The retention is never
    /// shortened, because requests that are open keep their deadlines.
    pub fn extend_retention(&self, longest_deadline: Duration) {
        self.generation_length
            .set(self.generation_length.get().max(longest_deadline + RETENTION_MARGIN));
    }

    /// Reserves an id for a request. Returns None if the id is in use.
    pub fn reserve(self: &Rc<RequestIdRegistry>, id: &[u8]) -> Option<IdReservation> {
        let id = stable_hash(id);
        self.insert(id).then(|| IdReservation { ids: self.clone(), id, committed: false })
    }

    /// Hashes of all ids that are in use.
    pub fn in_use(&self) -> Vec<u64> {
        let generations = self.generations.borrow();
        generations.0.iter().chain(&generations.1).copied().collect()
    }

    /// Adds ids, as hashes, that are in use at another process.
    pub fn add_in_use(&self, ids: impl IntoIterator<Item = u64>) {
        self.generations.borrow_mut().0.extend(ids);
    }

    /// Reserves an id, given as a hash, for a request at another process. Returns false if the id is in
    /// use.
    pub fn reserve_hash(&self, id: u64) -> bool {
        self.insert(id)
    }

    fn insert(&self, id: u64) -> bool {
        let mut generations = self.generations.borrow_mut();
        let (current, previous, started) = &mut *generations;
        if started.elapsed() >= self.generation_length.get()
            || current.len() >= MAX_IDS_PER_GENERATION
        {
            std::mem::swap(current, previous);
            current.clear();
            *started = Instant::now();
        }
        !previous.contains(&id) && current.insert(id)
    }
}

/// Reservation of a request id. Dropping it before [`commit`](IdReservation::commit) frees the id.
pub struct IdReservation {
    ids: Rc<RequestIdRegistry>,
    id: u64,
    committed: bool,
}

impl IdReservation {
    /// Hash of the id.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// Marks the request as accepted: its id stays in use for as long as the request may be open.
    pub fn commit(mut self) {
        self.committed = true;
    }
}

impl Drop for IdReservation {
    fn drop(&mut self) {
        if !self.committed {
            let mut generations = self.ids.generations.borrow_mut();
            generations.0.remove(&self.id);
            generations.1.remove(&self.id);
        }
    }
}

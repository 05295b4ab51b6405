//! What is checked of clients' requests beyond what hyper checks: heads whose framing can be read in
//! two ways, and ids that are taken.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use millethook_engine::names::stable_hash;
use rustc_hash::FxHashSet;

/// The longest header name that is looked for.
const NAME: usize = "transfer-encoding".len();
/// Ids that are remembered of one span at most; more requests than that come to no sidecar.
const MAX_IDS: usize = 1 << 14;

/// Reads a head's header names as they come in, beside hyper.
///
/// Guards against a request with both `Content-Length` and `Transfer-Encoding`, which can hide
/// another one from one of two readers; hyper lets the length drop without a word. What is known
/// here of a head that came with bytes of an earlier request is nothing, so chunks are then not
/// taken either. It does harm only to clients that send chunks without waiting for their answer.
#[derive(Default)]
pub struct HeadScan {
    name: [u8; NAME],
    /// Bytes of the present line so far; of its name, as far as that may matter.
    line: usize,
    named: bool,
    /// The request line has been seen.
    first: bool,
    done: bool,
    length: bool,
    coding: bool,
}

impl HeadScan {
    /// Takes in the next bytes that the client sent.
    pub fn take(&mut self, bytes: &[u8]) {
        for &byte in bytes {
            if self.done {
                return;
            }
            match byte {
                b'\r' => {}
                b'\n' => {
                    // Empty lines ahead of the request line are passed over.
                    self.done = self.line == 0 && self.first;
                    self.first |= self.line > 0;
                    (self.line, self.named) = (0, false);
                }
                b':' if self.first && !self.named => {
                    self.named = true;
                    let name = self.name.get(..self.line).unwrap_or_default();
                    self.length |= name.eq_ignore_ascii_case(b"content-length");
                    self.coding |= name.eq_ignore_ascii_case(b"transfer-encoding");
                    self.line += 1;
                }
                byte => {
                    if let Some(slot) = self.name.get_mut(self.line) {
                        *slot = byte;
                    }
                    self.line += 1;
                }
            }
        }
    }

    /// Whether the head that has just been read has one framing, and surely no other.
    pub fn one_framing(&self, chunked: bool) -> bool {
        !chunked || (self.done && self.coding && !self.length)
    }
}

/// The ids of requests that are open or were so a moment ago.
///
/// Guards against a second request under an id that is in use: its answer could be taken for the
/// other's, by a server that drops repeats, by a log, by the client. Every request has a new id, so
/// this harms only one that was read in part before its connection broke, and its claim is dropped.
pub struct RequestIdRegistry {
    /// Ids first met in this span, and in the one before.
    spans: RefCell<(FxHashSet<u64>, FxHashSet<u64>, Instant)>,
    span: Cell<Duration>,
}

/// Beyond the longest deadline.
const SPARE: Duration = Duration::from_millis(500);

impl RequestIdRegistry {
    /// `longest` is how long a request may be open.
    pub fn new(longest: Duration) -> Rc<RequestIdRegistry> {
        Rc::new(RequestIdRegistry {
            spans: RefCell::new((FxHashSet::default(), FxHashSet::default(), Instant::now())),
            span: Cell::new(longest + SPARE),
        })
    }

    /// Requests may be open for so long from now on, under new settings; those that are open go on as they were.
    pub fn extend_retention(&self, longest: Duration) {
        self.span.set(self.span.get().max(longest + SPARE));
    }

    /// Claims an id for a request; None: it is in use.
    pub fn reserve(self: &Rc<RequestIdRegistry>, id: &[u8]) -> Option<IdReservation> {
        let id = stable_hash(id);
        self.insert(id).then(|| IdReservation { ids: self.clone(), id, committed: false })
    }

    /// All ids that are in use, as hashes.
    pub fn in_use(&self) -> Vec<u64> {
        let spans = self.spans.borrow();
        spans.0.iter().chain(&spans.1).copied().collect()
    }

    /// Ids that are in use at another process are in use here, too.
    pub fn add_in_use(&self, ids: impl IntoIterator<Item = u64>) {
        self.spans.borrow_mut().0.extend(ids);
    }

    /// Claims an id, as a hash, for a request at another process. False: it is in use.
    pub fn reserve_hash(&self, id: u64) -> bool {
        self.insert(id)
    }

    fn insert(&self, id: u64) -> bool {
        let mut spans = self.spans.borrow_mut();
        let (now, before, since) = &mut *spans;
        if since.elapsed() >= self.span.get() || now.len() >= MAX_IDS {
            std::mem::swap(now, before);
            now.clear();
            *since = Instant::now();
        }
        !before.contains(&id) && now.insert(id)
    }
}

/// An id's claim; dropped before it is kept, the id is free again.
pub struct IdReservation {
    ids: Rc<RequestIdRegistry>,
    id: u64,
    committed: bool,
}

impl IdReservation {
    /// The id, as a hash.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// The request has been taken: its id stays in use for as long as it may be open.
    pub fn commit(mut self) {
        self.committed = true;
    }
}

impl Drop for IdReservation {
    fn drop(&mut self) {
        if !self.committed {
            let mut spans = self.ids.spans.borrow_mut();
            spans.0.remove(&self.id);
            spans.1.remove(&self.id);
        }
    }
}

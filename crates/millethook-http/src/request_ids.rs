//! Ids of requests that are open or were open recently.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use millethook_engine::names::stable_hash;
use rustc_hash::FxHashSet;

/// Time that ids are kept beyond the longest deadline.
const RETENTION_MARGIN: Duration = Duration::from_millis(500);
/// Most ids that one generation of ended requests holds. An upgrade passes on both generations and the open ids.
const MAX_IDS_PER_GENERATION: usize = 1 << 15;

/// Ids of requests that are open, or that have ended and may have run.
///
/// Guards against a second request with an id that is in use: a server that drops duplicates, a log or the
/// client could take the answer to one request for the answer to the other. Each request has a new id, so
/// the check could only reject a request whose connection failed while it was being read, or one that was
/// refused; their ids are free again.
pub struct RequestIdRegistry {
    /// Ids of requests that are being read or answered. There is at most one for each connection.
    open: RefCell<FxHashSet<u64>>,
    ended: RefCell<EndedIds>,
    retention: Cell<Duration>,
}

/// Ids of ended requests, in two generations.
struct EndedIds {
    current: FxHashSet<u64>,
    previous: FxHashSet<u64>,
    /// When the current generation began.
    started: Instant,
}

impl EndedIds {
    fn contains(&self, id: u64) -> bool {
        self.current.contains(&id) || self.previous.contains(&id)
    }

    fn insert(&mut self, id: u64, retention: Duration) {
        if self.started.elapsed() >= retention || self.current.len() >= MAX_IDS_PER_GENERATION {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.clear();
            self.started = Instant::now();
        }
        self.current.insert(id);
    }
}

impl RequestIdRegistry {
    /// Creates a registry for requests that may run for at most `longest_deadline` after they have ended here.
    pub fn new(longest_deadline: Duration) -> Rc<RequestIdRegistry> {
        let ended = EndedIds {
            current: FxHashSet::default(),
            previous: FxHashSet::default(),
            started: Instant::now(),
        };
        Rc::new(RequestIdRegistry {
            open: RefCell::default(),
            ended: RefCell::new(ended),
            retention: Cell::new(longest_deadline + RETENTION_MARGIN),
        })
    }

    /// Keeps ids for at least this deadline from now on, after new settings. The retention is never
    /// shortened, because requests that are open keep their deadlines.
    pub fn extend_retention(&self, longest_deadline: Duration) {
        self.retention.set(self.retention.get().max(longest_deadline + RETENTION_MARGIN));
    }

    /// Reserves an id for a request. Returns None if the id is in use.
    pub fn reserve(self: &Rc<RequestIdRegistry>, id: &[u8]) -> Option<IdReservation> {
        let id = stable_hash(id);
        let is_new = !self.ended.borrow().contains(id) && self.open.borrow_mut().insert(id);
        is_new.then(|| IdReservation { ids: self.clone(), id, may_have_run: false })
    }

    /// Hashes of all ids that are in use.
    pub fn in_use(&self) -> Vec<u64> {
        let (open, ended) = (self.open.borrow(), self.ended.borrow());
        open.iter().chain(&ended.current).chain(&ended.previous).copied().collect()
    }

    /// Adds ids, as hashes, that are in use at another process.
    pub fn add_in_use(&self, ids: impl IntoIterator<Item = u64>) {
        self.ended.borrow_mut().current.extend(ids);
    }

    /// Reserves an id, given as a hash, for a request at another process. Returns false if the id is in
    /// use.
    pub fn reserve_hash(&self, id: u64) -> bool {
        let is_new = !self.ended.borrow().contains(id) && !self.open.borrow().contains(&id);
        if is_new {
            self.keep(id);
        }
        is_new
    }

    fn keep(&self, id: u64) {
        self.ended.borrow_mut().insert(id, self.retention.get());
    }
}

/// Reservation of a request id, for as long as its request is open. Dropping it frees the id, unless the
/// request may have run: then it stays in use for as long as an attempt may still run.
pub struct IdReservation {
    ids: Rc<RequestIdRegistry>,
    id: u64,
    may_have_run: bool,
}

impl IdReservation {
    /// Hash of the id.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// Says whether the request may have run, or may yet.
    pub fn set_may_have_run(&mut self, may_have_run: bool) {
        self.may_have_run = may_have_run;
    }
}

impl Drop for IdReservation {
    fn drop(&mut self) {
        self.ids.open.borrow_mut().remove(&self.id);
        if self.may_have_run {
            self.ids.keep(self.id);
        }
    }
}

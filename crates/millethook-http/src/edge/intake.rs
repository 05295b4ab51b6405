//! Intake of writes: decides which are stored, in which order, and returns receipts for them.

use std::time::Duration;

use bytes::Bytes;
use hyper::header::HeaderName;
use hyper::http::request::Parts;
use millethook_edge::record::{Record, Write};
use millethook_edge::{Context, Progress, WriteId, log};
use millethook_engine::driver::RequestHead;
use millethook_engine::names::stable_hash;
use rustc_hash::FxHashMap;
use tokio::time::timeout;

use super::disk::AppendOutcome;
use super::folder::StoreFile;
use super::{Edge, unix_ms};
use crate::head::{Invalid, end_to_end_headers, single_value};

/// Header in which a client says that it accepts a receipt as an answer (RFC 7240).
pub static PREFER: HeaderName = HeaderName::from_static("prefer");
/// Header with the writes that this one comes after, as their receipts named them.
pub static AFTER: HeaderName = HeaderName::from_static("millethook-after");
/// Header with the id of a stored write.
pub static CONTEXT: HeaderName = HeaderName::from_static("millethook-context");
/// Time reserved for sending the final answer after the disk is done.
const ANSWER_MARGIN: Duration = Duration::from_millis(10);
/// Most members whose last write is tracked. Further members are treated as if they had none.
const MAX_TRACKED_MEMBERS: usize = 65_536;
/// `Retry-After` for a request that could be neither served nor stored.
const STORE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// State of this process's intake.
#[derive(Default)]
pub(super) struct Intake {
    last_seq: u64,
    stored_bytes: u64,
    /// Writes handed to the disk thread that are not known to be on disk.
    pending_writes: usize,
    /// Sequence number of each member's last write.
    last_seq_by_member: FxHashMap<u64, u64>,
}

/// Receipt for a stored write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Receipt(pub WriteId);

/// Outcome of an attempt to store a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreOutcome {
    /// The write is on disk.
    Stored(Receipt),
    /// The write is not stored. The client may safely retry after this time.
    Refused(Duration),
    /// The disk did not finish in time, or failed during the append. The write is withdrawn: it may get to
    /// disk, but is not sent.
    Unknown,
}

/// A write that may be stored.
pub struct WriteCandidate {
    write: Write,
    predecessors: Context,
    left: Duration,
    /// Whether the client accepts a receipt as an answer.
    accepts_receipt: bool,
}

/// A write on its way to the disk. If its client disconnects meanwhile, this is dropped and the write is
/// withdrawn.
struct PendingWrite<'e> {
    edge: &'e Edge,
    seq: u64,
    member: u64,
    /// Sequence number of the member's previous write.
    previous_seq: Option<u64>,
    stored: bool,
}

impl Drop for PendingWrite<'_> {
    fn drop(&mut self) {
        let mut intake = self.edge.intake.borrow_mut();
        intake.pending_writes -= 1;
        // Without this, the member's next write would wait for this one, which was not stored.
        if !self.stored && intake.last_seq_by_member.get(&self.member) == Some(&self.seq) {
            match self.previous_seq {
                Some(previous_seq) => intake.last_seq_by_member.insert(self.member, previous_seq),
                None => intake.last_seq_by_member.remove(&self.member),
            };
        }
    }
}

impl Edge {
    /// Inspects a request. Returns None if it is of a kind that is never stored, and so comes after no
    /// other write.
    ///
    /// # Errors
    /// Fails if the header that names its predecessors is invalid.
    pub fn inspect(
        &self,
        head: &Parts,
        request_head: &RequestHead,
        body: &[Bytes],
    ) -> Result<Option<WriteCandidate>, Invalid> {
        let path = head.uri.path();
        let class = path.split('/').nth(1).unwrap_or_default();
        if !self.settings.classes.iter().any(|name| name == class) || request_head.streaming {
            return Ok(None);
        }
        let settings = self.driver.class(request_head.class);
        let Some(settings) = settings else { return Ok(None) };
        let predecessors = single_value(&head.headers, &AFTER)?.unwrap_or_default();
        let predecessors =
            Context::parse(predecessors).map_err(|_| Invalid::Header(AFTER.as_str()))?;
        let preferences = head.headers.get_all(&PREFER).iter().filter_map(|v| v.to_str().ok());
        let accepts_receipt = preferences.flat_map(|v| v.split(',')).any(|p| {
            p.split(';').next().is_some_and(|p| p.trim().eq_ignore_ascii_case("respond-async"))
        });
        let headers = end_to_end_headers(head.headers.clone());
        let headers = headers.iter().filter(|(name, _)| **name != AFTER && **name != PREFER);
        let account = head.headers.get("x-account").map_or(0, |v| stable_hash(v.as_bytes()));
        let member = if request_head.key == 0 { 0 } else { request_head.key ^ account };
        let write = Write {
            at_ms: unix_ms(),
            class: class.to_owned(),
            repeat: super::repeat_of(&settings),
            member,
            after: predecessors.ids().to_vec(),
            method: head.method.to_string(),
            target: head.uri.path_and_query().map_or(String::new(), ToString::to_string),
            headers: headers.map(|(n, v)| (n.to_string(), v.as_bytes().to_vec())).collect(),
            body: body.concat(),
        };
        Ok(Some(WriteCandidate { write, predecessors, left: request_head.left, accepts_receipt }))
    }

    /// Whether a write that this one comes after has no end record yet, so that this one has to wait for
    /// it.
    fn has_open_predecessor(&self, candidate: &WriteCandidate) -> bool {
        let open = |id: WriteId| match self.progress(id) {
            // How a write after a failed one is handled is decided by the replay.
            Progress::Ended | Progress::Failed => false,
            // Nothing has been announced for this store; the replay decides when its waiting time is over.
            Progress::Open | Progress::Unknown => true,
        };
        let last = self.intake.borrow().last_seq_by_member.get(&candidate.write.member).copied();
        let last = last.filter(|_| candidate.write.member != 0);
        last.is_some_and(|seq| open(WriteId { edge: self.own_store, seq }))
            || candidate.predecessors.ids().iter().any(|id| open(*id))
    }

    /// Whether a write is to be stored now instead of being sent: it waits for another write, or no server
    /// can be reached.
    pub fn should_store_now(&self, candidate: &WriteCandidate) -> bool {
        candidate.accepts_receipt
            && (self.has_open_predecessor(candidate) || self.driver.is_isolated())
    }

    /// Whether a write that was refused and never ran is to be stored after all.
    pub fn should_store_refused(&self, candidate: &WriteCandidate) -> bool {
        candidate.accepts_receipt && self.driver.is_isolated()
    }

    /// Waits until the predecessors of a write have their end records. Returns false if the client's time
    /// runs out first.
    ///
    /// Cancel safe.
    pub async fn wait_for_predecessors(&self, candidate: &WriteCandidate) -> bool {
        if !self.has_open_predecessor(candidate) {
            return true;
        }
        let ended = async {
            while self.has_open_predecessor(candidate) {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(candidate.left.saturating_sub(ANSWER_MARGIN), ended).await.is_ok()
    }

    /// Stores a write. It is on disk when this returns [`StoreOutcome::Stored`].
    pub async fn store(&self, candidate: WriteCandidate, left: Duration) -> StoreOutcome {
        let outcome = self.append_to_intake(candidate, left).await;
        match outcome {
            StoreOutcome::Stored(_) => self.count(|stats| stats.kept += 1),
            StoreOutcome::Refused(_) | StoreOutcome::Unknown => {
                self.count(|stats| stats.refused += 1)
            }
        }
        outcome
    }

    async fn append_to_intake(&self, candidate: WriteCandidate, left: Duration) -> StoreOutcome {
        let member = candidate.write.member;
        let seq = self.intake.borrow().last_seq + 1;
        let mut bytes = Vec::new();
        let fits = log::append(&mut bytes, seq, &Record::Write(Box::new(candidate.write))).is_ok();
        let length = bytes.len() as u64;
        let has_room = {
            let intake = self.intake.borrow();
            let open = self.open_own_writes() + intake.pending_writes;
            open < self.settings.max_open_writes
                && intake.stored_bytes + length <= self.settings.max_bytes
        };
        // A write that is handed to a slow disk can neither be taken back nor be acknowledged in time.
        if !fits || !has_room || self.disk.busy_for() > self.settings.slow_disk {
            return StoreOutcome::Refused(STORE_RETRY_AFTER);
        }
        let Some(mut append) = self.disk.append(self.own_store, StoreFile::Intake, bytes) else {
            return StoreOutcome::Refused(STORE_RETRY_AFTER);
        };
        let mut pending = {
            let mut intake = self.intake.borrow_mut();
            (intake.last_seq, intake.pending_writes) = (seq, intake.pending_writes + 1);
            intake.stored_bytes += length;
            let mut previous_seq = None;
            if intake.last_seq_by_member.len() < MAX_TRACKED_MEMBERS
                || intake.last_seq_by_member.contains_key(&member)
            {
                // Later writes of the member wait for this one, even while it is on its way to the disk.
                previous_seq = intake.last_seq_by_member.insert(member, seq);
            }
            PendingWrite { edge: self, seq, member, previous_seq, stored: false }
        };
        let result = timeout(left.saturating_sub(ANSWER_MARGIN), append.wait()).await;
        let outcome = match result {
            Ok(outcome) => outcome,
            // After this, the write is either acknowledged already or never will be.
            Err(_) => append.cancel().await.unwrap_or(AppendOutcome::Unknown),
        };
        match outcome {
            AppendOutcome::OnDisk => {
                pending.stored = true;
                StoreOutcome::Stored(Receipt(WriteId { edge: self.own_store, seq }))
            }
            AppendOutcome::NotWritten | AppendOutcome::Fenced => {
                let mut intake = self.intake.borrow_mut();
                intake.stored_bytes = intake.stored_bytes.saturating_sub(length);
                StoreOutcome::Refused(STORE_RETRY_AFTER)
            }
            // If power is lost before the end record is on disk, the next owner of the store sends the
            // write. If the client were told that it was refused, it would retry, and the write would run
            // twice.
            AppendOutcome::Unknown => StoreOutcome::Unknown,
        }
    }

    /// Returns the time for `Retry-After`, if the settings let refused clients know when to retry.
    pub fn allowed_retry_after(&self, after: Duration) -> Option<Duration> {
        self.driver.sends_retry_after().then_some(after)
    }

    /// Number of writes in the own store without an end record, as far as this process knows.
    fn open_own_writes(&self) -> usize {
        let replays = self.replays.borrow();
        match replays.get(&self.own_store) {
            Some(store) => store.replay.borrow().book().open_count(),
            None => {
                // The own store is not replayed here, so its announced progress is used.
                let upto = self.announced_mark(self.own_store).map_or(0, |(mark, _)| mark.upto);
                self.intake.borrow().last_seq.saturating_sub(upto) as usize
            }
        }
    }
}

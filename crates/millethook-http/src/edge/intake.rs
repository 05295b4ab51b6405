//! Taking writes in: which are kept, behind what, and the receipt that says so.

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

use super::disk::Written;
use super::folder::Name;
use super::{Edge, unix_ms};
use crate::head::{Invalid, passed_on, single};

/// What a client asks for where it takes a receipt for an answer (RFC 7240).
pub static PREFER: HeaderName = HeaderName::from_static("prefer");
/// The writes that one comes after, as their receipts named them.
pub static AFTER: HeaderName = HeaderName::from_static("millethook-after");
/// The name of a write that was kept.
pub static CONTEXT: HeaderName = HeaderName::from_static("millethook-context");
/// What the final answer may take of the client's time beside the disk.
const MARGIN: Duration = Duration::from_millis(10);
/// Members whose last write is remembered, at most; of more, all are looked up as if they had none.
const MOST_MEMBERS: usize = 65_536;
/// When a client should come back that could not be served, nor its write kept.
const COME_BACK: Duration = Duration::from_secs(1);

/// What this process has taken in.
#[derive(Default)]
pub(super) struct Intake {
    next: u64,
    bytes: u64,
    /// Writes handed to the disk and not known to be there.
    pending: usize,
    /// The last write of each member.
    members: FxHashMap<u64, u64>,
}

/// A receipt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Receipt(pub WriteId);

/// What became of a write that was to be kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kept {
    /// It is on disk.
    OnDisk(Receipt),
    /// It is not kept; coming back after this time is harmless.
    Refused(Duration),
    /// The disk has not said so in time, or failed in the middle. It is withdrawn: it may get to disk, and is not sent.
    Unknown,
}

/// A write that may be kept.
pub struct Taken {
    write: Write,
    after: Context,
    left: Duration,
    /// Its client takes a receipt for an answer.
    prefers_edge: bool,
}

/// A write that is on its way to the disk. Its client may go meanwhile, and it is withdrawn then.
struct Pending<'e> {
    edge: &'e Edge,
    seq: u64,
    member: u64,
    /// The member's last write before this one.
    before: Option<u64>,
    kept: bool,
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        let mut intake = self.edge.intake.borrow_mut();
        intake.pending -= 1;
        // Without this, what the member sends next waits for this one, which was not kept.
        if !self.kept && intake.members.get(&self.member) == Some(&self.seq) {
            match self.before {
                Some(before) => intake.members.insert(self.member, before),
                None => intake.members.remove(&self.member),
            };
        }
    }
}

impl Edge {
    /// Looks at a request: None: it is none that is ever kept, and comes after nothing.
    ///
    /// # Errors
    /// What it is said to come after makes no sense.
    pub fn look(
        &self,
        head: &Parts,
        request_head: &RequestHead,
        body: &[Bytes],
    ) -> Result<Option<Taken>, Invalid> {
        let path = head.uri.path();
        let class = path.split('/').nth(1).unwrap_or_default();
        if !self.settings.classes.iter().any(|name| name == class) || request_head.streaming {
            return Ok(None);
        }
        let settings = self.driver.class(request_head.class);
        let Some(settings) = settings else { return Ok(None) };
        let after = single(&head.headers, &AFTER)?.unwrap_or_default();
        let after = Context::parse(after).map_err(|_| Invalid::Header(AFTER.as_str()))?;
        let prefers = head.headers.get_all(&PREFER).iter().filter_map(|v| v.to_str().ok());
        let prefers = prefers.flat_map(|v| v.split(',')).any(|p| {
            p.split(';').next().is_some_and(|p| p.trim().eq_ignore_ascii_case("respond-async"))
        });
        let headers = passed_on(head.headers.clone());
        let headers = headers.iter().filter(|(name, _)| **name != AFTER && **name != PREFER);
        let account = head.headers.get("x-account").map_or(0, |v| stable_hash(v.as_bytes()));
        let member = if request_head.key == 0 { 0 } else { request_head.key ^ account };
        let write = Write {
            at_ms: unix_ms(),
            class: class.to_owned(),
            repeat: super::repeat_of(&settings),
            member,
            after: after.ids().to_vec(),
            method: head.method.to_string(),
            target: head.uri.path_and_query().map_or(String::new(), ToString::to_string),
            headers: headers.map(|(n, v)| (n.to_string(), v.as_bytes().to_vec())).collect(),
            body: body.concat(),
        };
        Ok(Some(Taken { write, after, left: request_head.left, prefers_edge: prefers }))
    }

    /// Whether what a write comes after has no end yet: then it waits behind that.
    fn has_open_forerunner(&self, taken: &Taken) -> bool {
        let open = |id: WriteId| match self.progress(id) {
            // What is done with one that comes after a failed one the replay's rule says.
            Progress::Ended | Progress::Failed => false,
            // Of a store that nobody speaks of nobody knows; the replay's rule decides in time.
            Progress::Open | Progress::Unknown => true,
        };
        let last = self.intake.borrow().members.get(&taken.write.member).copied();
        let last = last.filter(|_| taken.write.member != 0);
        last.is_some_and(|seq| open(WriteId { edge: self.own, seq }))
            || taken.after.ids().iter().any(|id| open(*id))
    }

    /// Whether a write is to be kept now, in place of being sent: it waits behind another one, or nobody can be reached.
    pub fn wants(&self, taken: &Taken) -> bool {
        taken.prefers_edge && (self.has_open_forerunner(taken) || self.driver.is_isolated())
    }

    /// Whether one that was not kept, and never ran, is to be kept after all.
    pub fn wants_refused(&self, taken: &Taken) -> bool {
        taken.prefers_edge && self.driver.is_isolated()
    }

    /// Waits until what a write comes after has its end; false: not in its client's time.
    ///
    /// Cancel safe.
    pub async fn forerunners(&self, taken: &Taken) -> bool {
        if !self.has_open_forerunner(taken) {
            return true;
        }
        let ended = async {
            while self.has_open_forerunner(taken) {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(taken.left.saturating_sub(MARGIN), ended).await.is_ok()
    }

    /// Keeps a write: it is on disk when this says so.
    pub async fn keep(&self, taken: Taken, left: Duration) -> Kept {
        let kept = self.put(taken, left).await;
        match kept {
            Kept::OnDisk(_) => self.count(|f| f.kept += 1),
            Kept::Refused(_) | Kept::Unknown => self.count(|f| f.refused += 1),
        }
        kept
    }

    async fn put(&self, taken: Taken, left: Duration) -> Kept {
        let member = taken.write.member;
        let seq = self.intake.borrow().next + 1;
        let mut bytes = Vec::new();
        let fits = log::append(&mut bytes, seq, &Record::Write(Box::new(taken.write))).is_ok();
        let length = bytes.len() as u64;
        let room = {
            let intake = self.intake.borrow();
            let open = self.open_here() + intake.pending;
            open < self.settings.most_writes && intake.bytes + length <= self.settings.most_bytes
        };
        // A write that is handed to a slow disk can neither be taken back nor acknowledged in time.
        if !fits || !room || self.disk.busy() > self.settings.slow {
            return Kept::Refused(COME_BACK);
        }
        let Some(mut written) = self.disk.append(self.own, Name::Intake, bytes) else {
            return Kept::Refused(COME_BACK);
        };
        let mut pending = {
            let mut intake = self.intake.borrow_mut();
            (intake.next, intake.pending) = (seq, intake.pending + 1);
            intake.bytes += length;
            let mut before = None;
            if intake.members.len() < MOST_MEMBERS || intake.members.contains_key(&member) {
                // Those that come behind it wait for it, also while it is on its way.
                before = intake.members.insert(member, seq);
            }
            Pending { edge: self, seq, member, before, kept: false }
        };
        let in_time = timeout(left.saturating_sub(MARGIN), written.written()).await;
        let written = match in_time {
            Ok(written) => written,
            // From here on it is acknowledged no more, or it is already.
            Err(_) => written.give_up().await.unwrap_or(Written::Unknown),
        };
        match written {
            Written::OnDisk => {
                pending.kept = true;
                Kept::OnDisk(Receipt(WriteId { edge: self.own, seq }))
            }
            Written::No | Written::Fenced => {
                let mut intake = self.intake.borrow_mut();
                intake.bytes = intake.bytes.saturating_sub(length);
                Kept::Refused(COME_BACK)
            }
            // Power that is lost before the disk has taken its end leaves it to others, who send it: to call it refused
            // would have it twice.
            Written::Unknown => Kept::Unknown,
        }
    }

    /// Whether clients are told when to come back.
    pub fn come_back(&self, after: Duration) -> Option<Duration> {
        self.driver.sends_retry_after().then_some(after)
    }

    /// Writes of the own store that have no end, for all that is known here.
    fn open_here(&self) -> usize {
        let replays = self.replays.borrow();
        match replays.get(&self.own) {
            Some(store) => store.replay.borrow().book().left(),
            None => {
                // Nobody replays it here: what was told of it counts.
                let upto = self.told(self.own).map_or(0, |(mark, _)| mark.upto);
                self.intake.borrow().next.saturating_sub(upto) as usize
            }
        }
    }
}

//! A simulated host: sidecars that share a folder of stores, simulated servers, and random faults.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};

use millethook_edge::record::{End, HostTime, Record, Repeat, Write};
use millethook_edge::{
    Book, Config, EdgeId, Outcome, Progress, Replay, State, Step, Token, Watermark, WriteId, log,
};
use proptest::prelude::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

mod owners;
mod script;
mod servers;

pub use script::*;

pub const PROCESSES: usize = 3;
const MEMBERS: u64 = 4;
/// Time after which a client is told that the state of its write is unknown, in milliseconds.
const CLIENT_TIMEOUT_MS: u64 = 1_000;
/// Durations in milliseconds.
const LEASE_MS: u64 = 2_000;
const WINDOW_MS: u64 = 5_000;
const STEP_MS: u64 = 10;
const PREDECESSOR_WAIT_MS: u64 = 20_000;

/// A file as processes see it, and how many of its bytes are on disk.
#[derive(Clone, Default)]
struct File {
    bytes: Vec<u8>,
    synced: usize,
}

/// A store's folder: the intake of its process, and a journal for each owner.
#[derive(Clone, Default)]
struct Folder {
    intake: File,
    /// How far the store's own process may read its intake: all earlier writes are acknowledged or ended.
    readable: usize,
    journals: BTreeMap<Token, File>,
}

/// The replay of one store by one process.
struct Owner {
    edge: EdgeId,
    replay: Replay,
    /// Read offset in each file.
    read: BTreeMap<Option<Token>, u64>,
    /// Records that are being written to disk, with the time at which they are on disk.
    writing: Vec<(u64, u64, Record)>,
    /// Writes whose lease check has passed and that are sent in the next step.
    lease_checked: Vec<u64>,
    answers: Vec<(u64, u64, Outcome)>,
}

struct Process {
    epoch: u64,
    paused_until: u64,
    owners: Vec<Owner>,
    /// Writes that are being stored.
    pending_writes: Vec<PendingWrite>,
    /// When the ends of withdrawn writes are on disk.
    withdrawing: Option<u64>,
    /// Until this time the process's disk syncs nothing.
    sync_blocked_until: u64,
    next: u64,
    alive: bool,
}

/// A write that is being written to disk.
struct PendingWrite {
    seq: u64,
    acked: Acked,
    /// Offset of its record.
    offset: usize,
    started_at: u64,
    synced_at: u64,
    /// Its client was told that the write's state is unknown.
    withdrawn: bool,
}

#[derive(Clone, Debug)]
struct Acked {
    member: u64,
    after: Vec<WriteId>,
    repeat: Repeat,
}

/// What a server did with a write.
#[derive(Clone, Debug, Default)]
struct Executions {
    /// The times at which it took effect; for a keyed write, the first of each window.
    at: Vec<u64>,
    refused: bool,
}

pub struct World {
    now: u64,
    boot: u64,
    random: Pcg64Mcg,
    folders: BTreeMap<EdgeId, Folder>,
    processes: Vec<Process>,
    /// The owner of each store, the end of its lease, and its token.
    leases: BTreeMap<EdgeId, (usize, u64, Token)>,
    counter: u32,
    /// The progress that owners have announced.
    announced: BTreeMap<EdgeId, (Token, Watermark)>,
    acked: BTreeMap<WriteId, Acked>,
    /// Writes whose clients were told that the state is unknown, with the host's boot at that time.
    withdrawn: BTreeMap<WriteId, u64>,
    executions: BTreeMap<WriteId, Executions>,
    /// Whether servers answer; below it, the percentage of answers that are lost.
    reachable: bool,
    lost_answer_percent: u64,
    damaged: bool,
    pub violation: Option<String>,
    pub stored: u64,
    pub effects: u64,
}

fn config() -> Config {
    Config {
        max_concurrent: 4,
        fleet_writes_per_second: 1_000.0,
        max_age_ms: 3_600_000,
        predecessor_wait: PREDECESSOR_WAIT_MS * 1_000,
        send_without_predecessor: false,
        repeat_margin_ms: 500,
    }
}

impl World {
    pub fn new(seed: u64) -> World {
        let process = |_| Process {
            epoch: 0,
            paused_until: 0,
            owners: Vec::new(),
            pending_writes: Vec::new(),
            withdrawing: None,
            sync_blocked_until: 0,
            next: 1,
            alive: false,
        };
        let mut world = World {
            now: 1_000_000,
            boot: 1,
            random: Pcg64Mcg::seed_from_u64(seed),
            folders: BTreeMap::new(),
            processes: (0..PROCESSES).map(process).collect(),
            leases: BTreeMap::new(),
            counter: 0,
            announced: BTreeMap::new(),
            acked: BTreeMap::new(),
            withdrawn: BTreeMap::new(),
            executions: BTreeMap::new(),
            reachable: false,
            lost_answer_percent: 0,
            damaged: false,
            violation: None,
            stored: 0,
            effects: 0,
        };
        (0..PROCESSES).for_each(|p| world.start(p));
        world
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.random.next_u64() % bound.max(1)
    }

    fn edge(&self, p: usize) -> EdgeId {
        EdgeId::new(p as u16, self.processes[p].epoch)
    }

    fn start(&mut self, p: usize) {
        if self.processes[p].alive {
            return;
        }
        self.processes[p].epoch = self.now;
        self.now += 1;
        let process = &mut self.processes[p];
        (process.alive, process.paused_until, process.next) = (true, 0, 1);
        let edge = self.edge(p);
        let mut folder = Folder::default();
        let _ = log::append(&mut folder.intake.bytes, 0, &Record::Opened { boot: self.boot });
        self.folders.insert(edge, folder);
    }

    fn kill(&mut self, p: usize) {
        let process = &mut self.processes[p];
        process.alive = false;
        process.owners.clear();
        process.pending_writes.clear();
        process.withdrawing = None;
    }

    fn awake(&self, p: usize) -> bool {
        self.processes[p].alive && self.processes[p].paused_until <= self.now
    }

    fn here(&self) -> HostTime {
        HostTime { boot: self.boot, ms: self.now }
    }

    fn fail(&mut self, text: String) {
        self.violation.get_or_insert(text);
    }

    pub fn act(&mut self, act: &Act) {
        match *act {
            Act::Store(p, member, keyed, named) if self.awake(p) => {
                self.store_write(p, member, keyed, named)
            }
            Act::Kill(p) => self.kill(p),
            Act::Start(p) => self.start(p),
            Act::Pause(p, ms) => self.processes[p].paused_until = self.now + ms,
            Act::PauseOwner(ms) => {
                let owners: BTreeSet<usize> = self.leases.values().map(|l| l.0).collect();
                if let Some(p) = owners.first() {
                    self.processes[*p].paused_until = self.now + ms;
                }
            }
            Act::KillOwner => {
                let owners: BTreeSet<usize> = self.leases.values().map(|l| l.0).collect();
                if let Some(p) = owners.first().copied() {
                    self.kill(p);
                }
            }
            Act::Reachable(reachable) => self.reachable = reachable,
            Act::LostAnswers(percent) => self.lost_answer_percent = percent,
            Act::SlowDisk(p, ms) => self.processes[p].sync_blocked_until = self.now + ms,
            Act::PowerLoss => {
                (0..PROCESSES).for_each(|p| self.kill(p));
                let mut files: Vec<File> = Vec::new();
                for folder in self.folders.values() {
                    files.push(folder.intake.clone());
                    files.extend(folder.journals.values().cloned());
                }
                for file in &mut files {
                    let unsynced = (file.bytes.len() - file.synced) as u64;
                    let kept = file.synced + self.below(unsynced + 1) as usize;
                    file.bytes.truncate(kept);
                    // The file's length may have reached the disk without the content.
                    if self.below(3) == 0 {
                        file.bytes.resize(kept + 100, 0);
                    }
                    file.synced = file.bytes.len();
                }
                let mut files = files.into_iter();
                for folder in self.folders.values_mut() {
                    folder.intake = files.next().unwrap_or_default();
                    folder
                        .journals
                        .values_mut()
                        .for_each(|j| *j = files.next().unwrap_or_default());
                }
                self.boot += 1;
                self.leases.clear();
                self.now += LEASE_MS;
            }
            Act::FlipBit(at) => {
                let mut files: Vec<&mut File> = Vec::new();
                for folder in self.folders.values_mut() {
                    files.push(&mut folder.intake);
                    files.extend(folder.journals.values_mut());
                }
                let bits: usize = files.iter().map(|f| f.synced * 8).sum();
                let Some(mut bit) = (at as usize).checked_rem(bits) else { return };
                for file in files {
                    if bit < file.synced * 8 {
                        file.bytes[bit / 8] ^= 1 << (bit % 8);
                        self.damaged = true;
                        return;
                    }
                    bit -= file.synced * 8;
                }
            }
            Act::Store(..) | Act::Wait => {}
        }
    }

    fn store_write(&mut self, p: usize, member: u64, keyed: bool, named: usize) {
        let edge = self.edge(p);
        let after: Vec<WriteId> = {
            let all: Vec<WriteId> = self.acked.keys().copied().collect();
            (0..named.min(all.len()))
                .map(|_| all[(self.random.next_u64() as usize) % all.len()])
                .collect()
        };
        let repeat = if keyed { Repeat::Within { window_ms: WINDOW_MS } } else { Repeat::Never };
        let seq = self.processes[p].next;
        self.processes[p].next += 1;
        let id = WriteId { edge, seq };
        let write = Write {
            at_ms: self.now,
            class: "log-upload".into(),
            repeat,
            member,
            after: after.clone(),
            method: "POST".into(),
            target: format!("/log-upload/{id}"),
            headers: Vec::new(),
            body: format!("{id}{}", "x".repeat(40)).into_bytes(),
        };
        let Some(folder) = self.folders.get_mut(&edge) else { return };
        let file = &mut folder.intake;
        let at = file.bytes.len();
        let _ = log::append(&mut file.bytes, seq, &Record::Write(Box::new(write)));
        let due = self.now + self.random.next_u64() % 30;
        let due = due.max(self.processes[p].sync_blocked_until);
        let acked = Acked { member, after, repeat };
        let started_at = self.now;
        self.processes[p].pending_writes.push(PendingWrite {
            seq,
            acked,
            offset: at,
            started_at,
            synced_at: due,
            withdrawn: false,
        });
    }

    /// Advances time in small steps and lets each process work.
    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end && self.violation.is_none() {
            self.now += STEP_MS.min(end - self.now);
            self.assign_leases();
            for p in 0..PROCESSES {
                if self.awake(p) {
                    self.run_process(p);
                }
            }
        }
    }

    fn book(&self, edge: EdgeId) -> Book {
        let mut book = Book::with_boot(edge, Some(self.boot));
        if let Some(folder) = self.folders.get(&edge) {
            take(&mut book, &folder.intake.bytes, false);
            folder.journals.values().for_each(|j| {
                take(&mut book, &j.bytes, true);
            });
        }
        book.finish_intake();
        book
    }

    /// Checks that no acknowledged write is lost: each is served, ended otherwise, or in doubt. Returns the number in
    /// doubt.
    pub fn check_acknowledged(&mut self) -> usize {
        let mut doubt = 0;
        for (id, _) in self.acked.clone() {
            let book = self.book(id.edge);
            let intake_damaged = book.damaged.iter().any(|d| !d.3);
            match book.entry(id.seq).map(|e| e.state) {
                None if intake_damaged => {}
                None => self.fail(format!("{id} was acknowledged and has no entry")),
                Some(State::Ended(millethook_edge::record::End::Done)) => {
                    let ran = self.executions.get(&id).is_some_and(|r| !r.at.is_empty());
                    if !ran {
                        self.fail(format!("{id} is marked as done and was never executed"));
                    }
                }
                Some(State::Unacknowledged) => {
                    self.fail(format!("{id} was acknowledged and is not kept"))
                }
                Some(State::Ended(End::Withdrawn)) => {
                    self.fail(format!("{id} was acknowledged and is withdrawn"));
                }
                Some(State::Ended(_)) => {}
                Some(State::Kept) if !self.damaged => {
                    let owners = self.processes.iter().flat_map(|p| &p.owners);
                    let of = owners.filter(|o| o.edge == id.edge);
                    let of: Vec<String> = of
                        .map(|o| {
                            format!(
                                "{:?} writing {:?} answers {:?}",
                                o.replay, o.writing, o.answers
                            )
                        })
                        .collect();
                    self.fail(format!(
                        "{id} is still kept: {:?} {of:?}",
                        self.leases.get(&id.edge)
                    ));
                }
                Some(_) => doubt += 1,
            }
        }
        doubt
    }
}

fn take(book: &mut Book, bytes: &[u8], marks: bool) -> u64 {
    let mut read = 0;
    for item in log::scan(bytes, 0) {
        match &item {
            log::Item::Record { at, length, .. } => read = at + u64::from(*length),
            log::Item::Damaged { at, length, .. } => read = at + length,
            log::Item::Torn { .. } => {}
        }
        book.apply_item(&item, marks);
    }
    read
}

/// Plays a script, then ends all faults and runs until the stores are empty.
pub fn play(seed: u64, script: &Script) -> Result<World, String> {
    let mut world = World::new(seed);
    for (gap, act) in script {
        world.run(*gap);
        world.act(act);
        if let Some(violation) = world.violation.take() {
            return Err(format!("{act:?}: {violation}"));
        }
    }
    (world.reachable, world.lost_answer_percent) = (true, 0);
    for p in 0..PROCESSES {
        world.processes[p].paused_until = 0;
        world.start(p);
    }
    world.run(4 * PREDECESSOR_WAIT_MS);
    world.check_acknowledged();
    match world.violation.take() {
        Some(violation) => Err(violation),
        None => Ok(world),
    }
}

//! Owners of stores: they acquire leases, read the files, write records and send writes.

use super::*;

impl World {
    /// Assigns leases as `millethook-lease` does: one owner at a time, with increasing tokens.
    pub(super) fn assign_leases(&mut self) {
        let edges: Vec<EdgeId> = self.folders.keys().copied().collect();
        for edge in edges {
            let held = self.leases.get(&edge).copied();
            if let Some((p, until, token)) = held {
                let holds = self.processes[p]
                    .owners
                    .iter()
                    .any(|o| o.edge == edge && o.replay.token() == token);
                if self.awake(p) && holds && until > self.now {
                    self.leases.insert(edge, (p, self.now + LEASE_MS, token));
                    continue;
                }
                if until > self.now {
                    continue;
                }
            }
            let awake: Vec<usize> = (0..PROCESSES).filter(|p| self.awake(*p)).collect();
            if awake.is_empty() {
                continue;
            }
            let p = awake[self.below(awake.len() as u64) as usize];
            self.counter += 1;
            let token = Token { epoch: 1, counter: self.counter, owner: p as u16 };
            self.leases.insert(edge, (p, self.now + LEASE_MS, token));
            self.take_over(p, edge, token);
        }
    }

    pub(super) fn holds(&self, p: usize, edge: EdgeId, token: Token) -> bool {
        let lease = self.leases.get(&edge);
        lease.is_some_and(|(owner, until, t)| *owner == p && *t == token && *until > self.now)
    }

    /// How far a process may read a store's intake.
    pub(super) fn readable(&self, p: usize, edge: EdgeId) -> usize {
        let folder = &self.folders[&edge];
        if edge == self.edge(p) { folder.readable } else { folder.intake.bytes.len() }
    }

    /// Whether a store's process has ended, so that nobody holds its intake.
    fn has_process_ended(&self, edge: EdgeId) -> bool {
        (0..PROCESSES).all(|p| !self.processes[p].alive || self.edge(p) != edge)
    }

    pub(super) fn take_over(&mut self, p: usize, edge: EdgeId, token: Token) {
        let (readable, process_ended) = (self.readable(p, edge), self.has_process_ended(edge));
        let Some(folder) = self.folders.get_mut(&edge) else { return };
        // An earlier owner has read writes that the store's own process has not decided yet.
        if readable < folder.intake.bytes.len() && !folder.journals.is_empty() {
            return;
        }
        // Unsynced bytes may never reach the disk, so the intake is synced first: nothing may be sent that a power
        // loss would remove.
        folder.intake.synced = folder.intake.bytes.len();
        let mut book = Book::with_boot(edge, Some(self.boot));
        let mut read = BTreeMap::new();
        read.insert(None, take(&mut book, &folder.intake.bytes[..readable], false));
        for (token, journal) in &folder.journals {
            read.insert(Some(*token), take(&mut book, &journal.bytes, true));
        }
        folder.journals.insert(token, File::default());
        book.finish_intake();
        let mut replay = Replay::new(config(), token, book, self.now * 1_000);
        if process_ended {
            replay.process_ended();
        }
        let owner = Owner {
            edge,
            replay,
            read,
            writing: Vec::new(),
            lease_checked: Vec::new(),
            answers: Vec::new(),
        };
        self.processes[p].owners.push(owner);
    }

    pub(super) fn run_process(&mut self, p: usize) {
        // Acknowledges the writes that are on disk.
        let edge = self.edge(p);
        let (now, next) = (self.now, self.processes[p].next);
        let mut pending_writes = std::mem::take(&mut self.processes[p].pending_writes);
        for late in pending_writes
            .iter_mut()
            .filter(|k| k.synced_at > now && k.started_at + CLIENT_TIMEOUT_MS <= now)
        {
            late.withdrawn = true;
            self.withdrawn.insert(WriteId { edge, seq: late.seq }, self.boot);
        }
        let due = pending_writes.iter().all(|k| k.synced_at <= now);
        if due && !pending_writes.is_empty() {
            let (mut ends, mut acknowledgements) = (Vec::new(), Vec::new());
            for PendingWrite { seq, acked, withdrawn, .. } in pending_writes {
                if withdrawn {
                    let how = End::Withdrawn;
                    let end = Record::End { how, status: 0, answer: Vec::new(), at_ms: now };
                    let _ = log::append(&mut ends, seq, &end);
                } else {
                    let _ = log::append(&mut acknowledgements, seq, &Record::Acknowledged);
                    self.acked.insert(WriteId { edge, seq }, acked);
                    self.stored += 1;
                }
            }
            if !ends.is_empty() {
                self.processes[p].withdrawing = Some(now + self.below(30));
            }
            if let Some(folder) = self.folders.get_mut(&edge) {
                folder.intake.synced = folder.intake.bytes.len();
                folder.intake.bytes.extend(acknowledgements);
                folder.intake.bytes.extend(ends);
            }
        } else {
            self.processes[p].pending_writes = pending_writes;
        }
        let process = &mut self.processes[p];
        if process.withdrawing.is_some_and(|due| due <= now) {
            process.withdrawing = None;
        }
        if process.withdrawing.is_none()
            && let Some(folder) = self.folders.get_mut(&edge)
        {
            let undecided = process.pending_writes.first().map(|k| k.offset);
            folder.readable = undecided.unwrap_or(folder.intake.bytes.len());
            folder.intake.synced = folder.intake.synced.max(folder.readable);
        }
        debug_assert!(next > 0);
        let mut owners = std::mem::take(&mut self.processes[p].owners);
        owners.retain_mut(|owner| self.run_owner(p, owner));
        self.processes[p].owners = owners;
    }

    /// Returns false if another process owns the store and this owner has no work in progress.
    pub(super) fn run_owner(&mut self, p: usize, owner: &mut Owner) -> bool {
        let token = owner.replay.token();
        let holds_lease = self.holds(p, owner.edge, token);
        // Writes whose lease check has passed are sent now, however long the process was paused in between.
        for seq in std::mem::take(&mut owner.lease_checked) {
            self.receive_write(p, owner, seq);
        }
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) = owner.writing.drain(..).partition(|w| w.1 <= now);
        owner.writing = rest;
        for (seq, _, record) in due {
            let Some(folder) = self.folders.get_mut(&owner.edge) else { return false };
            if let Some(journal) = folder.journals.get_mut(&token) {
                let _ = log::append(&mut journal.bytes, seq, &record);
                journal.synced = journal.bytes.len();
            }
            let step = owner.replay.record_written(now * 1_000, seq, true);
            self.step(p, owner, step);
        }
        let (due, rest): (Vec<_>, Vec<_>) = owner.answers.drain(..).partition(|a| a.1 <= now);
        owner.answers = rest;
        for (seq, _, outcome) in due {
            let step = owner.replay.outcome(seq, outcome, now);
            self.step(p, owner, step);
        }
        if !holds_lease {
            return !(owner.writing.is_empty() && owner.answers.is_empty());
        }
        self.read_files(p, owner);
        let announced = self.announced.clone();
        let elsewhere = |id: WriteId| match announced.get(&id.edge) {
            Some((_, mark)) => mark.of(id.seq),
            None => Progress::Unknown,
        };
        // No write is sent while no server can be reached.
        for _ in 0..4 {
            if !self.reachable {
                break;
            }
            let step = owner.replay.next(now * 1_000, self.here(), now, &elsewhere);
            if step.is_none() {
                break;
            }
            self.step(p, owner, step);
        }
        if let Err(violation) = owner.replay.check() {
            self.fail(format!("{}: {violation}", owner.edge));
        }
        let mark = owner.replay.book().watermark();
        let announced = self.announced.entry(owner.edge).or_insert((token, Watermark::default()));
        if token >= announced.0 {
            if (mark.upto, mark.beyond) < (announced.1.upto, announced.1.beyond) && !self.damaged {
                self.violation.get_or_insert(format!("{}: progress decreased", owner.edge));
            }
            *announced = (token, mark);
        }
        true
    }

    /// Reads what was appended to the store's files.
    pub(super) fn read_files(&mut self, p: usize, owner: &mut Owner) {
        let (readable, process_ended) =
            (self.readable(p, owner.edge), self.has_process_ended(owner.edge));
        let Some(folder) = self.folders.get_mut(&owner.edge) else { return };
        folder.intake.synced = folder.intake.bytes.len();
        let own = owner.replay.token();
        let files = [(None, &folder.intake)].into_iter();
        let files = files.chain(folder.journals.iter().map(|(t, j)| (Some(*t), j)));
        for (name, file) in files.filter(|(name, _)| *name != Some(own)) {
            let from = owner.read.entry(name).or_default();
            let upto = if name.is_none() { readable } else { file.bytes.len() };
            for item in log::scan(&file.bytes[..upto], *from) {
                match item {
                    log::Item::Record { seq, at, length, record } => {
                        *from = at + u64::from(length);
                        owner.replay.apply_record(seq, (at, length), &record);
                    }
                    log::Item::Damaged { at, length, seq } => {
                        *from = at + length;
                        if name.is_none() {
                            owner.replay.intake_damaged(seq);
                        }
                    }
                    log::Item::Torn { .. } => {}
                }
            }
        }
        if process_ended {
            owner.replay.process_ended();
        }
    }

    pub(super) fn step(&mut self, p: usize, owner: &mut Owner, step: Option<Step>) {
        match step {
            Some(Step::Write(seq, record)) => {
                let due = self.now + self.below(30);
                owner.writing.push((seq, due, record));
            }
            Some(Step::Send(seq)) => {
                // The last lease check; the process may be paused right after it.
                if self.holds(p, owner.edge, owner.replay.token()) {
                    owner.lease_checked.push(seq);
                } else {
                    owner.answers.push((seq, self.now, Outcome::NotRun));
                }
            }
            None => {}
        }
    }
}

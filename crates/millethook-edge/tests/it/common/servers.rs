//! Simulated servers, and the rules for what they execute.

use super::*;

impl World {
    /// A server receives a write.
    pub(super) fn receive_write(&mut self, p: usize, owner: &mut Owner, seq: u64) {
        let id = WriteId { edge: owner.edge, seq };
        let withdrawn = self.withdrawn.get(&id);
        // After a power loss the end record may be missing, and a flipped bit may hide the record that requires
        // acknowledgements. The store's own process still knows that the write was withdrawn.
        let own = owner.edge == self.edge(p);
        if withdrawn.is_some_and(|boot| own || *boot == self.boot && !self.damaged) {
            self.fail(format!("{id} was sent after its client got a final answer"));
        }
        let Some(entry) = owner.replay.book().entry(seq) else { return };
        let (at, length) = entry.location;
        let folder = &self.folders[&owner.edge];
        let begin = at as usize - log::HEADER_BYTES;
        let bytes = &folder.intake.bytes[begin..at as usize + length as usize];
        let Some((_, Record::Write(write))) = log::decode_one(bytes) else {
            owner.answers.push((seq, self.now, Outcome::Damaged));
            return;
        };
        if write.body != format!("{id}{}", "x".repeat(40)).into_bytes() {
            self.fail(format!("{id} was sent with a body that no client sent"));
        }
        // If the process is paused between the last check and the first byte, a repeat of a keyed write can arrive
        // after its window, as any sidecar's own repeat can. This simulation checks the window together with the
        // lease.
        let first = entry.first_sent.filter(|_| entry.may_have_run);
        let too_late = first.is_some_and(|f| self.here().since(f).is_none_or(|ms| ms >= WINDOW_MS));
        if too_late {
            owner.answers.push((seq, self.now, Outcome::NotRun));
            return;
        }
        let draw = self.below(100);
        let late = self.now + 1 + self.below(200);
        if !self.reachable && draw < 50 {
            owner.answers.push((seq, late, Outcome::NotRun));
            return;
        }
        if draw < 5 {
            owner.answers.push((seq, late, Outcome::NotRun));
            return;
        }
        let lost = self.below(100) < self.lost_answer_percent;
        if lost && draw < 20 {
            // The request never arrived, which the sender cannot know.
            owner.answers.push((seq, late, Outcome::MayHaveRun));
            return;
        }
        if draw < 8 {
            self.executions.entry(id).or_default().refused = true;
            let outcome = Outcome::Refused(422, b"no".to_vec());
            owner.answers.push((seq, late, if lost { Outcome::MayHaveRun } else { outcome }));
            return;
        }
        self.execute(id, &write.repeat);
        owner.answers.push((seq, late, if lost { Outcome::MayHaveRun } else { Outcome::Served }));
    }

    pub(super) fn execute(&mut self, id: WriteId, repeat: &Repeat) {
        let now = self.now;
        self.effects += 1;
        let ran = self.executions.entry(id).or_default();
        let again = !ran.at.is_empty();
        match repeat {
            Repeat::Never if again => {
                self.violation.get_or_insert(format!("{id} took effect twice"));
            }
            Repeat::Within { window_ms }
                if ran.at.first().is_some_and(|at| now - at > *window_ms) =>
            {
                self.violation.get_or_insert(format!("{id} took effect beyond its window"));
            }
            _ => {}
        }
        ran.at.push(now);
        let Some(acked) = self.acked.get(&id).cloned() else { return };
        for before in self.dependencies(id, &acked) {
            let ran = self.executions.get(&before).is_some_and(|r| !r.at.is_empty());
            // A write is not sent without a failed dependency: `send_without_predecessor` is false.
            if !ran && !self.damaged && self.has_entry(before) {
                self.fail(format!("{id} was executed before {before}"));
            }
        }
    }

    /// The dependencies of a write: its context, and the last acknowledged write of its member in the same store.
    pub(super) fn dependencies(&self, id: WriteId, acked: &Acked) -> Vec<WriteId> {
        let first = WriteId { edge: id.edge, seq: 0 };
        let mut of_member = self.acked.range(first..id).rev();
        let last = of_member.find(|(_, a)| a.member == acked.member && acked.member != 0);
        acked.after.iter().copied().chain(last.map(|(id, _)| *id)).collect()
    }

    /// Whether a write has an entry in its store.
    pub(super) fn has_entry(&self, id: WriteId) -> bool {
        self.book(id.edge).entry(id.seq).is_some()
    }
}

//! Servers: what they do with a write, and the rules that hold for what they did.

use super::*;

impl World {
    /// A server gets a write.
    pub(super) fn serve(&mut self, p: usize, owner: &mut Owner, seq: u64) {
        let id = WriteId { edge: owner.edge, seq };
        let withdrawn = self.withdrawn.get(&id);
        // A loss of power may take its end, and a flipped bit what says that writes have to be acknowledged. Its own
        // process knows better.
        let own = owner.edge == self.edge(p);
        if withdrawn.is_some_and(|boot| own || *boot == self.boot && !self.damaged) {
            self.fail(format!("{id} went out behind its final answer"));
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
            self.fail(format!("{id}: went out as what nobody sent"));
        }
        // A repeat of a keyed write that stops between its last look and its first byte can come after its window, as
        // any sidecar's own repeat can. Here the window is looked at with the lease.
        let first = entry.first_sent.filter(|_| entry.may_have_run);
        let too_late = first.is_some_and(|f| self.here().since(f).is_none_or(|ms| ms >= WINDOW));
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
        let lost = self.below(100) < self.lost;
        if lost && draw < 20 {
            // It never got there, and nobody can tell.
            owner.answers.push((seq, late, Outcome::MayHaveRun));
            return;
        }
        if draw < 8 {
            self.ran.entry(id).or_default().refused = true;
            let outcome = Outcome::Refused(422, b"no".to_vec());
            owner.answers.push((seq, late, if lost { Outcome::MayHaveRun } else { outcome }));
            return;
        }
        self.run_effect(id, &write.repeat);
        owner.answers.push((seq, late, if lost { Outcome::MayHaveRun } else { Outcome::Served }));
    }

    pub(super) fn run_effect(&mut self, id: WriteId, repeat: &Repeat) {
        let now = self.now;
        self.effects += 1;
        let ran = self.ran.entry(id).or_default();
        let again = !ran.at.is_empty();
        match repeat {
            Repeat::Never if again => {
                self.broken.get_or_insert(format!("{id} took effect twice"));
            }
            Repeat::Within { window_ms }
                if ran.at.first().is_some_and(|at| now - at > *window_ms) =>
            {
                self.broken.get_or_insert(format!("{id} took effect beyond its window"));
            }
            _ => {}
        }
        ran.at.push(now);
        let Some(acked) = self.acked.get(&id).cloned() else { return };
        for before in self.forerunners(id, &acked) {
            let ran = self.ran.get(&before).is_some_and(|r| !r.at.is_empty());
            // None is sent without one that failed: scripts say "apart".
            if !ran && !self.damaged && self.known(before) {
                self.fail(format!("{id} ran before {before}"));
            }
        }
    }

    /// What a write comes after: its context, and its member's last acknowledged one in the same store.
    pub(super) fn forerunners(&self, id: WriteId, acked: &Acked) -> Vec<WriteId> {
        let first = WriteId { edge: id.edge, seq: 0 };
        let mut of_member = self.acked.range(first..id).rev();
        let last = of_member.find(|(_, a)| a.member == acked.member && acked.member != 0);
        acked.after.iter().copied().chain(last.map(|(id, _)| *id)).collect()
    }

    /// Whether a write is in its store.
    pub(super) fn known(&self, id: WriteId) -> bool {
        self.book(id.edge).entry(id.seq).is_some()
    }
}

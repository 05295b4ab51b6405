//! The state machine.

use std::collections::{BTreeMap, VecDeque};

use rand_pcg::Pcg32;

use crate::Micros;
use crate::fact::{Epoch, Fact, MOST_EPOCH, Status};
use crate::message::{BASE, FACT, Head, LONGEST, Malformed, NOBODY, What, read_facts, write_fact};
use crate::mutant::{self, Mutant};
use crate::news::News;
use crate::probe::{Order, Probe, Relayed, Suspicion, below, pick};
use crate::table::{Counts, Member, Table};

/// How a view is set up.
#[derive(Clone, Copy, Debug)]
pub struct ViewConfig {
    /// The own number.
    pub me: u16,
    /// Members of the fleet, the own one counted; their numbers go from 0. At most 65,534.
    pub members: u16,
    /// The epoch of this process: milliseconds of Unix time at its start.
    pub epoch: Epoch,
    /// Time between two probes, in microseconds.
    pub period: Micros,
    /// For random numbers.
    pub seed: u64,
}

/// A change in what is believed of another member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event {
    /// Of whom.
    pub number: u16,
    /// Of which process.
    pub epoch: Epoch,
    /// What was believed.
    pub before: Status,
    /// What is.
    pub now: Status,
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Probes without any answer.
    pub probes_failed: u64,
    /// Contradictions: somebody said that this process is suspect, dead or gone.
    pub refuted: u64,
    /// Times at which another process of the own number was met.
    pub superseded: u64,
    /// Contents that were no message, and facts about nobody.
    pub malformed: u64,
    /// Times at which this process had not run for long.
    pub stalls: u64,
}

/// Local health: the worst score (Lifeguard, section 3.1).
const WORST: u32 = 8;
/// What a stall adds to it.
const STALLED: u32 = 2;
/// Members that probe a suspect as soon as they hear of it, in the mean.
const WITNESSES: usize = 4;
/// Facts in a message while the budget is short.
const SHORT: usize = 2;
/// Others that are asked to ask.
const HELPERS: usize = 3;
/// A probe waits for this part of the period before others are asked.
const DIRECT: (u64, u64) = (3, 10);
/// While there is news it goes to one more member so many times a period.
const GOSSIP: u64 = 5;
/// A dead or unknown member is asked each so many periods.
const ASK: u64 = 2;
/// After a difference was seen, messages carry pieces of the table for so many periods.
const DIFFERS: u64 = 3;
/// A newcomer asks for the table after this part of a period, and after each failure half as often, to once in two;
/// after an answer it asks another member for the next piece after [`GOSSIP`]'s part.
const PULL: u64 = 20;
const SLOWEST_PULL: u64 = 2;
/// Bounds.
const OUT: usize = 64;
const EVENTS: usize = 1024;
const RELAYED: usize = 64;
const NOTICES: usize = 8;
/// A process that meets another of its number goes above it, after at least a period, and each time twice as long
/// as before, to this many periods.
const SLOWEST_BUMP: u64 = 64;

/// The table that a newcomer fetches, piece by piece.
#[derive(Clone, Copy, Debug)]
struct Pull {
    cursor: u16,
    next: Micros,
    wait: Micros,
}

/// The view of one process.
#[derive(Clone)]
pub struct View {
    config: ViewConfig,
    table: Table,
    news: News,
    order: Order,
    random: Pcg32,
    seq: u16,
    probe: Option<Probe>,
    relayed: VecDeque<Relayed>,
    suspicions: BTreeMap<u16, Suspicion>,
    health: u32,
    next_period: Micros,
    next_gossip: Micros,
    next_ask: Micros,
    pull: Option<Pull>,
    differs_until: Micros,
    cursor: u16,
    notices: usize,
    bump_at: Micros,
    bump_wait: Micros,
    wanted_epoch: Epoch,
    congested: bool,
    out: VecDeque<(u16, Vec<u8>)>,
    events: VecDeque<Event>,
    figures: Figures,
}

impl View {
    /// The view of a process that has just started: it knows of nobody.
    ///
    /// `config.me` has to be below `config.members`.
    pub fn new(config: ViewConfig, now: Micros) -> View {
        let period = config.period.max(1_000);
        let config = ViewConfig { period, epoch: config.epoch.clamp(1, MOST_EPOCH), ..config };
        let members = usize::from(config.members);
        // Pcg's second number is the stream: two processes of one seed draw differently.
        let mut random = Pcg32::new(config.seed, u64::from(config.me));
        let spread = |random: &mut Pcg32, over: u64| below(random, over as usize) as u64;
        let first = now + spread(&mut random, period);
        let pull =
            Pull { cursor: 0, next: now + spread(&mut random, period / PULL), wait: period / PULL };
        let mut view = View {
            config,
            table: Table::new(members),
            news: News::new(members),
            order: Order::default(),
            seq: 0,
            probe: None,
            relayed: VecDeque::new(),
            suspicions: BTreeMap::new(),
            health: 0,
            next_period: first,
            next_gossip: now,
            next_ask: now + spread(&mut random, ASK * period),
            pull: Some(pull),
            differs_until: 0,
            cursor: below(&mut random, members) as u16,
            notices: 0,
            bump_at: now,
            bump_wait: period,
            wanted_epoch: 0,
            congested: false,
            out: VecDeque::new(),
            events: VecDeque::new(),
            figures: Figures::default(),
            random,
        };
        view.say_of_myself(Status::Alive, 0);
        view
    }

    /// The own number.
    pub fn me(&self) -> u16 {
        self.config.me
    }

    /// The epoch of this process, as it stands in frames.
    pub fn epoch(&self) -> Epoch {
        self.config.epoch
    }

    /// What is believed of a member.
    pub fn member(&self, number: u16) -> Option<&Member> {
        self.table.get(number)
    }

    /// How many members are what. The own one counts as alive.
    pub fn counts(&self) -> Counts {
        self.table.counts
    }

    /// The same for all that believe the same of each member's process and presence.
    pub fn hash(&self) -> u32 {
        self.table.hash
    }

    /// Counts since the start.
    pub fn figures(&self) -> Figures {
        self.figures
    }

    /// Whether the budget is short. While it is, nothing goes out but probes and answers, and these short. Danger:
    /// what waits for a budget makes probes late, late probes make suspects, and those make more to say.
    pub fn set_congested(&mut self, congested: bool) {
        self.congested = congested;
    }

    /// The next change, in order. Of more than 1,024 that nobody fetched the oldest are lost.
    pub fn poll_event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// The next message: the receiver's number and the content.
    pub fn poll_transmit(&mut self) -> Option<(u16, Vec<u8>)> {
        self.out.pop_front()
    }

    /// When [`View::tick`] has to be called next.
    pub fn poll_timeout(&self) -> Micros {
        let mut next = self.next_period.min(self.next_ask);
        if let Some(at) = self.probe.and_then(|p| p.indirect_at) {
            next = next.min(at);
        }
        if !self.news.is_empty() {
            next = next.min(self.next_gossip);
        }
        if let Some(pull) = self.pull {
            next = next.min(pull.next);
        }
        if self.wanted_epoch > 0 {
            next = next.min(self.bump_at);
        }
        let ends = self.suspicions.values().map(|s| self.suspicion_ends(s));
        ends.fold(next, Micros::min)
    }

    fn suspicion_ends(&self, suspicion: &Suspicion) -> Micros {
        let counts = self.table.counts;
        suspicion.ends(self.config.period, counts.alive + counts.suspect)
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Micros) {
        // A suspicion that is confirmed may end in the past at once: only the own pace tells of a stall.
        let late = now.saturating_sub(self.next_period.min(self.next_ask));
        if late > self.config.period {
            self.stalled(now, late);
        }
        let over: Vec<u16> = (self.suspicions.iter())
            .filter(|(_, s)| self.suspicion_ends(s) <= now)
            .map(|(number, _)| *number)
            .collect();
        for number in over.into_iter().filter(|_| !mutant::is(Mutant::SuspectForEver)) {
            let Some(fact) = self.table.fact(number) else { continue };
            self.believe(&Fact { status: Status::Dead, by: self.config.me, ..fact }, now);
        }
        if self.wanted_epoch > 0 && self.bump_at <= now {
            self.go_above(now);
        }
        if self.probe.is_some_and(|p| p.indirect_at.is_some_and(|at| at <= now)) {
            self.ask_others();
        }
        if self.next_period <= now {
            self.period(now);
        }
        if self.next_ask <= now {
            self.next_ask = now + ASK * self.config.period;
            self.ask_the_absent();
        }
        if self.next_gossip <= now && !self.news.is_empty() {
            self.next_gossip = now + self.config.period / GOSSIP;
            if !self.congested {
                self.gossip();
            }
        }
        if self.pull.is_some_and(|p| p.next <= now) {
            self.ask_for_the_table(now);
        }
    }

    /// This process did not run for a while. Whatever it waited for may have come meanwhile, and it may be thought
    /// dead: it judges nobody by that time, and asks what has changed.
    fn stalled(&mut self, now: Micros, late: Micros) {
        self.figures.stalls += 1;
        self.health = (self.health + STALLED).min(WORST);
        self.probe = None;
        self.next_period = now;
        self.suspicions.values_mut().for_each(|s| s.begun += late);
        self.differs_until = now + DIFFERS * self.config.period;
        self.start_pull(now);
    }

    fn start_pull(&mut self, now: Micros) {
        self.pull.get_or_insert(Pull { cursor: 0, next: now, wait: self.config.period / PULL });
    }

    fn period(&mut self, now: Micros) {
        if let Some(probe) = self.probe.take() {
            if probe.answered {
                self.health = self.health.saturating_sub(1);
            } else {
                self.figures.probes_failed += 1;
                // Where somebody that was asked for help has heard it, the fault is not on this side. A helper's
                // word takes the place of the paper's nack, which needs a timer there. Danger: counting those
                // that are missing, as the paper does, slows all down where several die at once.
                if probe.asked > 0 && !probe.heard {
                    self.health = (self.health + 1).min(WORST);
                }
                self.suspect(probe.target, now);
            }
        }
        self.notices = 0;
        self.relayed.retain(|r| r.until > now);
        let slowed = u64::from(1 + self.health);
        self.next_period = now + self.config.period * slowed;
        let Some(target) = self.order.next(&self.table, self.config.me, &mut self.random) else {
            return;
        };
        let seq = self.next_seq();
        let wait = self.config.period * DIRECT.0 / DIRECT.1 * slowed;
        self.probe = Some(Probe {
            target,
            seq,
            indirect_at: Some(now + wait),
            answered: false,
            asked: 0,
            heard: false,
        });
        self.ping(target, seq, self.differs_until > now);
    }

    fn next_seq(&mut self) -> u16 {
        self.seq = self.seq.wrapping_add(1);
        self.seq
    }

    fn suspect(&mut self, number: u16, now: Micros) {
        let Some(fact) = self.table.fact(number).filter(|f| f.status.is_present()) else { return };
        self.believe(&Fact { status: Status::Suspect, by: self.config.me, ..fact }, now);
    }

    fn ask_others(&mut self) {
        let Some(probe) = &mut self.probe else { return };
        probe.indirect_at = None;
        let (target, seq, answered) = (probe.target, probe.seq, probe.answered);
        if answered {
            return;
        }
        let me = self.config.me;
        let mut helpers: Vec<u16> = Vec::new();
        for _ in 0..HELPERS {
            let good = |n: u16, s: Status| {
                s == Status::Alive && n != me && n != target && !helpers.contains(&n)
            };
            helpers.extend(pick(&self.table, &mut self.random, good));
        }
        if let Some(probe) = &mut self.probe {
            probe.asked = helpers.len();
        }
        for helper in helpers {
            self.send(helper, What::PingReq, seq, target, LONGEST, false);
        }
    }

    /// One that is dead, or was never heard of, is asked. All processes together ask each now and then, for ever.
    fn ask_the_absent(&mut self) {
        let me = self.config.me;
        let absent = |n: u16, s: Status| matches!(s, Status::Dead | Status::Unknown) && n != me;
        let nobody = self.table.counts.dead + self.table.counts.unknown == 0;
        if nobody || mutant::is(Mutant::DeadAreForgotten) {
            return;
        }
        if let Some(number) = pick(&self.table, &mut self.random, absent) {
            let seq = self.next_seq();
            self.ping(number, seq, false);
        }
    }

    fn gossip(&mut self) {
        let me = self.config.me;
        let present = |n: u16, s: Status| s.is_present() && n != me;
        if let Some(number) = pick(&self.table, &mut self.random, present) {
            self.send(number, What::Facts, 0, NOBODY, LONGEST, false);
        }
    }

    fn ask_for_the_table(&mut self, now: Micros) {
        let Some(pull) = &mut self.pull else { return };
        // An answer moves it on at once; without one another member is asked, later and later.
        pull.wait = (pull.wait * 2).min(SLOWEST_PULL * self.config.period);
        pull.next = now + pull.wait;
        if self.congested {
            return;
        }
        let cursor = pull.cursor;
        let me = self.config.me;
        let present = |n: u16, s: Status| s.is_present() && n != me;
        let absent = |n: u16, s: Status| s != Status::Left && n != me;
        let number = pick(&self.table, &mut self.random, present)
            .or_else(|| pick(&self.table, &mut self.random, absent));
        if let Some(number) = number {
            let seq = self.next_seq();
            self.send(number, What::Pull, seq, cursor, LONGEST, false);
        }
    }

    fn ping(&mut self, to: u16, seq: u16, fill: bool) {
        self.send(to, What::Ping, seq, to, LONGEST, fill);
    }

    /// Writes a message of at most `longest` bytes: first what its receiver has to contradict, then news, then, if
    /// views were seen to differ, a piece of the table.
    fn send(&mut self, to: u16, what: What, seq: u16, about: u16, longest: usize, fill: bool) {
        if longest < BASE {
            return;
        }
        let incarnation = self.table.get(self.config.me).map_or(0, |m| m.incarnation);
        let longest = if self.congested { longest.min(BASE + SHORT * FACT) } else { longest };
        let fill = fill && !self.congested;
        let epoch = self.config.epoch;
        let head = Head { what, seq, hash: self.table.hash, incarnation, about, epoch };
        let mut bytes = head.write();
        if let Some(fact) = self.table.fact(to).filter(|f| f.status != Status::Alive) {
            write_fact(&mut bytes, &fact, epoch, longest);
        }
        let table = &self.table;
        self.news.tell(|number| {
            let fact = table.fact(number);
            fact.is_none_or(|fact| write_fact(&mut bytes, &fact, epoch, longest))
        });
        if fill {
            let mut piece = self.table.from(self.cursor);
            let all = self.table.len();
            let last =
                piece.by_ref().take(all).find(|f| !write_fact(&mut bytes, f, epoch, longest));
            // The first that had no room is the first of the next piece.
            self.cursor = last.map_or(self.cursor, |f| f.number);
        }
        let least = longest.min(BASE + FACT);
        if matches!(what, What::Ping | What::PingReq) && bytes.len() < least {
            // There has to be room for one fact in the answer.
            bytes.resize(least, 0xff);
        }
        if what == What::Pull {
            // The answer is as long as this at most.
            bytes.resize(longest, 0xff);
        }
        self.queue(to, bytes);
    }

    fn queue(&mut self, to: u16, bytes: Vec<u8>) {
        if self.out.len() < OUT {
            self.out.push_back((to, bytes));
        }
    }

    /// This process is about to end: the fleet hears it in so many words.
    pub fn leave(&mut self, now: Micros) {
        let incarnation = self.table.get(self.config.me).map_or(0, |m| m.incarnation);
        self.say_of_myself(Status::Left, incarnation);
        self.pull = None;
        for _ in 0..HELPERS {
            self.gossip();
        }
        self.next_gossip = now + self.config.period / GOSSIP;
    }

    fn left(&self) -> bool {
        self.table.status(self.config.me) == Status::Left
    }

    fn say_of_myself(&mut self, status: Status, incarnation: u16) {
        let (number, epoch) = (self.config.me, self.config.epoch);
        self.table.set(&Fact { number, epoch, incarnation, status, by: number });
        self.news.add(number);
    }

    /// A message of the member `from`, whose frame told the epoch of its process.
    ///
    /// # Errors
    /// The content is no message; nothing of it was used.
    pub fn handle(
        &mut self,
        now: Micros,
        from: u16,
        epoch: Epoch,
        content: &[u8],
    ) -> Result<(), Malformed> {
        let (head, facts) = match Head::read(content) {
            Ok(read) => read,
            Err(e) => {
                self.figures.malformed += 1;
                return Err(e);
            }
        };
        let known = usize::from(from) < self.table.len() && from != self.config.me;
        if !known || !(1..=MOST_EPOCH).contains(&epoch) {
            self.figures.malformed += 1;
            return Ok(());
        }
        let incarnation = head.incarnation;
        let alive = Fact { number: from, epoch, incarnation, status: Status::Alive, by: from };
        self.believe(&alive, now);
        let current = self.table.get(from).is_some_and(|m| m.epoch == epoch);
        if current {
            self.table.heard(from, (now / 1_000) as u32);
        }
        for fact in read_facts(facts, head.epoch) {
            self.believe(&fact, now);
        }
        if head.hash != self.table.hash && !mutant::is(Mutant::NoRepair) {
            self.differs_until = now + DIFFERS * self.config.period;
        }
        self.answer(now, from, current, &head, content.len());
        Ok(())
    }

    fn answer(&mut self, now: Micros, from: u16, current: bool, head: &Head, length: usize) {
        let fill = self.differs_until > now;
        match head.what {
            What::Ping => self.send(from, What::Ack, head.seq, self.config.me, length, fill),
            What::Ack => {
                let probe = self.probe.as_mut().filter(|p| p.seq == head.seq);
                if let Some(probe) = probe.filter(|p| p.target == head.about && current) {
                    probe.answered = true;
                    probe.indirect_at = None;
                }
                let asked = self.relayed.iter().position(|r| (r.seq, r.target) == (head.seq, from));
                if let Some(relayed) = asked.and_then(|n| self.relayed.remove(n)) {
                    let Relayed { asked_by, their_seq, target, .. } = relayed;
                    self.send(asked_by, What::Ack, their_seq, target, length, fill);
                }
            }
            What::PingReq => {
                let target = head.about;
                if usize::from(target) >= self.table.len() || target == self.config.me {
                    return;
                }
                let (seq, until) = (self.next_seq(), now + 2 * self.config.period);
                let asked = Relayed { seq, target, asked_by: from, their_seq: head.seq, until };
                self.relayed.push_back(asked);
                if self.relayed.len() > RELAYED {
                    self.relayed.pop_front();
                }
                self.send(target, What::Ping, seq, target, length, fill);
                self.send(from, What::Heard, head.seq, target, length, false);
            }
            What::Heard => {
                if let Some(probe) = self.probe.as_mut().filter(|p| p.seq == head.seq) {
                    probe.heard = true;
                }
            }
            What::Pull => self.send_piece(from, head.seq, head.about, length),
            What::Piece => {
                let Some(pull) = &mut self.pull else { return };
                // Another piece than the one that is wanted was asked for before a stall.
                if head.about != NOBODY && head.about > pull.cursor {
                    pull.cursor = head.about;
                    pull.wait = self.config.period / PULL;
                    pull.next = now + self.config.period / GOSSIP;
                } else if head.about == NOBODY {
                    self.pull = None;
                }
            }
            What::Facts => {}
        }
        // Who is thought dead, and asks nothing, still has to hear it.
        let silent = matches!(head.what, What::Ack | What::Facts | What::Piece | What::Heard);
        let wrong =
            !self.table.status(from).is_present() && self.table.status(from) != Status::Left;
        if silent && wrong && length >= BASE + FACT {
            self.send(from, What::Facts, 0, NOBODY, BASE + FACT, false);
        }
    }

    fn send_piece(&mut self, to: u16, seq: u16, cursor: u16, length: usize) {
        if length < BASE {
            return;
        }
        let epoch = self.config.epoch;
        let own = self.table.fact(self.config.me).into_iter();
        let contradicts = self.table.fact(to).filter(|f| f.status != Status::Alive);
        let later = self.table.from(cursor).take_while(|f| f.number >= cursor);
        let incarnation = self.table.get(self.config.me).map_or(0, |m| m.incarnation);
        let hash = self.table.hash;
        let head = Head { what: What::Piece, seq, hash, incarnation, about: NOBODY, epoch };
        let mut bytes = head.write();
        for fact in contradicts.into_iter().chain(own) {
            write_fact(&mut bytes, &fact, epoch, length);
        }
        let next = later.into_iter().find(|f| !write_fact(&mut bytes, f, epoch, length));
        if let Some(next) = next {
            let about = next.number;
            bytes.splice(..BASE, Head { about, ..head }.write());
        }
        self.queue(to, bytes);
    }

    /// Takes a word on a member, if it is later than what is believed.
    fn believe(&mut self, fact: &Fact, now: Micros) {
        if fact.number == self.config.me {
            return self.hear_of_myself(fact, now);
        }
        let Some(member) = self.table.get(fact.number).copied() else {
            self.figures.malformed += 1;
            return;
        };
        let revives = mutant::is(Mutant::LeftComesBack)
            && (member.status, fact.status) == (Status::Left, Status::Alive);
        if member.status != Status::Unknown && fact.rank() <= member.rank() && !revives {
            let same = fact.rank() == member.rank() && fact.status == Status::Suspect;
            let suspicion = self.suspicions.get_mut(&fact.number).filter(|_| same);
            if suspicion.is_some_and(|s| s.confirm(fact.by)) {
                // One more own word is news, too, and travels as such.
                let member = Fact { by: fact.by, ..*fact };
                self.table.set(&member);
                self.news.add(fact.number);
            }
            return;
        }
        self.table.set(fact);
        self.news.add(fact.number);
        match fact.status {
            Status::Suspect => {
                self.suspicions.insert(fact.number, Suspicion::new(now, fact.by));
                // Some few of the fleet see for themselves at once, so that a suspicion is soon confirmed or over.
                let members = self.table.counts.alive + self.table.counts.suspect;
                if below(&mut self.random, members) < WITNESSES {
                    self.order.first(fact.number);
                }
            }
            _ => {
                self.suspicions.remove(&fact.number);
            }
        }
        if member.status != fact.status {
            let Fact { number, epoch, .. } = *fact;
            self.events.push_back(Event { number, epoch, before: member.status, now: fact.status });
            if self.events.len() > EVENTS {
                self.events.pop_front();
            }
        }
        self.notify(fact, &member, now);
    }

    /// Somebody says that a member is dead which was heard a moment ago: it is told at once, so that it can
    /// contradict before many believe it.
    fn notify(&mut self, fact: &Fact, before: &Member, now: Micros) {
        let since = ((now / 1_000) as u32).wrapping_sub(before.heard);
        let lately = u64::from(since) * 1_000 < 4 * self.config.period;
        let wrong =
            matches!(fact.status, Status::Suspect | Status::Dead) && fact.by != self.config.me;
        let alive = before.status.is_present() && before.epoch == fact.epoch;
        if wrong && alive && lately && self.notices < NOTICES {
            self.notices += 1;
            self.send(fact.number, What::Facts, 0, NOBODY, BASE + FACT, false);
        }
    }

    fn hear_of_myself(&mut self, fact: &Fact, now: Micros) {
        let Some(own) = self.table.get(self.config.me).copied() else { return };
        if fact.rank() <= own.rank() {
            return;
        }
        if mutant::is(Mutant::NoContradiction) {
            return;
        }
        if fact.epoch > own.epoch && mutant::is(Mutant::NeverAbove) {
            return;
        }
        if fact.epoch > own.epoch || (fact.status == Status::Left && !self.left()) {
            // A later process under this number, or a clock that was set back before this one started. What left
            // cannot come back but as another process.
            self.wanted_epoch = self.wanted_epoch.max(fact.epoch + 1);
            return;
        }
        match fact.status {
            Status::Alive => self.say_of_myself(own.status, fact.incarnation),
            _ => {
                self.figures.refuted += 1;
                if fact.status == Status::Suspect {
                    self.health = (self.health + 1).min(WORST);
                }
                let step = u16::from(!mutant::is(Mutant::SameIncarnation));
                match fact.incarnation.checked_add(step) {
                    Some(next) => self.say_of_myself(own.status, next),
                    None => self.wanted_epoch = self.wanted_epoch.max(own.epoch + 1),
                }
            }
        }
        self.next_gossip = self.next_gossip.min(now);
    }

    /// Becomes a later process than the one that was heard of. Danger: two that live under one number would go
    /// above each other without end; each time it takes twice as long.
    fn go_above(&mut self, now: Micros) {
        let epoch = std::mem::take(&mut self.wanted_epoch).min(MOST_EPOCH);
        if epoch <= self.config.epoch {
            return;
        }
        self.figures.superseded += 1;
        self.config.epoch = epoch;
        let status = self.table.status(self.config.me);
        self.say_of_myself(status, 0);
        self.next_gossip = self.next_gossip.min(now);
        self.bump_at = now + self.bump_wait;
        self.bump_wait = (self.bump_wait * 2).min(SLOWEST_BUMP * self.config.period);
    }
}

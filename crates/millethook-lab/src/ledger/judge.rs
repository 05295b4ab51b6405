//! The four rules, judged over all processes together once a run is over. No clock and no I/O: a book in,
//! breaches out.

use std::collections::HashMap;
use std::fmt;

use super::{Absence, Attempt, End, Fate, Listed, Micros, Request, RequestId, RunRecords};
use crate::timeline::{Class, Effect, Group, Rules};

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    /// Each request taken gets exactly one final answer in time, made for it, and nothing goes out after it.
    Lost,
    /// No effect twice.
    Twice,
    /// Nothing new to a server that drains or is gone.
    Drain,
    /// No cold server pushed over by the sum of all.
    Cold,
    /// No write before the one that it comes after.
    Order,
    /// No header twice in what servers are sent.
    Header,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Rule::Lost => "no request lost",
            Rule::Twice => "no effect twice",
            Rule::Drain => "drains kept",
            Rule::Cold => "no cold server pushed over",
            Rule::Order => "no write before its forerunner",
            Rule::Header => "no header twice",
        })
    }
}

/// A broken rule.
#[derive(Clone, Debug)]
pub struct Breach {
    /// Which.
    pub rule: Rule,
    /// By which request, where it was one.
    pub request: Option<RequestId>,
    /// What happened.
    pub text: String,
    /// The request's history through every process, in order.
    pub history: Vec<String>,
    /// What was done was right but for its time: a daemon that got no processor does that, too.
    pub by_time: bool,
}

/// Shares of what a cold server was sent that have to come from sidecars told of its start.
const TOLD_SHARE: f64 = 2.0 / 3.0;

/// One request in so many may have its new connection closed without an answer.
const CLOSED: usize = 200;

/// Judges a book.
pub fn judge(records: &RunRecords, classes: &[Class], rules: &Rules) -> Vec<Breach> {
    let judge = Judge::new(records, classes, rules);
    let mut breaches = Vec::new();
    for request in &records.requests {
        judge.answers(request, &mut breaches);
        judge.effects(request, &mut breaches);
    }
    for &(at, id) in &records.strays {
        let text = format!("bytes came behind its answer by {}", seconds(at));
        breaches.push(judge.breach(Rule::Lost, id, text));
    }
    judge.closed(&mut breaches);
    judge.order(&mut breaches);
    judge.drains(&mut breaches);
    judge.cold(&mut breaches);
    judge.headers(&mut breaches);
    breaches.sort_by_key(|b| (b.rule, b.request));
    breaches
}

struct Judge<'b> {
    records: &'b RunRecords,
    classes: &'b [Class],
    rules: &'b Rules,
    /// Attempts by id, in the order in which they arrived.
    attempts: HashMap<RequestId, Vec<&'b Attempt>>,
    /// What each sidecar was told of each server, by time.
    told: HashMap<(usize, usize), Vec<(Micros, Listed)>>,
    absences: HashMap<usize, Vec<&'b Absence>>,
}

impl<'b> Judge<'b> {
    fn new(records: &'b RunRecords, classes: &'b [Class], rules: &'b Rules) -> Judge<'b> {
        let mut attempts: HashMap<RequestId, Vec<&Attempt>> = HashMap::new();
        for attempt in &records.attempts {
            attempts.entry(attempt.id).or_default().push(attempt);
        }
        attempts.values_mut().for_each(|of| of.sort_by_key(|a| a.arrived));
        let told = super::notices::by_server(records);
        let mut absences: HashMap<usize, Vec<&Absence>> = HashMap::new();
        for absence in &records.absences {
            absences.entry(absence.sidecar).or_default().push(absence);
        }
        Judge { records, classes, rules, attempts, told, absences }
    }

    fn attempts(&self, id: RequestId) -> &[&'b Attempt] {
        self.attempts.get(&id).map_or(&[], Vec::as_slice)
    }

    fn slack(&self) -> Micros {
        micros(self.rules.socket_slack_ms)
    }

    /// A time limit of a sidecar, moved on by the pauses, and by the stalls of the lab, that it ran into.
    fn extended(&self, sidecar: usize, from: Micros, limit: Micros) -> Micros {
        let pauses = self.absences.get(&sidecar).into_iter().flatten();
        let pauses = pauses.filter(|a| !a.ended).map(|a| (a.from, a.to));
        let mut spells: Vec<_> = pauses.chain(self.records.stalls.iter().copied()).collect();
        spells.sort_unstable();
        spells.into_iter().fold(limit, |limit, (begin, end)| {
            let meets = end > from && begin <= limit;
            if meets { limit.saturating_add(end - begin.max(from)) } else { limit }
        })
    }

    /// Whether the sidecar's process ended between two times.
    fn ended_between(&self, sidecar: usize, from: Micros, to: Micros) -> bool {
        let absences = self.absences.get(&sidecar).into_iter().flatten();
        absences.filter(|a| a.ended).any(|a| a.from <= to && a.to >= from)
    }

    fn answers(&self, request: &Request, breaches: &mut Vec<Breach>) {
        let id = request.id;
        let sidecar = id.sidecar();
        let time = request.sent + request.left + micros(self.rules.answer_slack_ms) + self.slack();
        let limit = self.extended(sidecar, request.sent, time);
        let killed = |to| self.ended_between(sidecar, request.sent, to);
        let mut by_time = false;
        let text = match request.end {
            End::Open | End::Unreached | End::Closed => return,
            End::Foreign => "it was answered with what was not made for it".to_owned(),
            End::Broken | End::Silent if killed(request.ended.max(limit)) => return,
            End::Broken => {
                format!("its connection ended without an answer at {}", seconds(request.ended))
            }
            End::Silent if request.ended <= limit => return,
            End::Silent => {
                by_time = true;
                format!("no answer by {}", seconds(request.ended))
            }
            // What is kept goes out after its answer.
            End::Kept if request.ended <= limit => return,
            End::Served | End::Refused | End::Failed(_) | End::Kept => {
                // An answer that is known by now was on its history when the lab looked again.
                let after = |a: &&&Attempt| {
                    a.first_byte > request.ended + self.slack() && request.end != End::Kept
                };
                if let Some(late) = self.attempts(id).iter().find(after) {
                    let late = seconds(late.first_byte);
                    let text = format!("it went out at {late}, after its final answer");
                    breaches.push(self.breach(Rule::Lost, id, text));
                }
                if request.ended <= limit {
                    return;
                }
                by_time = true;
                format!(
                    "its answer came at {}, {} expected at the latest",
                    seconds(request.ended),
                    seconds(limit)
                )
            }
        };
        breaches.push(Breach { by_time, ..self.breach(Rule::Lost, id, text) });
    }

    /// The first effect of a write is after that of the one whose receipt it carried.
    fn order(&self, breaches: &mut Vec<Breach>) {
        let first = |id: RequestId| self.attempts(id).iter().filter_map(|a| a.ran).min();
        for request in &self.records.requests {
            let Some(before) = request.after else { continue };
            let Some(ran) = first(request.id) else { continue };
            if first(before).is_none_or(|earlier| earlier > ran) {
                let text = format!(
                    "it ran at {}, before {}, whose receipt it carried",
                    seconds(ran),
                    before.wire()
                );
                breaches.push(self.breach(Rule::Order, request.id, text));
            }
        }
    }

    /// New connections that were closed without a byte of an answer: some are as good as a refusal, more are losses.
    fn closed(&self, breaches: &mut Vec<Breach>) {
        let requests = self.records.requests.iter();
        let closed = requests.filter(|r| {
            let killed = self.ended_between(r.id.sidecar(), r.sent, r.ended + self.slack());
            r.end == End::Closed && !killed
        });
        for request in closed.skip(self.records.requests.len() / CLOSED) {
            let text = format!(
                "its new connection was closed without an answer at {}, beyond one request in {CLOSED}",
                seconds(request.ended)
            );
            breaches.push(self.breach(Rule::Lost, request.id, text));
        }
    }

    fn effects(&self, request: &Request, breaches: &mut Vec<Breach>) {
        let class = &self.classes[request.class];
        let attempts = self.attempts(request.id);
        let all = class.effect == Effect::Keyed && class.group == Group::All;
        if class.effect == Effect::Safe {
            return;
        }
        for (nth, attempt) in attempts.iter().enumerate() {
            let unclear = attempts[..nth].iter().find(|earlier| {
                let known = earlier.fate == Fate::TurnedAway && earlier.ended <= attempt.arrived;
                !known && !self.repeatable(class, earlier, attempt)
            });
            if let Some(earlier) = unclear {
                let text = format!(
                    "it went out again at {} though it may have run at {}",
                    seconds(attempt.first_byte),
                    self.records.servers[earlier.server].name
                );
                breaches.push(self.breach(Rule::Twice, request.id, text));
                break;
            }
        }
        // Danger: an attempt that still hangs in a cut connection is no proof either.
        if request.end == End::Refused
            && !all
            && let Some(unclear) = attempts.iter().find(|a| a.fate != Fate::TurnedAway)
        {
            let at = &self.records.servers[unclear.server].name;
            let text = format!("it was refused though it may have run at {at}");
            breaches.push(self.breach(Rule::Twice, request.id, text));
        }
    }

    /// Whether a keyed request that may have run in `earlier` could go out again as `later`.
    fn repeatable(&self, class: &Class, earlier: &Attempt, later: &Attempt) -> bool {
        let zone = |a: &Attempt| self.records.servers[a.server].zone;
        let in_group = class.group == Group::All || zone(earlier) == zone(later);
        let window = micros(class.window_ms) + self.slack();
        let limit =
            self.extended(earlier.id.sidecar(), earlier.first_byte, earlier.first_byte + window);
        class.effect == Effect::Keyed && in_group && later.first_byte <= limit
    }

    fn drains(&self, breaches: &mut Vec<Breach>) {
        for attempt in &self.records.attempts {
            let sidecar = attempt.id.sidecar();
            let Some(told) = self.told.get(&(sidecar, attempt.server)) else { continue };
            // The oldest word of those that have stood since.
            let before = told.iter().take_while(|t| t.0 <= attempt.first_byte);
            let leaving = before.fold(None, |since, t| match t.1 {
                Listed::Active => None,
                Listed::Leaving => since.or(Some(t.0)),
            });
            let Some(since) = leaving else { continue };
            let limit = since + micros(self.rules.stop_sending_ms) + self.slack();
            if attempt.first_byte > self.extended(sidecar, since, limit) {
                let text = format!(
                    "it went to {} at {}, told to leave at {}",
                    self.records.servers[attempt.server].name,
                    seconds(attempt.first_byte),
                    seconds(since)
                );
                let breach = self.breach(Rule::Drain, attempt.id, text);
                breaches.push(Breach { by_time: true, ..breach });
            }
        }
    }

    fn cold(&self, breaches: &mut Vec<Breach>) {
        for (n, server) in self.records.servers.iter().enumerate() {
            let Some(fell) = server.fell else { continue };
            let from = fell.saturating_sub(micros(self.rules.tip_after_s * 1e3));
            let mut by = HashMap::<usize, (Micros, bool)>::new();
            let window = self.records.attempts.iter();
            for a in window.filter(|a| a.server == n && a.arrived >= from && a.arrived <= fell) {
                let sidecar = a.id.sidecar();
                let knew = self.told.get(&(sidecar, n)).is_some_and(|told| told[0].0 <= a.arrived);
                let entry = by.entry(sidecar).or_default();
                entry.0 += a.work;
                entry.1 |= knew;
            }
            let all: Micros = by.values().map(|s| s.0).sum();
            let knowing: Micros = by.values().filter(|s| s.1).map(|s| s.0).sum();
            if (knowing as f64) < TOLD_SHARE * all as f64 {
                continue;
            }
            let mut most: Vec<_> = by.into_iter().collect();
            most.sort_by_key(|(sidecar, (work, _))| (std::cmp::Reverse(*work), *sidecar));
            let history = most.iter().take(8).map(|(sidecar, (work, knew))| {
                let knew = if *knew { "told of its start" } else { "not told" };
                format!("n{sidecar} sent {} ms of work, {knew}", work / 1000)
            });
            let text = format!(
                "{} fell over at {}, sent {} ms of work by {} sidecars in the window before",
                server.name,
                seconds(fell),
                all / 1000,
                most.len()
            );
            let history = history.collect();
            breaches.push(Breach { rule: Rule::Cold, request: None, text, history, by_time: true });
        }
    }

    fn headers(&self, breaches: &mut Vec<Breach>) {
        for found in &self.records.duplicate_headers {
            let server = &self.records.servers[found.server].name;
            let text = format!("{server} got {} twice at {}", found.header, seconds(found.at));
            breaches.push(match found.id {
                Some(id) => self.breach(Rule::Header, id, text),
                None => {
                    let (rule, history) = (Rule::Header, Vec::new());
                    Breach { rule, request: None, text, history, by_time: false }
                }
            });
        }
    }

    fn breach(&self, rule: Rule, id: RequestId, text: String) -> Breach {
        Breach { rule, request: Some(id), text, history: self.history(id), by_time: false }
    }

    /// All that is known of a request, by time.
    fn history(&self, id: RequestId) -> Vec<String> {
        let mut history: Vec<(Micros, String)> = Vec::new();
        for r in self.records.requests.iter().filter(|r| r.id.operation() == id.operation()) {
            let name = &self.classes[r.class].name;
            let text = format!(
                "client of n{}: {name} {} sent, {} ms left",
                id.sidecar(),
                r.id.wire(),
                r.left / 1000
            );
            history.push((r.sent, text));
            history.push((r.ended, format!("client: {} ended {:?}", r.id.wire(), r.end)));
            for a in self.attempts(r.id) {
                let server = &self.records.servers[a.server].name;
                history.push((a.first_byte, format!("{server}: {} first byte", a.id.wire())));
                history.push((a.arrived, format!("{server}: {} last byte", a.id.wire())));
                if let Some(ran) = a.ran {
                    history.push((ran, format!("{server}: {} takes effect", a.id.wire())));
                }
                history.push((a.ended, format!("{server}: {} {:?}", a.id.wire(), a.fate)));
                let mut told = self.told.get(&(id.sidecar(), a.server)).into_iter().flatten();
                if let Some((at, listed)) = told.rfind(|t| t.0 <= a.arrived) {
                    history.push((
                        *at,
                        format!("discovery: n{} told {server} {listed:?}", id.sidecar()),
                    ));
                }
            }
        }
        let (from, to) = (history.iter().map(|w| w.0).min(), history.iter().map(|w| w.0).max());
        for absence in self.absences.get(&id.sidecar()).into_iter().flatten() {
            if Some(absence.from) <= to && Some(absence.to) >= from {
                let what = if absence.ended { "ended" } else { "paused" };
                history.push((absence.from, format!("n{} {what}", id.sidecar())));
                if absence.to < Micros::MAX {
                    history.push((absence.to, format!("n{} back", id.sidecar())));
                }
            }
        }
        history.sort();
        history.dedup();
        history.into_iter().map(|(at, text)| format!("{} {text}", seconds(at))).collect()
    }
}

fn micros(ms: f64) -> Micros {
    (ms * 1e3) as Micros
}

/// A time of the run for people.
pub fn seconds(at: Micros) -> String {
    format!("{:.3} s", at as f64 / 1e6)
}

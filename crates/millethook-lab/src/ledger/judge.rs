//! Checks the rules over all processes of a run, from its records. No clock and no I/O.

use std::collections::HashMap;
use std::fmt;

use super::{Absence, Attempt, End, Fate, Listed, Micros, Request, RequestId, RunRecords};
use crate::timeline::{Class, Effect, Group, Rules};

/// A rule that every run has to keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    /// Each accepted request gets exactly one final answer of its own in time, and no attempt is sent after the
    /// answer.
    Lost,
    /// No request has its effect twice.
    Twice,
    /// No new request is sent to a server that drains or has left.
    Drain,
    /// The sidecars together do not overload a cold server.
    Cold,
    /// No write runs before the one whose receipt it carries.
    Order,
    /// No request to a server has a duplicate header.
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

/// A violation of a rule.
#[derive(Clone, Debug)]
pub struct Breach {
    /// The rule.
    pub rule: Rule,
    /// The request that broke it, if it was one.
    pub request: Option<RequestId>,
    /// What happened.
    pub text: String,
    /// Events of the request in all processes, by time.
    pub history: Vec<String>,
    /// Whether only the timing was wrong, which a daemon that waits for a processor also causes.
    pub timing_only: bool,
}

/// Minimum share of a cold server's work that must come from sidecars notified of its start, for a breach to count.
const MIN_NOTIFIED_SHARE: f64 = 2.0 / 3.0;

/// One request in this number may have its new connection closed without an answer.
const REQUESTS_PER_ALLOWED_CLOSE: usize = 200;

/// Checks the records against the rules.
pub fn judge(records: &RunRecords, classes: &[Class], rules: &Rules) -> Vec<Breach> {
    let judge = Judge::new(records, classes, rules);
    let mut breaches = Vec::new();
    for request in &records.requests {
        judge.check_answer(request, &mut breaches);
        judge.check_effects(request, &mut breaches);
    }
    for &(at, id) in &records.strays {
        let text = format!("bytes came behind its answer by {}", seconds(at));
        breaches.push(judge.breach(Rule::Lost, id, text));
    }
    judge.check_closed_connections(&mut breaches);
    judge.check_order(&mut breaches);
    judge.check_drains(&mut breaches);
    judge.check_cold_servers(&mut breaches);
    judge.check_headers(&mut breaches);
    breaches.sort_by_key(|b| (b.rule, b.request));
    breaches
}

struct Judge<'b> {
    records: &'b RunRecords,
    classes: &'b [Class],
    rules: &'b Rules,
    /// Attempts by id, in the order in which they arrived.
    attempts: HashMap<RequestId, Vec<&'b Attempt>>,
    /// Notices that each sidecar received about each server, by time.
    notices: HashMap<(usize, usize), Vec<(Micros, Listed)>>,
    absences: HashMap<usize, Vec<&'b Absence>>,
}

impl<'b> Judge<'b> {
    fn new(records: &'b RunRecords, classes: &'b [Class], rules: &'b Rules) -> Judge<'b> {
        let mut attempts: HashMap<RequestId, Vec<&Attempt>> = HashMap::new();
        for attempt in &records.attempts {
            attempts.entry(attempt.id).or_default().push(attempt);
        }
        attempts.values_mut().for_each(|of| of.sort_by_key(|a| a.arrived));
        let notices = super::notices::by_server(records);
        let mut absences: HashMap<usize, Vec<&Absence>> = HashMap::new();
        for absence in &records.absences {
            absences.entry(absence.sidecar).or_default().push(absence);
        }
        Judge { records, classes, rules, attempts, notices, absences }
    }

    fn attempts(&self, id: RequestId) -> &[&'b Attempt] {
        self.attempts.get(&id).map_or(&[], Vec::as_slice)
    }

    fn slack(&self) -> Micros {
        micros(self.rules.socket_slack_ms)
    }

    /// Extends a sidecar's time limit by the pauses of the sidecar and the stalls of the lab that fall into it.
    fn extended(&self, sidecar: usize, from: Micros, limit: Micros) -> Micros {
        let pauses = self.absences.get(&sidecar).into_iter().flatten();
        let pauses = pauses.filter(|a| !a.ended).map(|a| (a.from, a.to));
        let mut interruptions: Vec<_> = pauses.chain(self.records.stalls.iter().copied()).collect();
        interruptions.sort_unstable();
        interruptions.into_iter().fold(limit, |limit, (begin, end)| {
            let overlaps = end > from && begin <= limit;
            if overlaps { limit.saturating_add(end - begin.max(from)) } else { limit }
        })
    }

    /// Whether the sidecar's process was down between two times.
    fn ended_between(&self, sidecar: usize, from: Micros, to: Micros) -> bool {
        let absences = self.absences.get(&sidecar).into_iter().flatten();
        absences.filter(|a| a.ended).any(|a| a.from <= to && a.to >= from)
    }

    fn check_answer(&self, request: &Request, breaches: &mut Vec<Breach>) {
        let id = request.id;
        let sidecar = id.sidecar();
        let time = request.sent + request.left + micros(self.rules.answer_slack_ms) + self.slack();
        let limit = self.extended(sidecar, request.sent, time);
        let killed = |to| self.ended_between(sidecar, request.sent, to);
        let mut timing_only = false;
        let text = match request.end {
            End::Open | End::Unreached | End::Closed => return,
            End::Foreign => "it was answered with what was not made for it".to_owned(),
            End::Broken | End::Silent if killed(request.ended.max(limit)) => return,
            End::Broken => {
                format!("its connection ended without an answer at {}", seconds(request.ended))
            }
            End::Silent if request.ended <= limit => return,
            End::Silent => {
                timing_only = true;
                format!("no answer by {}", seconds(request.ended))
            }
            // A stored request is sent after its 202 answer.
            End::Kept if request.ended <= limit => return,
            End::Served | End::Refused | End::Failed(_) | End::Kept => {
                // An attempt that a server reads within the slack may have been sent before the answer was recorded.
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
                timing_only = true;
                format!(
                    "its answer came at {}, {} expected at the latest",
                    seconds(request.ended),
                    seconds(limit)
                )
            }
        };
        breaches.push(Breach { timing_only, ..self.breach(Rule::Lost, id, text) });
    }

    /// Checks that each write has its first effect after the write whose receipt it carried.
    fn check_order(&self, breaches: &mut Vec<Breach>) {
        let first = |id: RequestId| self.attempts(id).iter().filter_map(|a| a.ran).min();
        for request in &self.records.requests {
            let Some(before) = request.after else { continue };
            let Some(ran) = first(request.id) else { continue };
            if first(before).is_none_or(|earlier| earlier > ran) {
                let text = format!(
                    "it ran at {}, before {}, whose receipt it carried",
                    seconds(ran),
                    before.to_hex()
                );
                breaches.push(self.breach(Rule::Order, request.id, text));
            }
        }
    }

    /// Checks new connections that were closed without a byte of an answer: a few count as refusals, more as lost
    /// requests.
    fn check_closed_connections(&self, breaches: &mut Vec<Breach>) {
        let requests = self.records.requests.iter();
        let closed = requests.filter(|r| {
            let killed = self.ended_between(r.id.sidecar(), r.sent, r.ended + self.slack());
            r.end == End::Closed && !killed
        });
        for request in closed.skip(self.records.requests.len() / REQUESTS_PER_ALLOWED_CLOSE) {
            let text = format!(
                "its new connection was closed without an answer at {}, beyond one request in {REQUESTS_PER_ALLOWED_CLOSE}",
                seconds(request.ended)
            );
            breaches.push(self.breach(Rule::Lost, request.id, text));
        }
    }

    fn check_effects(&self, request: &Request, breaches: &mut Vec<Breach>) {
        let class = &self.classes[request.class];
        let attempts = self.attempts(request.id);
        let all = class.effect == Effect::Keyed && class.group == Group::All;
        if class.effect == Effect::Safe {
            return;
        }
        for (nth, attempt) in attempts.iter().enumerate() {
            let unclear = attempts[..nth].iter().find(|earlier| {
                let known = earlier.fate == Fate::TurnedAway && earlier.ended <= attempt.arrived;
                !known && !self.may_repeat(class, earlier, attempt)
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
        // An attempt that still hangs in a cut connection may have run as well, so it does not allow a refusal
        // either.
        if request.end == End::Refused
            && !all
            && let Some(unclear) = attempts.iter().find(|a| a.fate != Fate::TurnedAway)
        {
            let at = &self.records.servers[unclear.server].name;
            let text = format!("it was refused though it may have run at {at}");
            breaches.push(self.breach(Rule::Twice, request.id, text));
        }
    }

    /// Whether a keyed request that may have run in attempt `earlier` may be sent again as attempt `later`.
    fn may_repeat(&self, class: &Class, earlier: &Attempt, later: &Attempt) -> bool {
        let zone = |a: &Attempt| self.records.servers[a.server].zone;
        let in_group = class.group == Group::All || zone(earlier) == zone(later);
        let window = micros(class.window_ms) + self.slack();
        let limit =
            self.extended(earlier.id.sidecar(), earlier.first_byte, earlier.first_byte + window);
        class.effect == Effect::Keyed && in_group && later.first_byte <= limit
    }

    fn check_drains(&self, breaches: &mut Vec<Breach>) {
        for attempt in &self.records.attempts {
            let sidecar = attempt.id.sidecar();
            let Some(notices) = self.notices.get(&(sidecar, attempt.server)) else { continue };
            // Finds the first "leaving" notice after the last "active" one.
            let before = notices.iter().take_while(|t| t.0 <= attempt.first_byte);
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
                breaches.push(Breach { timing_only: true, ..breach });
            }
        }
    }

    fn check_cold_servers(&self, breaches: &mut Vec<Breach>) {
        for (n, server) in self.records.servers.iter().enumerate() {
            let Some(fell) = server.fell else { continue };
            let from = fell.saturating_sub(micros(self.rules.tip_after_s * 1e3));
            let mut by = HashMap::<usize, (Micros, bool)>::new();
            let window = self.records.attempts.iter();
            for a in window.filter(|a| a.server == n && a.arrived >= from && a.arrived <= fell) {
                let sidecar = a.id.sidecar();
                let notified = self
                    .notices
                    .get(&(sidecar, n))
                    .is_some_and(|notices| notices[0].0 <= a.arrived);
                let entry = by.entry(sidecar).or_default();
                entry.0 += a.work;
                entry.1 |= notified;
            }
            let all: Micros = by.values().map(|s| s.0).sum();
            let notified_work: Micros = by.values().filter(|s| s.1).map(|s| s.0).sum();
            if (notified_work as f64) < MIN_NOTIFIED_SHARE * all as f64 {
                continue;
            }
            let mut most: Vec<_> = by.into_iter().collect();
            most.sort_by_key(|(sidecar, (work, _))| (std::cmp::Reverse(*work), *sidecar));
            let history = most.iter().take(8).map(|(sidecar, (work, notified))| {
                let notified = if *notified { "told of its start" } else { "not told" };
                format!("n{sidecar} sent {} ms of work, {notified}", work / 1000)
            });
            let text = format!(
                "{} fell over at {}, sent {} ms of work by {} sidecars in the window before",
                server.name,
                seconds(fell),
                all / 1000,
                most.len()
            );
            let history = history.collect();
            breaches.push(Breach {
                rule: Rule::Cold,
                request: None,
                text,
                history,
                timing_only: true,
            });
        }
    }

    fn check_headers(&self, breaches: &mut Vec<Breach>) {
        for found in &self.records.duplicate_headers {
            let server = &self.records.servers[found.server].name;
            let text = format!("{server} got {} twice at {}", found.header, seconds(found.at));
            breaches.push(match found.id {
                Some(id) => self.breach(Rule::Header, id, text),
                None => {
                    let (rule, history) = (Rule::Header, Vec::new());
                    Breach { rule, request: None, text, history, timing_only: false }
                }
            });
        }
    }

    fn breach(&self, rule: Rule, id: RequestId, text: String) -> Breach {
        Breach {
            rule,
            request: Some(id),
            text,
            history: self.request_history(id),
            timing_only: false,
        }
    }

    /// All recorded events of a request, by time.
    fn request_history(&self, id: RequestId) -> Vec<String> {
        let mut history: Vec<(Micros, String)> = Vec::new();
        for r in self.records.requests.iter().filter(|r| r.id.operation() == id.operation()) {
            let name = &self.classes[r.class].name;
            let text = format!(
                "client of n{}: {name} {} sent, {} ms left",
                id.sidecar(),
                r.id.to_hex(),
                r.left / 1000
            );
            history.push((r.sent, text));
            history.push((r.ended, format!("client: {} ended {:?}", r.id.to_hex(), r.end)));
            for a in self.attempts(r.id) {
                let server = &self.records.servers[a.server].name;
                history.push((a.first_byte, format!("{server}: {} first byte", a.id.to_hex())));
                history.push((a.arrived, format!("{server}: {} last byte", a.id.to_hex())));
                if let Some(ran) = a.ran {
                    history.push((ran, format!("{server}: {} takes effect", a.id.to_hex())));
                }
                history.push((a.ended, format!("{server}: {} {:?}", a.id.to_hex(), a.fate)));
                let mut notices = self.notices.get(&(id.sidecar(), a.server)).into_iter().flatten();
                if let Some((at, listed)) = notices.rfind(|t| t.0 <= a.arrived) {
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

/// Formats a time of the run in seconds.
pub fn seconds(at: Micros) -> String {
    format!("{:.3} s", at as f64 / 1e6)
}

//! The soak: random timelines drawn from a seed, for faults that no written timeline covers. The same seed draws the
//! same timeline. Only `command` uses a clock or I/O.

pub mod command;
mod fault_scenario;
mod fleet;
mod reservations;

use rand::Rng;
use rand::seq::IteratorRandom;
use rand_chacha::ChaCha8Rng;

use crate::plan::stream;
use crate::timeline::{Event, EventKind, Select, Timeline};
use fault_scenario::FaultScenario;
use reservations::Reservations;

/// Range of a timeline's duration, in seconds. With the warm-up, the start and the last answers a run takes 15 to 40
/// s.
const MIN_DURATION_S: f64 = 13.0;
const MAX_DURATION_S: f64 = 34.0;
/// No fault scenario begins in this final period, so that its effects show before the end. In seconds.
const FINAL_PERIOD_S: f64 = 3.0;
/// Start of the first fault scenario, in seconds,
const FIRST_START_S: f64 = 1.0;
/// or, in this share of the timelines, after this fraction of the duration.
const LATE_START_SHARE: f64 = 0.25;
const LATE_START_FRACTION: f64 = 0.5;
/// Maximum number of fault scenarios in a timeline.
const MAX_SCENARIOS: usize = 7;
/// Share of fault scenarios that start `OVERLAP_GAP_S` after the previous one.
const OVERLAP_SHARE: f64 = 0.35;
const OVERLAP_GAP_S: (f64, f64) = (0.01, 0.4);
/// Gap before the other scenarios, in seconds.
const SEPARATE_GAP_S: (f64, f64) = (0.5, 6.0);

/// Share of the timelines with idle clients, at up to `MAX_SIDECARS_WITH_IDLE` sidecars, each with at least
/// `MIN_IDLE` connections and at most as many as its limit on descriptors.
const IDLE_CLIENTS_SHARE: f64 = 0.2;
const MAX_SIDECARS_WITH_IDLE: usize = 3;
const MIN_IDLE: usize = 50;

/// Share of the timelines in which one server repeats answers.
const DUPLICATE_ANSWERS_SHARE: f64 = 0.1;

/// A timeline that is being drawn.
struct Draft {
    random: ChaCha8Rng,
    timeline: Timeline,
    reservations: Reservations,
}

impl Draft {
    /// Draws a number between two bounds, rounded to hundredths so that files are easy to read.
    fn between(&mut self, least: f64, most: f64) -> f64 {
        hundredths(self.random.random_range(least..=most))
    }

    /// Adds an event.
    fn push(&mut self, event: Event) {
        let at_s = hundredths(event.at_s);
        self.timeline.events.push(Event { at_s, ..event });
    }

    /// Draws a duration between two bounds for something that begins at `at_s`, limited by the end of the load.
    fn lasting(&mut self, at_s: f64, least: f64, most: f64) -> f64 {
        let left_s = self.timeline.run.duration_s - at_s;
        hundredths(self.between(least, most).min(left_s))
    }
}

fn hundredths(number: f64) -> f64 {
    (number * 100.0).round() / 100.0
}

/// Draws the timeline of a seed.
pub fn draw(seed: u64) -> Timeline {
    let mut random = stream(seed, "soak", 0);
    let mut timeline = fleet::draw(&mut random);
    timeline.run.duration_s = random.random_range(MIN_DURATION_S..=MAX_DURATION_S).round();
    let reservations = Reservations::new(&timeline);
    let mut draft = Draft { random, timeline, reservations };
    draw_scenarios(&mut draft);
    draft.random = stream(seed, "soak crowd", 0);
    draw_idle_clients(&mut draft);
    draft.random = stream(seed, "soak twice", 0);
    draw_duplicate_answers(&mut draft);
    let Draft { mut timeline, .. } = draft;
    timeline.events.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    timeline.run.about = format!("Soak, seed {seed}");
    timeline
}

fn draw_scenarios(draft: &mut Draft) {
    let duration_s = draft.timeline.run.duration_s;
    let late_start = draft.random.random_bool(LATE_START_SHARE);
    let mut at_s = if late_start { duration_s * LATE_START_FRACTION } else { FIRST_START_S };
    for _ in 0..MAX_SCENARIOS {
        let scenario = FaultScenario::draw(&mut draft.random);
        scenario.add(draft, hundredths(at_s));
        let overlaps = draft.random.random_bool(OVERLAP_SHARE);
        let (least, most) = if overlaps { OVERLAP_GAP_S } else { SEPARATE_GAP_S };
        at_s += draft.between(least, most);
        if at_s > duration_s - FINAL_PERIOD_S {
            return;
        }
    }
}

/// Adds idle clients to some timelines. They are drawn from a separate random stream, so that the other timelines do
/// not change.
fn draw_idle_clients(draft: &mut Draft) {
    if !draft.random.random_bool(IDLE_CLIENTS_SHARE) {
        return;
    }
    let at_s = draft.between(FIRST_START_S, draft.timeline.run.duration_s - FINAL_PERIOD_S);
    let for_s = draft.lasting(at_s, FINAL_PERIOD_S, MAX_DURATION_S);
    let descriptors = draft.timeline.sidecars.descriptors;
    let clients = draft.random.random_range(MIN_IDLE..=descriptors);
    let sidecars = draft.random.random_range(1..=MAX_SIDECARS_WITH_IDLE);
    let mut ids = (0..draft.timeline.sidecars.count).choose_multiple(&mut draft.random, sidecars);
    ids.sort_unstable();
    let who = Select { ids: Some(ids), ..Select::default() };
    let (kind, amount) = (EventKind::IdleClients, Some(clients as f64));
    draft.push(Event { at_s, kind, who, for_s, amount, ..Event::default() });
}

/// Adds a server that repeats answers to some timelines, also from a separate random stream. The server answers at
/// normal speed, slowly, or not at all after the client closes its connection.
fn draw_duplicate_answers(draft: &mut Draft) {
    if !draft.random.random_bool(DUPLICATE_ANSWERS_SHARE) {
        return;
    }
    let at_s = draft.between(FIRST_START_S, draft.timeline.run.duration_s - FINAL_PERIOD_S);
    let for_s = draft.lasting(at_s, FINAL_PERIOD_S, MAX_DURATION_S);
    let ids = Some(vec![draft.random.random_range(0..draft.timeline.servers.count)]);
    let who = Select { ids, ..Select::default() };
    let event = Event { at_s, who, for_s, ..Event::default() };
    let amount = Some(draft.between(0.1, 1.0));
    draft.push(Event { kind: EventKind::AnswerTwice, amount, ..event.clone() });
    match draft.random.random_range(0..3) {
        0 => {}
        1 => {
            let amount = Some(draft.between(3.0, 8.0));
            draft.push(Event { kind: EventKind::Slow, amount, ..event });
        }
        _ => draft.push(Event { kind: EventKind::DropWork, ..event }),
    }
}

//! The soak: timelines drawn from a seed out of the events that a timeline may have, for finding what nobody wrote a
//! timeline for. The same seed draws the same timeline. No clock and no I/O but in `command`.

pub mod command;
mod fleet;
mod reservations;
mod trouble;

use rand::Rng;
use rand::seq::IteratorRandom;
use rand_chacha::ChaCha8Rng;

use crate::plan::stream;
use crate::timeline::{Event, EventKind, Select, Timeline};
use reservations::Reservations;
use trouble::Trouble;

/// How long the events of a timeline may take, in seconds. With the warm-up, the start and the last answers a run
/// takes 15 to 40 s.
const SHORTEST_S: f64 = 13.0;
const LONGEST_S: f64 = 34.0;
/// No trouble begins in the last seconds: what comes of it has to show.
const TAIL_S: f64 = 3.0;
/// The first trouble comes at this time,
const FIRST_S: f64 = 1.0;
/// or, in this share of the timelines, only after this part of the duration.
const QUIET_SHARE: f64 = 0.25;
const QUIET_PART: f64 = 0.5;
/// The most troubles of a timeline.
const MOST_TROUBLES: usize = 7;
/// This share of troubles comes right behind the one before, within `TOGETHER_S`.
const TOGETHER_SHARE: f64 = 0.35;
const TOGETHER_S: (f64, f64) = (0.01, 0.4);
/// The others come after a longer time.
const APART_S: (f64, f64) = (0.5, 6.0);

/// This share of the timelines has a crowd of idle clients at up to `MOST_CROWDED` sidecars, of up to as many
/// connections as a sidecar may hold descriptors.
const CROWD_SHARE: f64 = 0.2;
const MOST_CROWDED: usize = 3;
const SMALLEST_CROWD: usize = 50;

/// In this share of the timelines one server repeats answers.
const COPIES_SHARE: f64 = 0.1;

/// A timeline as it is drawn.
struct Draft {
    random: ChaCha8Rng,
    timeline: Timeline,
    reservations: Reservations,
}

impl Draft {
    /// A number between two bounds in hundredths, so that files are easy to read.
    fn between(&mut self, least: f64, most: f64) -> f64 {
        hundredths(self.random.random_range(least..=most))
    }

    /// Adds an event.
    fn push(&mut self, event: Event) {
        let at_s = hundredths(event.at_s);
        self.timeline.events.push(Event { at_s, ..event });
    }

    /// How long something lasts that begins at a time: between two bounds, and not beyond the end of the load.
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
    timeline.run.duration_s = random.random_range(SHORTEST_S..=LONGEST_S).round();
    let reservations = Reservations::new(&timeline);
    let mut draft = Draft { random, timeline, reservations };
    draw_troubles(&mut draft);
    draft.random = stream(seed, "soak crowd", 0);
    draw_crowd(&mut draft);
    draft.random = stream(seed, "soak twice", 0);
    draw_copies(&mut draft);
    let Draft { mut timeline, .. } = draft;
    timeline.events.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    timeline.run.about = format!("Soak, seed {seed}");
    timeline
}

fn draw_troubles(draft: &mut Draft) {
    let duration_s = draft.timeline.run.duration_s;
    let quiet = draft.random.random_bool(QUIET_SHARE);
    let mut at_s = if quiet { duration_s * QUIET_PART } else { FIRST_S };
    for _ in 0..MOST_TROUBLES {
        let trouble = Trouble::draw(&mut draft.random);
        trouble.add(draft, hundredths(at_s));
        let together = draft.random.random_bool(TOGETHER_SHARE);
        let (least, most) = if together { TOGETHER_S } else { APART_S };
        at_s += draft.between(least, most);
        if at_s > duration_s - TAIL_S {
            return;
        }
    }
}

/// The crowd has random numbers of its own, so that timelines without one are what they are without this.
fn draw_crowd(draft: &mut Draft) {
    if !draft.random.random_bool(CROWD_SHARE) {
        return;
    }
    let at_s = draft.between(FIRST_S, draft.timeline.run.duration_s - TAIL_S);
    let for_s = draft.lasting(at_s, TAIL_S, LONGEST_S);
    let descriptors = draft.timeline.sidecars.descriptors;
    let clients = draft.random.random_range(SMALLEST_CROWD..=descriptors);
    let crowded = draft.random.random_range(1..=MOST_CROWDED);
    let mut ids = (0..draft.timeline.sidecars.count).choose_multiple(&mut draft.random, crowded);
    ids.sort_unstable();
    let who = Select { ids: Some(ids), ..Select::default() };
    let (kind, amount) = (EventKind::IdleClients, Some(clients as f64));
    draft.push(Event { at_s, kind, who, for_s, amount, ..Event::default() });
}

/// A server that answers twice, from random numbers of its own, too: its answers come soon, or late, or not at all once
/// the client has ended its side.
fn draw_copies(draft: &mut Draft) {
    if !draft.random.random_bool(COPIES_SHARE) {
        return;
    }
    let at_s = draft.between(FIRST_S, draft.timeline.run.duration_s - TAIL_S);
    let for_s = draft.lasting(at_s, TAIL_S, LONGEST_S);
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

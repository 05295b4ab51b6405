//! The plan of a run: arrivals, targets and steps, drawn from the timeline and the seed before anything starts. The
//! same seed gives the same plan.

mod steps;

use std::hash::{Hash, Hasher};
use std::time::Duration;

use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1, LogNormal};

use crate::timeline::event::Target;
use crate::timeline::{EventKind, Select, Timeline};
use steps::steps;

/// Maximum number of arrivals of one sidecar, limited by the 24 bits for them in a request id.
const MAX_ARRIVALS_PER_SIDECAR: usize = 1 << 24;
/// Maximum work of a request, as a multiple of its class's mean.
const MAX_WORK_FACTOR: f64 = 5.0;
/// Time between the start of a server's drain and the end of its process.
pub const DRAIN: Duration = Duration::from_secs(2);

/// A random number generator for one purpose; `n` separates generators of the same purpose.
pub fn stream(seed: u64, purpose: &str, n: u64) -> ChaCha8Rng {
    let mut key = [0; 32];
    key[..8].copy_from_slice(&seed.to_le_bytes());
    key[8..16].copy_from_slice(&n.to_le_bytes());
    for (to, from) in key[16..].iter_mut().zip(purpose.bytes()) {
        *to = from;
    }
    ChaCha8Rng::from_seed(key)
}

/// A planned request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Time of the arrival, in microseconds of the run.
    pub at: u64,
    /// Index of its class.
    pub class: usize,
    /// Its processing time on a warm server, in microseconds.
    pub work: u64,
}

/// The plan of a sidecar and its clients.
#[derive(Clone, Debug)]
pub struct SidecarPlan {
    /// The sidecar's name.
    pub name: String,
    /// The number of its zone.
    pub zone: usize,
    /// Whether an event starts it, instead of the start of the run.
    pub late: bool,
    /// Requests of its clients, by time.
    pub arrivals: Vec<Arrival>,
    /// Stream class: sidecars with the same number are affected by the same events on their streams to servers.
    pub stream_class: usize,
}

/// An action on one target.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// An event (by its index in the timeline) begins or ends.
    Mark { event: usize, begins: bool },
    /// SIGKILL; the process restarts after the delay `back`, if there is one.
    Kill { sidecar: usize, back: Option<Duration> },
    /// SIGTERM; the process restarts the delay `back` after its exit, if there is one.
    Terminate { sidecar: usize, back: Option<Duration> },
    /// SIGSTOP.
    Pause { sidecar: usize },
    /// SIGCONT.
    Resume { sidecar: usize },
    /// Writes a new configuration and sends SIGHUP.
    Reload { sidecar: usize },
    /// SIGHUP with an unchanged configuration.
    HangUp { sidecar: usize },
    /// SIGTERM as soon as the process that starts next is ready; the process restarts the delay `back` after its
    /// exit, if there is one.
    TerminateAtReady { sidecar: usize, back: Option<Duration> },
    /// Idle clients connect or disconnect.
    IdleClients { sidecar: usize, count: usize, on: bool },
    /// Starts the process.
    Start { sidecar: usize },
    /// Starts a second process of the sidecar.
    Twin { sidecar: usize },
    /// Activates or deactivates a fault of a server.
    Server { server: usize, kind: EventKind, amount: f64, on: bool },
    /// A server leaves, and another replaces it.
    Replace { server: usize },
    /// A server's process ends and restarts cold after the delay `back`.
    Crash { server: usize, back: Duration },
    /// Activates or deactivates a fault of a sidecar's discovery.
    Discovery { sidecar: usize, kind: EventKind, amount: f64, on: bool },
    /// Publishes the `nth` document of an event (by its index in the timeline).
    Publish { event: usize, nth: usize },
    /// A network fault begins or ends (by the event's index in the timeline).
    Network { event: usize, on: bool },
}

/// An action with its time.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Time since the load began.
    pub at: Duration,
    /// The action.
    pub action: Action,
}

/// The two sides of a network event: sidecars by number, servers by zone.
#[derive(Clone, Debug, Default)]
pub struct Sides {
    /// For each sidecar, whether the event's `who` selects it.
    pub who: Vec<bool>,
    /// For each sidecar, whether the event's `from` selects it.
    pub from: Vec<bool>,
    /// Zones whose servers are on the side of `who`; empty unless `who` is a zone.
    pub who_zones: Vec<usize>,
    /// Zones whose servers are on the other side.
    pub from_zones: Vec<usize>,
}

impl Sides {
    /// Whether a partition cuts the streams from a sidecar to the servers of a zone.
    pub fn is_partitioned(&self, sidecar: usize, zone: usize) -> bool {
        self.who[sidecar] && self.from_zones.contains(&zone)
            || self.from[sidecar] && self.who_zones.contains(&zone)
    }
}

/// The plan of a whole run.
pub struct Plan {
    /// The seed.
    pub seed: u64,
    /// Plans of the sidecars.
    pub sidecars: Vec<SidecarPlan>,
    /// Zone of each server.
    pub server_zones: Vec<usize>,
    /// Number of stream classes.
    pub stream_classes: usize,
    /// Steps, by time.
    pub steps: Vec<Step>,
    /// Sides of each event of the timeline.
    pub sides: Vec<Sides>,
    /// Length of the warm-up and the load.
    pub length: Duration,
    /// Length of the warm-up.
    pub warm_up: Duration,
}

impl Plan {
    /// Draws the plan of a timeline by a seed.
    pub fn new(timeline: &Timeline, seed: u64) -> Plan {
        let count = timeline.sidecars.count;
        let zones = timeline.sidecars.zones;
        let server_zones: Vec<usize> = (0..timeline.servers.count).map(|n| n % zones).collect();
        let warm_up = Duration::from_secs_f64(timeline.run.warm_up_s);
        let length = warm_up + Duration::from_secs_f64(timeline.run.duration_s);
        let drawn: Vec<Vec<usize>> = (timeline.events.iter().enumerate())
            .map(|(nth, event)| {
                let total = match event.kind.target() {
                    Target::Servers => timeline.servers.count,
                    _ => count,
                };
                choose_targets(&event.who, total, zones, &mut stream(seed, "who", nth as u64))
            })
            .collect();
        let sides = (timeline.events.iter().enumerate())
            .map(|(nth, _)| sides(timeline, nth, &drawn[nth], seed))
            .collect::<Vec<Sides>>();
        let steps = steps(timeline, &drawn, warm_up);
        let late = |n| {
            let starts = |s: &Step| matches!(s.action, Action::Start { sidecar } if sidecar == n);
            steps.iter().any(starts)
        };
        let (stream_class, stream_classes) = stream_classes(timeline, &sides, count);
        let rates = rates(timeline, seed);
        let sidecars = (0..count)
            .map(|n| SidecarPlan {
                name: format!("n{n}"),
                zone: n % zones,
                late: late(n),
                arrivals: arrivals(timeline, &drawn, n, rates[n], seed, warm_up, length),
                stream_class: stream_class[n],
            })
            .collect();
        Plan { seed, sidecars, server_zones, stream_classes, steps, sides, length, warm_up }
    }

    /// A hash of the arrivals and steps; equal plans have equal hashes.
    pub fn digest(&self) -> u64 {
        // SipHash with fixed keys; the value is only compared between runs of one build.
        #[allow(deprecated)]
        let mut hash = std::hash::SipHasher::new();
        for sidecar in &self.sidecars {
            (sidecar.stream_class, sidecar.late).hash(&mut hash);
            for a in &sidecar.arrivals {
                (a.at, a.class, a.work).hash(&mut hash);
            }
        }
        for step in &self.steps {
            format!("{step:?}").hash(&mut hash);
        }
        hash.finish()
    }
}

/// Draws the targets of an event among `total` sidecars or servers.
fn choose_targets(who: &Select, total: usize, zones: usize, random: &mut ChaCha8Rng) -> Vec<usize> {
    let zone =
        |n: &usize| who.zone.as_ref().is_none_or(|zone| *zone == Timeline::zone_name(*n % zones));
    let named = |n: &usize| who.ids.as_ref().is_none_or(|ids| ids.contains(n));
    let all: Vec<usize> = (0..total).filter(|n| zone(n) && named(n)).collect();
    let wanted = match (who.count, who.share) {
        (Some(count), _) => count.min(all.len()),
        (None, Some(share)) if share > 0.0 => {
            ((share * all.len() as f64).round() as usize).clamp(1, all.len().max(1))
        }
        (None, Some(_)) => 0,
        (None, None) => return all,
    };
    let mut chosen = all.into_iter().choose_multiple(random, wanted);
    chosen.sort_unstable();
    chosen
}

fn sides(timeline: &Timeline, nth: usize, drawn: &[usize], seed: u64) -> Sides {
    let event = &timeline.events[nth];
    if event.kind.target() != Target::Network {
        return Sides::default();
    }
    let (count, zones) = (timeline.sidecars.count, timeline.sidecars.zones);
    let mut who = vec![false; count];
    drawn.iter().for_each(|n| who[*n] = true);
    let mut from = vec![false; count];
    match &event.from {
        Some(select) => {
            let drawn = choose_targets(select, count, zones, &mut stream(seed, "from", nth as u64));
            drawn.iter().for_each(|n| from[*n] = true);
        }
        None => (0..count).for_each(|n| from[n] = !who[n]),
    }
    let number = |zone: &String| (0..zones).find(|z| Timeline::zone_name(*z) == *zone);
    let who_zones: Vec<usize> = event.who.zone.as_ref().and_then(number).into_iter().collect();
    let named = event.from.as_ref().map(|select| select.zone.as_ref().and_then(number));
    let from_zones = match named {
        Some(zone) => zone.into_iter().collect(),
        None if who_zones.is_empty() => Vec::new(),
        None => (0..zones).filter(|z| !who_zones.contains(z)).collect(),
    };
    Sides { who, from, who_zones, from_zones }
}

/// Groups sidecars that are on the same side of every event that affects streams; returns each sidecar's class and
/// the number of classes.
fn stream_classes(timeline: &Timeline, sides: &[Sides], count: usize) -> (Vec<usize>, usize) {
    let affects_streams = |kind| {
        matches!(kind, EventKind::Partition | EventKind::CutStreams | EventKind::DelayStreams)
    };
    let events: Vec<&Sides> = timeline
        .events
        .iter()
        .zip(sides)
        .filter(|(e, _)| affects_streams(e.kind))
        .map(|e| e.1)
        .collect();
    let mut signatures: Vec<Vec<(bool, bool)>> = Vec::new();
    let classes = (0..count).map(|n| {
        let signature: Vec<_> = events.iter().map(|s| (s.who[n], s.from[n])).collect();
        let existing = signatures.iter().position(|s| *s == signature);
        existing.unwrap_or_else(|| {
            signatures.push(signature);
            signatures.len() - 1
        })
    });
    let classes = classes.collect();
    (classes, signatures.len())
}

fn rates(timeline: &Timeline, seed: u64) -> Vec<f64> {
    let count = timeline.sidecars.count;
    let mut random = stream(seed, "rates", 0);
    // The check of the timeline ensures that sigma is finite and not negative.
    let weights: Vec<f64> = match LogNormal::new(0.0, timeline.load.uneven) {
        Ok(distribution) => distribution.sample_iter(&mut random).take(count).collect(),
        Err(_) => vec![1.0; count],
    };
    let sum: f64 = weights.iter().sum();
    weights.iter().map(|w| w / sum * count as f64 * timeline.load.per_sidecar).collect()
}

/// Load factors of a sidecar, each with the time from which on it applies.
fn load_factors(timeline: &Timeline, drawn: &[Vec<usize>], n: usize) -> Vec<(f64, f64)> {
    let mut changes = vec![(f64::NEG_INFINITY, 1.0)];
    for (event, who) in timeline.events.iter().zip(drawn) {
        if event.kind == EventKind::Load && who.contains(&n) {
            changes.push((event.at_s, event.amount.unwrap_or(1.0)));
            if event.for_s > 0.0 {
                changes.push((event.at_s + event.for_s, 1.0));
            }
        }
    }
    changes.sort_by(|a, b| a.0.total_cmp(&b.0));
    changes
}

fn arrivals(
    timeline: &Timeline,
    drawn: &[Vec<usize>],
    n: usize,
    rate: f64,
    seed: u64,
    warm_up: Duration,
    length: Duration,
) -> Vec<Arrival> {
    let mut random = stream(seed, "arrivals", n as u64);
    let factors = load_factors(timeline, drawn, n);
    let highest = factors.iter().map(|f| f.1).fold(0.0, f64::max);
    let shares: f64 = timeline.classes.iter().map(|c| c.share).sum();
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    // A Poisson process at the highest rate, thinned to the current rate.
    while highest > 0.0 && arrivals.len() < MAX_ARRIVALS_PER_SIDECAR {
        let gap: f64 = Exp1.sample(&mut random);
        at += gap / (rate * highest);
        if at >= length.as_secs_f64() {
            break;
        }
        let mut class_draw = random.random::<f64>() * shares;
        let class = timeline.classes.iter().position(|c| {
            class_draw -= c.share;
            class_draw < 0.0
        });
        let class = class.unwrap_or(0);
        let work: f64 = Exp1.sample(&mut random);
        let thinning_draw = random.random::<f64>() * highest;
        let now = at - warm_up.as_secs_f64();
        let factor = factors.iter().rev().find(|f| f.0 <= now).map_or(1.0, |f| f.1);
        if thinning_draw < factor {
            let work = work.min(MAX_WORK_FACTOR) * timeline.classes[class].work_ms * 1e3;
            arrivals.push(Arrival { at: (at * 1e6) as u64, class, work: work as u64 });
        }
    }
    arrivals
}

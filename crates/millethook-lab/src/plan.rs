//! What a run will do, drawn from the timeline and the seed before anything starts: the same for the same seed.

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

/// The most arrivals of one sidecar: ids have room for so many.
const MAX_ARRIVALS: usize = 1 << 24;
/// The longest piece of work, over the mean of its class.
const LONGEST_WORK: f64 = 5.0;
/// Between the start of one server's drain and its end.
pub const DRAIN: Duration = Duration::from_secs(2);

/// A stream of random numbers for one purpose.
pub fn stream(seed: u64, purpose: &str, n: u64) -> ChaCha8Rng {
    let mut key = [0; 32];
    key[..8].copy_from_slice(&seed.to_le_bytes());
    key[8..16].copy_from_slice(&n.to_le_bytes());
    for (to, from) in key[16..].iter_mut().zip(purpose.bytes()) {
        *to = from;
    }
    ChaCha8Rng::from_seed(key)
}

/// A request that will come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// When, in microseconds of the run.
    pub at: u64,
    /// Its class.
    pub class: usize,
    /// The work that it is, in microseconds of a warm server.
    pub work: u64,
}

/// A sidecar and its clients.
#[derive(Clone, Debug)]
pub struct SidecarPlan {
    /// Its name.
    pub name: String,
    /// The number of its zone.
    pub zone: usize,
    /// It is started by an event, not at the beginning.
    pub late: bool,
    /// What its clients ask, by time.
    pub arrivals: Vec<Arrival>,
    /// Sidecars that no cut of the timeline tells apart share a number.
    pub stream_class: usize,
}

/// One thing to do to one target.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// An event begins or ends, by its place in the timeline.
    Mark { event: usize, begins: bool },
    /// SIGKILL; the process starts again after the time, if there is one.
    Kill { sidecar: usize, back: Option<Duration> },
    /// SIGTERM; the process starts again so long after it has ended, if there is a time.
    Terminate { sidecar: usize, back: Option<Duration> },
    /// SIGSTOP.
    Pause { sidecar: usize },
    /// SIGCONT.
    Resume { sidecar: usize },
    /// A new configuration and SIGHUP.
    Reload { sidecar: usize },
    /// SIGHUP, with nothing new.
    HangUp { sidecar: usize },
    /// SIGTERM once the process that starts next is ready; it starts again so long after it has ended, if there is a time.
    TerminateAtReady { sidecar: usize, back: Option<Duration> },
    /// Clients that ask for nothing come, or go.
    IdleClients { sidecar: usize, count: usize, on: bool },
    /// The process starts.
    Start { sidecar: usize },
    /// A second process starts.
    Twin { sidecar: usize },
    /// A server takes a condition on, or gets rid of it.
    Server { server: usize, kind: EventKind, amount: f64, on: bool },
    /// A server leaves, and another comes in its place.
    Replace { server: usize },
    /// A server's process ends and comes back cold after the time.
    Crash { server: usize, back: Duration },
    /// Discovery is silent or old for a sidecar, or well again.
    Discovery { sidecar: usize, kind: EventKind, amount: f64, on: bool },
    /// A document is published: the so-many-eth of an event, by its place in the timeline.
    Publish { event: usize, nth: usize },
    /// A condition of the network begins or ends, by the event's place in the timeline.
    Network { event: usize, on: bool },
}

/// An action with its time.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Since the load began.
    pub at: Duration,
    /// What to do.
    pub action: Action,
}

/// Two sides between which an event stands. Sidecars by number, servers by zone.
#[derive(Clone, Debug, Default)]
pub struct Sides {
    /// `who`
    pub who: Vec<bool>,
    /// `from`
    pub from: Vec<bool>,
    /// Zones whose servers stand on `who`'s side; none unless `who` is a zone.
    pub who_zones: Vec<usize>,
    /// Zones whose servers stand on the other side.
    pub from_zones: Vec<usize>,
}

impl Sides {
    /// Whether streams from a sidecar to servers of a zone are cut by a partition.
    pub fn is_partitioned(&self, sidecar: usize, zone: usize) -> bool {
        self.who[sidecar] && self.from_zones.contains(&zone)
            || self.from[sidecar] && self.who_zones.contains(&zone)
    }
}

/// The whole run.
pub struct Plan {
    /// What it was drawn by.
    pub seed: u64,
    /// The sidecars.
    pub sidecars: Vec<SidecarPlan>,
    /// The zone of each server.
    pub server_zones: Vec<usize>,
    /// How many stream classes there are.
    pub stream_classes: usize,
    /// What happens, by time.
    pub steps: Vec<Step>,
    /// The sides of each event of the timeline.
    pub sides: Vec<Sides>,
    /// Warm-up and load.
    pub length: Duration,
    /// The warm-up.
    pub warm_up: Duration,
}

impl Plan {
    /// Draws a run.
    pub fn new(timeline: &Timeline, seed: u64) -> Plan {
        let count = timeline.sidecars.count;
        let zones = timeline.sidecars.zones;
        let server_zones: Vec<usize> = (0..timeline.servers.count).map(|n| n % zones).collect();
        let warm_up = Duration::from_secs_f64(timeline.run.warm_up_s);
        let length = warm_up + Duration::from_secs_f64(timeline.run.duration_s);
        let drawn: Vec<Vec<usize>> = (timeline.events.iter().enumerate())
            .map(|(nth, event)| {
                let of = match event.kind.target() {
                    Target::Servers => timeline.servers.count,
                    _ => count,
                };
                choose(&event.who, of, zones, &mut stream(seed, "who", nth as u64))
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

    /// A figure that is the same for the same arrivals and the same faults at the same times.
    pub fn digest(&self) -> u64 {
        // SipHash with fixed keys; the value is for comparing runs of one build.
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

/// Draws whom an event is about.
fn choose(who: &Select, of: usize, zones: usize, random: &mut ChaCha8Rng) -> Vec<usize> {
    let zone =
        |n: &usize| who.zone.as_ref().is_none_or(|zone| *zone == Timeline::zone_name(*n % zones));
    let named = |n: &usize| who.ids.as_ref().is_none_or(|ids| ids.contains(n));
    let all: Vec<usize> = (0..of).filter(|n| zone(n) && named(n)).collect();
    let some = match (who.count, who.share) {
        (Some(count), _) => count.min(all.len()),
        (None, Some(share)) if share > 0.0 => {
            ((share * all.len() as f64).round() as usize).clamp(1, all.len().max(1))
        }
        (None, Some(_)) => 0,
        (None, None) => return all,
    };
    let mut chosen = all.into_iter().choose_multiple(random, some);
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
            let drawn = choose(select, count, zones, &mut stream(seed, "from", nth as u64));
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

/// Sidecars that are on the same side of every event that concerns streams.
fn stream_classes(timeline: &Timeline, sides: &[Sides], count: usize) -> (Vec<usize>, usize) {
    let concerns = |kind| {
        matches!(kind, EventKind::Partition | EventKind::CutStreams | EventKind::DelayStreams)
    };
    let events: Vec<&Sides> =
        timeline.events.iter().zip(sides).filter(|(e, _)| concerns(e.kind)).map(|e| e.1).collect();
    let mut signatures: Vec<Vec<(bool, bool)>> = Vec::new();
    let classes = (0..count).map(|n| {
        let signature: Vec<_> = events.iter().map(|s| (s.who[n], s.from[n])).collect();
        let known = signatures.iter().position(|s| *s == signature);
        known.unwrap_or_else(|| {
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
    // Checked with the file: sigma is finite and not below 0.
    let weights: Vec<f64> = match LogNormal::new(0.0, timeline.load.uneven) {
        Ok(distribution) => distribution.sample_iter(&mut random).take(count).collect(),
        Err(_) => vec![1.0; count],
    };
    let sum: f64 = weights.iter().sum();
    weights.iter().map(|w| w / sum * count as f64 * timeline.load.per_sidecar).collect()
}

/// The factor of one sidecar's load over time: from each time on, so much.
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
    // A Poisson process at the highest rate, thinned to the present one.
    while highest > 0.0 && arrivals.len() < MAX_ARRIVALS {
        let gap: f64 = Exp1.sample(&mut random);
        at += gap / (rate * highest);
        if at >= length.as_secs_f64() {
            break;
        }
        let mut part = random.random::<f64>() * shares;
        let class = timeline.classes.iter().position(|c| {
            part -= c.share;
            part < 0.0
        });
        let class = class.unwrap_or(0);
        let work: f64 = Exp1.sample(&mut random);
        let kept = random.random::<f64>() * highest;
        let now = at - warm_up.as_secs_f64();
        let factor = factors.iter().rev().find(|f| f.0 <= now).map_or(1.0, |f| f.1);
        if kept < factor {
            let work = work.min(LONGEST_WORK) * timeline.classes[class].work_ms * 1e3;
            arrivals.push(Arrival { at: (at * 1e6) as u64, class, work: work as u64 });
        }
    }
    arrivals
}

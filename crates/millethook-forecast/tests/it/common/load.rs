//! Random load on samples and forecasts, compared with plain lists of all accesses.

use std::collections::HashMap;

#[cfg(feature = "mutants")]
use millethook_forecast::mutant::Mutant;
use millethook_forecast::{
    Access, Assignment, Change, Estimate, MAX_ACCESSES, Micros, Placement, Question, Sample,
    Server, forecast,
};
use proptest::prelude::*;

/// Rules whose absence the module `laws` detects; the search detects all others.
#[cfg(feature = "mutants")]
pub const RULES_CHECKED_BY_LAWS: [Mutant; 5] = [
    Mutant::SizeNotScaled,
    Mutant::ReplacedStaysWarm,
    Mutant::AllSampled,
    Mutant::AlwaysKnown,
    Mutant::AnyToken,
];

/// Number of sidecars in a script, each with a sample.
const SIDECARS: usize = 2;
/// Time span of the samples.
const SPAN_US: Micros = 60_000_000;
/// Maximum size of a sample for which forecasts are made, since each forecast plays it sixty times.
const MAX_FORECAST_ACCESSES: usize = 600;
/// Accesses of a burst: more than a sample holds.
const BURST: u64 = 40_000;

/// One step of a script; sidecars are given by index.
#[derive(Clone, Debug)]
pub enum Step {
    /// Accesses, each with a time offset (positive or negative) from the sidecar's clock.
    Add(usize, Vec<(i32, u64, u32)>),
    /// A burst of accesses to many items, or to one.
    Burst(usize, Option<u64>),
    /// An access at an arbitrary time, as after a clock jump.
    Jump(usize, u64),
    /// The sidecar merges the other's sample, whose clock is ahead by this time.
    Merge(usize, i64),
    /// A forecast is made.
    Forecast(usize, Change, ForecastParams),
}

/// The parameters of a forecast.
#[derive(Clone, Debug)]
pub struct ForecastParams {
    servers: u64,
    map: bool,
    items: f64,
    expiry: Micros,
    exclusive: bool,
    miss_cost: f64,
}

fn change() -> impl Strategy<Value = Change> {
    let id = 0..6u64;
    prop_oneof![
        Just(Change::Nothing),
        (id.clone(), 0..3u8).prop_map(|(id, zone)| Change::Added(Server { id, zone })),
        id.clone().prop_map(Change::Replaced),
        prop::collection::vec(id.clone(), 0..4).prop_map(Change::ManyReplaced),
        id.prop_map(Change::Removed),
        (0..3u8).prop_map(Change::ZoneLost),
        (0..7usize).prop_map(Change::SubsetSize),
        prop::collection::vec(0..5u16, 0..5).prop_map(Change::Map),
    ]
}

fn forecast_params() -> impl Strategy<Value = ForecastParams> {
    let expiry = prop_oneof![0..SPAN_US, Just(Micros::MAX)];
    (1..5u64, any::<bool>(), 0.0..200.0f64, expiry, any::<bool>(), 0.0..9.0f64).prop_map(
        |(servers, map, items, expiry, exclusive, miss_cost)| ForecastParams {
            servers,
            map,
            items,
            expiry,
            exclusive,
            miss_cost,
        },
    )
}

fn step() -> impl Strategy<Value = Step> {
    let sidecar = 0..SIDECARS;
    let access = (-20_000_000..20_000_000i32, 0..60u64, 0..5_000_000u32);
    let accesses = prop::collection::vec(access, 0..150);
    let ahead = prop_oneof![3 => Just(0i64), 1 => -90_000_000..90_000_000i64, 1 => any::<i64>()];
    prop_oneof![
        24 => (sidecar.clone(), accesses).prop_map(|(n, accesses)| Step::Add(n, accesses)),
        1 => (sidecar.clone(), prop::option::of(0..2u64)).prop_map(|(n, item)| Step::Burst(n, item)),
        2 => (sidecar.clone(), any::<u64>()).prop_map(|(n, at)| Step::Jump(n, at)),
        6 => (sidecar.clone(), ahead).prop_map(|(n, ahead)| Step::Merge(n, ahead)),
        18 => (sidecar, change(), forecast_params()).prop_map(|(n, change, params)| Step::Forecast(n, change, params)),
    ]
}

/// The shares of the samples, and a script.
pub fn script(steps: usize) -> impl Strategy<Value = (Vec<f64>, Vec<Step>)> {
    let shares = prop::collection::vec(0.3..1.0f64, SIDECARS);
    (shares, prop::collection::vec(step(), 1..steps))
}

/// Returns an error unless the condition holds.
fn rule(condition: bool, rule: &str) -> Result<(), String> {
    if condition { Ok(()) } else { Err(rule.to_owned()) }
}

/// A sidecar's sample, and all accesses that were given to it.
struct Sidecar {
    sample: Sample,
    all: Vec<Access>,
    now: Micros,
    /// It had more accesses of one item than a sample holds, so the oldest were dropped.
    limit_exceeded: bool,
}

/// An access as an ordered tuple.
type Plain = (Micros, u64, u8, u8, Micros);

/// Sorts accesses, so that their order of arrival does not matter.
fn sorted(accesses: impl Iterator<Item = Access>) -> Vec<Plain> {
    let mut all: Vec<_> = accesses.map(|a| (a.at, a.item, a.zone, a.class, a.duration)).collect();
    all.sort_unstable();
    all
}

impl Sidecar {
    fn add(&mut self, at: Micros, item: u64, duration: Micros) {
        let (zone, class) = ((item % 3) as u8, (item % 2) as u8);
        let access = Access { at, item, zone, class, duration };
        self.sample.add(access);
        self.all.push(access);
    }

    /// The accesses of the sampled items that are not older than the span, relative to `last`.
    fn kept(&self, last: Micros) -> Vec<Plain> {
        let kept = |access: &&Access| {
            self.sample.samples(access.item) && access.at.saturating_add(SPAN_US) >= last
        };
        sorted(self.all.iter().filter(kept).copied())
    }

    /// A sample contains all accesses of its items. Accesses that are too old relative to the last of all accesses
    /// may be missing, since the last item may have been sampled only until the sample was thinned. Accesses that are
    /// too old relative to the sample's own last access must be missing, which the sample's own check covers.
    fn check(&self) -> Result<(), String> {
        self.sample.check().map_err(|violation| violation.to_string())?;
        let last = self.all.iter().map(|access| access.at).max().unwrap_or(0);
        let found = sorted(self.sample.accesses().copied());
        rule(are_among(&found, &self.kept(0)), "a sample has only accesses that were given to it")?;
        let all = self.limit_exceeded || are_among(&self.kept(last), &found);
        rule(all, "a sample has all accesses of its items")
    }
}

/// Whether all of `some` are in `others`, each as often; both are sorted.
fn are_among(some: &[Plain], others: &[Plain]) -> bool {
    let mut others = others.iter();
    some.iter().all(|access| others.any(|other| other == access))
}

/// Plays a script.
///
/// # Errors
/// The violated rule, with the values involved.
pub fn play((shares, script): &(Vec<f64>, Vec<Step>)) -> Result<(), String> {
    let sidecar = |share: &f64| Sidecar {
        sample: Sample::new(*share, SPAN_US),
        all: Vec::new(),
        now: 1_000_000_000,
        limit_exceeded: false,
    };
    let mut sidecars: Vec<Sidecar> = shares.iter().map(sidecar).collect();
    for (n, step) in script.iter().enumerate() {
        let error = |error: String| format!("step {n}: {error}");
        play_step(&mut sidecars, step).map_err(error)?;
        for sidecar in &sidecars {
            sidecar.check().map_err(error)?;
        }
    }
    Ok(())
}

fn play_step(sidecars: &mut [Sidecar], step: &Step) -> Result<(), String> {
    match step {
        Step::Add(n, accesses) => {
            let sidecar = &mut sidecars[*n];
            for (later, item, holds) in accesses {
                let at = sidecar.now.saturating_add_signed(i64::from(*later));
                sidecar.now = sidecar.now.saturating_add(40_000);
                sidecar.add(at, *item, Micros::from(*holds));
            }
        }
        Step::Burst(n, item) => {
            let sidecar = &mut sidecars[*n];
            sidecar.limit_exceeded |= *item == Some(0);
            for of in 0..BURST {
                sidecar.now = sidecar.now.saturating_add(10);
                sidecar.add(sidecar.now, item.unwrap_or(of * 7), 0);
            }
        }
        Step::Jump(n, at) => sidecars[*n].add(*at, 1, Micros::MAX),
        Step::Merge(n, ahead) => return merge(sidecars, *n, *ahead),
        Step::Forecast(n, change, params) => {
            return check_forecast(&sidecars[*n].sample, change, params);
        }
    }
    Ok(())
}

fn merge(sidecars: &mut [Sidecar], into: usize, ahead: i64) -> Result<(), String> {
    let other = (into + 1) % SIDECARS;
    let mut reverse = sidecars[other].sample.clone();
    reverse.merge(&sidecars[into].sample, ahead.saturating_neg());
    let from = sidecars[other].sample.clone();
    sidecars[into].sample.merge(&from, ahead);
    let merged = &sidecars[into].sample;
    let same = reverse.share() == merged.share()
        && sorted(reverse.accesses().copied()) == sorted(merged.accesses().copied());
    rule(ahead != 0 || same, "a merge gives the same sample in both directions")?;
    rule(merged.share() <= from.share(), "a merged sample has at most the share of each")?;
    // The accesses that the other sample has expired are older than the span, relative to its last access.
    let shift = |access: &Access| Access {
        at: access.at.saturating_add_signed(ahead.saturating_neg()),
        ..*access
    };
    let others: Vec<Access> = from.accesses().map(shift).collect();
    sidecars[into].all.extend(others);
    sidecars[into].limit_exceeded |= sidecars[other].limit_exceeded;
    Ok(())
}

fn check_forecast(sample: &Sample, change: &Change, params: &ForecastParams) -> Result<(), String> {
    if sample.len() > MAX_FORECAST_ACCESSES {
        return rule(sample.len() <= MAX_ACCESSES, "a sample is bounded");
    }
    let servers: Vec<Server> =
        (0..params.servers).map(|id| Server { id, zone: (id % 2) as u8 }).collect();
    let placement = match params.map {
        true => Placement::by_weight(servers),
        false => Placement { servers, assignment: Assignment::Subset(2) },
    };
    let question = Question {
        sample,
        placement: &placement,
        change,
        items: params.items,
        expiry: params.expiry,
        exclusive: params.exclusive,
        miss_cost: params.miss_cost,
        seed: 1,
    };
    question.check().map_err(|violation| format!("{change:?}: {violation}"))?;
    let Ok(made) = forecast(&question) else { return Ok(()) };
    made.check().map_err(|violation| format!("{change:?}: {violation}"))
}

/// Uses of connections: the idle timeout, and for each use its time, sidecar and duration.
pub type Uses = (Micros, Vec<(Micros, u64, Micros)>);

/// Uses of connections to one server, with an idle timeout.
pub fn uses() -> impl Strategy<Value = Uses> {
    let one = (0..SPAN_US, 0..12u64, prop_oneof![0..2_000_000u64, 0..30_000_000u64]);
    (100_000..15_000_000u64, prop::collection::vec(one, 80..200))
}

/// Compares a forecast of connections to one server with a direct count over all of them.
///
/// # Errors
/// The two differ.
pub fn compare_with_reference_connections((expiry, uses): &Uses) -> Result<(), String> {
    let mut sample = Sample::new(1.0, SPAN_US);
    for (at, item, holds) in uses {
        sample.add(Access { at: *at, item: *item, zone: 0, class: 0, duration: *holds });
    }
    let placement =
        Placement { servers: vec![Server { id: 1, zone: 0 }], assignment: Assignment::Subset(1) };
    let question = Question {
        sample: &sample,
        placement: &placement,
        change: &Change::Nothing,
        items: 1.0,
        expiry: *expiry,
        exclusive: true,
        miss_cost: 1.0,
        seed: 1,
    };
    let made = forecast(&question).map_err(|error| format!("{error:?}"))?;
    let Estimate::Interval { mid, .. } = made.steady else { return Ok(()) };
    let hits = plain_hits(&sample, *expiry);
    let rate = hits as f64 / sample.len() as f64;
    rule((mid - rate).abs() < 1e-9, "a connection that is open and free is hit").map_err(|error| {
        format!("{error}: {mid} forecast, {rate} by a reference list of connections")
    })
}

/// Counts the hits in the third of three passes, with a list of each item's connections and the times until which
/// they are in use.
fn plain_hits(sample: &Sample, expiry: Micros) -> usize {
    let mut open: HashMap<u64, Vec<Micros>> = HashMap::new();
    let mut hits = 0;
    for pass in 0..3 {
        for access in sample.accesses() {
            let at = access.at + pass * SPAN_US;
            let connections = open.entry(access.item).or_default();
            connections.retain(|until| until + expiry > at);
            connections.sort_unstable();
            let free = connections.iter().rposition(|until| *until <= at);
            hits += usize::from(pass == 2 && free.is_some());
            match free {
                Some(n) => connections[n] = at + access.duration,
                None => connections.push(at + access.duration),
            }
        }
    }
    hits
}

/// Merges two samples in both directions. Soon after the accesses of the first come many of the second; together they
/// exceed a sample's limit. By the time of the second's last accesses, those of the first have expired.
///
/// # Errors
/// The results differ.
pub fn merge_expired_and_full_samples() -> Result<(), String> {
    const ACCESSES: u64 = 20_000;
    let add = |sample: &mut Sample, from: Micros| {
        for item in 0..ACCESSES {
            sample.add(Access { at: from + item, item, zone: 0, class: 0, duration: 0 });
        }
    };
    let (mut old, mut full) = (Sample::new(1.0, SPAN_US), Sample::new(1.0, SPAN_US));
    add(&mut old, 0);
    add(&mut full, SPAN_US / 2);
    full.add(Access { at: SPAN_US + ACCESSES, item: 0, zone: 0, class: 0, duration: 0 });
    let (mut into_old, mut into_full) = (old.clone(), full.clone());
    into_old.merge(&full, 0);
    into_full.merge(&old, 0);
    rule(into_old.share() == into_full.share(), "a merge of two samples has the same share")?;
    let same = sorted(into_old.accesses().copied()) == sorted(into_full.accesses().copied());
    rule(same, "a merge gives the same sample in both directions")?;
    rule(into_full.len() == full.len(), "expired accesses displace no others")
}

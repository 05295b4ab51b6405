//! The results of a run, as rows of `docs/capacity/*.csv`.

use std::collections::BTreeMap;

use crate::conductor::StepResult;
use crate::plan::Plan;
use crate::protocol::Phase;
use crate::usage;

/// The header line of a CSV file.
pub const HEADER: &str = "measurement,unit,size_of,size,seed,value,kind,machine,load";

/// One figure.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// The step's name, a dot, and the name of the measurement.
    pub measurement: String,
    /// Its unit.
    pub unit: &'static str,
    /// The value.
    pub value: f64,
    /// Load average of the machine.
    pub load: f64,
}

/// Returns the smallest value such that at least `share` of all values are not greater. `values` need not be sorted.
pub fn quantile(values: &[f64], share: f64) -> Option<f64> {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let nth = (sorted.len() as f64 * share).ceil().max(1.0) as usize - 1;
    sorted.get(nth.min(sorted.len().saturating_sub(1))).copied()
}

/// Quantiles that get their own rows, with the suffix of their names.
const SHARES: [(&str, f64); 3] = [("50", 0.5), ("99", 0.99), ("100", 1.0)];

/// Like [`quantile`], for a histogram of counts by value; 0 if it is empty.
pub fn histogram_quantile(histogram: &BTreeMap<u32, u64>, share: f64) -> u32 {
    let all: u64 = histogram.values().sum();
    let wanted = ((all as f64 * share).ceil() as u64).max(1);
    let mut passed = 0;
    for (value, count) in histogram {
        passed += count;
        if passed >= wanted {
            return *value;
        }
    }
    0
}

/// Returns the rows of one step.
pub fn rows(plan: &Plan, done: &StepResult) -> Vec<Row> {
    let (name, load) = (&done.step.name, done.load);
    let mut rows = Vec::new();
    let mut row = |measurement: &str, unit: &'static str, value: f64| {
        let measurement = format!("{name}.{measurement}");
        rows.push(Row { measurement, unit, value, load });
    };
    row("length", "s", done.phase.length_s);
    row("dilation", "s/s", plan.dilation);
    usage_rows(&done.phase, &mut row);
    if !done.control.sent.is_empty() {
        usage_rows(&done.control, &mut |measurement, unit, value| {
            row(&format!("control.{measurement}"), unit, value);
        });
    }
    row("dropped", "count", done.dropped.0 as f64);
    row("control.dropped", "count", done.dropped.1 as f64);
    settling_rows(done, &mut row);
    rows
}

/// Adds rows for the resources that each member used.
fn usage_rows(phase: &Phase, row: &mut impl FnMut(&str, &'static str, f64)) {
    let length = phase.length_s.max(1e-9);
    let live = phase.sent.len().max(1) as f64;
    let each = |value: f64| value / live / length;
    let sent: Vec<f64> = phase.sent.iter().map(|bytes| *bytes as f64 / length).collect();
    row("members", "count", phase.sent.len() as f64);
    row("sent_mean", "bytes/s", sent.iter().sum::<f64>() / live);
    for (name, share) in [("sent_99", 0.99), ("sent_max", 1.0)] {
        row(name, "bytes/s", quantile(&sent, share).unwrap_or(0.0));
    }
    let kinds = &phase.kinds;
    for (name, bytes) in [
        ("sent_headers", kinds.headers),
        ("sent_view", kinds.view),
        ("sent_evidence", kinds.evidence),
        ("sent_lease", kinds.lease),
        ("sent_other", kinds.other),
    ] {
        row(name, "bytes/s", each(bytes as f64));
    }
    row("datagrams", "1/s", each(phase.datagrams as f64));
    row("processor", "us/s", each(phase.processor_s * 1e6));
    row("processor_machines", "us/s", each(phase.machines_s * 1e6));
    row("resident", "bytes", phase.resident as f64 / live);
    row("false_dead", "count", phase.false_dead as f64);
    row("false_suspect", "count", phase.false_suspect as f64);
    row("stalls", "count", phase.stalls as f64);
    row("refused", "count", phase.refused as f64);
    row("late_mean", "ms", phase.late_mean_ms);
    row("late_max", "ms", phase.late_max_ms);
    row("violations", "count", phase.violations.len() as f64);
}

/// Adds rows for the time until all members knew of the change.
fn settling_rows(done: &StepResult, row: &mut impl FnMut(&str, &'static str, f64)) {
    let phase = &done.phase;
    for (nth, share) in [("known_50", 0.5), ("known_99", 0.99), ("known_100", 1.0)] {
        let never = |at: &Option<f64>| at.unwrap_or(f64::INFINITY);
        let times: Vec<f64> = phase.settled_ms.iter().map(never).collect();
        row(nth, "s", quantile(&times, share).unwrap_or(f64::INFINITY) / 1e3);
    }
    let agreed = &done.agreed;
    for (nth, at) in
        [("agreed_50", agreed.half_s), ("agreed_99", agreed.most_s), ("agreed_100", agreed.all_s)]
    {
        row(nth, "s", at.unwrap_or(f64::INFINITY));
    }
    row("agreed_share", "share", agreed.share);
    if !phase.joined_ms.is_empty() {
        let never = |at: &Option<f64>| at.unwrap_or(f64::INFINITY);
        let times: Vec<f64> = phase.joined_ms.iter().map(never).collect();
        for (name, share) in SHARES {
            let at = quantile(&times, share).unwrap_or(f64::INFINITY);
            row(&format!("joined_{name}"), "s", at / 1e3);
        }
    }
    let histogram = &phase.in_force_ms;
    if !histogram.is_empty() {
        row("in_force_count", "count", histogram.values().sum::<u64>() as f64);
        for (name, share) in SHARES {
            let at = histogram_quantile(histogram, share);
            row(&format!("in_force_{name}"), "s", f64::from(at) / 1e3);
        }
    }
    if let Some(known) = agreed.known {
        row("reported", "s", agreed.reported_s.unwrap_or(f64::INFINITY));
        row("reported_expected", "count", f64::from(known.expected));
        row("reported_in_force", "count", f64::from(known.in_force));
        row("reported_refused", "count", f64::from(known.refused));
        row("reported_not_heard", "count", f64::from(known.not_heard));
    }
}

/// Formats rows as CSV lines. A time for something that never happened is written as `inf`.
pub fn csv(plan: &Plan, rows: &[Row]) -> String {
    let machine = usage::machine();
    let line = |row: &Row| {
        let Row { measurement, unit, value, load } = row;
        let value = if value.is_finite() { format!("{value:.3}") } else { "inf".to_owned() };
        let (size, seed) = (plan.size, plan.seed);
        format!("{measurement},{unit},sidecars,{size},{seed},{value},hollow,{machine},{load:.2}\n")
    };
    rows.iter().map(line).collect()
}

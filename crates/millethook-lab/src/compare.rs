//! Compares two sets of runs that are paired by timeline, size and seed.

use std::collections::BTreeMap;

use crate::figures::Figures;

/// A figure that is compared: its name, and the function that reads it.
type ComparedFigure = (&'static str, fn(&Figures) -> f64);

/// The figures that are compared.
const COMPARED_FIGURES: [ComparedFigure; 13] = [
    ("served", |f| f.served),
    ("attempts", |f| f.attempts),
    ("kept", |f| f.kept as f64),
    ("kept and not done", |f| f.kept_open as f64),
    ("replayed after s", |f| f.replayed_s),
    ("unanswered", |f| f.unanswered as f64),
    ("handshakes", |f| f.handshakes),
    ("imbalance", |f| f.imbalance),
    ("cold servers, of what they bear", |f| f.cold_peak),
    ("cv", |f| f.cv),
    ("idle_while_queued_s", |f| f.idle_while_queued_s),
    ("datagram_bytes", |f| f.datagram_bytes as f64),
    ("daemons_cpu_s", |f| f.processes.daemons_cpu_s),
];

/// With fewer pairs no interval is computed.
const MIN_PAIRS: usize = 3;

/// Two-sided 95% quantiles of Student's t by degrees of freedom, from 2 on (Abramowitz and Stegun, table 26.10).
const STUDENT_T_95: [f64; 14] = [
    4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145,
    2.131,
];
/// The quantile beyond the table. It makes the interval slightly too wide, never too narrow.
const STUDENT_T_95_BEYOND: f64 = 2.131;

/// One figure of one timeline in both sets.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// The timeline and the number of sidecars.
    pub of: String,
    /// The name of the figure.
    pub figure: &'static str,
    /// The number of pairs.
    pub pairs: usize,
    /// The means of the first and the second set.
    pub means: [f64; 2],
    /// The 95% confidence interval of the paired difference, second minus first; `None` if there are too few pairs.
    pub interval: Option<(f64, f64)>,
}

impl Difference {
    /// The difference as text: an interval, no difference, or too few pairs.
    pub fn verdict(&self) -> String {
        match self.interval {
            None => format!("too few pairs ({})", self.pairs),
            Some((low, high)) if low <= 0.0 && high >= 0.0 => "no difference".into(),
            Some((low, high)) => format!("{low:+.4} to {high:+.4}"),
        }
    }
}

/// Compares the runs that are in both sets. Void runs are left out.
pub fn compare(first: &[Figures], second: &[Figures]) -> Vec<Difference> {
    let mut groups: BTreeMap<String, Vec<(&Figures, &Figures)>> = BTreeMap::new();
    for a in first.iter().filter(|a| a.void.is_none()) {
        let same = |b: &&Figures| {
            b.void.is_none()
                && (&b.timeline, b.seed, b.sidecars) == (&a.timeline, a.seed, a.sidecars)
        };
        if let Some(b) = second.iter().find(same) {
            groups.entry(format!("{} x{}", a.timeline, a.sidecars)).or_default().push((a, b));
        }
    }
    let each = groups.iter().flat_map(|(of, pairs)| {
        COMPARED_FIGURES.iter().map(move |(figure, read)| difference(of, figure, *read, pairs))
    });
    each.collect()
}

fn difference(
    of: &str,
    figure: &'static str,
    read: fn(&Figures) -> f64,
    pairs: &[(&Figures, &Figures)],
) -> Difference {
    let n = pairs.len() as f64;
    let mean = |values: &mut dyn Iterator<Item = f64>| values.sum::<f64>() / n;
    let first = mean(&mut pairs.iter().map(|p| read(p.0)));
    let second = mean(&mut pairs.iter().map(|p| read(p.1)));
    let mean_difference = second - first;
    let squares: f64 =
        pairs.iter().map(|p| (read(p.1) - read(p.0) - mean_difference).powi(2)).sum();
    let interval = (pairs.len() >= MIN_PAIRS).then(|| {
        let t = STUDENT_T_95.get(pairs.len() - MIN_PAIRS).copied().unwrap_or(STUDENT_T_95_BEYOND);
        let half_width = t * (squares / (n - 1.0) / n).sqrt();
        (mean_difference - half_width, mean_difference + half_width)
    });
    Difference { of: of.to_owned(), figure, pairs: pairs.len(), means: [first, second], interval }
}

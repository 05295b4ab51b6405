//! Formats rows for `docs/capacity/depth.csv`.

use std::fmt::Write;

use crate::chain::{AIM_IN_WORK, Chain};
use crate::tally::Tally;

/// The header line.
pub const HEADER: &str = "measurement,unit,size_of,size,seed,value,kind,machine,load\n";

/// Returns the name of the chain's case in the measurements.
pub fn case_name(chain: &Chain) -> String {
    let tiers = match chain.bad_tier {
        None => "all tiers well",
        Some(_) if chain.error_share >= 1.0 => "one tier down",
        Some(_) => "one bad tier",
    };
    let load = chain.load * 100.0;
    match chain.aim_in_work {
        AIM_IN_WORK => format!("{load:.0}% load, {tiers}"),
        other => format!("{load:.0}% load, {tiers}, aims of {other} times the work"),
    }
}

/// Returns the rows of a run, with quoted fields where needed. `kind` is `processes` or `model`.
pub fn rows(chain: &Chain, tally: &Tally, kind: &str, load: &str) -> String {
    let case = case_name(chain);
    let last = chain.depth - 1;
    let values = [
        ("attempts at the last tier", "attempts", tally.attempts_at(last)),
        ("attempts taken up at the last tier", "attempts", tally.worked_at(last)),
        ("attempts at the tier that gets most", "attempts", tally.most_attempts()),
        ("attempts at the first tier", "attempts", tally.attempts_at(0)),
        ("calls served", "share", tally.served_share()),
    ];
    let mut text = String::new();
    for (name, unit, value) in values {
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "\"{name}, {case}\",{unit},tiers,{},{},{value:.4},{kind},8 cores,\"{load}\"",
            chain.depth, chain.seed
        );
    }
    text
}

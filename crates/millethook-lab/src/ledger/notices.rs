//! When a notice of discovery counts as received by a sidecar, whether or not it arrived, by the platform's time
//! limits.

use std::collections::HashMap;

use super::{Listed, Micros, RunRecords};

/// Time after which a sidecar has to restart a silent watch. A notice that it missed counts as received at the latest
/// this time after the watch fell silent. With a polled discovery, a notice counts as received this time after it
/// became available.
pub const SILENT_WATCH_LIMIT_US: Micros = 6_000_000;
/// Time after a change of the discovery address from which on notices of the new address count as received.
pub const ADDRESS_CHANGE_LIMIT_US: Micros = 4_000_000;

/// The time from which on a notice that became available at `available` counts as received.
pub fn effective_from(available: Micros, silences: &[Micros], moves: &[Micros]) -> Micros {
    let until = |times: &[Micros], length: Micros| {
        let open = times.iter().filter(|at| **at <= available && available < **at + length);
        open.map(|at| at + length).max().unwrap_or(available)
    };
    until(silences, SILENT_WATCH_LIMIT_US).max(until(moves, ADDRESS_CHANGE_LIMIT_US))
}

/// The notices that each sidecar received about each server, by time: when the notice was sent, or when its time
/// limit passed.
pub fn by_server(records: &RunRecords) -> HashMap<(usize, usize), Vec<(Micros, Listed)>> {
    let mut sent: HashMap<_, Vec<(Micros, Listed)>> = HashMap::new();
    for notice in &records.notices {
        sent.entry((notice.sidecar, notice.server)).or_default().push((notice.at, notice.listed));
    }
    sent.values_mut().for_each(|of| of.sort_by_key(|notice| notice.0));
    let mut available: HashMap<_, Vec<(Micros, Listed)>> = HashMap::new();
    for notice in &records.available {
        available
            .entry((notice.sidecar, notice.server))
            .or_default()
            .push((notice.at, notice.listed));
    }
    let times = |of: &[(usize, Micros)], sidecar: usize| -> Vec<Micros> {
        of.iter().filter(|(n, _)| *n == sidecar).map(|(_, at)| *at).collect()
    };
    for (key, rows) in &mut available {
        rows.sort_by_key(|notice| notice.0);
        let (silences, moves) = (times(&records.silences, key.0), times(&records.moves, key.0));
        let sent_at = sent.get(key);
        let mut next = Micros::MAX;
        // A notice counts no later than the one that follows it.
        for (at, listed) in rows.iter_mut().rev() {
            let sent_at = sent_at.into_iter().flatten().find(|w| w.0 >= *at && w.1 == *listed);
            let sent_at = sent_at.map_or(Micros::MAX, |w| w.0);
            let counted = if records.polled_discovery { *at + SILENT_WATCH_LIMIT_US } else { *at };
            *at = counted.max(effective_from(*at, &silences, &moves)).min(sent_at).min(next);
            next = *at;
        }
    }
    // Adds notices of servers without availability records, which occur in the records of tests.
    for (key, rows) in sent {
        available.entry(key).or_insert(rows);
    }
    available
}

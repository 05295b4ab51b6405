//! From when on what discovery has to say counts as told, whether or not it arrived: the platform's clocks.

use std::collections::HashMap;

use super::{Listed, Micros, RunRecords};

/// A watch that has fallen silent has to be begun anew: what it missed counts so long after it fell silent. Where
/// discovery is asked, what it has counts so long after it had it.
pub const SILENCE: Micros = 6_000_000;
/// What the new address has counts so long after a change of the configuration.
pub const MOVED: Micros = 4_000_000;

/// When what an agent has from `has` on counts as told.
pub fn effective_from(has: Micros, silences: &[Micros], moves: &[Micros]) -> Micros {
    let until = |times: &[Micros], length: Micros| {
        let open = times.iter().filter(|at| **at <= has && has < **at + length);
        open.map(|at| at + length).max().unwrap_or(has)
    };
    until(silences, SILENCE).max(until(moves, MOVED))
}

/// What each sidecar counts as told of each server, by time: when it was written, or when the clock is over.
pub fn by_server(records: &RunRecords) -> HashMap<(usize, usize), Vec<(Micros, Listed)>> {
    let mut written: HashMap<_, Vec<(Micros, Listed)>> = HashMap::new();
    for t in &records.notices {
        written.entry((t.sidecar, t.server)).or_default().push((t.at, t.listed));
    }
    written.values_mut().for_each(|of| of.sort_by_key(|t| t.0));
    let mut has: HashMap<_, Vec<(Micros, Listed)>> = HashMap::new();
    for t in &records.available {
        has.entry((t.sidecar, t.server)).or_default().push((t.at, t.listed));
    }
    let times = |of: &[(usize, Micros)], sidecar: usize| -> Vec<Micros> {
        of.iter().filter(|(n, _)| *n == sidecar).map(|(_, at)| *at).collect()
    };
    for (key, rows) in &mut has {
        rows.sort_by_key(|t| t.0);
        let (silences, moves) = (times(&records.silences, key.0), times(&records.moves, key.0));
        let said = written.get(key);
        let mut later = Micros::MAX;
        // A word that came after the next one did says nothing any more.
        for (at, listed) in rows.iter_mut().rev() {
            let said = said.into_iter().flatten().find(|w| w.0 >= *at && w.1 == *listed);
            let said = said.map_or(Micros::MAX, |w| w.0);
            let had = if records.asked { *at + SILENCE } else { *at };
            *at = had.max(effective_from(*at, &silences, &moves)).min(said).min(later);
            later = *at;
        }
    }
    // What was written down without an agent's history: books of tests.
    for (key, rows) in written {
        has.entry(key).or_insert(rows);
    }
    has
}

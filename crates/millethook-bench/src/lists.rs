//! Measures the decision module's cost of long server lists: a first whole list, the same list again, a wholly new
//! list, and one changed entry.

use std::time::Instant;

use coppercart::api::{Event, Health, ListKind, ServerEntry, ServerId};
use coppercart::decide::Balancer;
use coppercart::settings::Settings;
use millethook_testkit::settings_json;

use crate::BenchError;
use crate::report::Table;

const CHANGES: u32 = 200;

fn entry(n: u64) -> ServerEntry {
    ServerEntry {
        id: ServerId(n.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        zone: (n % 2) as u8,
        kind: 0,
        cell: 0,
        health: Health::Ready,
        power: 1.0,
        started: 0,
    }
}

/// Measures lists of these sizes.
///
/// # Errors
/// Fails if the settings are invalid.
pub fn run(sizes: &[usize]) -> Result<(), BenchError> {
    let mut table =
        Table::new(&["servers", "", "first list ms", "same again ms", "all new ms", "change us"]);
    for &size in sizes {
        let settings = Settings::from_json(settings_json().to_string().as_bytes())?;
        let mut balancer = Balancer::new(settings, 1, 1_000_000);
        let mut out = Vec::new();
        let mut timed = |kind, entries: &[ServerEntry]| {
            let began = Instant::now();
            balancer.handle(1_000_000, Event::Servers { kind, entries }, &mut out);
            began.elapsed().as_secs_f64() * 1e3
        };
        let list = |from: u64| (from..from + size as u64).map(entry).collect::<Vec<_>>();
        let first = timed(ListKind::Whole, &list(0));
        let again = timed(ListKind::Whole, &list(0));
        let new = timed(ListKind::Whole, &list(size as u64));
        let mut change = 0.0;
        for n in 0..CHANGES {
            let health = if n.is_multiple_of(2) { Health::Draining } else { Health::Ready };
            let one = ServerEntry { health, ..entry(size as u64 + u64::from(n / 2)) };
            change += timed(ListKind::Changes, &[one]) * 1e3 / f64::from(CHANGES);
        }
        table.row(&size.to_string(), "", &[first, again, new, change]);
    }
    table.print();
    Ok(())
}

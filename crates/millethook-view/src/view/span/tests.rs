//! Tests of the hashes of table ranges.

use super::*;
use crate::fact::Status;

/// One byte cannot distinguish all tables, but two tables must not collide under several salts.
#[test]
fn differing_ranges_rarely_collide_under_several_salts() {
    let one = Span { first: 7, width: 1 };
    let empty = Table::new(8);
    for epoch in 1..20_000 {
        let mut table = Table::new(8);
        table.set(&Fact {
            number: 7,
            epoch,
            incarnation: 0,
            status: Status::Alive,
            reported_by: 7,
        });
        let alike = |salt: &u16| one.digest(&empty, *salt) == one.digest(&table, *salt);
        assert!((0..8).filter(alike).count() < 5, "epoch {epoch}");
    }
}

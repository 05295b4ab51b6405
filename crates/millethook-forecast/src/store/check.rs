//! Invariants of a store.

use millethook_machine::Violation;

use super::{Limits, Store};

impl Store {
    /// Checks every invariant of the store.
    ///
    /// # Errors
    /// The first invariant that does not hold, with the values that break it.
    pub fn check(&self, limits: &Limits) -> Result<(), Violation> {
        let rule = Violation::unless;
        let copies: usize = self.held.values().map(Vec::len).sum();
        rule(copies == self.order.len(), "each copy has one position in the order", &|| {
            format!("{copies} copies, {} positions", self.order.len())
        })?;
        for (position, item) in &self.order {
            let copies = self.held.get(item).into_iter().flatten();
            let found = copies.into_iter().any(|held| held.position == *position);
            rule(found, "each position in the order belongs to a copy", &|| {
                format!("{item} at {position}")
            })?;
        }
        let max_items = limits.items.max(1.0) as usize;
        Violation::unless_within(copies, max_items, "a store is bounded")
    }
}

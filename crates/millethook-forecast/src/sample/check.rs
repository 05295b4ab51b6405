//! Invariants of a sample.

use millethook_machine::Violation;

use super::{MAX_ACCESSES, MAX_COUNTS, Sample};

impl Sample {
    /// Checks every invariant of the sample.
    ///
    /// # Errors
    /// The first invariant that does not hold, with the values that break it.
    pub fn check(&self) -> Result<(), Violation> {
        let rule = Violation::unless;
        Violation::unless_within(self.len(), MAX_ACCESSES, "a sample is bounded")?;
        Violation::unless_within(self.arrivals.len(), MAX_COUNTS, "counts are bounded")?;
        rule(
            (0.0..=1.0).contains(&self.share()),
            "the share of a sample is within 0 and 1",
            &|| self.share().to_string(),
        )?;
        let foreign = self.accesses.iter().find(|access| !self.samples(access.item));
        rule(foreign.is_none(), "only items of the sample's share are sampled", &|| {
            format!("{foreign:?} at {}", self.share())
        })?;
        rule(
            self.accesses.iter().map(|access| access.at).is_sorted(),
            "accesses are in the order of their times",
            &|| format!("{} of them", self.len()),
        )?;
        let first = self.accesses.front().map_or(0, |access| access.at);
        let last = self.accesses.back().map_or(0, |access| access.at);
        rule(last <= first.saturating_add(self.span), "no access is older than the span", &|| {
            format!("from {first} to {last}, span {}", self.span)
        })
    }
}

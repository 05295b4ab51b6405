//! Invariants of forecasts and of the runs that produce them.

use std::collections::BTreeMap;

use millethook_machine::Violation;

use super::{Count, Estimate, Forecast, PARTS, PlayedPart, Question, limits_of_part, play_on};

/// Tolerance for rounding in sums of shares.
const ROUNDING: f64 = 1e-9;

impl Estimate {
    /// Checks that an interval contains its estimate and, with `rate`, lies within 0 and 1.
    fn check(&self, of: &dyn std::fmt::Debug, rate: bool) -> Result<(), Violation> {
        let Estimate::Interval { low, mid, high } = self else { return Ok(()) };
        let found = &|| format!("{of:?}: {low}, {mid}, {high}");
        Violation::unless(low <= mid && mid <= high, "an interval holds its estimate", found)?;
        let finite = low.is_finite() && high.is_finite();
        Violation::unless(finite, "an interval is finite", found)?;
        let within = !rate || *low >= 0.0 && *high <= 1.0;
        Violation::unless(within, "a rate is within 0 and 1", found)
    }
}

impl Forecast {
    /// Checks every invariant of the forecast.
    ///
    /// # Errors
    /// The first invariant that does not hold, with the values that break it.
    pub fn check(&self) -> Result<(), Violation> {
        for (estimate, cost) in self.after.iter().zip(&self.cost) {
            estimate.check(&"after the change", true)?;
            cost.check(&"cost", false)?;
            Violation::unless(
                estimate.mid().is_some() == cost.mid().is_some(),
                "a cost has an estimate exactly if the hit rate has one",
                &|| format!("{estimate:?}, {cost:?}"),
            )?;
        }
        self.steady.check(&"in the steady state", true)?;
        self.check_parts(&self.by_server)?;
        self.check_parts(&self.by_zone)?;
        self.check_parts(&self.by_class)
    }

    /// Checks the rates of a partition of all accesses.
    fn check_parts<K: std::fmt::Debug>(
        &self,
        parts: &BTreeMap<K, Estimate>,
    ) -> Result<(), Violation> {
        for (key, estimate) in parts {
            estimate.check(key, true)?;
        }
        let found = &|| format!("{:?}, {parts:?}", self.steady);
        let mids: Vec<f64> = parts.values().filter_map(Estimate::mid).collect();
        Violation::unless(
            mids.is_empty() || self.steady.mid().is_some(),
            "a part has an estimate only if the whole has one",
            found,
        )?;
        let Some(whole) = self.steady.mid().filter(|_| mids.len() == parts.len()) else {
            return Ok(());
        };
        let within = |bound: f64| (whole - bound).abs() < ROUNDING;
        let above = mids.iter().any(|mid| *mid <= whole || within(*mid));
        let below = mids.iter().any(|mid| *mid >= whole || within(*mid));
        Violation::unless(above && below, "the whole lies between its parts", found)
    }
}

impl Question<'_> {
    /// Plays the question again and checks every invariant of the sample, the placement, the stores and the counts. A
    /// change that does not apply has nothing to check.
    ///
    /// # Errors
    /// The first invariant that does not hold, with the values that break it.
    pub fn check(&self) -> Result<(), Violation> {
        self.sample.check()?;
        self.placement.check()?;
        let Ok((after, cold)) = self.change.apply(self.placement) else { return Ok(()) };
        after.check()?;
        for part in 0..PARTS {
            let mut stores = BTreeMap::new();
            let played = play_on(self, &after, &cold, part, &mut stores);
            played.check()?;
            for store in stores.values() {
                store.check(&limits_of_part(self))?;
            }
        }
        Ok(())
    }
}

impl PlayedPart {
    /// Checks the counts of one part of the sample.
    fn check(&self) -> Result<(), Violation> {
        for count in self.after.iter().chain([&self.steady]) {
            count.check()?;
        }
        let windows = self.after.iter().map(|count| count.all);
        Violation::unless(windows.is_sorted(), "a longer time has no fewer accesses", &|| {
            format!("{:?}", self.after)
        })?;
        self.check_shares(&self.by_server)?;
        self.check_shares(&self.by_zone)?;
        self.check_shares(&self.by_class)
    }

    /// Checks that the shares of all accesses sum to 1.
    fn check_shares<K: std::fmt::Debug>(
        &self,
        parts: &BTreeMap<K, Count>,
    ) -> Result<(), Violation> {
        for count in parts.values() {
            count.check()?;
        }
        let found = &|| format!("{parts:?} of {:?}", self.steady);
        let whole = self.steady.all.max(1.0);
        let shares: Vec<f64> = parts.values().map(|count| count.all / whole).collect();
        let sound = shares.iter().all(|share| (0.0..=1.0).contains(share));
        Violation::unless(sound, "a share is within 0 and 1", found)?;
        let (sum, all) = (shares.iter().sum::<f64>(), f64::from(u8::from(self.steady.all > 0.0)));
        Violation::unless((sum - all).abs() < ROUNDING, "shares sum to 1", found)?;
        let hits: f64 = parts.values().map(|count| count.hits).sum();
        Violation::unless((hits - self.steady.hits).abs() < ROUNDING, "hits sum up", found)
    }
}

impl Count {
    /// Checks that there are no more hits than accesses.
    fn check(&self) -> Result<(), Violation> {
        Violation::unless(
            self.hits >= 0.0 && self.hits <= self.all,
            "hits are some of the accesses",
            &|| format!("{self:?}"),
        )
    }
}

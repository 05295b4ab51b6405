//! An average over consecutive spans of time.

use crate::api::Micros;

/// The mean of the values in the last completed span.
#[derive(Clone, Debug, Default)]
pub(crate) struct SpanAverage {
    span_start: Micros,
    sum: f64,
    count: f64,
    /// None until the first span is complete.
    pub(crate) last_mean: Option<f64>,
}

impl SpanAverage {
    /// Adds one value. A value that arrives `span` or more after the first one of its span
    /// completes the span.
    pub(crate) fn add(&mut self, now: Micros, span: Micros, value: f64) {
        if self.count == 0.0 {
            self.span_start = now;
        }
        self.sum += value;
        self.count += 1.0;
        if now - self.span_start >= span {
            self.last_mean = Some(self.sum / self.count);
            (self.sum, self.count) = (0.0, 0.0);
        }
    }
}

#[cfg(feature = "explore")]
impl SpanAverage {
    /// Adds all of the state to a fingerprint.
    pub(crate) fn fingerprint(&self, hasher: &mut impl std::hash::Hasher) {
        use std::hash::Hash;
        let SpanAverage { span_start, sum, count, last_mean } = self;
        (span_start, sum.to_bits(), count.to_bits(), last_mean.map(f64::to_bits)).hash(hasher);
    }
}

#[cfg(test)]
#[path = "../tests/unit/average.rs"]
mod tests;

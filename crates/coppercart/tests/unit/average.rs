//! Tests of averages over consecutive spans.

use super::*;

#[test]
fn mean_updates_when_a_span_completes() {
    let mut average = SpanAverage::default();
    average.add(100, 10, 1.0);
    average.add(109, 10, 2.0);
    assert_eq!(average.last_mean, None);
    average.add(110, 10, 6.0);
    assert_eq!(average.last_mean, Some(3.0));
    average.add(111, 10, 50.0);
    assert_eq!(average.last_mean, Some(3.0), "the new span is not complete");
}

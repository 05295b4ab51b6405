//! Answers that are sent twice or followed by other bytes, on connections that are reused immediately.

use millethook_testkit::*;

use super::early::{End, check, orders};
use crate::common::*;

/// `orders` panics if a request gets another one's body.
#[test]
fn no_stray_bytes_are_served_as_another_requests_answer() {
    for how in [DoubleAnswer::AtOnce, DoubleAnswer::Noise, DoubleAnswer::ShortlyAfter] {
        let begun = RequestCounts::default();
        let servers: Vec<Server> = (0..2).map(|_| double_answering_server(&begun, how)).collect();
        let fleet = fleet(&servers);
        let ends = runtime().block_on(orders(&fleet, "order", 600, 8));
        check(&begun, "order", &ends);
        let served = ends.iter().filter(|end| **end == End::Served).count();
        assert_eq!(served, begun.answered(), "{how:?}");
        assert!(served > 570, "{how:?}: {served} of 600 served");
    }
}

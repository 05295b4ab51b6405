//! Answers that come twice, or with noise behind them, on connections that are wanted again at once.

use millethook_testkit::*;

use super::early::{End, check, orders};
use crate::common::*;

/// `orders` panics if a body is not its own request's.
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

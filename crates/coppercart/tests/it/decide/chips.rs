//! Confidence chips: what mints them and what clears them.

use coppercart::api::*;

use crate::common::*;

/// Runs rounds of 20 ms until the first capacity is known: the minimum of four, as queues are
/// empty.
fn with_capacity(seed: u64) -> Harness {
    let mut harness = Harness::new(settings(|_| {}), seed, &[server(0), server(2)]);
    for _ in 0..3200 {
        harness.round(0, 0.0);
    }
    harness
}

/// Sends one request and answers it with a reported queue that depends on the server.
fn round_by(harness: &mut Harness, queue: impl Fn(ServerId) -> f32) -> ServerId {
    let (id, out) = harness.request(0);
    let to = sent(&out).expect("sent");
    harness.now += 20 * MS;
    harness.answer(id, 0, to, Outcome::Served, queue(to));
    to
}

#[test]
fn a_report_above_capacity_clears_chips_until_the_reset_interval() {
    let mut harness = with_capacity(1);
    let busy = |s: ServerId| if s == ServerId(0) { 50.0 } else { 0.0 };
    while round_by(&mut harness, busy) != ServerId(0) {}
    // ResetInterval is the longest deadline, here 1.5 s, at up to 20 requests a second, and
    // proportionally less at these 50.
    let cleared_at = harness.now;
    let mut sends_to_busy = 0;
    while harness.now < cleared_at + 500 * MS {
        sends_to_busy += u32::from(round_by(&mut harness, busy) == ServerId(0));
    }
    assert_eq!(sends_to_busy, 0, "a server without chips got requests while another had chips");
    harness.now = cleared_at + 700 * MS;
    // With open requests at the other server, this sidecar's own count favours server 0.
    let used = (0..8).any(|_| sent(&harness.request(0).1) == Some(ServerId(0)));
    assert!(used, "the server gets requests after ResetInterval");
}

#[test]
fn no_report_clears_chips_before_the_capacity_is_known() {
    let mut harness = Harness::new(settings(|_| {}), 1, &[server(0), server(2)]);
    let busy = |s: ServerId| if s == ServerId(0) { 50.0 } else { 0.0 };
    let sends_to_busy = (0..100).filter(|_| round_by(&mut harness, busy) == ServerId(0)).count();
    assert!(sends_to_busy > 0, "the server still has chips");
}

/// Algorithm 1: a report above 0.8 x capacity mints nothing, a report of an empty queue always
/// mints. A server without chips gets requests only as the last choice, which never leaves a
/// request unsent.
#[test]
fn a_server_without_chips_gets_a_request_only_when_no_other_qualifies() {
    for seed in 0..10 {
        let mut harness = with_capacity(seed);
        // Above 0.8 x 4 but not above 4: chips are neither minted nor cleared. Server 2 goes on
        // minting.
        let by = |s: ServerId| if s == ServerId(0) { 3.6 } else { 0.0 };
        let end = harness.now + 1400 * MS;
        let mut late_sends = 0;
        let mut rounds = 0;
        while harness.now < end {
            rounds += 1;
            // The maximum of 16 chips per server is spent after 16 sends at most.
            late_sends += u32::from(round_by(&mut harness, by) == ServerId(0));
        }
        assert!(late_sends <= 16, "{late_sends} of {rounds} sends for 16 chips at most");
    }
}

//! Draws the fleet of a timeline: its size, its load, and the features that its sidecars share.

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::hundredths;
use crate::timeline::{Class, Effect, Group, Timeline};

/// Tolerance for a busy machine, in milliseconds, as in the lab's tests that run in parallel with others. If a daemon
/// waits longer than this for a processor, the run does not count.
const SOCKET_SLACK_MS: f64 = 300.0;
/// 99th percentile of arrival lateness above which the run does not count, in milliseconds.
const LATE_P99_MS: f64 = 400.0;
/// Range of the mean utilization of a server, without bursts.
const UTILIZATION_RANGE: (f64, f64) = (0.2, 0.75);
/// Range of the mean rate of a sidecar, in requests a second.
const REQUESTS_PER_SECOND_RANGE: (f64, f64) = (4.0, 25.0);
/// Deadlines of write clients, in milliseconds; SIGKILL follows SIGTERM after the longest deadline plus 0.7 s.
const WRITE_DEADLINES_MS: [f64; 3] = [600.0, 1_500.0, 3_000.0];
/// Shares of timelines with a view of the fleet, with stored writes, and with a polled discovery.
const VIEW_SHARE: f64 = 0.6;
const EDGE_SHARE: f64 = 0.3;
const POLLED_DISCOVERY_SHARE: f64 = 0.25;
/// Shares of timelines with a delayed discovery, and with packet loss between sidecars.
const LATE_DISCOVERY_SHARE: f64 = 0.4;
const LOSSY_SHARE: f64 = 0.4;

/// Draws a timeline without events.
pub(super) fn draw(random: &mut ChaCha8Rng) -> Timeline {
    let mut timeline = Timeline::default();
    timeline.run.late_p99_ms = LATE_P99_MS;
    timeline.run.processor_wait_ms = SOCKET_SLACK_MS;
    timeline.rules.socket_slack_ms = SOCKET_SLACK_MS;
    timeline.sidecars.count = random.random_range(4..=12);
    timeline.sidecars.zones = random.random_range(1..=3);
    draw_servers(&mut timeline, random);
    draw_discovery(&mut timeline, random);
    timeline.classes = classes(random);
    draw_sharing(&mut timeline, random);
    draw_load(&mut timeline, random);
    timeline
}

fn draw_servers(timeline: &mut Timeline, random: &mut ChaCha8Rng) {
    let servers = &mut timeline.servers;
    // At least two servers in each zone, because a keyed request stays in its zone.
    servers.count = random.random_range(3..=6).max(2 * timeline.sidecars.zones);
    servers.slots = random.random_range(2..=4);
    servers.queue = random.random_range(4..=16);
    servers.cold_s = f64::from(random.random_range(3..=10_u32));
}

fn draw_discovery(timeline: &mut Timeline, random: &mut ChaCha8Rng) {
    if random.random_bool(LATE_DISCOVERY_SHARE) {
        timeline.discovery.late_s = hundredths(random.random_range(0.05..=1.0));
    }
    if random.random_bool(POLLED_DISCOVERY_SHARE) {
        timeline.discovery.on_request = true;
        timeline.discovery.work_s = 0.02;
    }
}

/// Draws a view of the fleet with shared evidence and leases, and stored writes.
fn draw_sharing(timeline: &mut Timeline, random: &mut ChaCha8Rng) {
    let stores_writes = random.random_bool(EDGE_SHARE);
    if !stores_writes && !random.random_bool(VIEW_SHARE) {
        return;
    }
    timeline.network.may_tell = true;
    timeline.network.delay_ms = 1.0;
    timeline.network.jitter_ms = 3.0;
    if random.random_bool(LOSSY_SHARE) {
        timeline.network.loss = hundredths(random.random_range(0.01..=0.2));
    }
    let sidecars = &mut timeline.sidecars;
    sidecars.view_period_s = 1.0;
    sidecars.share_evidence = random.random_bool(0.7);
    sidecars.product = "[lease]\nlongest_s = 3\n".to_owned();
    if sidecars.share_evidence {
        sidecars.product += "dead_servers = true\n";
    }
    if stores_writes {
        sidecars.edge_host = random.random_range(2..=4);
        timeline.classes.push(stored_write_class(random));
    }
}

fn classes(random: &mut ChaCha8Rng) -> Vec<Class> {
    let group = if random.random_bool(0.5) { Group::All } else { Group::Zone };
    let work_ms = f64::from(random.random_range(10..=40_u32));
    let deadline_ms = WRITE_DEADLINES_MS[random.random_range(0..WRITE_DEADLINES_MS.len())];
    let write = Class { work_ms, aim_ms: 400.0, deadline_ms, worth: 3.0, ..Class::default() };
    let look = Class { share: 5.0, work_ms, ..Class::default() };
    let keep =
        Class { name: "keep".into(), effect: Effect::Keyed, group, share: 2.0, ..write.clone() };
    let order = Class { name: "order".into(), effect: Effect::Unsafe, share: 2.0, ..write };
    vec![look, keep, order]
}

fn stored_write_class(random: &mut ChaCha8Rng) -> Class {
    Class {
        name: "log-upload".into(),
        effect: Effect::Unsafe,
        receipts: true,
        chain: random.random_range(0..=3),
        aim_ms: 400.0,
        deadline_ms: 1_500.0,
        worth: 3.0,
        ..Class::default()
    }
}

fn draw_load(timeline: &mut Timeline, random: &mut ChaCha8Rng) {
    let (least, most) = UTILIZATION_RANGE;
    let utilization = random.random_range(least..=most);
    let slots = timeline.servers.count * timeline.servers.slots;
    let capacity_per_s = slots as f64 * 1e6 / timeline.mean_work();
    let per_sidecar = utilization * capacity_per_s / timeline.sidecars.count as f64;
    timeline.load.per_sidecar =
        per_sidecar.clamp(REQUESTS_PER_SECOND_RANGE.0, REQUESTS_PER_SECOND_RANGE.1).round();
    timeline.load.retries = random.random_range(0..=2);
}

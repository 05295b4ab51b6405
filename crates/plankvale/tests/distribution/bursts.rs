//! Many configuration changes at once, under load.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use millethook_testkit::*;

use crate::tier::{Tier, document_with_classes};

/// The number of changes within one second.
const CHANGES: usize = 100;

#[test]
fn a_hundred_changes_in_a_second_lose_no_request_and_the_last_one_is_in_force() {
    let tier = Tier::start(6);
    let writer = tier.writer();
    let (stop, served) = (AtomicBool::new(false), AtomicU64::new(0));
    thread::scope(|scope| {
        for member in tier.running_members() {
            let (tier, stop, served) = (&tier, &stop, &served);
            scope.spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let answer = tier.member(member).request(safe());
                    assert_eq!(answer.status(), 200, "member {member}");
                    served.fetch_add(1, Ordering::SeqCst);
                    thread::sleep(Duration::from_millis(5));
                }
            });
        }
        let start = Instant::now();
        for n in 0..CHANGES {
            tier.submit(writer, "burst", &document_with_classes(&[&format!("page-{n}")]));
            let due = Duration::from_millis(10) * (n as u32 + 1);
            thread::sleep(due.saturating_sub(start.elapsed()));
        }
        let last = format!("page-{}", CHANGES - 1);
        tier.wait_until_accepted_by(&last, &tier.running_members());
        stop.store(true, Ordering::SeqCst);
    });
    assert!(served.load(Ordering::SeqCst) > 100, "there was load");
    assert_eq!(tier.running_members().len(), 6, "all run");
    // Superseded changes are merged rather than queued.
    wait_until("all changes are finished", || {
        let output = tier.command(&["status", &tier.spool_path(writer)]);
        let open = ["waits for the writer", "proposed", ": committed"];
        output.text.lines().count() >= CHANGES
            && !open.iter().any(|word| output.text.contains(word))
    });
}

//! Settings updates while requests are open.

use crate::common::*;
use coppercart::api::*;
use coppercart::settings::Settings;
use proptest::prelude::*;
use serde_json::json;

fn servers() -> Vec<ServerEntry> {
    (0..4).map(server).collect()
}

impl Harness {
    /// Applies settings as an engine does in which only open requests keep classes in use.
    fn update_settings(&mut self, new: Settings) {
        let balancer = &mut self.balancer;
        let merged = balancer.settings().merged_with(new, |index| balancer.uses_class(index));
        balancer.update_settings(merged);
    }

    /// Returns the index of the active class of this name.
    fn index_of(&self, name: &str) -> usize {
        let classes = &self.balancer.settings().classes;
        classes.iter().position(|c| c.name == name && !c.retired).expect("an active class")
    }
}

#[test]
fn unchanged_classes_keep_their_index_and_changed_ones_get_a_new_one() {
    let old = settings(|_| {});
    let new = settings(|s| {
        let classes = s["classes"].as_array_mut().unwrap();
        classes[1]["repeat"] = json!("at_most_once");
        classes.remove(0);
        classes.reverse();
    });
    let merged = old.merged_with(new, |_| true);
    let names: Vec<_> = merged.classes.iter().map(|c| (c.name.as_str(), c.retired)).collect();
    assert_eq!(names, [("look", true), ("keep", true), ("order", false), ("keep", false)]);
}

#[test]
fn an_open_request_keeps_its_retry_safety() {
    let mut harness = Harness::new(settings(|_| {}), 1, &servers());
    let (order, out) = harness.request(2);
    let to = sent(&out).expect("sent");
    harness.update_settings(settings(|s| s["classes"][2]["repeat"] = json!("idempotent")));
    // The request may have run: under its old rule it is neither retried nor refused.
    let out = harness.answer(order, 0, to, Outcome::Reset, 0.0);
    assert!(sent(&out).is_none() && failed(&out));
    // A request that arrives now may be retried.
    let class = harness.index_of("order");
    let (order, out) = harness.request(class);
    let to = sent(&out).expect("sent");
    let out = harness.answer(order, 0, to, Outcome::Reset, 0.0);
    assert!(sent(&out).is_some());
}

#[test]
fn an_open_request_keeps_its_attempt_limit() {
    let mut harness = Harness::new(settings(|_| {}), 1, &servers());
    let (before, out) = harness.request(0);
    let first = sent(&out).expect("sent");
    harness.update_settings(settings(|s| s["limits"]["maxAttempts"] = json!(1)));
    let (after, out) = harness.request(0);
    let only = sent(&out).expect("sent");
    assert!(sent(&harness.answer(before, 0, first, Outcome::Full, 0.0)).is_some());
    let out = harness.answer(after, 0, only, Outcome::Full, 0.0);
    assert!(sent(&out).is_none() && refused(&out));
}

#[test]
fn a_removed_class_has_no_value() {
    let mut harness = Harness::new(settings(|_| {}), 1, &servers());
    harness.update_settings(settings(|s| {
        s["classes"].as_array_mut().unwrap().truncate(1);
    }));
    let values: Vec<_> = harness.balancer.settings().classes.iter().map(|c| c.credit).collect();
    assert_eq!(values, [1.0, 0.0, 0.0]);
    assert!(harness.round(0, 0.0).is_some());
}

#[test]
fn indexes_are_reused_once_no_request_is_open() {
    let mut harness = Harness::new(settings(|_| {}), 1, &servers());
    for aim in 1..200u64 {
        harness.update_settings(settings(|s| s["classes"][0]["aim"] = json!(100_000 + aim)));
        let class = harness.index_of("look");
        assert!(harness.round(class, 0.0).is_some());
    }
    assert_eq!(harness.balancer.settings().classes.len(), 3);
}

proptest! {
    /// Whatever changes while requests are open: each request ends once, and an unsafe one that may
    /// have run is neither retried nor refused.
    #[test]
    fn rules_hold_across_settings_updates(
        seed in any::<u64>(),
        steps in proptest::collection::vec((0usize..3, 0usize..6, 0usize..4), 1..60),
    ) {
        let mut harness = Harness::new(settings(|_| {}), seed, &servers());
        // The open attempts: request, attempt number, server, and whether the request is unsafe.
        let mut open: Vec<(RequestId, usize, ServerId, bool)> = Vec::new();
        let mut ended = std::collections::HashSet::new();
        let is_unsafe_class = |harness: &Harness, class: usize| {
            harness.balancer.settings().classes[class].repeat == coppercart::settings::RetrySafety::Unsafe
        };
        let names = ["look", "keep", "order"];
        for (class, outcome, change) in steps {
            if change == 0 {
                let retry_safeties = ["idempotent", "deduplicated", "at_most_once"];
                harness.update_settings(settings(|s| {
                    s["classes"][class]["repeat"] = json!(retry_safeties[outcome % 3]);
                    s["limits"]["maxAttempts"] = json!(1 + outcome);
                }));
            }
            harness.now += 5 * MS;
            let index = harness.index_of(names[class]);
            let is_unsafe = is_unsafe_class(&harness, index);
            let (id, out) = harness.request(index);
            match sent(&out) {
                Some(to) => open.push((id, 0, to, is_unsafe)),
                None => prop_assert!(refused(&out) && ended.insert(id)),
            }
            if change == 1 || open.len() > 8 {
                let (id, n, to, is_unsafe) = open.remove(outcome % open.len());
                let outcome = [
                    Outcome::Served, Outcome::Error, Outcome::Full,
                    Outcome::Reset, Outcome::ConnectFailed, Outcome::Served,
                ][outcome];
                let out = harness.answer(id, n, to, outcome, 0.0);
                let again = sent(&out);
                if is_unsafe && !outcome.never_ran() {
                    prop_assert!(again.is_none() && !refused(&out));
                }
                match again {
                    Some(to) => open.push((id, n + 1, to, is_unsafe)),
                    None => {
                        let answered = outcome == Outcome::Served;
                        prop_assert!(answered != (refused(&out) || failed(&out)));
                        prop_assert!(ended.insert(id), "a second final answer");
                    }
                }
            }
        }
    }
}

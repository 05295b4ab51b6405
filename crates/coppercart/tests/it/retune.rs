//! New settings while requests are open.

use crate::common::*;
use coppercart::api::*;
use coppercart::settings::Settings;
use proptest::prelude::*;
use serde_json::json;

fn servers() -> Vec<ServerEntry> {
    (0..4).map(server).collect()
}

impl Bench {
    /// Takes these settings, as an engine would at which nothing but open requests holds places.
    fn retune(&mut self, new: Settings) {
        let balancer = &mut self.balancer;
        let merged = balancer.settings().merged_with(new, |place| balancer.uses_class(place));
        balancer.update_settings(merged);
    }

    /// The place of the class of this name that is in force.
    fn place(&self, name: &str) -> usize {
        let classes = &self.balancer.settings().classes;
        classes.iter().position(|c| c.name == name && !c.retired).expect("a class in force")
    }
}

#[test]
fn a_class_that_stays_keeps_its_place_and_one_that_changes_gets_a_new_one() {
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
fn an_open_request_keeps_the_effect_that_it_came_under() {
    let mut b = Bench::new(settings(|_| {}), 1, &servers());
    let (order, out) = b.request(2);
    let to = sent(&out).expect("sent");
    b.retune(settings(|s| s["classes"][2]["repeat"] = json!("idempotent")));
    // It may have run: under the old rule it is not sent again, and not refused.
    let out = b.answer(order, 0, to, Outcome::Reset, 0.0);
    assert!(sent(&out).is_none() && failed(&out));
    // One that comes now is safe to repeat.
    let class = b.place("order");
    let (order, out) = b.request(class);
    let to = sent(&out).expect("sent");
    let out = b.answer(order, 0, to, Outcome::Reset, 0.0);
    assert!(sent(&out).is_some());
}

#[test]
fn an_open_request_keeps_its_attempts() {
    let mut b = Bench::new(settings(|_| {}), 1, &servers());
    let (before, out) = b.request(0);
    let first = sent(&out).expect("sent");
    b.retune(settings(|s| s["limits"]["maxAttempts"] = json!(1)));
    let (after, out) = b.request(0);
    let only = sent(&out).expect("sent");
    assert!(sent(&b.answer(before, 0, first, Outcome::Full, 0.0)).is_some());
    let out = b.answer(after, 0, only, Outcome::Full, 0.0);
    assert!(sent(&out).is_none() && refused(&out));
}

#[test]
fn a_class_that_is_gone_is_not_measured_against() {
    let mut b = Bench::new(settings(|_| {}), 1, &servers());
    b.retune(settings(|s| {
        s["classes"].as_array_mut().unwrap().truncate(1);
    }));
    let worth: Vec<_> = b.balancer.settings().classes.iter().map(|c| c.credit).collect();
    assert_eq!(worth, [1.0, 0.0, 0.0]);
    assert!(b.round(0, 0.0).is_some());
}

#[test]
fn places_are_used_again_once_nothing_is_open_there() {
    let mut b = Bench::new(settings(|_| {}), 1, &servers());
    for aim in 1..200u64 {
        b.retune(settings(|s| s["classes"][0]["aim"] = json!(100_000 + aim)));
        let class = b.place("look");
        assert!(b.round(class, 0.0).is_some());
    }
    assert_eq!(b.balancer.settings().classes.len(), 3);
}

proptest! {
    /// Whatever changes while requests are open, each of them ends once, and an unsafe one that may have
    /// run gets neither another attempt nor a refusal.
    #[test]
    fn rules_hold_over_new_settings(
        seed in any::<u64>(),
        steps in proptest::collection::vec((0usize..3, 0usize..6, 0usize..4), 1..60),
    ) {
        let mut b = Bench::new(settings(|_| {}), seed, &servers());
        // Each open attempt: its request, number, server, and whether the request is unsafe.
        let mut open: Vec<(RequestId, usize, ServerId, bool)> = Vec::new();
        let mut ended = std::collections::HashSet::new();
        let unsafe_here = |b: &Bench, class: usize| {
            b.balancer.settings().classes[class].repeat == coppercart::settings::RetrySafety::Unsafe
        };
        let names = ["look", "keep", "order"];
        for (class, outcome, change) in steps {
            if change == 0 {
                let effects = ["idempotent", "deduplicated", "at_most_once"];
                b.retune(settings(|s| {
                    s["classes"][class]["repeat"] = json!(effects[outcome % 3]);
                    s["limits"]["maxAttempts"] = json!(1 + outcome);
                }));
            }
            b.now += 5 * MS;
            let place = b.place(names[class]);
            let is_unsafe = unsafe_here(&b, place);
            let (id, out) = b.request(place);
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
                let out = b.answer(id, n, to, outcome, 0.0);
                let again = sent(&out);
                if is_unsafe && !outcome.never_ran() {
                    prop_assert!(again.is_none() && !refused(&out));
                }
                match again {
                    Some(to) => open.push((id, n + 1, to, is_unsafe)),
                    None => {
                        let answered = outcome == Outcome::Served;
                        prop_assert!(answered != (refused(&out) || failed(&out)));
                        prop_assert!(ended.insert(id), "a second end");
                    }
                }
            }
        }
    }
}

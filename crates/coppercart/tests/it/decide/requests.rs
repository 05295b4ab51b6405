//! The lifecycle of a request, from its arrival to its one final answer.

use coppercart::api::*;

use crate::common::*;

#[test]
fn the_same_events_give_the_same_actions() {
    let servers: Vec<_> = (0..5).map(server).collect();
    let run = |seed| {
        let mut harness = Harness::new(settings(|_| {}), seed, &servers);
        (0..200).map(|i| harness.round(i % 3, (i % 7) as f32)).collect::<Vec<_>>()
    };
    assert_eq!(run(7), run(7));
    assert_ne!(run(7), run(8));
}

#[test]
fn a_request_refused_as_full_goes_elsewhere_at_once() {
    let mut harness = Harness::new(settings(|_| {}), 1, &[server(0), server(2)]);
    for class in 0..3 {
        let (id, out) = harness.request(class);
        let first = sent(&out).expect("sent");
        let again = harness.answer(id, 0, first, Outcome::Full, 0.0);
        let second = sent(&again).expect("sent again, it never ran");
        assert_ne!(first, second);
        harness.answer(id, 1, second, Outcome::Served, 0.0);
        harness.now += 3 * S;
    }
}

#[test]
fn an_unsafe_request_that_may_have_run_is_failed() {
    for outcome in [Outcome::Error, Outcome::Reset, Outcome::TimedOut] {
        let mut harness = Harness::new(settings(|_| {}), 1, &[server(0), server(2)]);
        let (id, out) = harness.request(2);
        let to = sent(&out).expect("sent");
        let out = harness.answer(id, 0, to, outcome, 0.0);
        assert!(sent(&out).is_none() && !refused(&out) && failed(&out));
    }
}

#[test]
fn a_keyed_request_is_retried_only_in_its_dedup_scope() {
    for seed in 0..20 {
        let servers: Vec<_> = (0..8).map(server).collect();
        let mut harness = Harness::new(settings(|_| {}), seed, &servers);
        let (id, out) = harness.request(1);
        let first = sent(&out).expect("sent");
        let out = harness.answer(id, 0, first, Outcome::Reset, 0.0);
        match sent(&out) {
            Some(second) => assert_eq!(first.0 % 2, second.0 % 2, "a server of another zone"),
            None => assert!(failed(&out), "its deduplication scope is not all servers: no refusal"),
        }
    }
}

#[test]
fn a_keyed_request_is_not_retried_after_its_window() {
    let servers: Vec<_> = (0..8).map(server).collect();
    let mut harness = Harness::new(settings(|_| {}), 3, &servers);
    let (id, out) = harness.request(1);
    let first = sent(&out).expect("sent");
    harness.now += 701 * MS;
    let out = harness.answer(id, 0, first, Outcome::Reset, 0.0);
    assert!(sent(&out).is_none() && failed(&out));
}

#[test]
fn requests_are_refused_without_servers() {
    let mut harness = Harness::new(settings(|_| {}), 1, &[]);
    for class in 0..3 {
        let (_, out) = harness.request(class);
        assert!(refused(&out));
    }
}

/// A late request stays open, as a late answer may still have some value. Once no attempt is left,
/// the final answer is given at once: refused if a retry is harmless, else failed.
#[test]
fn a_late_request_stays_open_until_its_last_attempt_ends() {
    for (class, aim) in [(0, 200 * MS), (1, 300 * MS), (2, 300 * MS)] {
        let settings = settings(|s| {
            s["limits"]["retryAfter"] = true.into();
            s["limits"]["maxRetryAfter"] = (2 * S).into();
        });
        let mut harness = Harness::new(settings, 1, &[server(0)]);
        let (id, out) = harness.request(class);
        // Each check schedules the next one; those up to the aim cause no other action.
        let (mut checks, started, mut out) = (0, harness.now, out);
        while let Some((delay, token)) =
            timer(&out).filter(|(d, _)| harness.now + d <= started + aim)
        {
            harness.now += delay;
            out = harness.event(Event::Timer { token });
            assert!(out.iter().all(|a| matches!(a, Action::Timer { .. })), "{out:?}");
            checks += 1;
        }
        assert!(checks >= 2 && harness.now == started + aim, "{checks} checks up to the aim");
        harness.now += 100 * MS;
        let out = harness.answer(id, 0, ServerId(0), Outcome::Reset, 0.0);
        assert_eq!((refused(&out), failed(&out)), (class == 0, class != 0), "{out:?}");
        let wait = out.iter().find_map(|a| match a {
            Action::Refuse { retry_after, .. } => Some(*retry_after),
            _ => None,
        });
        assert!(wait.is_none_or(|t| (100 * MS..=2 * S).contains(&t)), "{wait:?}");
    }
}

/// Returns the one timer among the actions.
fn timer(out: &[Action]) -> Option<(Micros, u32)> {
    out.iter().find_map(|action| match action {
        Action::Timer { delay, token } => Some((*delay, *token)),
        _ => None,
    })
}

/// While a streaming answer arrives, the server is not silent and its answers are not late.
#[test]
fn a_streaming_answer_does_not_count_as_waiting() {
    let mut harness = Harness::new(settings(|_| {}), 7, &[server(0)]);
    for n in 0..20 {
        let (id, out) = harness.request(0);
        assert_eq!(sent(&out), Some(ServerId(0)), "request {n}");
        harness.now += 20 * MS;
        harness.event(Event::FirstByte { id, attempt: 0 });
        harness.now += 600 * MS;
        let mut next_timer = timer(&out);
        while let Some((_, token)) = next_timer {
            let out = harness.event(Event::Timer { token });
            assert!(out.iter().all(|a| matches!(a, Action::Timer { .. })), "{out:?}");
            next_timer = timer(&out);
        }
    }
}

/// Guards against a request without a final answer: an attempt was cancelled at its aim at the
/// moment its stream started. A stream has no deadline, so nothing else ended the request.
#[test]
fn a_cancelled_stream_still_ends() {
    let mut harness =
        Harness::new(settings(|s| s["classes"][2]["streaming"] = true.into()), 1, &[server(0)]);
    let (id, out) = harness.request(2);
    let to = sent(&out).expect("sent");
    harness.event(Event::FirstByte { id, attempt: 0 });
    harness.now += 4 * MS;
    let out = harness.answer(id, 0, to, Outcome::Cancelled, 0.0);
    assert_eq!(out, vec![Action::Fail { id }]);
}

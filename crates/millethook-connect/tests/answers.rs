//! Fingerprints of answers, and what is learned from them.

use http::StatusCode;
use millethook_connect::answers::{
    COMPARED_BODY_BYTES, CarriedAnswers, Fingerprint, FingerprintKey, SeenAnswers, Variety,
};

fn answer(key: &FingerprintKey, body: &str) -> Fingerprint {
    key.fingerprint(StatusCode::OK, body.as_bytes())
}

const CLASS: u8 = 0;
const OTHER: u8 = 1;

/// Records `count` distinct answers of one server for [`CLASS`], numbered from `first`; returns the next number.
fn observe_distinct(
    answers: &mut SeenAnswers<u8, u8>,
    key: &FingerprintKey,
    first: usize,
    count: usize,
) -> usize {
    (first..first + count)
        .for_each(|i| answers.observe(CLASS, answer(key, &format!("answer {i}")), 0));
    first + count
}

#[test]
fn fingerprints_cover_the_status_and_the_first_bytes_of_the_body() {
    let key = FingerprintKey::default();
    let large_body = |tail: &str| "-".repeat(COMPARED_BODY_BYTES) + tail;
    assert_eq!(answer(&key, "a"), answer(&key, "a"));
    assert_ne!(answer(&key, "a"), answer(&key, "b"));
    assert_ne!(answer(&key, "a"), key.fingerprint(StatusCode::CREATED, b"a"));
    // A long answer is forwarded once those bytes have come, so what follows may not tell it from its copy.
    assert_eq!(answer(&key, &large_body("a")), answer(&key, &large_body("b")));
    assert_ne!(
        answer(&key, "a"),
        answer(&FingerprintKey::default(), "a"),
        "each key gives other fingerprints"
    );
}

/// Guards against accepting a copy of an answer that was forgotten.
#[test]
fn a_connection_remembers_all_answers_that_it_has_carried() {
    let (key, mut carried) = (FingerprintKey::default(), CarriedAnswers::default());
    assert!(carried.is_empty());
    let mut n = 0;
    while !carried.is_full() {
        carried.add(answer(&key, &n.to_string()));
        carried.add(answer(&key, "the same"));
        n += 1;
    }
    assert!(n > 100, "a connection carries more than 100 answers: {n}");
    assert!((0..n).all(|n| carried.contains(answer(&key, &n.to_string()))));
    assert!(!carried.contains(answer(&key, "another")));
}

#[test]
fn answers_count_as_distinct_after_a_few_and_behind_equal_ones_after_many() {
    let (key, mut answers) = (FingerprintKey::default(), SeenAnswers::default());
    let next = observe_distinct(&mut answers, &key, 0, 3);
    assert_eq!(answers.variety(CLASS, true), Variety::Unknown);
    let next = observe_distinct(&mut answers, &key, next, 1);
    assert_eq!(answers.variety(CLASS, false), Variety::Distinct);
    answers.observe(CLASS, answer(&key, "answer 0"), 1);
    assert_eq!(answers.variety(CLASS, true), Variety::Alike);
    let next = observe_distinct(&mut answers, &key, next, 255);
    assert_eq!(answers.variety(CLASS, true), Variety::Alike);
    observe_distinct(&mut answers, &key, next, 1);
    assert_eq!(answers.variety(CLASS, false), Variety::Distinct);
}

/// Guards against unsafe requests that fail because the answers of their class are equal, while those of others differ.
#[test]
fn unsafe_requests_depend_only_on_the_answers_of_their_own_class() {
    let (key, mut answers) = (FingerprintKey::default(), SeenAnswers::default());
    observe_distinct(&mut answers, &key, 0, 4);
    assert_eq!(answers.variety(OTHER, false), Variety::Unknown);
    assert_eq!(answers.variety(OTHER, true), Variety::Distinct);
    (0..2).for_each(|_| answers.observe(OTHER, answer(&key, "done"), 0));
    assert_eq!(answers.variety(OTHER, true), Variety::Alike);
    assert_eq!(answers.variety(CLASS, false), Variety::Distinct);
}

/// Guards against requests that fail or are retried because each server's answers are equal but differ from all other
/// servers' answers.
#[test]
fn answers_that_differ_only_between_servers_are_not_distinct() {
    let (key, mut answers) = (FingerprintKey::default(), SeenAnswers::default());
    for server in 0..100 {
        answers.observe(CLASS, answer(&key, &format!("of {server}")), server);
    }
    assert_eq!(answers.variety(CLASS, true), Variety::Unknown);
    answers.observe(CLASS, answer(&key, "of 7"), 7);
    assert_eq!(answers.variety(CLASS, true), Variety::Alike);
}

#[test]
fn a_copy_does_not_count_as_an_equal_answer() {
    let (key, mut answers) = (FingerprintKey::default(), SeenAnswers::default());
    observe_distinct(&mut answers, &key, 0, 4);
    answers.record_equal(CLASS);
    assert_eq!(answers.variety(CLASS, true), Variety::Alike);
    answers.record_copy(CLASS);
    assert_eq!(answers.variety(CLASS, false), Variety::Distinct);
}

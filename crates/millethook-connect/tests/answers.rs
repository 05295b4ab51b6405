//! What answers are compared by.

use http::StatusCode;
use millethook_connect::answers::{
    COMPARED_BODY_BYTES, CarriedAnswers, Fingerprint, FingerprintKey, SeenAnswers, Variety,
};

fn answer(key: &FingerprintKey, body: &str) -> Fingerprint {
    key.fingerprint(StatusCode::OK, body.as_bytes())
}

const CLASS: u8 = 0;
const OTHER: u8 = 1;

/// Lets a class get so many answers of one server that differ; the next number.
fn differing(
    answers: &mut SeenAnswers<u8, u8>,
    key: &FingerprintKey,
    from: usize,
    n: usize,
) -> usize {
    (from..from + n).for_each(|i| answers.observe(CLASS, answer(key, &format!("answer {i}")), 0));
    from + n
}

#[test]
fn answers_differ_by_status_and_by_the_first_bytes_of_their_bodies() {
    let key = FingerprintKey::default();
    let long = |last: &str| "-".repeat(COMPARED_BODY_BYTES) + last;
    assert_eq!(answer(&key, "a"), answer(&key, "a"));
    assert_ne!(answer(&key, "a"), answer(&key, "b"));
    assert_ne!(answer(&key, "a"), key.fingerprint(StatusCode::CREATED, b"a"));
    // A long answer is passed on behind those bytes, so that its copy may not be told by what follows.
    assert_eq!(answer(&key, &long("a")), answer(&key, &long("b")));
    assert_ne!(
        answer(&key, "a"),
        answer(&FingerprintKey::default(), "a"),
        "each key is another one"
    );
}

/// Guards against a copy of an answer that was forgotten.
#[test]
fn a_connection_remembers_all_that_it_has_carried() {
    let (key, mut carried) = (FingerprintKey::default(), CarriedAnswers::default());
    assert!(carried.is_empty());
    let mut n = 0;
    while !carried.is_full() {
        carried.add(answer(&key, &n.to_string()));
        carried.add(answer(&key, "the same"));
        n += 1;
    }
    assert!(n > 100, "a connection carries so many: {n}");
    assert!((0..n).all(|n| carried.contains(answer(&key, &n.to_string()))));
    assert!(!carried.contains(answer(&key, "another")));
}

#[test]
fn a_class_has_to_show_that_its_answers_differ_and_more_so_behind_two_equal_ones() {
    let (key, mut answers) = (FingerprintKey::default(), SeenAnswers::default());
    let next = differing(&mut answers, &key, 0, 3);
    assert_eq!(answers.variety(CLASS, true), Variety::Unknown);
    let next = differing(&mut answers, &key, next, 1);
    assert_eq!(answers.variety(CLASS, false), Variety::Distinct);
    answers.observe(CLASS, answer(&key, "answer 0"), 1);
    assert_eq!(answers.variety(CLASS, true), Variety::Alike);
    let next = differing(&mut answers, &key, next, 255);
    assert_eq!(answers.variety(CLASS, true), Variety::Alike);
    differing(&mut answers, &key, next, 1);
    assert_eq!(answers.variety(CLASS, false), Variety::Distinct);
}

/// Guards against unsafe requests that fail as the answers of their class are alike, unlike those of others.
#[test]
fn what_must_not_run_twice_goes_by_the_answers_of_its_own_class() {
    let (key, mut answers) = (FingerprintKey::default(), SeenAnswers::default());
    differing(&mut answers, &key, 0, 4);
    assert_eq!(answers.variety(OTHER, false), Variety::Unknown);
    assert_eq!(answers.variety(OTHER, true), Variety::Distinct);
    (0..2).for_each(|_| answers.observe(OTHER, answer(&key, "done"), 0));
    assert_eq!(answers.variety(OTHER, true), Variety::Alike);
    assert_eq!(answers.variety(CLASS, false), Variety::Distinct);
}

/// Guards against requests that fail or are repeated as each server's answers are equal, and differ from all others'.
#[test]
fn answers_of_many_servers_do_not_show_that_those_of_one_differ() {
    let (key, mut answers) = (FingerprintKey::default(), SeenAnswers::default());
    for server in 0..100 {
        answers.observe(CLASS, answer(&key, &format!("of {server}")), server);
    }
    assert_eq!(answers.variety(CLASS, true), Variety::Unknown);
    answers.observe(CLASS, answer(&key, "of 7"), 7);
    assert_eq!(answers.variety(CLASS, true), Variety::Alike);
}

#[test]
fn a_copy_says_nothing_of_the_answers_of_a_class() {
    let (key, mut answers) = (FingerprintKey::default(), SeenAnswers::default());
    differing(&mut answers, &key, 0, 4);
    answers.record_equal(CLASS);
    assert_eq!(answers.variety(CLASS, true), Variety::Alike);
    answers.record_copy(CLASS);
    assert_eq!(answers.variety(CLASS, false), Variety::Distinct);
}

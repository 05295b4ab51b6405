//! Protocol violations that stand-ins detect on any thread, and how they fail the test.
//!
//! A panic in a stand-in's thread does not fail a test by itself. Violations are therefore recorded
//! for the whole process, and each handle of this crate that a test holds (server, agent, daemon,
//! connection) checks the record on drop. Tests of one process share the record, so the first test
//! that ends after a violation fails, and so do all later ones.

use std::sync::{Mutex, MutexGuard, PoisonError};

static RECORD: Mutex<Vec<String>> = Mutex::new(Vec::new());

/// Fields that a request may repeat, as their values are lists (RFC 9110, section 5.3). All others
/// may occur in a request at most once.
const LIST_FIELDS: [&str; 9] = [
    "accept",
    "accept-encoding",
    "accept-language",
    "cache-control",
    "forwarded",
    "prefer",
    "te",
    "via",
    "x-forwarded-for",
];

/// Fields that the balancer or its HTTP library writes into answers: each may occur at most once,
/// whatever the server has sent. Other fields come from the server and are passed on as received.
const SINGLE_ANSWER_FIELDS: [&str; 7] = [
    "connection",
    "content-length",
    "date",
    "millethook-context",
    "preference-applied",
    "retry-after",
    "transfer-encoding",
];

fn record() -> MutexGuard<'static, Vec<String>> {
    RECORD.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Records a violation, which fails every test that ends from now on.
pub fn record_violation(text: String) {
    eprintln!("violation: {text}");
    record().push(text);
}

/// The violations recorded so far.
pub fn violations() -> Vec<String> {
    record().clone()
}

/// The name of a field that a request repeats although it must not. Names are in lower case.
pub fn repeated_field<'h>(names: impl IntoIterator<Item = &'h str>) -> Option<&'h str> {
    first_repeated(names.into_iter().filter(|name| !LIST_FIELDS.contains(name)))
}

/// The name of a field that an answer repeats although it must not. Names are in lower case.
pub fn repeated_answer_field<'h>(names: impl IntoIterator<Item = &'h str>) -> Option<&'h str> {
    first_repeated(names.into_iter().filter(|name| SINGLE_ANSWER_FIELDS.contains(name)))
}

fn first_repeated<'h>(mut names: impl Iterator<Item = &'h str>) -> Option<&'h str> {
    let mut seen = Vec::new();
    names.find(|name| {
        let repeated = seen.contains(name);
        seen.push(name);
        repeated
    })
}

/// Part of each handle that a test holds: its drop fails the test if there is any violation.
#[derive(Clone, Debug, Default)]
pub(crate) struct ViolationGuard(());

impl Drop for ViolationGuard {
    fn drop(&mut self) {
        let found = violations();
        // A second panic during unwinding would abort the process and hide the first one.
        if !std::thread::panicking() {
            assert!(found.is_empty(), "stand-ins saw {} violations: {found:#?}", found.len());
        }
    }
}

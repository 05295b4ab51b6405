//! Violations of the protocol that stand-ins see, on whatever thread, and how they fail the test.
//!
//! A panic in a stand-in's thread fails no test by itself. So a violation goes into a record of the whole process, and
//! each handle of this crate that a test holds (server, agent, daemon, connection) looks at the record as it is
//! dropped. Tests of one process share the record: the first one that ends after a violation fails, and so do those
//! that end later.

use std::sync::{Mutex, MutexGuard, PoisonError};

static RECORD: Mutex<Vec<String>> = Mutex::new(Vec::new());

/// Fields that a request may hold in several lines, as their values are lists (RFC 9110, section 5.3). All others
/// may stand in a request once at most.
const LISTS: [&str; 9] = [
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

/// Fields that the balancer or its HTTP library writes into answers: each may stand there once at most, whatever the
/// server has sent. Others are the server's own, and pass as they came.
const WRITTEN: [&str; 7] = [
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

/// Writes a violation down. It fails every test that ends from now on.
pub fn record_violation(text: String) {
    eprintln!("violation: {text}");
    record().push(text);
}

/// What has been written down so far.
pub fn violations() -> Vec<String> {
    record().clone()
}

/// The name of a field that a request holds in more lines than it may. Names are in lower case.
pub fn repeated_field<'h>(names: impl IntoIterator<Item = &'h str>) -> Option<&'h str> {
    again(names.into_iter().filter(|name| !LISTS.contains(name)))
}

/// The same of an answer.
pub fn repeated_answer_field<'h>(names: impl IntoIterator<Item = &'h str>) -> Option<&'h str> {
    again(names.into_iter().filter(|name| WRITTEN.contains(name)))
}

fn again<'h>(mut names: impl Iterator<Item = &'h str>) -> Option<&'h str> {
    let mut seen = Vec::new();
    names.find(|name| {
        let again = seen.contains(name);
        seen.push(name);
        again
    })
}

/// Part of each handle that a test holds: as it is dropped, the test fails if there is any violation.
#[derive(Clone, Debug, Default)]
pub(crate) struct Checked(());

impl Drop for Checked {
    fn drop(&mut self) {
        let found = violations();
        // A second panic while a first one unwinds would abort the process and hide the first.
        if !std::thread::panicking() {
            assert!(found.is_empty(), "stand-ins saw {} violations: {found:#?}", found.len());
        }
    }
}

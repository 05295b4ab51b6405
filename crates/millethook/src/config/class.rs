//! Classes of requests, configured in code.

use std::time::Duration;

use serde_json::{Value, json};

/// Whether a request that may have run may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// It may be sent any number of times. Its method is `GET`.
    Safe,
    /// It carries an idempotency key by which servers drop repeats for some time. Its method is `POST`.
    Keyed,
    /// If it is sent twice, it may take effect twice. Its method is `POST`.
    Unsafe,
}

/// A class of requests: their time limits, their value and whether they may be repeated.
#[derive(Clone, Debug)]
pub struct ClassConfig(pub(super) Value);

impl ClassConfig {
    fn new(name: &str, repeat: &str, aim: Duration, deadline: Duration) -> ClassConfig {
        let (aim, deadline) = (aim.as_micros() as u64, deadline.as_micros() as u64);
        ClassConfig(json!({"name": name, "aim": aim, "deadline": deadline, "repeat": repeat}))
    }

    /// Requests that may be sent any number of times. Answers within `aim` count in full; no caller
    /// waits longer than `deadline`.
    pub fn safe(name: &str, aim: Duration, deadline: Duration) -> ClassConfig {
        ClassConfig::new(name, "idempotent", aim, deadline)
    }

    /// Requests with an idempotency key by which servers drop repeats for `window`.
    pub fn keyed(name: &str, aim: Duration, deadline: Duration, window: Duration) -> ClassConfig {
        let mut class = ClassConfig::new(name, "deduplicated", aim, deadline);
        class.0["window"] = (window.as_micros() as u64).into();
        class
    }

    /// Requests that must not be sent twice.
    pub fn at_most_once(name: &str, aim: Duration, deadline: Duration) -> ClassConfig {
        ClassConfig::new(name, "at_most_once", aim, deadline)
    }

    /// The value of an answer in time, relative to other classes (default 1). In an overload, the class
    /// with the least value for its work is shed first.
    pub fn worth(mut self, worth: f64) -> ClassConfig {
        self.0["credit"] = worth.into();
        self
    }

    /// Answers may be long: their bodies are streamed to the caller.
    pub fn streaming(mut self) -> ClassConfig {
        self.0["streaming"] = true.into();
        self
    }

    /// Only servers of the same zone drop each other's repeats (by default all servers do).
    pub fn dedup_by_zone(mut self) -> ClassConfig {
        self.0["dedupScope"] = "zone".into();
        self
    }
}

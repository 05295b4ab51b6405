//! Test helpers: server entries, settings, and a balancer with its clock and actions.
#![allow(dead_code)]

pub mod fleet;

use coppercart::api::*;
use coppercart::decide::Balancer;
use coppercart::settings::Settings;
use millethook_testkit::settings_json;
use serde_json::Value;

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;
pub const START: Micros = 1_000 * S;

/// The test kit's settings with a change to their JSON.
pub fn settings(change: impl FnOnce(&mut Value)) -> Settings {
    let mut json = settings_json();
    change(&mut json);
    Settings::from_json(json.to_string().as_bytes()).expect("valid test settings")
}

/// A ready, warm server of cell `n / 2` in zone 0 or 1.
pub fn server(n: u64) -> ServerEntry {
    ServerEntry {
        id: ServerId(n),
        zone: (n % 2) as u8,
        kind: 0,
        cell: (n / 2) as u16,
        health: Health::Ready,
        power: 1.0,
        started: 0,
    }
}

pub fn with_health(n: u64, health: Health) -> ServerEntry {
    ServerEntry { health, ..server(n) }
}

/// A load report with this queue and as many requests held.
pub fn report(queue: f32) -> LoadReport {
    LoadReport([queue, queue].into_iter().collect())
}

/// A balancer under test with its clock.
pub struct Harness {
    pub balancer: Balancer,
    pub now: Micros,
    pub out: Vec<Action>,
    next: u64,
    pub key: u64,
}

impl Harness {
    /// Starts a balancer that knows these servers from a remembered list.
    pub fn new(settings: Settings, seed: u64, servers: &[ServerEntry]) -> Harness {
        let mut harness = Harness {
            balancer: Balancer::new(settings, seed, START),
            now: START,
            out: Vec::new(),
            next: 0,
            key: 0,
        };
        harness.servers(ListKind::Remembered, servers);
        harness
    }

    /// Passes an event to the balancer and returns its actions.
    pub fn event(&mut self, event: Event<'_>) -> Vec<Action> {
        self.balancer.handle(self.now, event, &mut self.out);
        std::mem::take(&mut self.out)
    }

    pub fn servers(&mut self, kind: ListKind, entries: &[ServerEntry]) -> Vec<Action> {
        self.event(Event::Servers { kind, entries })
    }

    pub fn request(&mut self, class: usize) -> (RequestId, Vec<Action>) {
        self.request_with(class, None)
    }

    /// Sends a request of class 0 with this key.
    pub fn request_for(&mut self, key: u64) -> (RequestId, Vec<Action>) {
        self.key = key;
        let sent = self.request(0);
        self.key = 0;
        sent
    }

    pub fn request_with(&mut self, class: usize, hint: Option<Micros>) -> (RequestId, Vec<Action>) {
        self.next += 1;
        let id = RequestId(self.next);
        let out = self.event(Event::Request(NewRequest {
            id,
            class,
            tenant: 0,
            key: self.key,
            time_left: S,
            work_hint: hint,
            client_retry: false,
        }));
        (id, out)
    }

    /// Ends an attempt after 20 ms; the request is finished if it was served.
    pub fn answer(
        &mut self,
        id: RequestId,
        attempt: usize,
        server: ServerId,
        outcome: Outcome,
        queue: f32,
    ) -> Vec<Action> {
        self.event(Event::Answer {
            id,
            attempt,
            server,
            outcome,
            latency: 20 * MS,
            finished: outcome == Outcome::Served,
            report: report(queue),
        })
    }

    /// Sends one request and answers it after 20 ms. Returns the server, or `None` if the request
    /// was not sent.
    pub fn round(&mut self, class: usize, queue: f32) -> Option<ServerId> {
        let (id, out) = self.request(class);
        let to = sent(&out)?;
        self.now += 20 * MS;
        self.answer(id, 0, to, Outcome::Served, queue);
        Some(to)
    }
}

/// Returns the server of the first send among the actions.
pub fn sent(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|a| match a {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    })
}

pub fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { .. }))
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}

//! Eviction of client connections when client permits run short.

use std::cell::Cell;
use std::time::{Duration, Instant};

use millethook_engine::budget::{Permit, Sockets};
use millethook_engine::figures::Counter;
use tokio::time::timeout;

use super::Ingress;
use super::client::{Client, Phase};

/// When permits run out, a connection that takes longer than this for the first bytes of a request is
/// evicted before connections that have had an answer: a client that has a request to send begins at once.
const FIRST_BYTE_LIMIT: Duration = Duration::from_millis(300);
/// When permits run out, a connection that takes longer than this for a whole request is evicted first.
const REQUEST_READ_LIMIT: Duration = Duration::from_millis(1000);
/// When more than half of the permits are in use, a connection that is idle for longer than the first limit
/// after its only answer, or longer than the second limit after several answers, may be closed. A client
/// that was about to send another request then has to reconnect.
const IDLE_LIMIT_AFTER_ONE_ANSWER: Duration = Duration::from_millis(100);
const IDLE_LIMIT_AFTER_SEVERAL_ANSWERS: Duration = Duration::from_secs(2);

/// How long an evicted connection has to be closed by its client, before the next eviction closes it even over
/// unread data. Under a flood of clients that ignore the close, at most 500 permits a second become free.
const EVICTION_WAIT: Duration = Duration::from_millis(2);
/// How long all places have to be taken before new connections are refused.
const ADMISSION_WAIT: Duration = Duration::from_millis(100);

impl Client {
    /// Rank for eviction when permits run out; the lowest is evicted first. None means that the connection
    /// is not evicted.
    fn eviction_rank(&self) -> Option<(u8, Instant)> {
        match self.phase.get() {
            _ if !self.holds_client_permit.get() => None,
            Phase::AwaitingAnswer | Phase::WritingAnswer => None,
            // Without this, connections that only wait for their clients to close them keep new connections
            // out when permits run out.
            Phase::Closing => Some((0, self.phase_since.get())),
            Phase::ReadingHead | Phase::ReadingBody
                if self.phase_since.get().elapsed() > REQUEST_READ_LIMIT =>
            {
                Some((1, self.phase_since.get()))
            }
            // Ranking by idle time alone would let silent new connections displace clients that send
            // requests regularly.
            Phase::Idle
                if !self.was_answered() && self.phase_since.get().elapsed() > FIRST_BYTE_LIMIT =>
            {
                Some((1, self.phase_since.get()))
            }
            Phase::Idle if self.was_answered() => Some((2, self.last_transfer.get())),
            Phase::Idle => Some((3, self.phase_since.get())),
            Phase::ReadingHead | Phase::ReadingBody => Some((4, self.phase_since.get())),
        }
    }

    /// Rank among the idle connections that may be closed while permits are short, or None.
    fn idle_eviction_rank(&self) -> Option<(bool, Instant)> {
        let (had_several_answers, idle_since) =
            (self.answer_count.get() > 1, self.last_transfer.get());
        let is_over_limit = idle_since.elapsed()
            > if had_several_answers {
                IDLE_LIMIT_AFTER_SEVERAL_ANSWERS
            } else {
                IDLE_LIMIT_AFTER_ONE_ANSWER
            };
        (self.phase.get() == Phase::Idle && self.was_answered() && is_over_limit)
            .then_some((had_several_answers, idle_since))
    }
}

/// Permission to accept one more connection.
pub(super) enum Admission {
    /// As a client.
    Client(Permit),
    /// Only to refuse its request: all clients are in the middle of theirs. The permit is one of those for
    /// connections that are closing.
    Surplus(Permit),
}

impl Admission {
    /// Admits a client if there is room for it by now.
    pub fn now(self, sockets: &Sockets) -> Admission {
        match (self, sockets.clients.clone().try_acquire_owned()) {
            (Admission::Surplus(_), Ok(permit)) => Admission::Client(permit),
            (admission, _) => admission,
        }
    }
}

/// A time in which new connections find no place. It is counted over all connections: otherwise each of many would
/// wait in vain for the same requests to end.
#[derive(Default)]
pub(super) struct Shortage {
    /// Its first and its last moment.
    span: Cell<Option<(Instant, Instant)>>,
}

impl Shortage {
    /// Records that a connection finds no place now. Returns how long that has been so; a place now and then does
    /// not end it.
    fn record(&self, now: Instant) -> Duration {
        let current = self.span.get().filter(|(_, last)| now - *last < ADMISSION_WAIT);
        let first = current.map_or(now, |(first, _)| first);
        self.span.set(Some((first, now)));
        now - first
    }
}

impl Ingress {
    /// Waits until one more connection may be accepted. Without surplus connections, new clients would wait without
    /// an answer for as long as slow clients keep all permits.
    pub(super) async fn admit(&self) -> Admission {
        loop {
            if let Ok(permit) = self.sockets.clients.clone().try_acquire_owned() {
                return Admission::Client(permit);
            }
            self.evict_one();
            if self.shortage.record(Instant::now()) >= ADMISSION_WAIT {
                if let Ok(permit) = self.sockets.closing.clone().try_acquire_owned() {
                    return Admission::Surplus(permit);
                }
                self.evict_closing_surplus();
            }
            if let Some(permit) = self.permit_within(EVICTION_WAIT).await {
                return Admission::Client(permit);
            }
        }
    }

    /// Acquires a client permit if one becomes free within `wait`.
    async fn permit_within(&self, wait: Duration) -> Option<Permit> {
        timeout(wait, self.sockets.clients.clone().acquire_owned()).await.ok()?.ok()
    }

    /// Closes the surplus connection that has been closing for longest.
    fn evict_closing_surplus(&self) {
        let clients = self.clients.borrow();
        let first = clients
            .values()
            .filter(|client| client.is_surplus.get() && client.phase.get() == Phase::Closing)
            .min_by_key(|client| client.phase_since.get());
        if let Some(client) = first {
            client.close_request.notify_one();
        }
    }

    /// Acquires a client permit for one more connection. If none is available, a connection without a
    /// request in progress is evicted.
    pub(super) async fn acquire_permit(&self) -> Permit {
        loop {
            if let Ok(permit) = self.sockets.clients.clone().try_acquire_owned() {
                return permit;
            }
            self.evict_one();
            if let Some(permit) = self.permit_within(EVICTION_WAIT).await {
                return permit;
            }
        }
    }

    /// Keeps half of the client permits from idle connections.
    ///
    /// Guards against clients that open a new connection for each request and keep them all open. Such
    /// clients may hold too few connections to fill three quarters of the permits, and cannot send once all
    /// their connections are idle here. A permit is then still free, or evicting a silent new connection
    /// frees one, so no other rule would close an idle connection in time. The cost: where more clients
    /// than half of the permits send requests repeatedly but rarely, they reconnect for each request.
    pub(super) fn evict_surplus_idle(&self) {
        let used = self.sockets.client_permits - self.sockets.clients.available_permits();
        let clients = self.clients.borrow();
        let closing = clients
            .values()
            .filter(|client| {
                client.holds_client_permit.get() && client.phase.get() == Phase::Closing
            })
            .count();
        let surplus = used.saturating_sub(closing + self.sockets.client_permits / 2);
        if surplus == 0 {
            return;
        }
        let mut candidates: Vec<_> = clients
            .values()
            .filter_map(|client| Some((client.idle_eviction_rank()?, client)))
            .collect();
        candidates.sort_unstable_by_key(|candidate| candidate.0);
        for (_, client) in candidates.iter().take(surplus) {
            client.close_request.notify_one();
        }
    }

    pub(super) fn evict_one(&self) {
        let clients = self.clients.borrow();
        let first = clients
            .values()
            .filter_map(|client| Some((client.eviction_rank()?, client)))
            .min_by_key(|candidate| candidate.0);
        if let Some((_, client)) = first {
            if client.phase.get() != Phase::Closing {
                self.driver.figures().count(Counter::EvictedClients);
            }
            client.close_request.notify_one();
        }
    }
}

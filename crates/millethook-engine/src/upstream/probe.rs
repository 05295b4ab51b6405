//! Probes of servers and trials of remembered servers.

use std::rc::Rc;
use std::time::{Duration, Instant};

use coppercart::api::{LoadReport, Outcome, ServerId};
use http::{HeaderName, StatusCode, Uri};
use millethook_membership::TrialOutcome;
use millethook_membership::list::Host;
use tokio::time::timeout;

use super::attempt::{AttemptOutcome, AttemptRequest};
use super::{Endpoint, Gate, Upstream};

/// How a server of an old list proves its identity.
#[derive(Clone, Debug)]
pub struct TrialPage {
    /// A page without side effects that the server answers with 200.
    pub path: Uri,
    /// The header that carries the server's name. `None`: any 200 counts.
    pub identity: Option<HeaderName>,
}

/// Where a listed server is reached, if the list tells.
fn host_endpoint(host: &Host) -> Option<Endpoint> {
    host.dial.map(|address| Endpoint { address, born_ms: host.born_ms })
}

impl Upstream {
    /// Asks a server for its health or its load report.
    pub async fn probe(
        self: &Rc<Upstream>,
        server: ServerId,
        endpoint: Endpoint,
        with_report: bool,
    ) -> (Outcome, LoadReport) {
        let path = Uri::from_static(if with_report { "/stats" } else { "/health/live" });
        let connect_timeout = self.config.connect_timeout;
        let request = Rc::new(AttemptRequest::internal_get(&path, connect_timeout));
        let deadline = Instant::now() + connect_timeout;
        let gate = Gate::internal(deadline);
        let attempt = self.attempt((server, endpoint), None, &request, gate, deadline);
        let attempt = timeout(connect_timeout + Duration::from_secs(1), attempt).await;
        let Ok(AttemptOutcome::End { outcome, answer, .. }) = attempt else {
            return (Outcome::TimedOut, LoadReport::default());
        };
        // Any other status means that the server has no such page: the probe learned nothing.
        let answer = answer.filter(|(head, _)| head.status == StatusCode::OK);
        let outcome =
            if outcome == Outcome::Served && answer.is_none() { Outcome::Error } else { outcome };
        let report_text = answer.map(|(_, body)| String::from_utf8_lossy(&body).into_owned());
        (outcome, report_text.map(|text| self.names.parse_report(&text)).unwrap_or_default())
    }

    /// Sends a trial to a server of an old list: whether something listens there, and whether it is that server.
    ///
    /// The address may belong to another program by now. The trial is a `GET` of a page without side effects, and no
    /// client's request is sent there before it has been answered.
    pub async fn identify(self: &Rc<Upstream>, host: &Host, trial: &TrialPage) -> TrialOutcome {
        let Some(endpoint) = host_endpoint(host) else { return TrialOutcome::Refused };
        let (connect_timeout, started) = (self.config.connect_timeout, Instant::now());
        let request = Rc::new(AttemptRequest::internal_get(&trial.path, connect_timeout));
        let deadline = started + 2 * connect_timeout;
        let gate = Gate::internal(deadline);
        let attempt = self.attempt((host.id(), endpoint), None, &request, gate, deadline);
        let Ok(AttemptOutcome::End { outcome, answer, .. }) =
            timeout(2 * connect_timeout, attempt).await
        else {
            return TrialOutcome::Silent;
        };
        match (outcome, answer) {
            (Outcome::Served, Some((head, _))) if head.status == StatusCode::OK => {
                let claimed = trial.identity.as_ref().map(|name| head.headers.get(name));
                match claimed {
                    Some(Some(name)) if name.as_bytes() == host.host.as_bytes() => {
                        TrialOutcome::Answered
                    }
                    Some(_) => TrialOutcome::Stranger,
                    None => TrialOutcome::Answered,
                }
            }
            // A handshake that times out ends like one that is refused, only later.
            (Outcome::ConnectFailed, _) if started.elapsed() >= connect_timeout => {
                TrialOutcome::Silent
            }
            (Outcome::ConnectFailed, _) => TrialOutcome::Refused,
            (Outcome::NeverSent | Outcome::TimedOut | Outcome::Cancelled, _) => {
                TrialOutcome::Silent
            }
            _ => TrialOutcome::Stranger,
        }
    }
}

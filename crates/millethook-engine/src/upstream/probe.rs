//! Probes: how a server is, asked on a connection of its own.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use coppercart::api::{LoadReport, Outcome, ServerId};
use http::{HeaderName, StatusCode, Uri};
use millethook_membership::TrialOutcome;
use millethook_membership::list::Host;
use tokio::time::timeout;

use super::attempt::{AttemptOutcome, AttemptRequest};
use super::{Admission, Gate, Upstream};

/// How a server of an old list shows that it is there.
#[derive(Clone, Debug)]
pub struct TrialPage {
    /// A page that it answers 200, without any effect.
    pub path: Uri,
    /// The header in which it tells its name; None: any 200 will do.
    pub identity: Option<HeaderName>,
}

impl Upstream {
    /// Asks a server how it is.
    pub async fn probe(
        self: &Rc<Upstream>,
        server: ServerId,
        dial: SocketAddr,
        with_report: bool,
    ) -> (Outcome, LoadReport) {
        let path = Uri::from_static(if with_report { "/stats" } else { "/health/live" });
        let patience = self.config.connect_timeout;
        let request = Rc::new(AttemptRequest::page(&path, patience));
        let until = Instant::now() + patience;
        let gate = Gate { admission: Admission::new(), commit_by: Some(until) };
        let asked = self.attempt((server, dial), None, &request, gate, until);
        let asked = timeout(patience + Duration::from_secs(1), asked).await;
        let Ok(AttemptOutcome::End { outcome, answer, .. }) = asked else {
            return (Outcome::TimedOut, LoadReport::default());
        };
        // Where there is no such page, nothing was learned.
        let answer = answer.filter(|(head, _)| head.status == StatusCode::OK);
        let outcome =
            if outcome == Outcome::Served && answer.is_none() { Outcome::Error } else { outcome };
        let text = answer.map(|(_, body)| String::from_utf8_lossy(&body).into_owned());
        (outcome, text.map(|text| self.names.report(&text)).unwrap_or_default())
    }

    /// Tries a server of an old list: whether somebody listens there, and whether it is that server.
    ///
    /// Danger: its address may be another program's by now. The request is a `GET` of a page without effect, and
    /// nobody's request goes there before this has been answered.
    pub async fn identify(self: &Rc<Upstream>, host: &Host, trial: &TrialPage) -> TrialOutcome {
        let Some(dial) = host.dial else { return TrialOutcome::Refused };
        let (patience, began) = (self.config.connect_timeout, Instant::now());
        let request = Rc::new(AttemptRequest::page(&trial.path, patience));
        let until = began + 2 * patience;
        let gate = Gate { admission: Admission::new(), commit_by: Some(until) };
        let asked = self.attempt((host.id(), dial), None, &request, gate, until);
        let Ok(AttemptOutcome::End { outcome, answer, .. }) = timeout(2 * patience, asked).await
        else {
            return TrialOutcome::Silent;
        };
        match (outcome, answer) {
            (Outcome::Served, Some((head, _))) if head.status == StatusCode::OK => {
                let named = trial.identity.as_ref().map(|name| head.headers.get(name));
                match named {
                    Some(Some(name)) if name.as_bytes() == host.host.as_bytes() => {
                        TrialOutcome::Answered
                    }
                    Some(_) => TrialOutcome::Stranger,
                    None => TrialOutcome::Answered,
                }
            }
            // A handshake that never comes up ends like one that is refused, but later.
            (Outcome::ConnectFailed, _) if began.elapsed() >= patience => TrialOutcome::Silent,
            (Outcome::ConnectFailed, _) => TrialOutcome::Refused,
            (Outcome::NeverSent | Outcome::TimedOut | Outcome::Cancelled, _) => {
                TrialOutcome::Silent
            }
            _ => TrialOutcome::Stranger,
        }
    }
}

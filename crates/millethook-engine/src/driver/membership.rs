//! Applies server lists, and keeps the address and admission of each server.

use std::collections::HashSet;
use std::rc::{Rc, Weak};

use coppercart::api::{Event, Health, ListKind, ServerId, ServerVerdict};

use super::{Driver, ListedServer};
use crate::fleet::Fleet;
use crate::list::{Host, List};
use crate::list_clock::ListClock;
use crate::sinks::{MembershipSink, VerdictSink};
use crate::upstream::{Admission, Endpoint};

impl MembershipSink for Rc<Driver> {
    fn update_servers(&self, kind: ListKind, list: &List) {
        Driver::apply_list(self, kind, list);
    }

    fn discovery_failed(&self) {
        self.event(Event::Servers { kind: ListKind::Failed, entries: &[] });
    }

    fn handle_message(&self, from: u32, data: &[u8]) {
        self.event(Event::Note { from, data });
    }
}

/// Forwards verdicts of the fleet to the driver.
struct VerdictListener(Weak<Driver>);

impl VerdictSink for VerdictListener {
    fn apply_verdict(&self, server: ServerId, verdict: ServerVerdict) {
        if let Some(driver) = self.0.upgrade() {
            driver.event(Event::ServerVerdict { server, verdict });
        }
    }
}

/// Returns the admission for new attempts at a server. If the server may get nothing new, or has moved or restarted,
/// the previous admission is revoked.
fn admission_for(before: Option<&ListedServer>, host: &Host, endpoint: Endpoint) -> Admission {
    let admission = match before {
        Some(before) => {
            if before.endpoint == endpoint && before.admission.holds() {
                before.admission.clone()
            } else {
                before.admission.revoke();
                Admission::new()
            }
        }
        None => Admission::new(),
    };
    if host.state() != Health::Ready {
        admission.revoke();
    }
    admission
}

impl Driver {
    /// Shares observations of servers with the fleet from now on, and takes the fleet's verdicts.
    pub fn share_evidence_with(self: &Rc<Driver>, fleet: &Rc<Fleet>) {
        // This is called once, when the engine starts.
        let _ = self.fleet.set(fleet.clone());
        fleet.set_verdict_sink(Box::new(VerdictListener(Rc::downgrade(self))));
    }

    /// Applies a list of servers, or changes of one.
    pub fn apply_list(self: &Rc<Driver>, kind: ListKind, list: &List) {
        {
            let mut state = self.state.borrow_mut();
            if kind != ListKind::Changes {
                // Servers that are missing in a complete list are gone.
                let listed: HashSet<ServerId> = list.hosts.iter().map(Host::id).collect();
                let mut unlisted = Vec::new();
                state.servers.retain(|id, server| {
                    let kept = listed.contains(id);
                    if !kept {
                        server.admission.revoke();
                        self.upstream.close_idle(*id, true);
                        unlisted.push(*id);
                    }
                    kept
                });
                if let Some(fleet) = self.fleet.get() {
                    fleet.on_unlisted(&unlisted);
                }
            }
            for host in &list.hosts {
                let id = host.id();
                // A server that is gone gets no further requests, and its address and connections are dropped. New
                // servers appear all the time, so keeping old ones would use memory without bound.
                if host.is_gone() {
                    if let Some(server) = state.servers.remove(&id) {
                        server.admission.revoke();
                    }
                    self.upstream.close_idle(id, true);
                    continue;
                }
                let Some(address) = host.dial else { continue };
                let endpoint = Endpoint { address, born_ms: host.born_ms };
                let before = state.servers.get(&id);
                if before.is_some_and(|before| before.endpoint != endpoint) {
                    self.upstream.close_idle(id, false);
                }
                let admission = admission_for(before, host, endpoint);
                state.servers.insert(id, ListedServer { endpoint, admission });
            }
            state.listed |= !list.hosts.is_empty();
            if state.listed {
                self.first_list.notify_waiters();
            }
        }
        let entries: Vec<_> = list.hosts.iter().map(|h| self.names.server_entry(h)).collect();
        self.event(Event::Servers { kind, entries: &entries });
        if let Some(fleet) = self.fleet.get() {
            // An old list that names a dead server again would otherwise bring it back.
            for (server, verdict) in fleet.on_listed(&entries) {
                self.event(Event::ServerVerdict { server, verdict });
            }
        }
    }

    /// The clock by which discovery confirms that the list is current.
    pub fn list_clock(&self) -> Rc<ListClock> {
        self.list_clock.clone()
    }

    /// Waits until the list is current, for 0.1 s at most. Await it before [`Driver::request`], and before anything
    /// that may cause a retry.
    ///
    /// Without this, requests that arrived while this process was paused go to servers that have started to drain or
    /// have just restarted.
    pub async fn wait_for_current_list(&self) {
        self.list_clock.wait_until_current().await;
    }

    /// Whether any server was ever listed.
    pub fn has_listed_servers(&self) -> bool {
        self.state.borrow().listed
    }

    /// Waits until a server is listed.
    pub async fn wait_for_first_list(&self) {
        let notified = self.first_list.notified();
        if !self.has_listed_servers() {
            notified.await;
        }
    }
}

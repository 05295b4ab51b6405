//! Lists of servers on their way to the decisions, and where each server is.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};

use coppercart::api::{Event, Health, ListKind, ServerId, Standing};

use super::{Driver, ListedServer};
use crate::fleet::Fleet;
use crate::list::{Host, List};
use crate::list_clock::ListClock;
use crate::news::{MembershipSink, StandingSink};
use crate::upstream::Admission;

impl MembershipSink for Rc<Driver> {
    fn servers(&self, kind: ListKind, list: &List) {
        Driver::apply_list(self, kind, list);
    }

    fn discovery_failed(&self) {
        self.event(Event::Servers { kind: ListKind::Failed, entries: &[] });
    }

    fn note(&self, from: u32, data: &[u8]) {
        self.event(Event::Note { from, data });
    }
}

/// The driver, as the fleet's words reach it.
struct Hearer(Weak<Driver>);

impl StandingSink for Hearer {
    fn stands(&self, server: ServerId, standing: Standing) {
        if let Some(driver) = self.0.upgrade() {
            driver.event(Event::Stands { server, standing });
        }
    }
}

/// What attempts at a server go by from now on. One that may get nothing new, and one that is not what it was,
/// ends what held before.
fn admitted(before: Option<&ListedServer>, host: &Host, dial: SocketAddr) -> Admission {
    let admission = match before {
        Some(before) => {
            let same = before.dial == dial && before.born_ms == host.born_ms;
            if same && before.admission.holds() {
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
    /// What is met at servers goes to the fleet from now on, and what it makes of them to the decisions.
    pub fn shares_with(self: &Rc<Driver>, fleet: &Rc<Fleet>) {
        // It is set once, as the engine starts.
        let _ = self.fleet.set(fleet.clone());
        fleet.tell_standings_to(Box::new(Hearer(Rc::downgrade(self))));
    }

    /// A list of servers, or what changed in it.
    pub fn apply_list(self: &Rc<Driver>, kind: ListKind, list: &List) {
        {
            let mut core = self.core.borrow_mut();
            if kind != ListKind::Changes {
                // What a whole list lacks is gone.
                let listed: HashSet<ServerId> = list.hosts.iter().map(Host::id).collect();
                let mut lacking = Vec::new();
                core.servers.retain(|id, server| {
                    let kept = listed.contains(id);
                    if !kept {
                        server.admission.revoke();
                        self.upstream.close_idle(*id, true);
                        lacking.push(*id);
                    }
                    kept
                });
                if let Some(fleet) = self.fleet.get() {
                    fleet.unlisted(&lacking);
                }
            }
            for host in &list.hosts {
                let id = host.id();
                // Danger: servers are ever new. One that is gone gets nothing more, and neither
                // its address nor a connection to it is kept.
                if host.is_gone() {
                    if let Some(server) = core.servers.remove(&id) {
                        server.admission.revoke();
                    }
                    self.upstream.close_idle(id, true);
                    continue;
                }
                let Some(dial) = host.dial else { continue };
                let before = core.servers.get(&id);
                if before.is_some_and(|before| before.dial != dial) {
                    self.upstream.close_idle(id, false);
                }
                let admission = admitted(before, host, dial);
                core.servers.insert(id, ListedServer { dial, born_ms: host.born_ms, admission });
            }
            core.listed |= !list.hosts.is_empty();
            if core.listed {
                self.first_list.notify_waiters();
            }
        }
        let entries: Vec<_> = list.hosts.iter().map(|h| self.names.entry(h)).collect();
        self.event(Event::Servers { kind, entries: &entries });
        if let Some(fleet) = self.fleet.get() {
            // Danger: an old list that names a server anew would bring it back.
            for (server, standing) in fleet.listed(&entries) {
                self.event(Event::Stands { server, standing });
            }
        }
    }

    /// Told by discovery that the list is as new as it can be.
    pub fn list_clock(&self) -> Rc<ListClock> {
        self.list_clock.clone()
    }

    /// Waits until the list is as new as it can be, for 0.1 s at most. To be awaited before [`Driver::request`],
    /// and before what may have a request repeated.
    ///
    /// Without this, requests that came while this process stood still go to servers that drain by now, or that have
    /// just started anew.
    pub async fn wait_for_current_list(&self) {
        self.list_clock.current().await;
    }

    /// Whether any server was ever listed.
    pub fn has_listed_servers(&self) -> bool {
        self.core.borrow().listed
    }

    /// Waits until some server was listed.
    pub async fn wait_for_first_list(&self) {
        let told = self.first_list.notified();
        if !self.has_listed_servers() {
            told.await;
        }
    }
}

//! Faults that are injected on purpose between the fleet and the decisions. The judge must detect each one.

use coppercart::api::{Action, Event, Micros, RequestId, ServerEntry, ServerId};
use coppercart::settings::Settings;
use millethook_explore::mutant::Mutant;
use millethook_explore::scenario::RequestKind;
use millethook_explore::step::Ending;

/// A fault injected between the fleet and the decisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// A mutant that the exploration uses too.
    Mutant(Mutant),
    /// Every request is refused once the first fault of the plan has begun.
    StaysShut,
    /// Every attempt goes to the newest server, whichever server the decisions chose.
    SendsToNewest,
}

impl InjectedFault {
    /// Returns all injectable faults.
    pub fn all() -> Vec<InjectedFault> {
        let path = Mutant::ALL.into_iter().map(InjectedFault::Mutant);
        path.chain([InjectedFault::StaysShut, InjectedFault::SendsToNewest]).collect()
    }

    /// Returns the name used on the command line.
    pub fn name(self) -> String {
        match self {
            InjectedFault::Mutant(mutant) => format!("{mutant:?}"),
            other => format!("{other:?}"),
        }
    }

    /// Returns the fault with this name.
    ///
    /// # Errors
    /// No fault has this name; the error lists all names.
    pub fn named(name: &str) -> Result<InjectedFault, String> {
        let found = InjectedFault::all().into_iter().find(|injected| injected.name() == name);
        found.ok_or_else(|| {
            let names: Vec<String> =
                InjectedFault::all().into_iter().map(InjectedFault::name).collect();
            format!("one of {} expected, found {name}", names.join(", "))
        })
    }
}

/// The interface between the fleet and the decisions, with the injected fault if there is one.
#[derive(Clone, Copy, Debug)]
pub struct DecisionPath(pub Option<InjectedFault>);

impl DecisionPath {
    fn mutant(self) -> Option<Mutant> {
        match self.0 {
            Some(InjectedFault::Mutant(mutant)) => Some(mutant),
            _ => None,
        }
    }

    /// Changes the settings that are passed to the decisions.
    pub fn settings(self, settings: &mut Settings) {
        if let Some(mutant) = self.mutant() {
            mutant.settings(settings);
        }
    }

    /// Returns the time that is passed to the decisions.
    pub fn now(self, now: Micros) -> Micros {
        self.mutant().map_or(now, |mutant| mutant.now(now))
    }

    /// Returns the attempt outcome that is reported to the decisions; `None`: the outcome is not reported.
    pub fn ending(self, ending: Ending, cancelled: bool) -> Option<Ending> {
        self.mutant().map_or(Some(ending), |mutant| mutant.ending(ending, cancelled))
    }

    /// Returns the `finished` flag that is reported to the decisions.
    pub fn finished(self, finished: bool) -> bool {
        self.mutant().map_or(finished, |mutant| mutant.finished(finished))
    }

    /// Returns the server that an outcome is reported for.
    pub fn server(self, server: ServerId) -> ServerId {
        self.mutant().map_or(server, |mutant| mutant.server(server))
    }

    /// Changes the server list that is passed to the decisions.
    pub fn entries(self, entries: &mut Vec<ServerEntry>) {
        use coppercart::api::Health;
        if let Some(mutant) = self.mutant() {
            entries.retain(|entry| {
                let (drains, leaves) =
                    (entry.health == Health::Draining, entry.health == Health::Gone);
                mutant.reports_list_change(drains, leaves)
            });
            entries.iter_mut().for_each(|entry| mutant.entry(entry));
        }
    }

    /// Returns whether a client's departure is reported.
    pub fn reports_departure(self) -> bool {
        self.mutant() != Some(Mutant::HidesDepartedClients)
    }

    /// Returns whether a request is refused without consulting the decisions.
    pub fn refuses(self, fault_has_begun: bool) -> bool {
        self.0 == Some(InjectedFault::StaysShut) && fault_has_begun
    }

    /// Returns whether attempts go to the newest server.
    pub fn sends_to_newest(self) -> bool {
        self.0 == Some(InjectedFault::SendsToNewest)
    }

    /// Changes the actions that the decisions returned for an event.
    pub fn actions(
        self,
        actions: &mut Vec<Action>,
        event: &Event<'_>,
        kind: impl Fn(RequestId) -> Option<RequestKind>,
    ) {
        if let Some(mutant) = self.mutant() {
            mutant.actions(actions, matches!(event, Event::Timer { .. }), kind);
        }
    }
}

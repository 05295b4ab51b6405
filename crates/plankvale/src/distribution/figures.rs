//! Metrics of distribution, for the admin address.

use millethook_admin::statsd::StatsdLines;
use millethook_engine::distribution::{Distribution, Scope};
use millethook_engine::server_lists::ListRole;

/// Adds the metrics of distributed configuration.
pub fn write(
    lines: &mut StatsdLines,
    distribution: &Distribution,
    committed_to_in_force_ms: Option<u64>,
) {
    let figures = distribution.figures();
    lines.gauge("distribution.in_force", figures.in_force);
    lines.gauge("distribution.offered", figures.offered);
    lines.gauge("distribution.incoming", figures.incoming);
    lines.gauge("distribution.hash", distribution.hash() as usize);
    for document in distribution.in_force() {
        let level = level(document.key.scope);
        lines.gauge(format_args!("distribution.version.{level}.{}", document.version), 1);
    }
    lines.gauge("distribution.control_nodes", figures.control_nodes);
    lines.count("distribution.accepted", figures.accepted);
    lines.count("distribution.refused", figures.refused);
    lines.count("distribution.damaged", figures.damaged);
    lines.count("distribution.not_for_me", figures.not_for_me);
    lines.count("distribution.switches", figures.switches);
    lines.count("distribution.malformed", figures.malformed);
    let Some(control) = distribution.control_figures() else { return };
    lines.gauge("distribution.control.documents", control.documents);
    lines.gauge("distribution.control.bytes", control.bytes);
    lines.gauge("distribution.control.subscribers", control.subscribers);
    lines.gauge("distribution.control.first_of", control.first_of);
    lines.gauge("distribution.control.pushes", control.pushes);
    lines.gauge("distribution.control.proposals", control.proposals);
    lines.gauge("distribution.control.recovering", usize::from(control.recovering));
    lines.gauge("distribution.control.writer_ready", usize::from(control.writer_ready));
    lines.count("distribution.control.committed", control.committed);
    lines.count("distribution.control.merged", control.merged);
    lines.count("distribution.control.stopped", control.stopped);
    lines.count("distribution.control.stale_writers", control.stale_writers);
    lines.count("distribution.control.turned_away", control.turned_away);
    lines.count("distribution.control.malformed", control.malformed);
    lines.count("distribution.control.sent_bytes", control.sent_bytes);
    if let Some(ms) = committed_to_in_force_ms {
        lines.gauge("distribution.control.in_force_after_ms", ms as usize);
    }
}

/// Adds the metrics of the distributed list of servers.
pub fn write_list(lines: &mut StatsdLines, role: &ListRole) {
    match role {
        ListRole::Publisher(publisher) => {
            let figures = publisher.figures();
            lines.count("distribution.list.published", figures.published);
            lines.count("distribution.list.confirmed", figures.confirmed);
            lines.count("distribution.list.not_published", figures.not_published);
        }
        ListRole::Subscriber(subscription) => {
            let figures = subscription.figures();
            let position = figures.position.unwrap_or_default();
            lines.gauge("distribution.list.follows", usize::from(figures.follows));
            lines.gauge("distribution.list.asks", usize::from(figures.asks));
            lines.gauge("distribution.list.generation", position.generation as usize);
            lines.gauge("distribution.list.seq", position.seq as usize);
            lines.count("distribution.list.taken", figures.taken);
            lines.count("distribution.list.older", figures.older);
            lines.count("distribution.list.silences", figures.silences);
        }
    }
}

fn level(scope: Scope) -> &'static str {
    match scope {
        Scope::All => "all",
        Scope::Region(_) => "region",
        Scope::Zone(_) => "zone",
        Scope::Service(_) => "service",
        Scope::Sidecar(_) => "sidecar",
    }
}

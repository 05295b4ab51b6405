//! The daemon's side of the admin address: readiness and metrics.

use std::cell::Cell;
use std::rc::Rc;

use millethook_admin::{ProcessStatus, statsd};
use millethook_engine::Engine;
use millethook_engine::fleet::Fleet;
use millethook_http::edge::Edge;
use millethook_http::ingress::Ingress;

use crate::distribution::{Spool, write_figures, write_list_figures};

/// Writes the metrics of the fleet view, which `plankvale fleet` reads.
fn write_fleet(lines: &mut statsd::StatsdLines, fleet: &Fleet, strangers: u64) {
    let (counts, figures) = (fleet.counts(), fleet.figures());
    lines.gauge("fleet.unknown", counts.unknown);
    lines.gauge("fleet.alive", counts.alive);
    lines.gauge("fleet.suspect", counts.suspect);
    lines.gauge("fleet.dead", counts.dead);
    lines.gauge("fleet.left", counts.left);
    lines.gauge("fleet.hash", fleet.hash() as usize);
    for (number, status) in fleet.members_not_alive() {
        let status = format!("{status:?}").to_lowercase();
        lines.gauge(format_args!("fleet.absent.{number}.{status}"), 1);
    }
    lines.count("fleet.probes_failed", figures.probes_failed);
    lines.count("fleet.refuted", figures.refuted);
    lines.count("fleet.superseded", figures.superseded);
    lines.count("fleet.stalls", figures.stalls);
    let (sent, dropped) = (fleet.channel_counts(), fleet.dropped());
    lines.count("fleet.datagrams", sent.datagrams);
    lines.count("fleet.bytes", sent.bytes);
    lines.count("fleet.held_too_long", sent.dropped);
    lines.count("fleet.strangers", strangers);
    lines.count("fleet.unreadable", dropped.unreadable + figures.malformed);
    if let Some((replica, hash)) = fleet.evidence() {
        lines.gauge("fleet.evidence.entries", replica.entries);
        lines.gauge("fleet.evidence.hash", hash as usize);
        lines.gauge("fleet.evidence.doubted", replica.suspected);
        lines.count("fleet.evidence.written", replica.written);
        lines.count("fleet.evidence.learned", replica.learned);
        lines.count("fleet.evidence.crowded_out", replica.crowded_out);
        lines.count("fleet.evidence.not_believed", replica.malformed);
    }
    if let Some((lease, changing)) = fleet.leases() {
        lines.gauge("lease.owned", lease.owned);
        lines.gauge("lease.wanted", lease.wanted);
        lines.gauge("lease.granting", lease.granting);
        lines.gauge("lease.changing", usize::from(changing));
        for (job, token) in fleet.owned_jobs() {
            lines.gauge(format_args!("lease.job.{:016x}.{token}", job.0), 1);
        }
        lines.count("lease.granted", lease.granted);
        lines.count("lease.lost", lease.lost);
        lines.count("lease.failed", lease.failed);
        lines.count("lease.strangers", lease.strangers);
        lines.count("lease.malformed", lease.malformed);
    }
    lines.count("fleet.foreign", dropped.foreign);
    lines.count("fleet.misnamed", dropped.misnamed);
}

/// Counts of configurations read at SIGHUP.
#[derive(Default)]
pub struct ReloadCounts {
    /// Configurations put into force.
    pub applied: Cell<u64>,
    /// Rejected configurations; the previous one stayed in force.
    pub rejected: Cell<u64>,
}

/// The parts of the daemon whose state operators can query.
pub struct AdminState {
    ingress: Rc<Ingress>,
    engine: Rc<Engine>,
    edge: Option<Rc<Edge>>,
    reload_counts: Rc<ReloadCounts>,
    spool: Option<Rc<Spool>>,
    stopping: Cell<bool>,
}

impl AdminState {
    /// Combines the parts of a running daemon.
    pub fn new(
        ingress: Rc<Ingress>,
        engine: Rc<Engine>,
        edge: Option<Rc<Edge>>,
        reload_counts: Rc<ReloadCounts>,
        spool: Option<Rc<Spool>>,
    ) -> AdminState {
        AdminState { ingress, engine, edge, reload_counts, spool, stopping: Cell::new(false) }
    }

    /// Makes the readiness check fail, so that new requests go to other instances.
    pub fn mark_stopping(&self) {
        self.stopping.set(true);
    }
}

impl ProcessStatus for AdminState {
    fn is_ready(&self) -> bool {
        !self.stopping.get() && self.ingress.is_ready()
    }

    fn metrics(&self) -> String {
        let mut lines = statsd::StatsdLines::default();
        statsd::write_engine_metrics(&mut lines, &self.engine);
        if let Some(membership_store) = &self.engine.membership_store {
            let (counts, writes) = (membership_store.counts(), membership_store.writes());
            lines.gauge("membership.live", counts.live);
            lines.gauge("membership.remembered", counts.remembered);
            lines.gauge("membership.doubtful", counts.doubtful);
            lines.gauge("membership.held", usize::from(counts.held));
            lines.count("membership.suspect_lists", counts.suspect_lists);
            lines.count("membership.trials", counts.trials);
            lines.count("membership.confirmed", counts.confirmed);
            lines.count("membership.dropped", counts.dropped);
            lines.count("membership.snapshots_written", writes.done);
            lines.count("membership.snapshots_failed", writes.failed);
        }
        if let Some(fleet) = &self.engine.fleet {
            write_fleet(&mut lines, fleet, self.engine.rejected_datagrams());
            if let Some(distribution) = &fleet.distribution {
                let in_force_after_ms =
                    self.spool.as_ref().and_then(|spool| spool.in_force_after_ms());
                write_figures(&mut lines, distribution, in_force_after_ms);
            }
        }
        if let Some(role) = &self.engine.list_role {
            write_list_figures(&mut lines, role);
        }
        if let Some(edge) = &self.edge {
            let stats = edge.stats();
            lines.count("edge.kept", stats.kept);
            lines.count("edge.refused", stats.refused);
            lines.count("edge.replayed", stats.replayed);
            lines.count("edge.aside", stats.not_served);
            lines.gauge("edge.stores", stats.stores);
            lines.gauge("edge.left", stats.open_writes);
            lines.gauge("edge.doubt", stats.in_doubt);
            lines.gauge("edge.damaged", stats.damaged);
            lines.gauge("edge.oldest_s", stats.oldest_s as usize);
            lines.gauge("edge.isolated", usize::from(stats.isolated));
        }
        lines.count("sighup_applied", self.reload_counts.applied.get());
        lines.count("sighup_rejected", self.reload_counts.rejected.get());
        lines.into_string()
    }
}

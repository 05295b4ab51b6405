//! What the product's file says, in the engine's terms. Daemon and library read it by the same functions.

use coppercart::settings::{Failover, Settings};
use http::{HeaderName, Uri};
use millethook_config::{Membership, Product};
use millethook_connect::pool::{Limits, Reuse};
use millethook_membership::store::Store;

use crate::fleet::FleetSettings;
use crate::leases::LeaseSettings;
use crate::membership_store::MembershipStoreConfig;
use crate::upstream::TrialPage;

/// How the list of servers is kept, if it is.
///
/// # Errors
/// Names the key that makes no sense on a connection.
pub fn membership_store_config(
    product: &Product,
    name: &str,
) -> Result<Option<MembershipStoreConfig>, String> {
    let Some(of) = &product.membership else { return Ok(None) };
    let path: Uri = of.trial_page.parse().map_err(|e| format!("membership.trial_page: {e}"))?;
    let header = |name: &String| HeaderName::from_bytes(name.as_bytes());
    let identity = of.identity_header.as_ref().map(header).transpose();
    let identity = identity.map_err(|e| format!("membership.identity_header: {e}"))?;
    Ok(Some(MembershipStoreConfig {
        weigh: weigh(of),
        store: of.snapshot.as_ref().map(|path| Store::new(path, name)),
        write_every: of.write_every,
        trial: TrialPage { path, identity },
    }))
}

fn weigh(of: &Membership) -> millethook_membership::Config {
    millethook_membership::Config {
        usable_above: of.usable_above,
        dropped_below: of.dropped_below,
        trials_per_second: of.trials_per_second,
        trials_at_once: of.trials_at_once,
        spread_ms: of.trial_spread.as_millis() as u64,
        suspect_share: of.suspect_share,
        suspect_hold_ms: of.suspect_hold.as_millis() as u64,
    }
}

/// Puts into the settings what the file says of decisions.
pub fn apply_decision_settings(product: &Product, settings: &mut Settings) {
    if let Some(of) = &product.failover {
        settings.failover =
            Failover { copy_at_aim: of.copy_at_aim, slow_exponent: of.slow_exponent };
    }
}

/// What bounds connections to one server; `usual` where the file says nothing.
pub fn connection_limits(product: &Product, usual: Limits) -> Limits {
    let given = &product.connections;
    Limits {
        per_server: given.per_server.unwrap_or(usual.per_server),
        opening: given.opening.unwrap_or(usual.opening),
        spare: given.spare.unwrap_or(usual.spare),
        ..usual
    }
}

/// For how many requests a connection is used, where the file says so.
pub fn configured_reuse(product: &Product) -> Option<Reuse> {
    product.connections.reuse.map(|given| match given {
        millethook_config::Reuse::Unlimited => Reuse::Unlimited,
        millethook_config::Reuse::Proven => Reuse::Proven,
    })
}

/// For how many requests a connection is used, where nothing says so. Proven answers cost a handshake for two requests, so
/// they are what a deployment gets that puts no price on handshakes; elsewhere answers are compared.
pub fn default_reuse(settings: &Settings) -> Reuse {
    if settings.prices.handshake > 0.0 { Reuse::Compared } else { Reuse::Proven }
}

/// How the view of the fleet is kept, if it is.
pub fn fleet_settings(product: &Product) -> Option<FleetSettings> {
    let of = product.fleet.as_ref()?;
    Some(FleetSettings {
        name: of.name.clone(),
        period: of.period,
        bytes_per_second: of.bytes_per_second,
        share_evidence: of.share_evidence,
        lease: product.lease.as_ref().map(|of| LeaseSettings {
            seats: of.seats,
            longest: of.longest,
            drift: of.drift,
            change: of.change,
            dead_servers: of.dead_servers,
        }),
    })
}

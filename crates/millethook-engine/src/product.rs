//! Converts the product's configuration file into the engine's settings. The daemon and the library share these
//! functions.

use coppercart::settings::{Failover, Settings};
use http::{HeaderName, Uri};
use millethook_config::{Membership, ProductConfig};
use millethook_connect::pool::{Limits, Reuse};
use millethook_membership::store::Store;

use crate::fleet::FleetSettings;
use crate::leases::LeaseSettings;
use crate::membership_store::MembershipStoreConfig;
use crate::upstream::TrialPage;

/// Returns the settings of the membership store, if the file has a membership section.
///
/// # Errors
/// Names the key whose value is no valid path or header name.
pub fn membership_store_config(
    product: &ProductConfig,
    name: &str,
) -> Result<Option<MembershipStoreConfig>, String> {
    let Some(section) = &product.membership else { return Ok(None) };
    let path: Uri =
        section.trial_page.parse().map_err(|e| format!("membership.trial_page: {e}"))?;
    let header = |name: &String| HeaderName::from_bytes(name.as_bytes());
    let identity = section.identity_header.as_ref().map(header).transpose();
    let identity = identity.map_err(|e| format!("membership.identity_header: {e}"))?;
    Ok(Some(MembershipStoreConfig {
        membership: membership_config(section),
        store: section.snapshot.as_ref().map(|path| Store::new(path, name)),
        write_every: section.write_every,
        trial_page: TrialPage { path, identity },
    }))
}

fn membership_config(section: &Membership) -> millethook_membership::Config {
    millethook_membership::Config {
        usable_above: section.usable_above,
        dropped_below: section.dropped_below,
        trials_per_second: section.trials_per_second,
        trials_at_once: section.trials_at_once,
        spread_ms: section.trial_spread.as_millis() as u64,
        suspect_share: section.suspect_share,
        suspect_hold_ms: section.suspect_hold.as_millis() as u64,
    }
}

/// Applies the file's settings of decisions to `settings`.
pub fn apply_decision_settings(product: &ProductConfig, settings: &mut Settings) {
    if let Some(section) = &product.failover {
        settings.failover =
            Failover { copy_at_aim: section.copy_at_aim, slow_exponent: section.slow_exponent };
    }
}

/// Returns the limits on connections to one server; `defaults` where the file sets none.
pub fn connection_limits(product: &ProductConfig, defaults: Limits) -> Limits {
    let configured = &product.connections;
    Limits {
        per_server: configured.per_server.unwrap_or(defaults.per_server),
        opening: configured.opening.unwrap_or(defaults.opening),
        spare: configured.spare.unwrap_or(defaults.spare),
        ..defaults
    }
}

/// Returns for how many requests a connection is reused, where the file sets it.
pub fn configured_reuse(product: &ProductConfig) -> Option<Reuse> {
    product.connections.reuse.map(|configured| match configured {
        millethook_config::Reuse::Unlimited => Reuse::Unlimited,
        millethook_config::Reuse::Proven => Reuse::Proven,
    })
}

/// Returns for how many requests a connection is reused where the file does not set it. Proving answers costs one
/// handshake for two requests, so it is the default only where the settings put no price on handshakes; elsewhere
/// answers are compared.
pub fn default_reuse(settings: &Settings) -> Reuse {
    if settings.prices.handshake > 0.0 { Reuse::Compared } else { Reuse::Proven }
}

/// Returns the settings of the fleet, if the file has a fleet section.
pub fn fleet_settings(product: &ProductConfig) -> Option<FleetSettings> {
    let section = product.fleet.as_ref()?;
    Some(FleetSettings {
        name: section.name.clone(),
        period: section.period,
        bytes_per_second: section.bytes_per_second,
        share_evidence: section.share_evidence,
        lease: product.lease.as_ref().map(|lease| LeaseSettings {
            seats: lease.seats,
            longest: lease.longest,
            drift: lease.drift,
            change: lease.change,
            dead_servers: lease.dead_servers,
        }),
    })
}

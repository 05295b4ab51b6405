//! Configuration that comes by distribution: what documents say, how they get into force here, and how operators
//! publish them.

pub mod command;
mod figures;
mod files;
pub mod patch;
mod request;
mod spool;
mod status;
mod tracked;

use std::sync::Arc;

use coppercart::settings::Discovery as How;
use millethook_engine::distribution::{
    Distribution, DistributionSettings, Document, DocumentKind, settings,
};
use millethook_engine::fleet::unavailable_reason;

pub use figures::{write as write_figures, write_list as write_list_figures};
pub use spool::Spool;

use crate::config::Config;
use crate::tuning::Tuned;
use patch::Patch;

/// Distribution as it begins, and the settings in force with the documents of its snapshot.
pub struct Begun {
    /// None: there is none.
    pub distribution: Option<Distribution>,
    /// Settings to begin with.
    pub tuned: Tuned,
}

/// Sets distribution up where the product's file asks for it and it is possible.
///
/// # Errors
/// Names the key that makes no sense.
pub fn begin(config: &Config) -> Result<Begun, String> {
    let plain = || config.source.tuned(&[]).map_err(|e| format!("LB_CONFIG: {e}"));
    let Some(of) = set_up(config)? else {
        return Ok(Begun { distribution: None, tuned: plain()? });
    };
    let distribution = Distribution::new(of.clone());
    match patches(&distribution.in_force()).and_then(|patches| config.source.tuned(&patches)) {
        Ok(tuned) => Ok(Begun { distribution: Some(distribution), tuned }),
        Err(e) => {
            // LB_CONFIG or the program has changed since. The documents come again, and are refused or taken.
            tracing::error!(
                event = "distribution_snapshot_refused",
                "the documents from before do not fit, LB_CONFIG holds alone: {e}"
            );
            let distribution = Some(Distribution::with_nothing_in_force(of));
            Ok(Begun { distribution, tuned: plain()? })
        }
    }
}

fn set_up(config: &Config) -> Result<Option<DistributionSettings>, String> {
    let members = if config.peer_listen.is_some() { config.peers.len() } else { 0 };
    if config.product.distribution.is_none() {
        return Ok(None);
    }
    if let Some(reason) = unavailable_reason(&config.settings, members) {
        tracing::warn!(event = "distribution_off", "no documents are taken: {reason}");
        return Ok(None);
    }
    let mut set_up = settings(&config.product, (config.settings.me, members), config.seed)?;
    let pushed = config.settings.discovery == How::Pushed;
    if let Some(of) = set_up.as_mut().filter(|of| pushed && of.subscribes_to_list()) {
        tracing::warn!(
            event = "distribution_list_off",
            "distribution.list: no list is taken: settings.discovery is \"pushed\", \"on_request\" expected"
        );
        of.disable_list();
    }
    Ok(set_up)
}

/// The patches of documents of configuration, in the order of merge.
///
/// # Errors
/// One of them makes no sense.
pub fn patches(documents: &[Arc<Document>]) -> Result<Vec<Patch>, String> {
    let configuration = documents.iter().filter(|d| d.key.kind == DocumentKind::Configuration);
    configuration.map(|d| Patch::of(d).map_err(|e| format!("{}: {}", d.key, e.reason))).collect()
}

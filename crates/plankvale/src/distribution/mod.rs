//! Distributed configuration: the content of documents, how they take effect in this process, and how
//! operators publish them.

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
use crate::effective_settings::EffectiveSettings;
use patch::Patch;

/// The state of distribution at the start, and the settings with the documents of its snapshot.
pub struct DistributionStart {
    /// None if distribution is not configured or not possible.
    pub distribution: Option<Distribution>,
    /// The settings in force at the start.
    pub effective: EffectiveSettings,
}

/// Sets distribution up if the product's file configures it and it is possible.
///
/// # Errors
/// Names the invalid key.
pub fn start(config: &Config) -> Result<DistributionStart, String> {
    let plain = || config.source.effective(&[]).map_err(|e| format!("LB_CONFIG: {e}"));
    let Some(distribution_settings) = set_up(config)? else {
        return Ok(DistributionStart { distribution: None, effective: plain()? });
    };
    let distribution = Distribution::new(distribution_settings.clone());
    match patches(&distribution.in_force()).and_then(|patches| config.source.effective(&patches)) {
        Ok(effective) => Ok(DistributionStart { distribution: Some(distribution), effective }),
        Err(e) => {
            // LB_CONFIG or the program has changed since the snapshot. The documents will be offered
            // again, and accepted or refused then.
            tracing::error!(
                event = "distribution_snapshot_refused",
                "the documents in the snapshot do not fit, only LB_CONFIG is in force: {e}"
            );
            let distribution = Some(Distribution::with_nothing_in_force(distribution_settings));
            Ok(DistributionStart { distribution, effective: plain()? })
        }
    }
}

fn set_up(config: &Config) -> Result<Option<DistributionSettings>, String> {
    let members = if config.peer_listen.is_some() { config.peers.len() } else { 0 };
    if config.product.distribution.is_none() {
        return Ok(None);
    }
    if let Some(reason) = unavailable_reason(&config.settings, members) {
        tracing::warn!(event = "distribution_off", "documents are not accepted: {reason}");
        return Ok(None);
    }
    let mut distribution_settings =
        settings(&config.product, (config.settings.me, members), config.seed)?;
    let pushed = config.settings.discovery == How::Pushed;
    if let Some(own) =
        distribution_settings.as_mut().filter(|own| pushed && own.subscribes_to_list())
    {
        tracing::warn!(
            event = "distribution_list_off",
            "distribution.list: lists are not accepted: settings.discovery is \"pushed\", \"on_request\" expected"
        );
        own.disable_list();
    }
    Ok(distribution_settings)
}

/// The patches of the configuration documents, in the order of merge.
///
/// # Errors
/// Names the first invalid document and what is wrong with it.
pub fn patches(documents: &[Arc<Document>]) -> Result<Vec<Patch>, String> {
    let configuration = documents.iter().filter(|d| d.key.kind == DocumentKind::Configuration);
    configuration
        .map(|d| Patch::from_document(d).map_err(|e| format!("{}: {}", d.key, e.reason)))
        .collect()
}

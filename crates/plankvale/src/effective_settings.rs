//! The effective settings: those of `LB_CONFIG`, patched by documents, with the additions of the
//! product's file. They are made and checked here only, at the start, at SIGHUP and for new documents.

use std::rc::Rc;

use coppercart::settings::Settings;
use millethook_config::ProductConfig;
use millethook_engine::names::Names;
use millethook_engine::product::apply_decision_settings;
use millethook_http::edge::add_replay_classes;
use serde_json::Value;

use crate::distribution::patch::Patch;

/// The parts from which settings are made, apart from documents.
#[derive(Clone)]
pub struct SettingsSource {
    /// The `settings` object of the file.
    settings: Value,
    /// Number of peer addresses in the file.
    peers: usize,
    product: Rc<ProductConfig>,
}

/// Checked settings.
pub struct EffectiveSettings {
    /// Settings of the decision module.
    pub settings: Settings,
    /// The names used in HTTP messages for the module's numbers.
    pub names: Names,
    /// The JSON object from which they were read.
    pub raw: Value,
}

impl SettingsSource {
    /// Takes the `settings` object of a file that lists `peers` peer addresses.
    pub fn new(settings: Value, peers: usize, product: Rc<ProductConfig>) -> SettingsSource {
        SettingsSource { settings, peers, product }
    }

    /// Makes the effective settings; `patches` are applied in order.
    ///
    /// # Errors
    /// Names the invalid key and the expected value.
    pub fn effective(&self, patches: &[Patch]) -> Result<EffectiveSettings, String> {
        let mut raw = self.settings.clone();
        patches.iter().for_each(|patch| patch.apply(&mut raw));
        let mut settings = Settings::from_json(raw.to_string().as_bytes())?;
        if self.peers > 0 && self.peers != settings.instances as usize {
            return Err("peers: as many addresses as settings.instances expected".into());
        }
        apply_decision_settings(&self.product, &mut settings);
        if let Some(edge) = &self.product.edge {
            add_replay_classes(&edge.classes, &mut settings);
        }
        let names = Names::new(&settings, &raw)?;
        Ok(EffectiveSettings { settings, names, raw })
    }
}

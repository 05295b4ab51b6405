//! Settings in force: those of `LB_CONFIG`, patched by documents, with what the product's file adds. This is the one
//! place that makes and checks them, whether a start, SIGHUP or a document asks for it.

use std::rc::Rc;

use coppercart::settings::Settings;
use millethook_config::ProductConfig;
use millethook_engine::names::Names;
use millethook_engine::product::apply_decision_settings;
use millethook_http::edge::add_replay_classes;
use serde_json::Value;

use crate::distribution::patch::Patch;

/// What settings are made of, beside documents.
#[derive(Clone)]
pub struct SettingsSource {
    /// The file's.
    settings: Value,
    /// Addresses of peers in the file.
    peers: usize,
    product: Rc<ProductConfig>,
}

/// Settings that were checked.
pub struct Tuned {
    /// The module's settings.
    pub settings: Settings,
    /// The names that stand on sockets for the module's numbers.
    pub names: Names,
    /// The object that they were read from.
    pub raw: Value,
}

impl SettingsSource {
    /// Those of a file that names so many peers.
    pub fn new(settings: Value, peers: usize, product: Rc<ProductConfig>) -> SettingsSource {
        SettingsSource { settings, peers, product }
    }

    /// Makes the settings in force; the patches are in the order of merge.
    ///
    /// # Errors
    /// Names the key that makes no sense, and what was expected.
    pub fn tuned(&self, patches: &[Patch]) -> Result<Tuned, String> {
        let mut raw = self.settings.clone();
        patches.iter().for_each(|patch| patch.apply(&mut raw));
        let mut settings = Settings::from_json(raw.to_string().as_bytes())?;
        if self.peers > 0 && self.peers != settings.instances as usize {
            return Err("peers: as many as settings.instances expected".into());
        }
        apply_decision_settings(&self.product, &mut settings);
        if let Some(edge) = &self.product.edge {
            add_replay_classes(&edge.classes, &mut settings);
        }
        let names = Names::new(&settings, &raw)?;
        Ok(Tuned { settings, names, raw })
    }
}

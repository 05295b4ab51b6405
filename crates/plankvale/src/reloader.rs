//! Applies changes while the daemon runs: `LB_CONFIG` at SIGHUP, and distributed documents.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use millethook_config::ProductConfig;
use millethook_engine::Engine;
use millethook_engine::distribution::{Distribution, Document, DocumentKey};
use millethook_http::edge::Edge;
use millethook_http::ingress::Ingress;
use serde_json::Value;
use tokio::sync::mpsc;

use crate::Reload;
use crate::admin::ReloadCounts;
use crate::config::Config;
use crate::distribution::patch::{Patch, RefusalCode, refusal};
use crate::distribution::patches;
use crate::effective_settings::{EffectiveSettings, SettingsSource};

/// The parts of a configuration that take effect at the start only.
pub(crate) struct StartupConfig {
    listen: SocketAddr,
    memory: usize,
    sockets: usize,
    peer_listen: Option<SocketAddr>,
    product: ProductConfig,
}

impl StartupConfig {
    /// Extracts these parts from `config`.
    pub fn of(config: &Config) -> StartupConfig {
        StartupConfig {
            listen: config.listen,
            memory: config.memory,
            sockets: config.sockets,
            peer_listen: config.peer_listen,
            // [failover] changes settings and takes effect at a reload; the other sections are read at
            // the start only.
            product: ProductConfig { failover: None, ..ProductConfig::clone(&config.product) },
        }
    }

    /// The keys whose values differ in `new`.
    fn differences(&self, new: &StartupConfig) -> Vec<&'static str> {
        let (a, b) = (&self.product, &new.product);
        let differs = [
            ("listen", self.listen != new.listen),
            ("limits.memory_mb", self.memory != new.memory),
            ("limits.sockets", self.sockets != new.sockets),
            ("peer_listen", self.peer_listen != new.peer_listen),
            ("[log]", a.log != b.log),
            ("[membership]", a.membership != b.membership),
            ("[connections]", a.connections != b.connections),
            ("[fleet]", a.fleet != b.fleet),
            ("[lease]", a.lease != b.lease),
            ("[edge]", a.edge != b.edge),
            ("[distribution]", a.distribution != b.distribution),
        ];
        differs.into_iter().filter_map(|(key, differs)| differs.then_some(key)).collect()
    }
}

/// Applies new configurations: settings, the address of discovery and those of the other sidecars.
pub(crate) struct Reloader {
    /// The parts that stay as they were at the start.
    pub startup: StartupConfig,
    /// The whole configuration in force.
    pub raw: Value,
    /// The parts from which the settings in force are made, apart from documents.
    pub source: SettingsSource,
    pub engine: Rc<Engine>,
    pub ingress: Rc<Ingress>,
    pub edge: Option<Rc<Edge>>,
    pub counts: Rc<ReloadCounts>,
    pub distribution: Option<Rc<Distribution>>,
}

impl Reloader {
    /// Applies configurations from `reloads` and offered documents as they arrive.
    pub async fn run(mut self, mut reloads: mpsc::Receiver<Reload>) {
        let distribution = self.distribution.clone();
        loop {
            let offered = async {
                match &distribution {
                    Some(distribution) => distribution.wait_for_events().await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                Some(reload) = reloads.recv() => self.reload(reload),
                () = offered => self.apply_offered(),
                else => return,
            }
        }
    }

    fn reload(&mut self, reload: Reload) {
        let count = match reload.and_then(|config| self.apply_config(*config)) {
            Ok(()) => &self.counts.applied,
            Err(e) => {
                tracing::error!(
                    event = "reload_rejected",
                    "the configuration stays as it was: {e}"
                );
                &self.counts.rejected
            }
        };
        count.set(count.get() + 1);
    }

    /// Applies a configuration together with the documents in force, completely or not at all.
    fn apply_config(&mut self, config: Config) -> Result<(), String> {
        config.check_complete(&self.raw).map_err(|e| format!("LB_CONFIG: {e}"))?;
        let unchanged = self.startup.differences(&StartupConfig::of(&config)).join(", ");
        if !unchanged.is_empty() {
            tracing::warn!(event = "reload_in_part", keys = %unchanged, "changes of these keys take effect at the next start only");
        }
        let in_force = self.distribution.as_ref().map_or(Vec::new(), |d| d.in_force());
        let effective = patches(&in_force).and_then(|patches| config.source.effective(&patches));
        let context = if in_force.is_empty() { "" } else { " with the documents in force" };
        self.apply_settings(effective.map_err(|e| format!("LB_CONFIG{context}: {e}"))?)?;
        tracing::info!(
            event = "reload_applied",
            "new configuration applied, discovery at {}",
            config.discovery
        );
        self.engine.update_addresses(config.discovery, config.peers, config.peers_all);
        self.raw = config.raw;
        self.source = config.source;
        Ok(())
    }

    /// Puts settings into force, completely or not at all.
    fn apply_settings(&self, effective: EffectiveSettings) -> Result<(), String> {
        let names = self.engine.apply_settings(effective.settings, &effective.raw)?;
        if let Some(edge) = &self.edge {
            edge.set_names(names.clone());
        }
        self.ingress.apply_settings(names, self.engine.longest_deadline());
        Ok(())
    }

    /// Accepts or refuses offered documents: all together or, if the result is invalid, one by one.
    fn apply_offered(&self) {
        let Some(distribution) = &self.distribution else { return };
        let Some(offered) = distribution.take_offered() else { return };
        let all = merged(&distribution.in_force(), &offered);
        if self.put_into_force(&all).is_ok() {
            self.accept(distribution, &offered);
            return;
        }
        // At least one document is invalid. The others are accepted without it.
        for document in offered {
            let alone = std::slice::from_ref(&document);
            let candidate = merged(&distribution.in_force(), alone);
            let result = Patch::from_document(&document).and_then(|_| {
                self.put_into_force(&candidate)
                    .map_err(|e| refusal(RefusalCode::InvalidSettings, &e))
            });
            match result {
                Ok(()) => self.accept(distribution, alone),
                Err(cause) => {
                    tracing::warn!(
                        event = "distribution_refused",
                        version = %document.version,
                        "{}: document refused, the previous one stays in force: {}",
                        document.key,
                        cause.reason
                    );
                    distribution.refuse(document.version, cause);
                }
            }
        }
    }

    fn put_into_force(&self, documents: &[Arc<Document>]) -> Result<(), String> {
        let effective = patches(documents).and_then(|patches| self.source.effective(&patches))?;
        self.apply_settings(effective)
    }

    fn accept(&self, distribution: &Distribution, documents: &[Arc<Document>]) {
        let versions: Vec<_> = documents.iter().map(|document| document.version).collect();
        if distribution.accept(&versions) {
            for document in documents {
                tracing::info!(
                    event = "distribution_applied",
                    version = %document.version,
                    "{}: document in force",
                    document.key
                );
            }
            return;
        }
        // A newer document has arrived in the meantime and is offered, so these are rolled back.
        if let Err(e) = self.put_into_force(&distribution.in_force()) {
            tracing::error!(
                event = "distribution_not_undone",
                "cannot restore the documents in force: {e}"
            );
        }
    }
}

/// The documents that would be in force after accepting `offered`, in the order of merge.
fn merged(in_force: &[Arc<Document>], offered: &[Arc<Document>]) -> Vec<Arc<Document>> {
    let all = in_force.iter().chain(offered);
    let by_key: BTreeMap<DocumentKey, Arc<Document>> =
        all.map(|document| (document.key, document.clone())).collect();
    by_key.into_values().collect()
}

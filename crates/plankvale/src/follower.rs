//! Takes on what changes while the daemon runs: `LB_CONFIG` at SIGHUP, and documents.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use millethook_config::Product;
use millethook_engine::Engine;
use millethook_engine::distribution::{Distribution, Document, DocumentKey};
use millethook_http::edge::Edge;
use millethook_http::ingress::Ingress;
use serde_json::Value;
use tokio::sync::mpsc;

use crate::Reload;
use crate::config::Config;
use crate::distribution::patch::{Patch, RefusalCode, refusal};
use crate::distribution::patches;
use crate::operated::Reloaded;
use crate::tuning::{SettingsSource, Tuned};

/// What a configuration fixes for as long as the process lives.
pub(crate) struct Inert {
    listen: SocketAddr,
    memory: usize,
    sockets: usize,
    peer_listen: Option<SocketAddr>,
    product: Product,
}

impl Inert {
    pub fn of(config: &Config) -> Inert {
        Inert {
            listen: config.listen,
            memory: config.memory,
            sockets: config.sockets,
            peer_listen: config.peer_listen,
            // Settings follow the file at once; the rest of it is read at the start.
            product: Product { failover: None, ..Product::clone(&config.product) },
        }
    }

    /// The keys in which `new` differs.
    fn differences(&self, new: &Inert) -> Vec<&'static str> {
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

/// Takes on new configurations: settings, where discovery is, and where the other sidecars are.
pub(crate) struct Follower {
    pub inert: Inert,
    /// The whole configuration in force.
    pub whole: Value,
    /// What the settings in force are made of, beside documents.
    pub source: SettingsSource,
    pub engine: Rc<Engine>,
    pub ingress: Rc<Ingress>,
    pub edge: Option<Rc<Edge>>,
    pub reloaded: Rc<Reloaded>,
    pub distribution: Option<Rc<Distribution>>,
}

impl Follower {
    pub async fn follow(mut self, mut reloads: mpsc::Receiver<Reload>) {
        let distribution = self.distribution.clone();
        loop {
            let news = async {
                match &distribution {
                    Some(distribution) => distribution.wait_for_events().await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                Some(reload) = reloads.recv() => self.reload(reload),
                () = news => self.decide(),
                else => return,
            }
        }
    }

    fn reload(&mut self, reload: Reload) {
        let count = match reload.and_then(|config| self.take(*config)) {
            Ok(()) => &self.reloaded.applied,
            Err(e) => {
                tracing::error!(
                    event = "reload_rejected",
                    "the configuration stays as it was: {e}"
                );
                &self.reloaded.rejected
            }
        };
        count.set(count.get() + 1);
    }

    /// Takes one configuration, with the documents in force over it, or nothing of it.
    fn take(&mut self, config: Config) -> Result<(), String> {
        config.complete(&self.whole).map_err(|e| format!("LB_CONFIG: {e}"))?;
        let kept = self.inert.differences(&Inert::of(&config)).join(", ");
        if !kept.is_empty() {
            tracing::warn!(event = "reload_in_part", keys = %kept, "these change at the next start only");
        }
        let in_force = self.distribution.as_ref().map_or(Vec::new(), |d| d.in_force());
        let tuned = patches(&in_force).and_then(|patches| config.source.tuned(&patches));
        let with = if in_force.is_empty() { "" } else { " with the documents in force" };
        self.apply(tuned.map_err(|e| format!("LB_CONFIG{with}: {e}"))?)?;
        tracing::info!(
            event = "reload_applied",
            "new configuration: discovery at {}",
            config.discovery
        );
        self.engine.update_addresses(config.discovery, config.peers, config.peers_all);
        self.whole = config.raw;
        self.source = config.source;
        Ok(())
    }

    /// Puts settings into force, or nothing of them.
    fn apply(&self, tuned: Tuned) -> Result<(), String> {
        let names = self.engine.apply_settings(tuned.settings, &tuned.raw)?;
        if let Some(edge) = &self.edge {
            edge.set_names(names.clone());
        }
        self.ingress.apply_settings(names, self.engine.longest_deadline());
        Ok(())
    }

    /// Decides about documents that are offered: all together, or, if that makes no sense, one after the other.
    fn decide(&self) {
        let Some(distribution) = &self.distribution else { return };
        let Some(offered) = distribution.take_offered() else { return };
        let all = merged(&distribution.in_force(), &offered);
        if self.put_into_force(&all).is_ok() {
            self.accept(distribution, &offered);
            return;
        }
        // One of them spoils the rest. What is sound without it is taken.
        for document in offered {
            let alone = std::slice::from_ref(&document);
            let with = merged(&distribution.in_force(), alone);
            let taken = Patch::of(&document).and_then(|_| {
                self.put_into_force(&with).map_err(|e| refusal(RefusalCode::Settings, &e))
            });
            match taken {
                Ok(()) => self.accept(distribution, alone),
                Err(why) => {
                    tracing::warn!(
                        event = "distribution_refused",
                        version = %document.version,
                        "{}: what was in force stays: {}",
                        document.key,
                        why.reason
                    );
                    distribution.refuse(document.version, why);
                }
            }
        }
    }

    fn put_into_force(&self, documents: &[Arc<Document>]) -> Result<(), String> {
        let tuned = patches(documents).and_then(|patches| self.source.tuned(&patches))?;
        self.apply(tuned)
    }

    fn accept(&self, distribution: &Distribution, documents: &[Arc<Document>]) {
        let versions: Vec<_> = documents.iter().map(|document| document.version).collect();
        if distribution.accept(&versions) {
            for document in documents {
                tracing::info!(
                    event = "distribution_applied",
                    version = %document.version,
                    "{}: in force",
                    document.key
                );
            }
            return;
        }
        // A newer one has come meanwhile and is offered.
        if let Err(e) = self.put_into_force(&distribution.in_force()) {
            tracing::error!(event = "distribution_not_undone", "documents in force: {e}");
        }
    }
}

/// What would be in force with these, in the order of merge.
fn merged(in_force: &[Arc<Document>], offered: &[Arc<Document>]) -> Vec<Arc<Document>> {
    let all = in_force.iter().chain(offered);
    let by_key: BTreeMap<DocumentKey, Arc<Document>> =
        all.map(|document| (document.key, document.clone())).collect();
    by_key.into_values().collect()
}

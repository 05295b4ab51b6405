//! Writes a timeline as TOML text that reads back as the same timeline.

use serde::Serialize;
use toml::Table;

use super::{Class, Event, Timeline};

/// Sections of a file, each with the keys that differ from their defaults.
#[derive(Serialize)]
struct Sections {
    #[serde(flatten)]
    run: Table,
    #[serde(flatten)]
    named: Table,
    class: Vec<Table>,
    event: Vec<Table>,
}

impl Timeline {
    /// Formats the timeline as TOML, with every key that differs from its default.
    ///
    /// # Errors
    /// A value cannot be represented in TOML.
    pub fn to_toml(&self) -> Result<String, toml::ser::Error> {
        let default = Timeline::default();
        let named = [
            ("sidecars", non_default_keys(&self.sidecars, &default.sidecars)?),
            ("load", non_default_keys(&self.load, &default.load)?),
            ("servers", non_default_keys(&self.servers, &default.servers)?),
            ("discovery", non_default_keys(&self.discovery, &default.discovery)?),
            ("network", non_default_keys(&self.network, &default.network)?),
            ("distribution", non_default_keys(&self.distribution, &default.distribution)?),
            ("rules", non_default_keys(&self.rules, &default.rules)?),
            ("expect", non_default_keys(&self.expect, &default.expect)?),
        ];
        let named = named.into_iter().filter(|(_, keys)| !keys.is_empty());
        let named = named.map(|(name, keys)| (name.to_owned(), toml::Value::Table(keys)));
        let classes = self.classes.iter().map(|class| non_default_keys(class, &Class::default()));
        let events = self.events.iter().map(|event| non_default_keys(event, &Event::default()));
        let sections = Sections {
            run: non_default_keys(&self.run, &default.run)?,
            named: named.collect(),
            class: classes.collect::<Result<_, _>>()?,
            event: events.collect::<Result<_, _>>()?,
        };
        toml::to_string(&sections)
    }
}

/// The keys of a section whose values differ from the default.
fn non_default_keys<T: Serialize>(section: &T, default: &T) -> Result<Table, toml::ser::Error> {
    let mut keys = Table::try_from(section)?;
    let defaults = Table::try_from(default)?;
    keys.retain(|key, value| defaults.get(key) != Some(value));
    Ok(keys)
}

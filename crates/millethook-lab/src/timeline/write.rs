//! Writes a timeline as the text of a file that reads back as the same timeline.

use serde::Serialize;
use toml::Table;

use super::{Class, Event, Timeline};

/// A file's sections, each with the keys that differ from their defaults.
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
    /// The text of a file with every key that differs from its default.
    ///
    /// # Errors
    /// A value has no form in TOML.
    pub fn to_toml(&self) -> Result<String, toml::ser::Error> {
        let default = Timeline::default();
        let named = [
            ("sidecars", changed(&self.sidecars, &default.sidecars)?),
            ("load", changed(&self.load, &default.load)?),
            ("servers", changed(&self.servers, &default.servers)?),
            ("discovery", changed(&self.discovery, &default.discovery)?),
            ("network", changed(&self.network, &default.network)?),
            ("distribution", changed(&self.distribution, &default.distribution)?),
            ("rules", changed(&self.rules, &default.rules)?),
            ("expect", changed(&self.expect, &default.expect)?),
        ];
        let named = named.into_iter().filter(|(_, keys)| !keys.is_empty());
        let named = named.map(|(name, keys)| (name.to_owned(), toml::Value::Table(keys)));
        let classes = self.classes.iter().map(|class| changed(class, &Class::default()));
        let events = self.events.iter().map(|event| changed(event, &Event::default()));
        let sections = Sections {
            run: changed(&self.run, &default.run)?,
            named: named.collect(),
            class: classes.collect::<Result<_, _>>()?,
            event: events.collect::<Result<_, _>>()?,
        };
        toml::to_string(&sections)
    }
}

/// The keys of a section whose values differ from the default.
fn changed<T: Serialize>(section: &T, default: &T) -> Result<Table, toml::ser::Error> {
    let mut keys = Table::try_from(section)?;
    let defaults = Table::try_from(default)?;
    keys.retain(|key, value| defaults.get(key) != Some(value));
    Ok(keys)
}

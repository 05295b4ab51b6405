//! Reads a timeline and reports all faults at once, each with its line, its key and the expected value.

use std::ops::Range;

use serde::de::{DeserializeOwned, IntoDeserializer};
use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::{Event, Fault, Timeline, check};

/// Byte ranges of a section and its keys, for faults that are found after it is read.
pub(super) struct SectionSpans {
    name: String,
    whole: Range<usize>,
    keys: Vec<(String, Range<usize>)>,
}

/// Collects the faults of a file's text.
pub(super) struct Faults<'t> {
    text: &'t str,
    list: Vec<Fault>,
}

impl Faults<'_> {
    fn add(&mut self, span: &Range<usize>, key: String, text: String) {
        self.list.push(Fault { line: line(self.text, span.start), key, text });
    }

    /// Adds a fault at a key of a section that was read, or at the section if the key is missing.
    pub(super) fn at(&mut self, spans: &SectionSpans, key: &str, text: impl Into<String>) {
        let named = spans.keys.iter().find(|(name, _)| name == key);
        let span = named.map_or(&spans.whole, |(_, span)| span).clone();
        self.add(&span, join(&spans.name, key), text.into());
    }
}

fn join(section: &str, key: &str) -> String {
    match section.is_empty() {
        true => key.to_owned(),
        false => format!("{section}.{key}"),
    }
}

/// The line number of a byte offset, from 1.
fn line(text: &str, at: usize) -> usize {
    1 + text.as_bytes()[..at.min(text.len())].iter().filter(|b| **b == b'\n').count()
}

/// Deserializes one section. A key with an error is reported and removed, and the rest is read again, so that one
/// fault does not hide the next.
fn section<T: DeserializeOwned + Default>(
    faults: &mut Faults<'_>,
    name: &str,
    mut table: DeTable<'_>,
    whole: Range<usize>,
) -> (T, SectionSpans) {
    let keys = table.iter().map(|(k, v)| (k.get_ref().to_string(), k.span().start..v.span().end));
    let spans = SectionSpans { name: name.to_owned(), whole: whole.clone(), keys: keys.collect() };
    loop {
        let value = Spanned::new(whole.clone(), table.clone());
        let error = match T::deserialize(value.into_deserializer()) {
            Ok(read) => return (read, spans),
            Err(error) => error,
        };
        let span = error.span().unwrap_or(whole.clone());
        let key = spans.keys.iter().find(|(k, range)| {
            table.contains_key(k.as_str()) && range.start <= span.start && span.start < range.end
        });
        let Some((key, range)) = key else {
            faults.add(&span, name.to_owned(), error.message().to_owned());
            return (T::default(), spans);
        };
        faults.add(range, join(name, key), error.message().to_owned());
        table.remove(key.as_str());
    }
}

/// Reads the section of a name; a missing section counts as empty.
fn named_section<T: DeserializeOwned + Default>(
    faults: &mut Faults<'_>,
    file: &mut DeTable<'_>,
    name: &str,
) -> (T, SectionSpans) {
    match file.remove(name) {
        None => section(faults, name, DeTable::new(), 0..0),
        Some(value) => {
            let span = value.span();
            match value.into_inner() {
                DeValue::Table(table) => section(faults, name, table, span),
                _ => {
                    faults.add(&span, name.to_owned(), format!("a section [{name}] expected"));
                    section(faults, name, DeTable::new(), span)
                }
            }
        }
    }
}

/// Reads the array of sections of a name.
fn section_array<T: DeserializeOwned + Default>(
    faults: &mut Faults<'_>,
    file: &mut DeTable<'_>,
    name: &str,
) -> Vec<(T, SectionSpans)> {
    let Some(value) = file.remove(name) else { return Vec::new() };
    let span = value.span();
    let DeValue::Array(items) = value.into_inner() else {
        faults.add(&span, name.to_owned(), format!("sections [[{name}]] expected"));
        return Vec::new();
    };
    let mut read = Vec::new();
    for (nth, item) in items.into_iter().enumerate() {
        let (span, name) = (item.span(), format!("{name}[{nth}]"));
        match item.into_inner() {
            DeValue::Table(table) => read.push(section(faults, &name, table, span)),
            _ => faults.add(&span, name, "a section expected".into()),
        }
    }
    read
}

impl Timeline {
    /// Reads a timeline from a file's text.
    ///
    /// # Errors
    /// All faults, sorted by line.
    pub fn from_toml(text: &str) -> Result<Timeline, Vec<Fault>> {
        let mut file = match DeTable::parse(text) {
            Ok(file) => file.into_inner(),
            Err(e) => {
                let at = e.span().map_or(0, |span| span.start);
                let text_of = e.message().to_owned();
                return Err(vec![Fault {
                    line: line(text, at),
                    key: String::new(),
                    text: text_of,
                }]);
            }
        };
        let mut faults = Faults { text, list: Vec::new() };
        let f = &mut faults;
        let sidecars = named_section(f, &mut file, "sidecars");
        let load = named_section(f, &mut file, "load");
        let servers = named_section(f, &mut file, "servers");
        let discovery = named_section(f, &mut file, "discovery");
        let network = named_section(f, &mut file, "network");
        let distribution = named_section(f, &mut file, "distribution");
        let rules = named_section(f, &mut file, "rules");
        let expect = named_section(f, &mut file, "expect");
        let mut classes = section_array(f, &mut file, "class");
        let events: Vec<(Event, SectionSpans)> = section_array(f, &mut file, "event");
        // The remaining table holds the keys outside of sections and any unknown sections.
        let run = section(f, "", file, 0..0);
        if classes.is_empty() {
            classes = vec![section(f, "class", DeTable::new(), 0..0)];
        }
        let parts = check::Parts {
            run: &run,
            sidecars: &sidecars,
            load: &load,
            servers: &servers,
            discovery: &discovery,
            network: &network,
            distribution: &distribution,
            rules: &rules,
            expect: &expect,
            classes: &classes,
            events: &events,
        };
        check::check(f, &parts);
        if !faults.list.is_empty() {
            faults.list.sort_by_key(|fault| fault.line);
            return Err(faults.list);
        }
        let mut events: Vec<Event> = events.into_iter().map(|(event, _)| event).collect();
        events.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
        Ok(Timeline {
            run: run.0,
            sidecars: sidecars.0,
            load: load.0,
            servers: servers.0,
            discovery: discovery.0,
            network: network.0,
            distribution: distribution.0,
            rules: rules.0,
            expect: expect.0,
            classes: classes.into_iter().map(|(class, _)| class).collect(),
            events,
        })
    }
}

//! Reads a parsed file key by key and collects all errors.

use std::ops::{Range, RangeInclusive};

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::Fault;

/// A configuration file that is being read.
pub(crate) struct Reader<'t> {
    text: &'t str,
    /// The sections that have not been read yet.
    root: DeTable<'t>,
    /// The name of the section that is being read, and its keys that have not been read yet.
    section: (String, DeTable<'t>),
    /// The position of the section.
    section_span: Range<usize>,
    /// The section, key and position of each key that was read.
    positions: Vec<(String, String, Range<usize>)>,
    faults: Vec<Fault>,
}

impl<'t> Reader<'t> {
    /// Parses the text. If it is not valid TOML, that is the only error.
    pub fn parse(text: &'t str) -> Result<Reader<'t>, Vec<Fault>> {
        let root = DeTable::parse(text).map_err(|e| {
            let at = e.span().map_or(0, |span| span.start);
            vec![Fault {
                line: line_of(text, at),
                key: String::new(),
                text: e.message().to_owned(),
            }]
        })?;
        Ok(Reader {
            text,
            root: root.into_inner(),
            section: Default::default(),
            section_span: 0..0,
            positions: Vec::new(),
            faults: Vec::new(),
        })
    }

    /// Reads a section with `read`, if the file has it. Keys that `read` does not read are reported as unknown.
    pub fn section(&mut self, name: &str, read: impl FnOnce(&mut Self)) {
        let Some(value) = self.root.remove(name) else { return };
        let span = value.span();
        let DeValue::Table(table) = value.into_inner() else {
            return self.report(span, name.to_owned(), format!("a section [{name}] expected"));
        };
        self.section = (name.to_owned(), table);
        self.section_span = span;
        read(self);
        let (name, unread) = std::mem::take(&mut self.section);
        for (key, _) in unread {
            let text = "no such key".to_owned();
            self.report(key.span(), format!("{name}.{}", key.into_inner()), text);
        }
    }

    /// Takes the value of a key of the current section.
    fn take(&mut self, key: &str) -> Option<Spanned<DeValue<'t>>> {
        let value = self.section.1.remove(key)?;
        self.positions.push((self.section.0.clone(), key.to_owned(), value.span()));
        Some(value)
    }

    /// Reads the value of a key of the current section with `convert`. `expected` describes valid values.
    fn value<T>(
        &mut self,
        key: &str,
        expected: &str,
        convert: impl FnOnce(&DeValue<'t>) -> Option<T>,
    ) -> Option<T> {
        let value = self.take(key)?;
        let span = value.span();
        let read = convert(value.get_ref());
        if read.is_none() {
            let key = format!("{}.{key}", self.section.0);
            let given = self.text.get(span.clone()).unwrap_or_default();
            let given: String = given.chars().take(40).collect();
            self.report(span, key, format!("{expected} expected, not {given}"));
        }
        read
    }

    /// Reads a string that is not empty.
    pub fn string(&mut self, key: &str, expected: &str) -> Option<String> {
        self.string_that(key, expected, |text| !text.is_empty())
    }

    /// Reads a string that `is_valid` accepts.
    pub fn string_that(
        &mut self,
        key: &str,
        expected: &str,
        is_valid: impl FnOnce(&str) -> bool,
    ) -> Option<String> {
        self.value(key, expected, |v| v.as_str().filter(|s| is_valid(s)).map(str::to_owned))
    }

    /// Reads a string that is one of `choices`.
    pub fn one_of(&mut self, key: &str, choices: &[&str]) -> Option<String> {
        let quoted: Vec<String> = choices.iter().map(|choice| format!("{choice:?}")).collect();
        self.string_that(key, &quoted.join(" or "), |text| choices.contains(&text))
    }

    /// Reads a list of at least one name.
    pub fn names(&mut self, key: &str) -> Vec<String> {
        let names = |v: &DeValue<'t>| {
            let names: Option<Vec<String>> =
                v.as_array()?.iter().map(|v| v.get_ref().as_str().map(str::to_owned)).collect();
            names.filter(|names| !names.is_empty() && names.iter().all(|name| !name.is_empty()))
        };
        match self.value(key, "a list of names", names) {
            Some(names) => names,
            None => {
                let (section, present) =
                    (self.section.0.clone(), self.positions.iter().any(|p| p.1 == key));
                if !present {
                    self.report_at(&section, key, "a list of names expected".into());
                }
                Vec::new()
            }
        }
    }

    /// Reads a boolean.
    pub fn flag(&mut self, key: &str) -> Option<bool> {
        self.value(key, "true or false", |v| v.as_bool())
    }

    /// Reads a whole number within `range`.
    pub fn count(&mut self, key: &str, range: RangeInclusive<usize>) -> Option<usize> {
        let expected = format!("a whole number from {} to {}", range.start(), range.end());
        self.value(key, &expected, |v| integer(v).filter(|n| range.contains(n)))
    }

    /// Reads a number within `range`. `unit` names the quantity for errors.
    pub fn number(&mut self, key: &str, range: RangeInclusive<f64>, unit: &str) -> Option<f64> {
        let expected = format!("{unit} from {} to {}", range.start(), range.end());
        self.value(key, &expected, |v| float(v).filter(|n| range.contains(n)))
    }

    /// Reads a number from 0 to 1.
    pub fn share(&mut self, key: &str) -> Option<f64> {
        self.number(key, 0.0..=1.0, "a share")
    }

    /// Reads each table of a list of at least one table with `read`, as [`Reader::section`] reads a section. `read` gets
    /// the table's name with its index, for errors.
    pub fn tables<T>(
        &mut self,
        key: &str,
        mut read: impl FnMut(&mut Self, &str) -> Option<T>,
    ) -> Vec<T> {
        let non_empty_list = |v: &DeValue<'t>| v.as_array().filter(|a| !a.is_empty()).cloned();
        let section = self.section.0.clone();
        let Some(list) = self.value(key, "a list of tables", non_empty_list) else {
            self.report_missing(&section, key, "a list of tables");
            return Vec::new();
        };
        let mut tables = Vec::new();
        for (index, value) in list.into_iter().enumerate() {
            let name = format!("{section}.{key}[{index}]");
            let span = value.span();
            let DeValue::Table(table) = value.into_inner() else {
                self.report(span, name, "a table expected".to_owned());
                continue;
            };
            let outer = std::mem::replace(&mut self.section, (name.clone(), table));
            self.positions.push((name.clone(), String::new(), span));
            tables.extend(read(self, &name));
            let (_, unread) = std::mem::replace(&mut self.section, outer);
            for (key, _) in unread {
                let text = "no such key".to_owned();
                self.report(key.span(), format!("{name}.{}", key.into_inner()), text);
            }
        }
        tables
    }

    /// Reads a required string. If it is missing, reports that and returns an empty string.
    pub fn required(&mut self, key: &str, expected: &str) -> String {
        let section = self.section.0.clone();
        let given = self.string(key, expected);
        if given.is_none() {
            self.report_missing(&section, key, expected);
        }
        given.unwrap_or_default()
    }

    /// Records the position of the current section, so that missing keys are reported with its line instead of the first
    /// line of the file.
    pub fn record_section_start(&mut self) {
        self.positions.push((self.section.0.clone(), String::new(), self.section_span.clone()));
    }

    /// Reports that a key is missing, unless the key was present with an invalid value.
    pub fn report_missing(&mut self, section: &str, key: &str, expected: &str) {
        if !self.positions.iter().any(|(s, k, _)| s == section && k == key) {
            self.report_at(section, key, format!("{expected} expected"));
        }
    }

    /// Reports an error at a key that was read, or at the section if `key` is empty.
    pub fn report_at(&mut self, section: &str, key: &str, text: String) {
        let at = |key: &str| self.positions.iter().find(|(s, k, _)| s == section && k == key);
        let position = at(key).or_else(|| at(""));
        let span = position.map_or(0..0, |(.., span)| span.clone());
        let dot = if key.is_empty() { "" } else { "." };
        self.report(span, format!("{section}{dot}{key}"), text);
    }

    fn report(&mut self, span: Range<usize>, key: String, text: String) {
        self.faults.push(Fault { line: line_of(self.text, span.start), key, text });
    }

    /// Ends the reading: reports unknown sections, and returns all errors sorted by line.
    pub fn finish(mut self) -> Result<(), Vec<Fault>> {
        for (key, _) in std::mem::take(&mut self.root) {
            let text = "no such section or key".to_owned();
            self.report(key.span(), key.into_inner().into_owned(), text);
        }
        if self.faults.is_empty() {
            return Ok(());
        }
        self.faults.sort_by_key(|fault| fault.line);
        Err(self.faults)
    }
}

fn integer(value: &DeValue<'_>) -> Option<usize> {
    let integer = value.as_integer()?;
    usize::from_str_radix(integer.as_str(), integer.radix()).ok()
}

fn float(value: &DeValue<'_>) -> Option<f64> {
    match value {
        DeValue::Float(text) => text.as_str().parse().ok().filter(|f: &f64| f.is_finite()),
        _ => integer(value).map(|n| n as f64),
    }
}

/// The line of a byte position, starting at 1.
fn line_of(text: &str, at: usize) -> usize {
    1 + text.as_bytes()[..at.min(text.len())].iter().filter(|b| **b == b'\n').count()
}

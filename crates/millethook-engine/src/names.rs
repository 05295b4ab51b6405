//! Maps the names in requests, lists and reports to the indices of the settings.

use std::collections::HashMap;
use std::time::Duration;

use coppercart::api::{LoadReport, ServerEntry};
use coppercart::settings::{RetrySafety, Settings};
use serde_json::Value;

use crate::list::Host;

/// Valid values of a field in a load report. One absurd value (an overflow, a timestamp instead of a count) would
/// distort averages for as long as they remember. No server has a million requests, so a report with such a value is
/// dropped.
const REPORTED_RANGE: std::ops::RangeInclusive<f32> = 0.0..=1e6;

pub use millethook_membership::list::stable_hash;

/// A class as requests refer to it.
#[derive(Clone, Copy, Debug)]
pub struct ClassName {
    /// The index in the settings.
    pub index: usize,
    /// Whether requests may be repeated, which decides the allowed method.
    pub repeat: RetrySafety,
    /// Answers may be long.
    pub streaming: bool,
    /// Answers within this time count in full.
    pub aim: Duration,
    /// The longest time that a client of this class waits.
    pub deadline: Duration,
}

/// Maps names to indices of the settings.
#[derive(Default)]
pub struct Names {
    /// Classes by the first segment of the path.
    pub classes: HashMap<String, ClassName>,
    /// Tenants by the value of `X-Account`.
    pub tenants: HashMap<String, usize>,
    zones: Vec<String>,
    kinds: Vec<String>,
    columns: Vec<String>,
}

impl Names {
    /// Takes the names of `settings`; `raw` is the object that they were read from, which holds further names.
    ///
    /// # Errors
    /// Names the key whose value is not a name, or is a duplicate.
    pub fn new(settings: &Settings, raw: &Value) -> Result<Names, String> {
        let strings = |key: &str, name_of: fn(&Value) -> &Value| -> Result<Vec<String>, String> {
            let Some(list) = raw.get(key).and_then(Value::as_array) else {
                return Ok(Vec::new());
            };
            let names: Option<_> =
                list.iter().map(|v| name_of(v).as_str().map(str::to_owned)).collect();
            names.ok_or_else(|| format!("settings.{key}: expected a list of names"))
        };
        let mut names = Names {
            zones: settings.zones.clone(),
            kinds: strings("kinds", |v| v)?,
            columns: settings.report.columns.clone(),
            ..Names::default()
        };
        for (index, class) in settings.classes.iter().enumerate().filter(|(_, c)| !c.retired) {
            let class_name = ClassName {
                index,
                repeat: class.repeat,
                streaming: class.streaming,
                aim: Duration::from_micros(class.aim),
                deadline: Duration::from_micros(class.deadline),
            };
            if names.classes.insert(class.name.clone(), class_name).is_some() {
                return Err(format!("settings.classes[{index}].name: the name is already in use"));
            }
        }
        for (index, name) in strings("tenants", |v| &v["name"])?.into_iter().enumerate() {
            if names.tenants.insert(name, index).is_some() {
                return Err(format!("settings.tenants[{index}].name: the name is already in use"));
            }
        }
        Ok(names)
    }

    /// Converts a server to the balancer's form. Zones and kinds that the settings lack get the maximum index, which
    /// equals no configured one.
    pub fn server_entry(&self, host: &Host) -> ServerEntry {
        let index_of = |names: &[String], name: &str| names.iter().position(|n| n == name);
        ServerEntry {
            id: host.id(),
            zone: index_of(&self.zones, &host.site)
                .and_then(|i| i.try_into().ok())
                .unwrap_or(u8::MAX),
            kind: index_of(&self.kinds, &host.class)
                .and_then(|i| i.try_into().ok())
                .unwrap_or(u16::MAX),
            cell: host.block,
            health: host.state(),
            power: host.share,
            started: host.born_ms.saturating_mul(1000),
        }
    }

    /// Parses a load report (`inflight=7,queue=2,util=0.61`) into the order of the settings' columns. A report that
    /// lacks a column or has an invalid number is dropped.
    ///
    /// Servers name the fields as the settings do. If only the simulator's names were accepted, no report would ever
    /// be read, and nothing but missing confidence chips would show it. So both names are accepted.
    pub fn parse_report(&self, text: &str) -> LoadReport {
        let field = |column: &String| {
            let alias = match column.as_str() {
                "rif" => "inflight",
                "q" => "queue",
                "busy" => "util",
                "lat_ms" => "latency_ms",
                "rate" => "qps",
                "fail_rate" => "eps",
                other => other,
            };
            let fields = text.split(',').filter_map(|f| f.split_once('='));
            let matches = |k: &str| k == column || k == alias;
            let value = fields.filter(|(k, _)| matches(k.trim())).map(|(_, v)| v).next()?;
            value.trim().parse::<f32>().ok().filter(|v| REPORTED_RANGE.contains(v))
        };
        let values: Option<_> = self.columns.iter().map(field).collect();
        values.map(LoadReport).unwrap_or_default()
    }
}

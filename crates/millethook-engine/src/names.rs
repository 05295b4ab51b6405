//! The names that stand on sockets for the numbers of the settings.

use std::collections::HashMap;
use std::time::Duration;

use coppercart::api::{LoadReport, ServerEntry};
use coppercart::settings::{RetrySafety, Settings};
use serde_json::Value;

use crate::list::Host;

/// What a field of a load report may hold. Danger: one figure without sense (an overflow, a time in
/// place of a count) would spoil averages for as long as they remember. No server holds a million
/// requests; a report that says so is none.
const REPORTED: std::ops::RangeInclusive<f32> = 0.0..=1e6;

pub use millethook_membership::list::stable_hash;

/// A class as it is met on sockets.
#[derive(Clone, Copy, Debug)]
pub struct ClassName {
    /// Its place in the settings.
    pub index: usize,
    /// It decides the method.
    pub repeat: RetrySafety,
    /// Its answers may be long.
    pub streaming: bool,
    /// Answers within this time count in full.
    pub aim: Duration,
    /// The longest that a client of this class waits.
    pub deadline: Duration,
}

/// Names that stand on sockets for numbers of the settings.
#[derive(Default)]
pub struct Names {
    /// Classes by the first part of the path.
    pub classes: HashMap<String, ClassName>,
    /// Tenants by `X-Account`.
    pub tenants: HashMap<String, usize>,
    zones: Vec<String>,
    kinds: Vec<String>,
    columns: Vec<String>,
}

impl Names {
    /// Those of `settings`; `raw` is the object that they were read from, with further names.
    ///
    /// # Errors
    /// Names the key that holds no name, or one that is taken.
    pub fn new(settings: &Settings, raw: &Value) -> Result<Names, String> {
        let strings = |key: &str, of: fn(&Value) -> &Value| -> Result<Vec<String>, String> {
            let Some(list) = raw.get(key).and_then(Value::as_array) else {
                return Ok(Vec::new());
            };
            let names: Option<_> = list.iter().map(|v| of(v).as_str().map(str::to_owned)).collect();
            names.ok_or_else(|| format!("settings.{key}: names expected"))
        };
        let mut names = Names {
            zones: settings.zones.clone(),
            kinds: strings("kinds", |v| v)?,
            columns: settings.report.columns.clone(),
            ..Names::default()
        };
        for (index, class) in settings.classes.iter().enumerate().filter(|(_, c)| !c.retired) {
            let of = ClassName {
                index,
                repeat: class.repeat,
                streaming: class.streaming,
                aim: Duration::from_micros(class.aim),
                deadline: Duration::from_micros(class.deadline),
            };
            if names.classes.insert(class.name.clone(), of).is_some() {
                return Err(format!("settings.classes[{index}].name: a name of its own expected"));
            }
        }
        for (index, name) in strings("tenants", |v| &v["name"])?.into_iter().enumerate() {
            if names.tenants.insert(name, index).is_some() {
                return Err(format!("settings.tenants[{index}].name: a name of its own expected"));
            }
        }
        Ok(names)
    }

    /// A server as the module takes it. A zone or kind that the settings lack is like no other.
    pub fn entry(&self, host: &Host) -> ServerEntry {
        let place = |names: &[String], name: &str| names.iter().position(|n| n == name);
        ServerEntry {
            id: host.id(),
            zone: place(&self.zones, &host.site).and_then(|i| i.try_into().ok()).unwrap_or(u8::MAX),
            kind: place(&self.kinds, &host.class)
                .and_then(|i| i.try_into().ok())
                .unwrap_or(u16::MAX),
            cell: host.block,
            health: host.state(),
            power: host.share,
            started: host.born_ms.saturating_mul(1000),
        }
    }

    /// A load report (`inflight=7,queue=2,util=0.61`) in the order of the settings' columns. One
    /// that lacks a column or holds no number is none.
    ///
    /// Danger: servers name the fields as the settings do; looked for under the simulator's words
    /// alone no report is ever read, and nothing but the missing chips tells. Both words count.
    pub fn report(&self, text: &str) -> LoadReport {
        let field = |column: &String| {
            let plain = match column.as_str() {
                "rif" => "inflight",
                "q" => "queue",
                "busy" => "util",
                "lat_ms" => "latency_ms",
                "rate" => "qps",
                "fail_rate" => "eps",
                other => other,
            };
            let fields = text.split(',').filter_map(|f| f.split_once('='));
            let named = |k: &str| k == column || k == plain;
            let value = fields.filter(|(k, _)| named(k.trim())).map(|(_, v)| v).next()?;
            value.trim().parse::<f32>().ok().filter(|v| REPORTED.contains(v))
        };
        let values: Option<_> = self.columns.iter().map(field).collect();
        values.map(LoadReport).unwrap_or_default()
    }
}

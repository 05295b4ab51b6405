//! Units: the dimension of a figure, the multiple it is written in, and its printed form.

use std::fmt;

/// The dimension of a figure. Values are stored in the base unit that each variant names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Dimension {
    /// Bytes.
    Bytes,
    /// Bytes per second.
    BytesPerSecond,
    /// Seconds.
    Seconds,
    /// Cores: seconds of processor time per second.
    Cores,
    /// A share of 1.
    Share,
    /// A number of things of the given name.
    Count(String),
}

/// A unit as written in files: a dimension, and a factor to the base unit.
#[derive(Clone, Debug, PartialEq)]
pub struct Unit {
    /// The dimension.
    pub dimension: Dimension,
    /// Number of base units in one unit.
    pub scale: f64,
}

impl Unit {
    /// Parses the name of a unit. An unknown name counts things of that name.
    pub fn parse(name: &str) -> Unit {
        use Dimension::{Bytes, BytesPerSecond, Cores, Seconds, Share};
        let (dimension, scale) = match name {
            "B" | "byte" | "bytes" => (Bytes, 1.0),
            "kB" | "KB" => (Bytes, 1e3),
            "KiB" | "kiB" => (Bytes, 1024.0),
            "MB" => (Bytes, 1e6),
            "MiB" => (Bytes, 1024.0 * 1024.0),
            "GB" => (Bytes, 1e9),
            "B/s" | "bytes/s" | "bytes a second" | "bytes per second" => (BytesPerSecond, 1.0),
            "kB/s" | "KB/s" => (BytesPerSecond, 1e3),
            "MB/s" => (BytesPerSecond, 1e6),
            "s" | "second" | "seconds" => (Seconds, 1.0),
            "ms" => (Seconds, 1e-3),
            "us" | "µs" => (Seconds, 1e-6),
            "ns" => (Seconds, 1e-9),
            "core" | "cores" => (Cores, 1.0),
            "% of a core" | "percent of a core" | "% core" => (Cores, 0.01),
            "us/s" => (Cores, 1e-6),
            "ms/s" => (Cores, 1e-3),
            "share" => (Share, 1.0),
            other => (Dimension::Count(other.to_owned()), 1.0),
        };
        Unit { dimension, scale }
    }
}

/// A value in base units with its dimension.
#[derive(Clone, Debug)]
pub struct Quantity<'a> {
    /// The value, in base units.
    pub value: f64,
    /// Its dimension.
    pub dimension: &'a Dimension,
}

impl fmt::Display for Quantity<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.value.is_infinite() {
            let time = *self.dimension == Dimension::Seconds;
            return f.write_str(if time { "never" } else { "infinite" });
        }
        let multiples: &[(f64, &str)] = match self.dimension {
            Dimension::Bytes => &[(1e9, "GB"), (1e6, "MB"), (1e3, "kB"), (0.0, "B")],
            Dimension::BytesPerSecond => {
                &[(1e9, "GB/s"), (1e6, "MB/s"), (1e3, "kB/s"), (0.0, "B/s")]
            }
            Dimension::Seconds => &[(1.0, "s"), (1e-3, "ms"), (1e-6, "µs"), (0.0, "ns")],
            Dimension::Cores => return write!(f, "{}% of a core", number(self.value * 100.0)),
            Dimension::Share => return write!(f, "{}%", number(self.value * 100.0)),
            Dimension::Count(name) => return write!(f, "{} {name}", number(self.value)),
        };
        let size = self.value.abs();
        let chosen = multiples.iter().find(|(least, _)| size >= *least && size > 0.0);
        let Some((least, name)) = chosen else {
            let base = multiples.iter().find(|m| m.0 == 1.0).or(multiples.last());
            return write!(f, "0 {}", base.map_or("", |m| m.1));
        };
        let base = match (self.dimension, *least) {
            (Dimension::Seconds, 0.0) => 1e-9,
            (_, 0.0) => 1.0,
            (_, least) => least,
        };
        write!(f, "{} {name}", number(self.value / base))
    }
}

/// Number of significant digits in a printed figure.
const SIGNIFICANT_DIGITS: i32 = 3;

/// Formats a number with three significant digits and commas between thousands.
pub fn number(value: f64) -> String {
    if value == 0.0 {
        return "0".to_owned();
    }
    let magnitude = value.abs().log10().floor() as i32;
    let decimals = (SIGNIFICANT_DIGITS - 1 - magnitude).max(0) as usize;
    // Digits before the decimal point are never rounded away, such as in a number of servers.
    let text = format!("{value:.decimals$}");
    let (whole, fraction) = text.split_once('.').unwrap_or((&text, ""));
    let fraction = fraction.trim_end_matches('0');
    let (sign, digits) = whole.strip_prefix('-').map_or(("", whole), |digits| ("-", digits));
    let mut grouped = String::new();
    for (at, digit) in digits.chars().enumerate() {
        if at > 0 && (digits.len() - at) % 3 == 0 {
            grouped.push(',');
        }
        grouped.push(digit);
    }
    let point = if fraction.is_empty() { "" } else { "." };
    format!("{sign}{grouped}{point}{fraction}")
}

//! Finds the first key whose value differs between two configurations.

use serde_json::Value;

/// The path of the first difference between two values, and both values as text; `at` is the path of
/// the values themselves.
pub(super) fn difference(at: &str, a: &Value, b: &Value) -> Option<(String, String, String)> {
    match (a, b) {
        (Value::Object(x), Value::Object(y)) => {
            let keys = x.keys().chain(y.keys().filter(|k| !x.contains_key(*k)));
            let (dot, null) = (if at.is_empty() { "" } else { "." }, Value::Null);
            keys.filter_map(|key| {
                let of = |side: &serde_json::Map<String, Value>| side.get(key).cloned();
                let (left, right) = (of(x), of(y));
                let (left, right) =
                    (left.as_ref().unwrap_or(&null), right.as_ref().unwrap_or(&null));
                difference(&format!("{at}{dot}{key}"), left, right)
            })
            .next()
        }
        (Value::Array(x), Value::Array(y)) if x.len() == y.len() => {
            let pairs = x.iter().zip(y).enumerate();
            pairs.filter_map(|(i, (x, y))| difference(&format!("{at}[{i}]"), x, y)).next()
        }
        _ if a == b => None,
        _ => Some((at.to_owned(), a.to_string(), b.to_string())),
    }
}

//! Metrics as StatsD lines: `name:value|c` for counters since the start, `name:value|g` for gauges.

use std::fmt::{Display, Write};

use millethook_engine::Engine;
use millethook_engine::figures::Counter;

/// The prefix of each metric name.
const PREFIX: &str = "sidecar";

/// Lines of metrics in StatsD format.
#[derive(Debug, Default)]
pub struct StatsdLines(String);

impl StatsdLines {
    /// Adds a counter since the start.
    pub fn count(&mut self, name: impl Display, value: u64) {
        let _ = writeln!(self.0, "{PREFIX}.{name}:{value}|c");
    }

    /// Adds a gauge with the current value.
    pub fn gauge(&mut self, name: impl Display, value: usize) {
        let _ = writeln!(self.0, "{PREFIX}.{name}:{value}|g");
    }

    /// Returns the lines.
    pub fn into_string(self) -> String {
        self.0
    }
}

/// Adds the metrics of an engine.
pub fn write_engine_metrics(lines: &mut StatsdLines, engine: &Engine) {
    for (class, counts) in engine.figures.by_class() {
        let class = MetricName(&class);
        lines.count(format_args!("succeeded.{class}"), counts.succeeded);
        lines.count(format_args!("declined.{class}"), counts.declined);
        lines.count(format_args!("aborted.{class}"), counts.aborted);
    }
    let servers = engine.driver.server_counts();
    lines.count("forwards", engine.figures.attempts_written());
    for counter in Counter::ALL {
        lines.count(counter.name(), engine.figures.counted(counter));
    }
    lines.gauge("outstanding", engine.driver.outstanding());
    lines.gauge("discovered", servers.listed);
    lines.gauge("ejected", servers.avoided);
}

/// A name from the settings, with characters that have a meaning in StatsD replaced. Without this, a class named `a:1|c`
/// would be read as a metric.
struct MetricName<'a>(&'a str);

impl Display for MetricName<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for c in self.0.chars() {
            let reserved =
                matches!(c, ':' | '|' | '@' | '#') || c.is_whitespace() || c.is_control();
            f.write_char(if reserved { '_' } else { c })?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lines_are_valid_statsd() {
        let mut lines = StatsdLines::default();
        lines.count(format_args!("succeeded.{}", MetricName("log-page")), 812);
        lines.gauge("outstanding", 14);
        lines.count(MetricName("a:1|c\nb @x#y"), 0);
        assert_eq!(
            lines.into_string(),
            "sidecar.succeeded.log-page:812|c\nsidecar.outstanding:14|g\nsidecar.a_1_c_b__x_y:0|c\n"
        );
    }
}

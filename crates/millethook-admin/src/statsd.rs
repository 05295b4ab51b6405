//! Figures as StatsD lines: `name:value|c` for counts since the start, `name:value|g` for what is now.

use std::fmt::{Display, Write};

use millethook_engine::Engine;

/// What stands before each name.
const PREFIX: &str = "sidecar";

/// StatsdLines of figures.
#[derive(Debug, Default)]
pub struct StatsdLines(String);

impl StatsdLines {
    /// A count since the start.
    pub fn count(&mut self, name: impl Display, value: u64) {
        let _ = writeln!(self.0, "{PREFIX}.{name}:{value}|c");
    }

    /// What is now.
    pub fn gauge(&mut self, name: impl Display, value: usize) {
        let _ = writeln!(self.0, "{PREFIX}.{name}:{value}|g");
    }

    /// The lines.
    pub fn into_string(self) -> String {
        self.0
    }
}

/// The figures of an engine.
pub fn write_engine_metrics(lines: &mut StatsdLines, engine: &Engine) {
    for (class, of) in engine.figures.by_class() {
        let class = Name(&class);
        lines.count(format_args!("succeeded.{class}"), of.succeeded);
        lines.count(format_args!("declined.{class}"), of.declined);
        lines.count(format_args!("aborted.{class}"), of.aborted);
    }
    let servers = engine.driver.server_counts();
    lines.count("forwards", engine.figures.attempts_written());
    lines.gauge("outstanding", engine.driver.outstanding());
    lines.gauge("discovered", servers.listed);
    lines.gauge("ejected", servers.avoided);
}

/// A name from the settings, without the characters that end a name here. Danger: a class called
/// `a:1|c` would be read as a figure.
struct Name<'a>(&'a str);

impl Display for Name<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for c in self.0.chars() {
            let ends = matches!(c, ':' | '|' | '@' | '#') || c.is_whitespace() || c.is_control();
            f.write_char(if ends { '_' } else { c })?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lines_read_as_statsd_does() {
        let mut lines = StatsdLines::default();
        lines.count(format_args!("succeeded.{}", Name("log-page")), 812);
        lines.gauge("outstanding", 14);
        lines.count(Name("a:1|c\nb @x#y"), 0);
        assert_eq!(
            lines.into_string(),
            "sidecar.succeeded.log-page:812|c\nsidecar.outstanding:14|g\nsidecar.a_1_c_b__x_y:0|c\n"
        );
    }
}

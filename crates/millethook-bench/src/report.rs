//! Tables, CSV and plots.

use std::path::Path;

use hdrhistogram::Histogram;
use plotters::prelude::*;

use crate::BenchError;

/// A table of figures. Each row starts with two names.
pub struct Table {
    columns: Vec<&'static str>,
    rows: Vec<(String, String, Vec<f64>)>,
}

impl Table {
    /// Creates an empty table. The first two columns hold names.
    pub fn new(columns: &[&'static str]) -> Table {
        Table { columns: columns.to_vec(), rows: Vec::new() }
    }

    /// Appends a row.
    pub fn row(&mut self, first: &str, second: &str, figures: &[f64]) {
        let row = (first.to_owned(), second.to_owned(), figures.to_vec());
        eprintln!("{} {}: {:?}", row.0, row.1, row.2);
        self.rows.push(row);
    }

    /// Prints the table as Markdown.
    pub fn print(&self) {
        println!("| {} |", self.columns.join(" | "));
        println!("|{}", " --- |".repeat(self.columns.len()));
        for (first, second, figures) in &self.rows {
            let figures: Vec<String> = figures.iter().map(|f| format_figure(*f)).collect();
            println!("| {first} | {second} | {} |", figures.join(" | "));
        }
    }

    /// Writes the table as CSV.
    ///
    /// # Errors
    /// Fails if the file cannot be written.
    pub fn save(&self, path: &Path) -> Result<(), BenchError> {
        let mut text = self.columns.join(",") + "\n";
        for (first, second, figures) in &self.rows {
            let figures: Vec<String> = figures.iter().map(|f| format!("{f:.4}")).collect();
            text += &format!("{first},{second},{}\n", figures.join(","));
        }
        std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()).into())
    }
}

fn format_figure(figure: f64) -> String {
    match figure.abs() {
        f if f >= 1000.0 => format!("{figure:.0}"),
        f if f >= 10.0 => format!("{figure:.1}"),
        f if f >= 1.0 => format!("{figure:.2}"),
        _ => format!("{figure:.3}"),
    }
}

/// Plots answer times by quantile, one line per contestant. Both axes are logarithmic, so that the tail is visible.
///
/// # Errors
/// Fails if the file cannot be written.
pub fn plot(
    path: &Path,
    title: &str,
    lines: &[(String, Histogram<u64>)],
) -> Result<(), BenchError> {
    let area = SVGBackend::new(path, (860, 480)).into_drawing_area();
    area.fill(&WHITE)?;
    let quantiles: Vec<f64> =
        (0..=80).map(|i| 1.0 - 10f64.powf(-f64::from(i) / 20.0 * 0.75)).collect();
    let most = lines.iter().map(|(_, times)| times.max()).max().unwrap_or(1).max(1000) as f64 / 1e3;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(44)
        .y_label_area_size(64)
        .build_cartesian_2d((1f64..1000f64).log_scale(), (0.05f64..most).log_scale())?;
    chart
        .configure_mesh()
        .x_desc("share of requests that took longer (1 in ...)")
        .y_desc("ms from when the request was due")
        .draw()?;
    for (n, (name, times)) in lines.iter().enumerate() {
        let color = Palette99::pick(n).to_rgba();
        let points = quantiles.iter().map(|q| {
            let one_in = 1.0 / (1.0 - q).max(1e-4);
            (one_in.min(1000.0), (times.value_at_quantile(*q) as f64 / 1e3).max(0.05))
        });
        chart.draw_series(LineSeries::new(points, color.stroke_width(2)))?.label(name).legend(
            move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], color.stroke_width(2)),
        );
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}

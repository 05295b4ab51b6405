//! Writes the results of a run: figures as JSON, tables as CSV, and a self-contained HTML page with plots.

use std::io;
use std::path::{Path, PathBuf};

use plotters::prelude::*;
use serde::Serialize;

use crate::figures::Figures;
use crate::ledger::judge::Breach;
use crate::world::Outcome;

/// Name of the file of figures in a run's folder.
pub const FIGURES_FILE: &str = "figures.json";
/// Name of the HTML page in a run's folder.
pub const PAGE_FILE: &str = "report.html";
/// How many levels below the given folder runs are searched for.
const MAX_FOLDER_DEPTH: usize = 4;

/// Writes the results of a run to its folder.
///
/// # Errors
/// A file cannot be written.
pub fn write(
    folder: &Path,
    figures: &Figures,
    outcome: &Outcome,
    breaches: &[Breach],
) -> io::Result<()> {
    std::fs::create_dir_all(folder)?;
    std::fs::write(folder.join(FIGURES_FILE), serde_json::to_string_pretty(figures)?)?;
    let mut text = String::new();
    for breach in breaches {
        text += &format!("{}: {}\n", breach.rule, breach.text);
        breach.history.iter().for_each(|step| text += &format!("    {step}\n"));
    }
    std::fs::write(folder.join("breaches.txt"), text)?;
    write_csv(
        &folder.join("requests.csv"),
        outcome.records.requests.iter().map(|r| {
            (r.id.to_hex(), r.class, r.due, r.sent, r.left, r.ended, format!("{:?}", r.end))
        }),
    )?;
    write_csv(
        &folder.join("attempts.csv"),
        outcome.records.attempts.iter().map(|a| {
            let server = outcome.records.servers[a.server].name.as_str();
            (
                a.id.to_hex(),
                server,
                a.first_byte,
                a.arrived,
                a.work,
                a.ran,
                a.ended,
                format!("{:?}", a.fate),
            )
        }),
    )?;
    write_csv(
        &folder.join("told.csv"),
        outcome.records.notices.iter().map(|t| {
            let server = outcome.records.servers[t.server].name.as_str();
            (t.at, format!("n{}", t.sidecar), server, format!("{:?}", t.listed))
        }),
    )?;
    write_csv(
        &folder.join("processes.csv"),
        outcome.processes.iter().map(|p| {
            let name = p.sidecar.map_or("lab".to_owned(), |n| format!("n{n}"));
            let u = p.usage;
            (p.at, name, u.cpu_s, u.memory_kib, u.descriptors, u.waited_s)
        }),
    )?;
    let mut handshakes = vec![0u64; outcome.traffic.len()];
    for attempt in outcome.records.attempts.iter().filter(|a| a.fresh) {
        handshakes[attempt.id.sidecar()] += 1;
    }
    write_csv(
        &folder.join("traffic.csv"),
        outcome
            .traffic
            .iter()
            .zip(handshakes)
            .enumerate()
            .map(|(n, (t, handshakes))| (format!("n{n}"), handshakes, t.0, t.1, t.2)),
    )?;
    let servers = outcome.servers.iter().flat_map(|sample| {
        let load = sample.load.iter().enumerate();
        load.filter_map(|(place, load)| {
            load.map(|(taken, waiting)| (sample.at, place, taken, waiting))
        })
    });
    write_csv(&folder.join("servers.csv"), servers)?;
    write_csv(
        &folder.join("windows.csv"),
        figures
            .windows
            .iter()
            .map(|w| (w.at_s, w.load, w.imbalance, w.cv, w.cv_random, w.attempts)),
    )?;
    write_page(folder, std::slice::from_ref(figures))
}

fn write_csv<R: Serialize>(path: &Path, rows: impl Iterator<Item = R>) -> io::Result<()> {
    let mut file = csv::WriterBuilder::new().has_headers(false).from_path(path)?;
    for row in rows {
        file.serialize(row)?;
    }
    file.flush()
}

/// Reads the figures of all runs in a folder and its subfolders, in the order of their paths.
///
/// # Errors
/// A folder or file cannot be read, or does not hold figures of this version.
pub fn read(folder: &Path) -> io::Result<Vec<Figures>> {
    let mut found = Vec::new();
    collect(folder, MAX_FOLDER_DEPTH, &mut found)?;
    found.sort();
    let read = |path: PathBuf| {
        let text = std::fs::read_to_string(&path)?;
        serde_json::from_str(&text).map_err(|e| {
            io::Error::other(format!("{}: figures of a run expected: {e}", path.display()))
        })
    };
    found.into_iter().map(read).collect()
}

fn collect(folder: &Path, depth: usize, found: &mut Vec<PathBuf>) -> io::Result<()> {
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        if path.is_dir() && depth > 0 {
            collect(&path, depth - 1, found)?;
        } else if path.file_name().is_some_and(|name| name == FIGURES_FILE) {
            found.push(path);
        }
    }
    Ok(())
}

/// Writes one HTML page that shows all the given runs.
///
/// # Errors
/// The page cannot be written, or a plot cannot be drawn.
pub fn write_page(folder: &Path, runs: &[Figures]) -> io::Result<()> {
    let mut html = String::from(
        "<!doctype html><meta charset=\"utf-8\"><title>Fleet runs</title><style>body{font:14px sans-serif;\
         margin:2em;max-width:70em}table{border-collapse:collapse;margin:1em 0}td,th{border:1px solid #ccc;\
         padding:.2em .6em;text-align:right}td:first-child,th:first-child{text-align:left}.bad{color:#a00}\
         </style><h1>Fleet runs</h1>",
    );
    html += &summary_table(runs);
    for run in runs {
        html += &run_section(run)?;
    }
    std::fs::write(folder.join(PAGE_FILE), html)
}

fn row(cells: &[String]) -> String {
    let cells: String = cells.iter().map(|c| format!("<td>{}</td>", escape(c))).collect();
    format!("<tr>{cells}</tr>")
}

fn table(columns: &[&str], rows: impl Iterator<Item = Vec<String>>) -> String {
    let head: String = columns.iter().map(|c| format!("<th>{c}</th>")).collect();
    let rows: String = rows.map(|r| row(&r)).collect();
    format!("<table><tr>{head}</tr>{rows}</table>")
}

fn summary_table(runs: &[Figures]) -> String {
    let columns = [
        "timeline",
        "seed",
        "sidecars",
        "servers",
        "served",
        "attempts",
        "handshakes",
        "imbalance",
        "cv",
        "cv of random",
        "idle while queued, s",
        "datagrams",
        "arrivals late p99, ms",
        "verdict",
    ];
    let rows = runs.iter().map(|f| {
        let verdict = match (&f.void, f.faults.len()) {
            (Some(_), _) => "does not count".to_owned(),
            (None, 0) => "holds".to_owned(),
            (None, n) => format!("{n} faults"),
        };
        vec![
            f.timeline.clone(),
            f.seed.to_string(),
            f.sidecars.to_string(),
            f.servers.to_string(),
            format!("{:.3}", f.served),
            format!("{:.2}", f.attempts),
            format!("{:.3}", f.handshakes),
            format!("{:.2}", f.imbalance),
            format!("{:.2}", f.cv),
            format!("{:.2}", f.cv_random),
            format!("{:.1}", f.idle_while_queued_s),
            f.datagrams.to_string(),
            format!("{:.1}", f.late_p99_ms),
            verdict,
        ]
    });
    table(&columns, rows)
}

fn run_section(f: &Figures) -> io::Result<String> {
    let mut html = format!(
        "<h2>{}, seed {}</h2><p>{}</p><p>Plan {}.</p>",
        escape(&f.timeline),
        f.seed,
        escape(&f.about),
        f.digest
    );
    let faults = f.void.iter().chain(&f.faults).take(50);
    let faults: String = faults.map(|t| format!("<li class=\"bad\">{}</li>", escape(t))).collect();
    html += &format!("<ul>{faults}</ul>");
    let columns = [
        "class",
        "offered",
        "in aim",
        "late",
        "refused",
        "failed",
        "unreached",
        "p50 ms",
        "p99 ms",
    ];
    html += &table(
        &columns,
        f.classes.iter().map(|(name, c)| {
            let counts = [c.offered, c.in_aim, c.late, c.refused, c.failed, c.unreached];
            let mut cells = vec![name.clone()];
            cells.extend(counts.map(|n| n.to_string()));
            cells.extend([c.p50_ms, c.p99_ms].map(|t| format!("{t:.1}")));
            cells
        }),
    );
    let columns = [
        "event",
        "at s",
        "ends s",
        "served before",
        "worst second",
        "back after s",
        "herd 50 ms",
        "herd 250 ms",
        "views agree after s",
    ];
    html += &table(
        &columns,
        f.events.iter().map(|e| {
            vec![
                e.name.clone(),
                format!("{:.1}", e.at_s),
                format!("{:.1}", e.end_s),
                format!("{:.3}", e.before),
                format!("{:.3}", e.worst),
                e.back_s.map_or("not".into(), |b| format!("{b:.2}")),
                format!("{:.1}", e.herds[0]),
                format!("{:.1}", e.herds[1]),
                e.view_agrees_s.map_or("-".into(), |s| format!("{s:.2}")),
            ]
        }),
    );
    let p = &f.processes;
    html += &format!(
        "<p>Daemons: {:.1} s of processor time in sum, {:.1} MB at most, {:.1} MB in the mean, {} descriptors at \
         most. Lab: {:.1} s, {:.0} MB.</p>",
        p.daemons_cpu_s, p.daemon_mb, p.daemon_mean_mb, p.descriptors, p.lab_cpu_s, p.lab_mb
    );
    let service = f.classes.keys().map(|name| {
        let points = f.windows.iter().filter_map(|w| Some((w.at_s, *w.in_aim.get(name)?)));
        (name.clone(), points.collect())
    });
    let service: Vec<(String, Vec<(f64, f64)>)> = service.collect();
    let line = |of: fn(&crate::figures::Window) -> f64| -> Vec<(f64, f64)> {
        f.windows.iter().map(|w| (w.at_s, of(w))).collect()
    };
    html += &plot("served in aim, by class", f, &service)?;
    let spread = [
        ("highest load over the mean".to_owned(), line(|w| w.imbalance)),
        ("variation of arrivals".to_owned(), line(|w| w.cv)),
        ("that of random choice".to_owned(), line(|w| w.cv_random)),
    ];
    html += &plot("spread over servers", f, &spread)?;
    html += &plot("mean load of a server", f, &[("requests".to_owned(), line(|w| w.load))])?;
    Ok(html)
}

const COLOURS: [RGBColor; 6] = [
    RGBColor(0, 114, 178),
    RGBColor(213, 94, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(86, 180, 233),
    RGBColor(0, 0, 0),
];

fn plot(title: &str, f: &Figures, lines: &[(String, Vec<(f64, f64)>)]) -> io::Result<String> {
    let mut svg = String::new();
    draw(&mut svg, title, f, lines).map_err(|e| io::Error::other(e.to_string()))?;
    Ok(svg)
}

type Lines = [(String, Vec<(f64, f64)>)];

fn draw(
    svg: &mut String,
    title: &str,
    f: &Figures,
    lines: &Lines,
) -> Result<(), Box<dyn std::error::Error>> {
    let all = lines.iter().flat_map(|l| &l.1);
    let y_max = all.clone().map(|p| p.1).fold(0.0, f64::max).max(0.1) * 1.05;
    let (from, to) = all.fold((f64::MAX, 0.0_f64), |(a, b), p| (a.min(p.0), b.max(p.0)));
    if from >= to {
        return Ok(());
    }
    let root = SVGBackend::with_string(svg, (900, 260)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 15))
        .margin(8)
        .x_label_area_size(26)
        .y_label_area_size(44)
        .build_cartesian_2d(from..to, 0.0..y_max)?;
    chart.configure_mesh().light_line_style(TRANSPARENT).x_desc("seconds").draw()?;
    for event in &f.events {
        let mark = [(event.at_s, 0.0), (event.at_s, y_max)];
        chart.draw_series(LineSeries::new(mark, RGBColor(150, 150, 150).stroke_width(1)))?;
        if event.end_s > event.at_s {
            let mark = [(event.end_s, 0.0), (event.end_s, y_max)];
            chart.draw_series(LineSeries::new(mark, RGBColor(210, 210, 210).stroke_width(1)))?;
        }
    }
    for (n, (name, points)) in lines.iter().enumerate() {
        let colour = COLOURS[n % COLOURS.len()];
        chart
            .draw_series(LineSeries::new(points.iter().copied(), colour.stroke_width(2)))?
            .label(name.clone())
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 14, y)], colour));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw()?;
    root.present()?;
    Ok(())
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

//! The table of events in the operators' documentation lists exactly the events of the code, with
//! their levels.

use std::collections::BTreeMap;
use std::path::Path;

const PAGE: &str = include_str!("../../../docs/operate/discovery-down.md");

/// Collects the events of each source file in a folder, with their levels.
fn collect(folder: &Path, found: &mut BTreeMap<String, String>) {
    for entry in std::fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            collect(&path, found);
        } else if path.extension().is_some_and(|e| e == "rs") {
            let text = std::fs::read_to_string(&path).expect("a file");
            for call in text.split("tracing::").skip(1) {
                let Some((level, rest)) = call.split_once("!(") else { continue };
                if !["error", "warn", "info", "debug", "trace"].contains(&level) {
                    continue;
                }
                let event = rest.trim_start().strip_prefix("event = \"");
                let event = event.and_then(|e| e.split('"').next());
                let event =
                    event.unwrap_or_else(|| panic!("{}: no event: {rest:.60}", path.display()));
                found.insert(event.to_owned(), level.to_owned());
            }
        }
    }
}

#[test]
fn the_table_of_events_is_that_of_the_code() {
    let mut of_code = BTreeMap::new();
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    for entry in std::fs::read_dir(crates).expect("a folder") {
        let entry = entry.expect("an entry");
        // The lab is a separate tool; the page describes the daemon and the library.
        if entry.file_name() == "millethook-lab" {
            continue;
        }
        let source = entry.path().join("src");
        if source.is_dir() {
            collect(&source, &mut of_code);
        }
    }
    let (_, table) = PAGE.split_once("## All events").expect("the table");
    let mut of_page = BTreeMap::new();
    for line in table.lines().filter(|line| line.starts_with("| `")) {
        let mut cells = line.trim_matches('|').split('|').map(str::trim);
        let (events, level) = (cells.next().expect("events"), cells.next().expect("a level"));
        for event in events.split(", ") {
            of_page.insert(event.trim_matches('`').to_owned(), level.to_owned());
        }
    }
    assert_eq!(of_page, of_code);
}

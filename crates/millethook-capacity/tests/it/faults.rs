//! Invalid measurements, invalid figures and a page edited by hand: each error names the location, the value found
//! and the expected value.

use std::path::Path;

use millethook_capacity::{FIGURES, MEASUREMENTS, PAGE, check, write};
use tempfile::TempDir;

const HEADER: &str = "measurement,unit,size_of,size,seed,value,kind,machine,load\n";
const ROWS: &str = "resident,MB,members,60,1,10,processes,8 cores,quiet\n\
                    resident,MB,members,600,1,15.4,processes,8 cores,quiet\n";
const TOML: &str = r#"
[parameters.servers]
value = 16000
unit = "servers"
meaning = "servers"
doubles = true

[slopes.member_memory]
file = "memory.csv"
measurement = "resident"
fit = "linear"
unit = "MB"

[slopes.absent]
file = "memory.csv"
measurement = "nobody measured this"
fit = "constant"
unit = "MB"

[derived.view]
formula = "member_memory * servers"
unit = "MB"
meaning = "the view"

[[row]]
table = "sidecar"
resource = "memory"
formula = "member_memory_at_0 + view"
unit = "MB"
budget = "256 * 10^6"
mechanism = "view"

[[row]]
table = "sidecar"
resource = "another"
formula = "absent"
unit = "MB"
budget = "1"
mechanism = "none"
"#;
const TABLES: [&str; 7] =
    ["parameters", "derived", "slopes", "does-not-fit", "doubled", "not-measured", "sidecar"];

/// Creates a repository with these files and a page with all markers.
fn repository(csv: &str, figures: &str) -> TempDir {
    let root = TempDir::new().expect("a folder");
    std::fs::create_dir_all(root.path().join(MEASUREMENTS)).expect("a folder");
    let file = |name: &str, text: &str| {
        std::fs::write(root.path().join(name), text).expect("a file");
    };
    file(&format!("{MEASUREMENTS}/memory.csv"), csv);
    file(FIGURES, figures);
    let marker = |table: &&str| format!("<!-- table: {table} -->\n<!-- end -->\n");
    file(PAGE, &TABLES.iter().map(marker).collect::<String>());
    root
}

fn valid_repository() -> TempDir {
    repository(&format!("{HEADER}{ROWS}"), TOML)
}

/// Asserts that `write` fails with an error that contains all `parts`.
fn assert_write_fails(root: &Path, parts: &[&str]) {
    let error = write(root).expect_err("a fault").to_string();
    for part in parts {
        assert!(error.contains(part), "{part:?} expected in {error:?}");
    }
}

fn page(root: &Path) -> String {
    std::fs::read_to_string(root.join(PAGE)).expect("the page")
}

#[test]
fn computed_figures_are_written_and_pass_the_check() {
    let root = valid_repository();
    write(root.path()).expect("sound files");
    check(root.path()).expect("what was just written");
    let page = page(root.path());
    // 9.4 MB at size 0, plus 10 kB for each of 16,000 servers.
    assert!(page.contains("| 169 MB | 256 MB | view | yes |"), "{page}");
    assert!(page.contains("| not measured: absent | 1 B | none | not measured |"), "{page}");
    // 329 MB at twice the design size.
    assert!(
        page.contains("| sidecar | memory | 169 MB | 329 MB | 256 MB | 1.29 times |"),
        "{page}"
    );
}

#[test]
fn a_figure_edited_by_hand_fails_the_check() {
    let root = valid_repository();
    write(root.path()).expect("sound files");
    let changed = page(root.path()).replace("| 169 MB | 256 MB |", "| 101 MB | 256 MB |");
    std::fs::write(root.path().join(PAGE), changed).expect("the page");
    let error = check(root.path()).expect_err("a difference").to_string();
    for part in ["CAPACITY.md: line ", "table `sidecar`, row `memory`", "101 MB", "169 MB"] {
        assert!(error.contains(part), "{part:?} expected in {error:?}");
    }
}

#[test]
fn new_measurements_make_an_outdated_page_fail() {
    let root = valid_repository();
    write(root.path()).expect("sound files");
    let more = format!("{HEADER}{ROWS}resident,MB,members,6000,1,90,processes,8 cores,quiet\n");
    std::fs::write(root.path().join(MEASUREMENTS).join("memory.csv"), more).expect("a file");
    assert!(check(root.path()).is_err());
}

#[test]
fn the_error_names_a_missing_column() {
    let root = repository("measurement,unit,size,seed,value\n", TOML);
    assert_write_fails(
        root.path(),
        &["memory.csv: line 1", "column `size_of` expected", "size,seed"],
    );
}

#[test]
fn the_error_names_the_line_of_a_field_that_is_not_a_number() {
    for found in ["much", "nan", ""] {
        let row = format!("resident,MB,members,60,1,{found},processes,8 cores,quiet\n");
        let root = repository(&format!("{HEADER}{ROWS}{row}"), TOML);
        let found = format!("found `{found}`");
        assert_write_fails(
            root.path(),
            &["memory.csv: line 4, column `value`", "a number expected", &found],
        );
    }
}

#[test]
fn an_infinite_measurement_exceeds_any_budget() {
    let never = "resident,MB,members,6000,1,inf,processes,8 cores,quiet\n";
    let root = repository(&format!("{HEADER}{ROWS}{never}"), TOML);
    write(root.path()).expect("sound files");
    assert!(page(root.path()).contains("| 256 MB | view | **no** |"), "{}", page(root.path()));
    let size = "resident,MB,members,inf,1,10,processes,8 cores,quiet\n";
    let root = repository(&format!("{HEADER}{ROWS}{size}"), TOML);
    assert_write_fails(
        root.path(),
        &["memory.csv: line 4, column `size`", "a finite number expected"],
    );
}

#[test]
fn the_error_names_a_line_with_too_few_fields() {
    let root = repository(&format!("{HEADER}resident,MB\n"), TOML);
    assert_write_fails(root.path(), &["memory.csv", "line: 2"]);
}

#[test]
fn the_error_names_an_unknown_or_missing_key() {
    let unknown = TOML.replace("doubles = true", "double = true");
    assert_write_fails(
        repository_with(&unknown).path(),
        &["figures.toml", "line 6", "unknown field `double`"],
    );
    let missing = TOML.replacen("mechanism = \"view\"\n", "", 1);
    assert_write_fails(
        repository_with(&missing).path(),
        &["figures.toml", "missing field `mechanism`"],
    );
    let fit = TOML.replace("\"linear\"", "\"cubic\"");
    assert_write_fails(
        repository_with(&fit).path(),
        &["figures.toml", "unknown variant `cubic`", "linear"],
    );
}

#[test]
fn the_error_names_an_invalid_formula() {
    let key = "row `memory` of table `sidecar`: formula";
    let unknown = TOML.replace("member_memory_at_0 + view", "nothing + 1");
    assert_write_fails(repository_with(&unknown).path(), &[key, "found nothing"]);
    let broken = TOML.replace("member_memory_at_0 + view", "(1 + ");
    assert_write_fails(repository_with(&broken).path(), &[key, "a formula expected"]);
    let circle = TOML.replace("member_memory * servers", "view + 1");
    assert_write_fails(
        repository_with(&circle).path(),
        &["no circle, and at most 8", "found view"],
    );
    let divided =
        TOML.replace("member_memory_at_0 + view", "(servers - servers) / (servers - servers)");
    assert_write_fails(repository_with(&divided).path(), &[key, "a number expected"]);
}

#[test]
fn a_slope_with_a_different_dimension_is_rejected() {
    let unit = TOML.replacen("unit = \"MB\"", "unit = \"ms\"", 1);
    assert_write_fails(
        repository_with(&unit).path(),
        &["slopes.member_memory.unit", "Bytes", "found `ms`"],
    );
}

#[test]
fn runs_above_the_load_limit_are_ignored() {
    let calm = TOML.replacen("fit = \"linear\"", "most_load = 8\nfit = \"linear\"", 1);
    let busy = ROWS.replace("quiet", "load average 43.5");
    let root = repository(&format!("{HEADER}{busy}"), &calm);
    write(root.path()).expect("sound files");
    let why = "`memory.csv` has no values of `resident` at a load of 8 or less";
    assert!(page(root.path()).contains(why), "{}", page(root.path()));
    let root = repository(&format!("{HEADER}{}", ROWS.replace("quiet", "7.9")), &calm);
    write(root.path()).expect("sound files");
    assert!(page(root.path()).contains("| 169 MB | 256 MB | view | yes |"));
}

#[test]
fn a_negative_fit_counts_as_not_measured() {
    let falling = ROWS.replace("15.4", "4.6");
    let root = repository(&format!("{HEADER}{falling}"), TOML);
    write(root.path()).expect("sound files");
    let page = page(root.path());
    assert!(page.contains("| not measured: the fit is below 0 there | 256 MB |"), "{page}");
}

#[test]
fn a_size_suffix_that_does_not_match_the_model_is_rejected() {
    let other = TOML.replace("member_memory_at_0 + view", "member_memory_at_1 + view");
    let key = "row `memory` of table `sidecar`: formula";
    assert_write_fails(repository_with(&other).path(), &[key, "found member_memory_at_1"]);
}

#[test]
fn a_slope_with_one_size_counts_as_not_measured_with_a_reason() {
    let one_size = "resident,MB,members,60,1,10,processes,8 cores,quiet\n";
    let root = repository(&format!("{HEADER}{one_size}"), TOML);
    write(root.path()).expect("sound files");
    let page = page(root.path());
    assert!(page.contains("| not measured: member_memory |"), "{page}");
    let why = "`memory.csv` has 1 values of `resident`, and two different sizes are needed";
    assert!(page.contains(why), "{page}");
}

#[test]
fn a_page_with_a_missing_or_unknown_marker_is_rejected() {
    let root = valid_repository();
    let text = page(root.path());
    let change = |text: String| std::fs::write(root.path().join(PAGE), text).expect("the page");
    change(text.replace("<!-- table: slopes -->\n", ""));
    assert_write_fails(root.path(), &["`<!-- table: slopes -->` expected once, found 0 times"]);
    change(format!("{text}<!-- table: nothing -->\n<!-- end -->\n"));
    assert_write_fails(root.path(), &["line 15", "the name of a table expected, found `nothing`"]);
    change(text.trim_end().strip_suffix("<!-- end -->").unwrap_or_default().to_owned());
    assert_write_fails(root.path(), &["<!-- end --> behind table sidecar"]);
}

fn repository_with(figures: &str) -> TempDir {
    repository(&format!("{HEADER}{ROWS}"), figures)
}

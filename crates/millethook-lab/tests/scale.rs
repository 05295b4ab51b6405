//! Tests `millethook-scale`: a tiny run of each measurement writes rows that parse and have plausible values.

use std::path::PathBuf;
use std::process::Command;

use millethook_lab::scale::{Kind, Row, Unit};

/// Runs one measurement and returns the rows of its file.
fn measured(what: &str, args: &[&str]) -> Vec<Row> {
    let file = format!("millethook-scale-test-{}-{what}.csv", std::process::id());
    let file: PathBuf = std::env::temp_dir().join(file);
    let run = Command::new(env!("CARGO_BIN_EXE_millethook-scale"))
        .args(["measure", what, "--seeds", "1", "--span", "0.5", "--out"])
        .arg(&file)
        .args(args)
        .output()
        .expect("the program starts");
    assert!(run.status.success(), "{what}: {}", String::from_utf8_lossy(&run.stderr));
    let mut reader = csv::Reader::from_path(&file).expect("a file of rows");
    let rows: Vec<Row> = reader.deserialize().map(|row| row.expect("a row")).collect();
    std::fs::remove_file(file).expect("the file of rows goes");
    for row in &rows {
        assert!(row.value.is_finite() && row.load >= 0.0, "{row:?}");
        assert!(row.seed == 1 && row.kind == Kind::Processes && !row.machine.is_empty(), "{row:?}");
    }
    rows
}

/// Returns the value of a measurement at a size.
fn value(rows: &[Row], measurement: &str, size: f64) -> f64 {
    let row = rows.iter().find(|r| r.measurement == measurement && r.size == size);
    row.unwrap_or_else(|| panic!("no {measurement} at {size}: {rows:#?}")).value
}

const MIB: f64 = (1 << 20) as f64;

#[test]
fn memory_grows_with_the_list_members_connections_calls_and_settings() {
    for (what, sizes) in [
        ("memory-listed", [1.0, 8_000.0]),
        ("memory-members", [2.0, 4_000.0]),
        ("memory-clients", [0.0, 200.0]),
        ("memory-calls", [1.0, 100.0]),
        ("memory-tenants", [1.0, 4_000.0]),
    ] {
        let rows = measured(what, &["--sizes", &format!("{},{}", sizes[0], sizes[1])]);
        let [few, many] = sizes.map(|size| value(&rows, "sidecar.memory.resident", size));
        assert!(MIB < few && few < many && many < 256.0 * MIB, "{what}: {few} {many}");
    }
    let rows = measured("memory-classes", &["--sizes", "1,20"]);
    assert!(value(&rows, "sidecar.memory.peak", 20.0) > MIB);
}

#[test]
fn two_services_cost_two_daemons() {
    let rows = measured("memory-services", &["--sizes", "1,2"]);
    let [one, two] = [1.0, 2.0].map(|size| value(&rows, "sidecar.memory.resident", size));
    assert!(1.5 * one < two && two < 2.5 * one, "{one} {two}");
    assert!(value(&rows, "sidecar.processor.idle", 2.0) > 0.0);
}

#[test]
fn a_call_costs_processor_time_and_adds_latency() {
    for (what, part) in [("data-path", ""), ("data-path-busy", "busy_core.")] {
        let rows = measured(what, &["--sizes", "100"]);
        let of = |name: &str| value(&rows, &format!("sidecar.data_path.{part}{name}"), 100.0);
        assert!(of("direct.p50") > 0.0 && of("added.p50") > 0.0, "{rows:#?}");
        assert!(of("through.p99") >= of("through.p50"), "{rows:#?}");
        assert!(of("processor") > 0.0, "{rows:#?}");
    }
    let rows = measured("idle", &["--sizes", "12"]);
    assert!(value(&rows, "sidecar.processor.idle", 12.0) > 0.0);
}

#[test]
fn changes_of_lists_and_settings_cost_processor_time() {
    let rows = measured("list-change", &["--sizes", "12"]);
    assert!(value(&rows, "sidecar.list_change.processor", 12.0) > 0.0);
    assert!(value(&rows, "sidecar.list_change.time", 12.0) > 0.0);
    let rows = measured("settings-change", &["--sizes", "12"]);
    assert!(value(&rows, "sidecar.settings_change.processor", 12.0) > 0.0);
    let rows = measured("whole-list", &["--sizes", "2000"]);
    assert!(value(&rows, "sidecar.whole_list.processor", 2_000.0) > 0.0);
    let rows = measured("zone-leaves", &["--sizes", "60"]);
    for name in ["zone_leaves.at_once", "zone_leaves.one_by_one", "zone_returns.at_once"] {
        assert!(value(&rows, &format!("sidecar.{name}.processor"), 60.0) > 0.0, "{name}");
    }
}

#[test]
fn fleets_exchange_messages_when_quiet_and_more_after_events() {
    let rows = measured("control-quiet", &["--sizes", "4", "--period", "0.1"]);
    for told in ["view", "view_evidence", "all"] {
        assert!(value(&rows, &format!("sidecar.control.{told}.bytes"), 4.0) > 0.0, "{told}");
    }
    let rows = measured("control-events", &["--sizes", "4", "--period", "0.1"]);
    for event in ["machine_fails", "rack_starts", "zone_fails", "region_heals"] {
        let name = format!("fleet.event.{event}");
        assert!(value(&rows, &format!("{name}.time"), 4.0) > 0.0, "{event}");
        let bytes = rows.iter().find(|r| r.measurement == format!("{name}.bytes"));
        assert_eq!(bytes.map(|r| r.unit), Some(Unit::Bytes), "{event}");
    }
    let rows = measured("control-dead-server", &["--sizes", "4", "--period", "0.1"]);
    for state in ["under_load", "server_dead"] {
        assert!(value(&rows, &format!("sidecar.control.{state}.bytes"), 4.0) > 0.0, "{state}");
    }
}

#[test]
fn servers_and_discovery_get_requests_from_each_sidecar() {
    let rows = measured("servers", &["--sizes", "3"]);
    assert!(value(&rows, "server.connections.max", 3.0) >= 1.0);
    assert!(value(&rows, "server.calls_served", 3.0) > 0.0);
    let rows = measured("discovery", &["--sizes", "2"]);
    for way in ["pushed", "asked"] {
        assert!(value(&rows, &format!("discovery.{way}.start_bytes_each"), 2.0) > 1_000.0, "{way}");
        assert!(value(&rows, &format!("sidecar.watch.{way}.processor"), 2.0) >= 0.0, "{way}");
    }
    assert!(value(&rows, "discovery.pushed.calls_each", 2.0) > 0.0);
}

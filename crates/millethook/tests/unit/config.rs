//! Tests of configurations: valid ones, errors, and the comparison of two.

use std::time::Duration;

use super::*;

fn builder() -> FleetBuilder {
    let second = Duration::from_secs(1);
    FleetConfig::builder("f")
        .server("a", "127.0.0.1:1".parse().expect("an address"))
        .class(ClassConfig::safe("look", second / 5, second))
}

#[test]
fn a_valid_configuration_builds() {
    let config = builder().zone("east").tenant("acme").build().expect("valid");
    assert_eq!((config.name(), config.sockets, config.settings.zone), ("f", DEFAULT_SOCKETS, 1));
    assert!(config.names.tenants.contains_key("acme"));
}

#[test]
fn errors_name_the_key() {
    let at = |b: FleetBuilder| b.build().expect_err("invalid").to_string();
    assert!(at(FleetConfig::builder("f")).contains("discovery"));
    assert!(at(builder().sockets(0)).contains("limits.sockets"));
    assert!(at(builder().open(0)).contains("limits.open"));
    let zero = ClassConfig::safe("x", Duration::ZERO, Duration::from_secs(1));
    assert!(at(builder().class(zero)).contains("classes[1].aim"));
    let twice = ClassConfig::safe("look", Duration::from_secs(1), Duration::from_secs(1));
    assert!(at(builder().class(twice)).contains("classes[1].name"));
    let text = FleetConfig::from_json("{").expect_err("no JSON").to_string();
    assert!(text.contains("line 1"), "{text}");
    let file = FleetConfig::from_file("/nowhere/at/all").expect_err("no file").to_string();
    assert!(file.starts_with("/nowhere/at/all: "), "{file}");
}

#[test]
fn the_first_difference_is_named() {
    let same = || builder().build().expect("valid");
    assert_eq!(same().difference(&same()), None);
    let other = builder().attempts(2).build().expect("valid");
    let (key, a, b) = same().difference(&other).expect("one");
    assert_eq!((key.as_str(), &*a, &*b), ("settings.limits.maxAttempts", "4", "2"));
    let more = builder().server("b", "127.0.0.1:2".parse().expect("an address"));
    let (key, ..) = same().difference(&more.build().expect("valid")).expect("one");
    assert_eq!(key, "known.hosts");
    let budget = Budget::new(4, 1 << 20);
    let (key, ..) = same().difference(&same().with_budget(&budget)).expect("one");
    assert_eq!(key, "budget");
    assert_eq!(same().with_budget(&budget).difference(&same().with_budget(&budget)), None);
    let another = Budget::new(4, 1 << 20);
    assert!(same().with_budget(&budget).difference(&same().with_budget(&another)).is_some());
}

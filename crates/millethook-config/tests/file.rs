//! Tests of configuration files with and without errors.

use millethook_config::{Failover, Fault, Fleet, LogFormat, Membership, ProductConfig, Reuse};
use proptest::prelude::*;

/// The reference file that is shipped.
const REFERENCE: &str = include_str!("../../../deploy/millethook.toml");

fn errors_of(text: &str) -> Vec<String> {
    ProductConfig::from_toml(text).expect_err("invalid").iter().map(Fault::to_string).collect()
}

#[test]
fn an_empty_file_enables_nothing() {
    assert_eq!(ProductConfig::from_toml("").expect("valid"), ProductConfig::default());
}

/// The reference shows each key with its default value. Uncommented, its sections equal empty sections.
#[test]
fn the_reference_is_valid_and_shows_the_defaults() {
    assert_eq!(ProductConfig::from_toml(REFERENCE).expect("valid"), ProductConfig::default());
    let uncommented: String = REFERENCE
        .lines()
        .filter_map(|l| l.strip_prefix("#~ ").or((!l.starts_with('#')).then_some(l)))
        .flat_map(|line| [line, "\n"])
        .collect();
    let product = ProductConfig::from_toml(&uncommented).expect("valid");
    let membership = product.membership.expect("a section");
    assert!(membership.snapshot.is_some() && membership.identity_header.is_some());
    let defaults = Membership { snapshot: None, identity_header: None, ..membership };
    assert_eq!(defaults, Membership::default());
    assert_eq!(product.failover, Some(Failover { copy_at_aim: true, slow_exponent: 6.0 }));
    assert_eq!(product.log.format, LogFormat::Text);
    assert_eq!(product.connections.reuse, Some(Reuse::Proven));
    let empty = ProductConfig::from_toml("[fleet]\n").expect("valid").fleet;
    let second = std::time::Duration::from_secs(1);
    let defaults = Fleet {
        name: "millethook".into(),
        period: second,
        bytes_per_second: 1_500,
        share_evidence: false,
    };
    assert_eq!((&product.fleet, &empty), (&Some(defaults), &product.fleet));
}

#[test]
fn all_errors_are_reported_together_with_their_lines() {
    let text = "\
[log]
format = \"xml\"

[membership]
snapshot = 7
usable_above = 1.5
dropped_belw = 0.1
trials_at_once = 0
trial_page = \"health\"
identity_header = \"X Name\"
suspect_hold_s = -1

[connections]
reuse = \"always\"

[conections]
per_server = 3
";
    let errors = errors_of(text);
    let expected = [
        "line 2: log.format: \"text\" or \"json\" expected, not \"xml\"",
        "line 5: membership.snapshot: a path expected, not 7",
        "line 6: membership.usable_above: a share from 0 to 1 expected, not 1.5",
        "line 7: membership.dropped_belw: no such key",
        "line 8: membership.trials_at_once: a whole number from 1 to 256 expected, not 0",
        "line 9: membership.trial_page: a path that begins with / expected, not \"health\"",
        "line 10: membership.identity_header: a header's name expected, not \"X Name\"",
        "line 11: membership.suspect_hold_s: seconds from 0 to 86400 expected, not -1",
        "line 14: connections.reuse: \"unlimited\" or \"proven\" expected, not \"always\"",
        "line 16: conections: no such section or key",
    ];
    assert_eq!(errors, expected);
}

#[test]
fn contradicting_keys_are_reported_at_the_second() {
    let errors = errors_of("[membership]\nusable_above = 0.5\n\ndropped_below = 0.6\n");
    assert_eq!(
        errors,
        ["line 4: membership.dropped_below: 0.5 at most expected, as usable_above says"]
    );
}

#[test]
fn invalid_toml_is_reported_with_its_line() {
    let errors = errors_of("[log]\nformat = \n");
    assert!(errors.len() == 1 && errors[0].starts_with("line 2: "), "{errors:?}");
    assert_eq!(errors_of("log = 3"), ["line 1: log: a section [log] expected"]);
}

proptest! {
    /// Any text is read or reported as invalid, without a panic.
    #[test]
    fn no_text_makes_the_reader_panic(text in "\\PC{0,200}") {
        let _ = ProductConfig::from_toml(&text);
    }

    #[test]
    fn no_change_of_the_reference_makes_the_reader_panic(
        at in any::<prop::sample::Index>(),
        with in "[\\x00-\\x7f]{0,3}",
    ) {
        let plain = REFERENCE.replace("#~ ", "");
        let mut text: String = plain.chars().filter(char::is_ascii).collect();
        let at = at.index(text.len());
        text.replace_range(at..at + 1, &with);
        if let Err(faults) = ProductConfig::from_toml(&text) {
            prop_assert!(!faults.is_empty() && faults.iter().all(|f| f.line >= 1));
        }
    }
}

#[test]
fn leases_need_a_fleet_and_an_odd_number_of_seats() {
    let fleet = "[fleet]\nshare_evidence = true\n";
    assert!(ProductConfig::from_toml(&format!("{fleet}[lease]\ndead_servers = true\n")).is_ok());
    assert_eq!(errors_of("[lease]"), ["line 1: lease: a section [fleet] expected beside it"]);
    let alone = errors_of("[fleet]\n[lease]\ndead_servers = true");
    assert_eq!(
        alone,
        ["line 3: lease.dead_servers: fleet.share_evidence = true expected beside it"]
    );
    let even = errors_of(&format!("{fleet}[lease]\nseats = 4"));
    assert_eq!(even, ["line 4: lease.seats: 3, 5 or 7 expected, not 4"]);
    let wide = errors_of(&format!("{fleet}[lease]\ndrift = 0.5"));
    assert_eq!(wide, ["line 4: lease.drift: a share from 0 to 0.2 expected, not 0.5"]);
}

#[test]
fn stored_writes_need_a_folder_classes_and_leases() {
    let rest = "[fleet]\n[lease]\n[edge]\n";
    let edge = format!("{rest}folder = \"/var/edge\"\nclasses = [\"log-upload\"]\n");
    let product = ProductConfig::from_toml(&edge).expect("valid");
    assert_eq!(product.edge.map(|e| e.classes), Some(vec!["log-upload".to_owned()]));
    let lacking = errors_of(rest);
    assert_eq!(
        lacking,
        ["line 1: edge.folder: a path expected", "line 1: edge.classes: a list of names expected"]
    );
    let alone = errors_of("[edge]\nfolder = \"/var/edge\"\nclasses = [\"a\"]");
    assert_eq!(alone, ["line 1: edge: a section [lease] expected beside it"]);
    let wrong = errors_of(&format!("{edge}after_failed = \"perhaps\"\nat_once = 0"));
    assert_eq!(wrong.len(), 2, "{wrong:?}");
}

/// A valid `[distribution]` with the sections that it needs.
const DISTRIBUTED: &str = "\
[fleet]
[lease]
[distribution]
region = \"west\"
zone = \"a\"
service = \"orders\"
publish = \"/var/spool/millethook\"
control_nodes = [
  { member = 0, region = \"west\", zone = \"a\" },
  { member = 7, region = \"east\", zone = \"b\" },
]
";

#[test]
fn distribution_gives_the_location_of_a_sidecar_and_its_control_nodes() {
    let product = ProductConfig::from_toml(DISTRIBUTED).expect("valid");
    let distribution = product.distribution.expect("a section");
    assert_eq!(
        (distribution.region.as_str(), distribution.zone.as_str(), distribution.service.as_str()),
        ("west", "a", "orders")
    );
    let numbers: Vec<u16> = distribution.control_nodes.iter().map(|node| node.member).collect();
    assert_eq!((numbers, distribution.snapshot), (vec![0, 7], None));
}

#[test]
fn errors_in_distribution_are_reported_with_line_and_key() {
    assert_eq!(
        errors_of("[fleet]\n[distribution]\n"),
        ["region", "zone", "service", "control_nodes"].map(|key| {
            let expected = if key == "control_nodes" { "a list of tables" } else { "a name" };
            format!("line 2: distribution.{key}: {expected} expected")
        })
    );
    let without = |section: &str| errors_of(&DISTRIBUTED.replace(section, ""));
    let fleet = without("[fleet]\n");
    assert!(fleet.contains(&"line 2: distribution: a section [fleet] expected beside it".into()));
    assert_eq!(
        without("[lease]\n"),
        [
            "line 6: distribution.publish: a section [lease] expected beside it: the writer is one by a lease"
        ]
    );
    let wrong = DISTRIBUTED
        .replace("member = 7, region = \"east\"", "member = 70000, regoin = \"east\"")
        .replace("member = 0, region = \"west\"", "region = 3");
    assert_eq!(
        errors_of(&wrong),
        [
            "line 9: distribution.control_nodes[0].region: a name expected, not 3",
            "line 9: distribution.control_nodes[0].member: a member's number expected",
            "line 10: distribution.control_nodes[1].region: a name expected",
            "line 10: distribution.control_nodes[1].member: a whole number from 0 to 65533 expected, not 70000",
            "line 10: distribution.control_nodes[1].regoin: no such key",
        ]
    );
    let twice = DISTRIBUTED.replace("member = 7", "member = 0");
    assert_eq!(
        errors_of(&twice),
        ["line 8: distribution.control_nodes: member 0 stands there twice"]
    );
    let flat = DISTRIBUTED.replace("{ member = 7, region = \"east\", zone = \"b\" }", "7");
    assert_eq!(errors_of(&flat), ["line 10: distribution.control_nodes[1]: a table expected"]);
    let bounds = format!("{DISTRIBUTED}silence_s = 0\nrefused_share = 2\ndigest = 1\n");
    assert_eq!(errors_of(&bounds).len(), 3);
}

#[test]
fn a_list_needs_the_sections_that_distribute_it() {
    let errors_of = |more: &str| errors_of(&format!("{DISTRIBUTED}{more}"));
    assert_eq!(
        errors_of("list = \"orders\"\n"),
        [
            "line 12: distribution.list: a section [membership] expected beside it: the list is one of its sources"
        ]
    );
    let parse =
        |more: &str| ProductConfig::from_toml(&format!("{DISTRIBUTED}{more}")).expect("valid");
    let subscriber = parse("list = \"orders\"\n[membership]\n").distribution.expect("a section");
    assert_eq!(
        (subscriber.list.as_deref(), subscriber.list_from_discovery),
        (Some("orders"), false)
    );
    let publisher = parse("list = \"orders\"\nlist_from_discovery = true\n");
    assert!(publisher.distribution.expect("a section").list_from_discovery);
    assert_eq!(
        errors_of("list_from_discovery = true\n"),
        [
            "line 12: distribution.list_from_discovery: list expected beside it: the name of the list"
        ]
    );
    let wrong = errors_of("list = 3\nlist_from_discovery = 1\n");
    assert_eq!(
        wrong,
        [
            "line 12: distribution.list: a name expected, not 3",
            "line 13: distribution.list_from_discovery: true or false expected, not 1",
        ]
    );
    let unpublished = DISTRIBUTED.replace("publish = \"/var/spool/millethook\"\n", "");
    let text = format!("{unpublished}list = \"orders\"\nlist_from_discovery = true\n");
    assert_eq!(
        self::errors_of(&text),
        [
            "line 12: distribution.list_from_discovery: publish expected beside it: the list is published by the writer"
        ]
    );
}

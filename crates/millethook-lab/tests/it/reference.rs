//! Requires that `docs/lab.md` names every key and every event that a timeline may contain.

use millethook_lab::timeline::{Fault, Timeline};

/// The words that the error message for an invalid timeline lists as expected.
fn expected(text: &str) -> Vec<String> {
    let faults: Vec<Fault> = Timeline::from_toml(text).expect_err("a fault");
    let said = faults.iter().find(|f| f.text.contains("expected one of"));
    let said = &said.unwrap_or_else(|| panic!("no list in {faults:?}")).text;
    let list = said.split("expected one of").nth(1).expect("a list");
    list.split('`').skip(1).step_by(2).map(str::to_owned).collect()
}

#[test]
fn the_users_page_names_every_key_and_every_event() {
    let page = include_str!("../../../../docs/lab.md");
    let sections = ["sidecars", "load", "servers", "network", "rules", "expect"];
    let mut words = expected("nonsense = 1");
    for section in sections {
        words.extend(expected(&format!("[{section}]\nnonsense = 1")));
    }
    for array in ["class", "event"] {
        words.extend(expected(&format!("[[{array}]]\nnonsense = 1")));
    }
    words.extend(expected("[[event]]\ndo = \"nonsense\""));
    words.extend(expected("[[event]]\nwho = { nonsense = 1 }"));
    assert!(words.len() > 60, "{words:?}");
    let missing: Vec<_> = words.iter().filter(|w| !page.contains(&format!("`{w}`"))).collect();
    assert!(missing.is_empty(), "docs/lab.md lacks {missing:?}");
}

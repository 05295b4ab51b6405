//! Documents that make no sense, everywhere or somewhere: what was in force stays in force.

use serde_json::json;

use crate::tier::{Tier, classes};

#[test]
fn a_document_that_every_sidecar_refuses_is_stopped_and_nothing_changes() {
    let tier = Tier::start(6);
    tier.puts_into_force("all", &classes(&["page"]));
    let mut broken = classes(&["broken"]);
    broken["settings"]["limits"] = json!({"maxAttempts": 0});
    let said = tier.publish("all", &broken);
    assert_eq!(said.code, Some(1), "{said:?}");
    assert!(said.text.contains("stopped, and what was before is put back"), "{said:?}");
    assert!(said.text.contains("limits.maxAttempts: 1 or more expected"), "{said:?}");
    assert!(said.text.contains("restored as"), "{said:?}");
    tier.until_taken_by("broken", &[]);
    tier.until_taken_by("page", &tier.all());
    // The way is free for the next one.
    tier.puts_into_force("all", &classes(&["next"]));
    tier.until_taken_by("next", &tier.all());
}

/// Some sidecars stand in a zone that the document does not know: merged into their settings it makes no sense.
#[test]
fn a_document_that_half_of_the_sidecars_refuse_is_put_back_at_the_others() {
    let tier = Tier::start_with(8, |member, config| {
        config["settings"]["zone"] = json!(usize::from(member >= 4));
    });
    tier.puts_into_force("all", &classes(&["page"]));
    let mut halved = classes(&["halved"]);
    halved["settings"]["zones"] = json!(["a"]);
    let said = tier.publish("all", &halved);
    assert_eq!(said.code, Some(1), "{said:?}");
    assert!(said.text.contains("stopped"), "{said:?}");
    assert!(said.text.contains("zone: a position within zones expected"), "{said:?}");
    tier.until_taken_by("halved", &[]);
    tier.until_taken_by("page", &tier.all());
    let refused: Vec<usize> = (tier.all().into_iter())
        .filter(|m| tier.member(*m).metric("sidecar.distribution.refused") > 0)
        .collect();
    assert!(refused.iter().all(|member| *member >= 4) && refused.len() >= 2, "{refused:?}");
}

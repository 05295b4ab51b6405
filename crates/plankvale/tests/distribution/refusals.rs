//! Documents that are invalid at all or at some sidecars: the previous document stays in force.

use serde_json::json;

use crate::tier::{Tier, document_with_classes};

#[test]
fn a_document_that_every_sidecar_rejects_is_stopped_and_nothing_changes() {
    let tier = Tier::start(6);
    tier.publish_everywhere("all", &document_with_classes(&["page"]));
    let mut broken = document_with_classes(&["broken"]);
    broken["settings"]["limits"] = json!({"maxAttempts": 0});
    let output = tier.publish("all", &broken);
    assert_eq!(output.code, Some(1), "{output:?}");
    assert!(output.text.contains("stopped, and what was before is put back"), "{output:?}");
    assert!(output.text.contains("limits.maxAttempts: 1 or more expected"), "{output:?}");
    assert!(output.text.contains("restored as"), "{output:?}");
    tier.wait_until_accepted_by("broken", &[]);
    tier.wait_until_accepted_by("page", &tier.running_members());
    // The next document is not blocked.
    tier.publish_everywhere("all", &document_with_classes(&["next"]));
    tier.wait_until_accepted_by("next", &tier.running_members());
}

/// Some sidecars are in a zone that the document does not list, so it is invalid when merged into
/// their settings.
#[test]
fn a_document_that_half_of_the_sidecars_reject_is_reverted_at_the_others() {
    let tier = Tier::start_with(8, |member, config| {
        config["settings"]["zone"] = json!(usize::from(member >= 4));
    });
    tier.publish_everywhere("all", &document_with_classes(&["page"]));
    let mut halved = document_with_classes(&["halved"]);
    halved["settings"]["zones"] = json!(["a"]);
    let output = tier.publish("all", &halved);
    assert_eq!(output.code, Some(1), "{output:?}");
    assert!(output.text.contains("stopped"), "{output:?}");
    assert!(output.text.contains("zone: a position within zones expected"), "{output:?}");
    tier.wait_until_accepted_by("halved", &[]);
    tier.wait_until_accepted_by("page", &tier.running_members());
    let refused: Vec<usize> = (tier.running_members().into_iter())
        .filter(|m| tier.member(*m).metric("sidecar.distribution.refused") > 0)
        .collect();
    assert!(refused.iter().all(|member| *member >= 4) && refused.len() >= 2, "{refused:?}");
}

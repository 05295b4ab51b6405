//! Converts the distribution section of the product's configuration file into the engine's settings.

use std::collections::HashMap;

use millethook_config::{ControlNode, Distribution, ProductConfig};
use millethook_distribution::{ControlMember, DistributionConfig, DocumentKey, Identity, Limits};

use super::{DistributionSettings, ListSettings, name_number};

/// The suffix that turns the name of a list into that of its confirmations.
const CONFIRMATION_SUFFIX: &str = "\0confirmed";

/// Returns the settings of distribution for the member `me`, if the file has a distribution section.
///
/// # Errors
/// Names the invalid key.
pub fn settings(
    product: &ProductConfig,
    (me, members): (u32, usize),
    seed: u64,
) -> Result<Option<DistributionSettings>, String> {
    let Some(section) = &product.distribution else { return Ok(None) };
    distinct_names(section)?;
    let out_of_range =
        section.control_nodes.iter().position(|node| usize::from(node.member) >= members);
    if let Some(index) = out_of_range {
        return Err(format!(
            "distribution.control_nodes[{index}].member: below {members} expected, the number of peers"
        ));
    }
    let number = u16::try_from(me).map_err(|_| format!("settings.me: {me} is too large"))?;
    let own = section.control_nodes.iter().find(|node| node.member == number);
    if own.is_some() && product.lease.is_none() {
        return Err(format!(
            "distribution: a section [lease] expected: member {me} is a control node"
        ));
    }
    if own.is_none() && section.publish.is_some() {
        return Err(format!(
            "distribution.publish: member {me} is no control node, and publishes nothing"
        ));
    }
    let identity = Identity {
        region: name_number(&section.region),
        zone: name_number(&section.zone),
        service: name_number(&section.service),
        number,
    };
    let control_member = |node: &ControlNode| ControlMember {
        number: node.member,
        region: name_number(&node.region),
        zone: name_number(&node.zone),
    };
    let limits = Limits {
        rate: section.control_bytes_per_second as u32,
        digest_interval: section.digest.as_micros() as u64,
        silence: section.silence.as_micros() as u64,
        give_up_after: section.give_up_after.as_micros() as u64,
        refused_share: section.refused_share,
        refused_least: section.refused_least as u32,
        ..Limits::default()
    };
    let list = section.list.as_ref().map(|name| ListSettings {
        name: name.clone(),
        list: DocumentKey::server_list(name_number(name)),
        confirmation: DocumentKey::server_list(name_number(&format!(
            "{name}{CONFIRMATION_SUFFIX}"
        ))),
        from_discovery: section.list_from_discovery,
    });
    let lists = match &list {
        Some(list) if !list.from_discovery => {
            vec![
                name_number(&list.name),
                name_number(&format!("{}{CONFIRMATION_SUFFIX}", list.name)),
            ]
        }
        _ => Vec::new(),
    };
    Ok(Some(DistributionSettings {
        config: DistributionConfig {
            me: number,
            // The view supports at most `u16::MAX` members.
            members: members.min(usize::from(u16::MAX)) as u16,
            control_nodes: section.control_nodes.iter().map(control_member).collect(),
            identity,
            lists,
            limits,
            seed,
        },
        list,
        snapshot: section.snapshot.clone(),
        publishes: section.publish.is_some(),
        receive_buffer: section.receive_buffer_bytes,
    }))
}

/// Checks that different names of regions and of zones have different numbers.
///
/// # Errors
/// Names two that share a number.
pub fn distinct_names(section: &Distribution) -> Result<(), String> {
    let nodes = || section.control_nodes.iter();
    let regions = nodes().map(|node| &node.region).chain([&section.region]);
    let zones = nodes().map(|node| &node.zone).chain([&section.zone]);
    check_distinct("region", regions)?;
    check_distinct("zone", zones)
}

fn check_distinct<'n>(kind: &str, names: impl Iterator<Item = &'n String>) -> Result<(), String> {
    let mut known: HashMap<u32, &String> = HashMap::new();
    for name in names {
        let other = known.insert(name_number(name), name).filter(|other| *other != name);
        if let Some(other) = other {
            return Err(format!(
                "distribution.{kind}: {name:?} and {other:?} have the same number: other names expected"
            ));
        }
    }
    Ok(())
}

//! Unit tests of addresses, topology, links and quantiles.

use std::collections::BTreeMap;

use millethook_hollow::address::Addresses;
use millethook_hollow::figures::{histogram_quantile, quantile};
use millethook_hollow::link::{Delivery, LinkConfig, Links};
use millethook_hollow::plan::{Plan, Target};
use millethook_hollow::topology::Topology;

const FLEET: Topology =
    Topology { size: 16_000, regions: 3, zones_per_region: 2, rack: 40, control: 36 };

#[test]
fn each_number_has_a_unique_address() {
    let addresses = Addresses { octet: 70, port: 20_001 };
    for number in [0, 1, 255, 256, 16_035, 32_000, u16::MAX] {
        assert_eq!(addresses.number_of(addresses.address_of(number)), Some(number));
    }
    let other = Addresses { octet: 71, ..addresses };
    assert_eq!(addresses.number_of(other.address_of(5)), None, "another run's");
    let other = Addresses { port: 20_002, ..addresses };
    assert_eq!(addresses.number_of(other.address_of(5)), None, "another run's");
}

#[test]
fn zones_have_equal_size_and_racks_have_forty_members() {
    let mut zones = BTreeMap::<u8, u32>::new();
    let mut racks = BTreeMap::<(u8, u16), u32>::new();
    for number in 0..FLEET.size {
        *zones.entry(FLEET.zone(number)).or_default() += 1;
        *racks.entry(FLEET.rack(number).expect("a rack")).or_default() += 1;
    }
    assert_eq!(zones.len(), 6);
    assert!(zones.values().all(|count| (2_666..=2_667).contains(count)), "{zones:?}");
    let whole = racks.values().filter(|count| **count == 40).count();
    assert_eq!((whole, racks.len()), (6 * 66, 6 * 67), "66 whole racks and a rest in each zone");
    let control: Vec<u8> = (16_000..16_006).map(|number| FLEET.zone(number)).collect();
    assert_eq!(control, [0, 1, 2, 3, 4, 5], "control nodes stand in all zones in turn");
}

#[test]
fn targets_select_the_named_members() {
    let count = |target: Target| {
        (0..FLEET.members()).filter(|number| target.covers(&FLEET, *number)).count()
    };
    assert_eq!(count(Target { share: Some(0.1), ..Target::default() }), 16_000);
    assert_eq!(count(Target { zone: Some(1), ..Target::default() }), 2_667 + 6);
    assert_eq!(count(Target { zone: Some(1), rack: Some(0), ..Target::default() }), 40);
    assert_eq!(count(Target { control: Some(5), ..Target::default() }), 5);
}

#[test]
fn every_member_has_one_slot_at_one_host() {
    let plan: Plan =
        toml::from_str("size = 100\nhosts = 3\nmachines = \"distribution\"\n").expect("a plan");
    let mut seen = BTreeMap::<u16, usize>::new();
    for host in 0..plan.hosts + plan.control_hosts() {
        for (slot, number) in plan.members_of(host).into_iter().enumerate() {
            assert_eq!(plan.slot_of(host, number), Some(slot));
            *seen.entry(number).or_default() += 1;
        }
    }
    assert_eq!(seen.len(), usize::from(plan.topology().members()));
    assert!(seen.values().all(|times| *times == 1));
}

#[test]
fn delay_grows_with_distance_and_a_partition_lasts_until_it_is_healed() {
    let mut links = Links::new(FLEET, &LinkConfig::default(), 1);
    let (same_zone, same_region, far, farther) = (1, 4_000, 6_000, 15_000);
    assert_eq!(links.next_delivery(0, same_zone), Delivery::Delayed(200));
    assert_eq!(links.next_delivery(0, same_region), Delivery::Delayed(1_000));
    assert_eq!(links.next_delivery(0, far), Delivery::Delayed(30_000));
    assert_eq!(links.next_delivery(farther, 0), Delivery::Delayed(80_000));
    links.cut(&[vec![0, 1]]);
    assert_eq!(links.next_delivery(0, far), Delivery::Delayed(30_000));
    assert_eq!(links.next_delivery(0, farther), Delivery::Cut);
    links.heal();
    assert_eq!(links.next_delivery(0, farther), Delivery::Delayed(80_000));
    links.set_loss(0.2);
    let lost = (0..10_000).filter(|_| links.next_delivery(0, 1) == Delivery::Lost).count();
    assert!((1_800..2_200).contains(&lost), "{lost} of 10,000 at a loss of 0.2");
}

#[test]
fn quantiles_are_observed_values() {
    let values: Vec<f64> = (1..=200).map(f64::from).rev().collect();
    assert_eq!(quantile(&values, 0.5), Some(100.0));
    assert_eq!(quantile(&values, 0.99), Some(198.0));
    assert_eq!(quantile(&values, 1.0), Some(200.0));
    assert_eq!(quantile(&[], 0.5), None);
    let histogram = BTreeMap::from([(5, 98), (7, 1), (9, 1)]);
    assert_eq!([0.5, 0.99, 1.0].map(|share| histogram_quantile(&histogram, share)), [5, 7, 9]);
}

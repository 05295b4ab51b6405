//! The location of a member: its number determines its region, zone and rack.

use serde::{Deserialize, Serialize};

/// The topology of a fleet. Zones are blocks of consecutive numbers, and racks are smaller blocks within a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Topology {
    /// Number of sidecars.
    pub size: u16,
    /// Number of regions.
    pub regions: u8,
    /// Number of zones in each region.
    pub zones_per_region: u8,
    /// Number of sidecars in a rack.
    pub rack: u16,
    /// Number of control nodes. Their numbers follow those of the sidecars, and they are assigned to all zones in
    /// turn.
    pub control: u16,
}

impl Topology {
    /// Returns the number of zones in all regions.
    pub fn zones(&self) -> u8 {
        (self.regions * self.zones_per_region).max(1)
    }

    /// Returns the zone of a member, numbered over all regions.
    pub fn zone(&self, number: u16) -> u8 {
        let (size, zones) = (u32::from(self.size.max(1)), u32::from(self.zones()));
        let number = u32::from(number);
        let zone = if number < size { number * zones / size } else { (number - size) % zones };
        zone as u8
    }

    /// Returns the region of a member.
    pub fn region(&self, number: u16) -> u8 {
        self.zone(number) / self.zones_per_region.max(1)
    }

    /// Returns the rack of a sidecar: its zone, and the rack's number within that zone. The last rack of a zone may
    /// be smaller. `None` for a control node, which is in no rack.
    pub fn rack(&self, number: u16) -> Option<(u8, u16)> {
        let size = u32::from(self.size);
        let zone = self.zone(number);
        let first = (u32::from(zone) * size).div_ceil(u32::from(self.zones()));
        let within = u32::from(number).checked_sub(first).filter(|_| number < self.size)?;
        Some((zone, within as u16 / self.rack.max(1)))
    }

    /// Returns the number of sidecars and control nodes.
    pub fn members(&self) -> u16 {
        self.size + self.control
    }

    /// Returns whether a number is that of a control node.
    pub fn is_control(&self, number: u16) -> bool {
        number >= self.size
    }
}

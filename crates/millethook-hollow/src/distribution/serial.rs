//! Serial numbers of documents, and the scopes of the documents of a step.

use millethook_distribution::{Document, Identity, Scope};

use crate::plan::PublishScope;
use crate::topology::Topology;

/// Number of services in the fleet.
pub const SERVICES: u32 = 1_300;
/// Size of the serial number at the beginning of a body.
const SERIAL_BYTES: usize = 4;

/// Returns the service that a sidecar belongs to.
pub(super) fn service_of(number: u16) -> u32 {
    u32::from(number) % SERVICES
}

/// Returns the scope of the document with this serial number.
pub fn scope_of(scope: PublishScope, serial: u32, topology: &Topology) -> Scope {
    match scope {
        PublishScope::All => Scope::All,
        PublishScope::Zones => Scope::Zone(serial % u32::from(topology.zones())),
        PublishScope::Services => Scope::Service(serial % SERVICES),
    }
}

/// Returns whether a scope covers a sidecar.
pub fn covers(scope: Scope, topology: &Topology, number: u16) -> bool {
    scope.covers(&Identity {
        region: u32::from(topology.region(number)),
        zone: u32::from(topology.zone(number)),
        service: service_of(number),
        number,
    })
}

/// Builds a body of `bytes` bytes that starts with the serial number.
pub(super) fn body(serial: u32, bytes: usize) -> Vec<u8> {
    let mut body = serial.to_be_bytes().to_vec();
    // Bodies are not compressed, so the padding only has to differ between documents.
    body.resize(bytes.max(SERIAL_BYTES), serial as u8);
    body
}

/// Returns the serial number of a document, or 0 if it has none.
pub(super) fn serial(document: &Document) -> u32 {
    let body = document.body.as_deref().unwrap_or_default();
    body.first_chunk::<SERIAL_BYTES>().map_or(0, |bytes| u32::from_be_bytes(*bytes))
}

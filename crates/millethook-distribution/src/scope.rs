//! Scopes of documents: which sidecars a document is for, and the order in which documents are merged.

use millethook_machine::codec::{self, BufMut};
use serde::{Deserialize, Serialize};

/// The location of a sidecar. Names of regions, zones and services are numbers here; the host maps them in the same way
/// at all members (an index into a configured list, or a hash of the name).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Identity {
    /// Its region.
    pub region: u32,
    /// Its zone.
    pub zone: u32,
    /// The service that it runs beside.
    pub service: u32,
    /// Its member number.
    pub number: u16,
}

/// The sidecars that a document is for. The order of the variants is the merge order: of two documents for one sidecar,
/// the keys of the later variant win.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Scope {
    /// All sidecars.
    All,
    /// The sidecars of a region.
    Region(u32),
    /// The sidecars of a zone.
    Zone(u32),
    /// The sidecars of a service.
    Service(u32),
    /// One sidecar, by its member number.
    Sidecar(u16),
}

impl Scope {
    /// The number of scopes that apply to one sidecar: one of each variant.
    pub const LEVELS: usize = 5;

    /// Whether a document of this scope is for this sidecar.
    pub fn covers(self, sidecar: &Identity) -> bool {
        match self {
            Scope::All => true,
            Scope::Region(region) => region == sidecar.region,
            Scope::Zone(zone) => zone == sidecar.zone,
            Scope::Service(service) => service == sidecar.service,
            Scope::Sidecar(number) => number == sidecar.number,
        }
    }

    /// The scopes that apply to a sidecar, in merge order.
    pub fn of(sidecar: &Identity) -> [Scope; Scope::LEVELS] {
        [
            Scope::All,
            Scope::Region(sidecar.region),
            Scope::Zone(sidecar.zone),
            Scope::Service(sidecar.service),
            Scope::Sidecar(sidecar.number),
        ]
    }

    /// Its position in the merge order, from 0.
    pub fn level(self) -> u8 {
        match self {
            Scope::All => 0,
            Scope::Region(_) => 1,
            Scope::Zone(_) => 2,
            Scope::Service(_) => 3,
            Scope::Sidecar(_) => 4,
        }
    }

    /// The number that identifies it within its level.
    fn number(self) -> u32 {
        match self {
            Scope::All => 0,
            Scope::Region(number) | Scope::Zone(number) | Scope::Service(number) => number,
            Scope::Sidecar(number) => u32::from(number),
        }
    }
}

/// What a document contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum DocumentKind {
    /// Settings of the sidecar.
    Configuration,
    /// The servers of a service. It is for the sidecars that subscribe to it by
    /// [`DistributionConfig::lists`](crate::DistributionConfig::lists), and not for those that run beside the service.
    ServerList,
}

impl DocumentKind {
    /// All kinds.
    pub const ALL: [DocumentKind; 2] = [DocumentKind::Configuration, DocumentKind::ServerList];
}

/// The key of a document; of each key, one document is in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DocumentKey {
    /// What the document contains.
    pub kind: DocumentKind,
    /// The sidecars that it is for.
    pub scope: Scope,
}

impl DocumentKey {
    /// The key of a scope's configuration.
    pub fn configuration(scope: Scope) -> DocumentKey {
        DocumentKey { kind: DocumentKind::Configuration, scope }
    }

    /// The key of the list of a service's servers. The number identifies the service as in [`Identity::service`].
    pub fn server_list(service: u32) -> DocumentKey {
        DocumentKey { kind: DocumentKind::ServerList, scope: Scope::Service(service) }
    }

    /// The key as one byte of kind and level, for a reader that knows the sidecar's identity.
    pub(crate) fn compact(self) -> u8 {
        (self.kind as u8) << 4 | self.scope.level()
    }

    /// The key that a byte of [`DocumentKey::compact`] stands for at a sidecar.
    pub(crate) fn from_compact(compact: u8, sidecar: &Identity) -> Option<DocumentKey> {
        let kind = *DocumentKind::ALL.get(usize::from(compact >> 4))?;
        let scope = *Scope::of(sidecar).get(usize::from(compact & 0x0f))?;
        Some(DocumentKey { kind, scope })
    }

    /// Appends it to a message: 5 bytes.
    pub(crate) fn write(self, bytes: &mut Vec<u8>) {
        bytes.put_u8(self.compact());
        bytes.put_u32(self.scope.number());
    }

    /// Reads it from a message; None: the message is too short, or there is no such key.
    pub(crate) fn read(bytes: &mut &[u8]) -> Option<DocumentKey> {
        let compact = codec::take_u8(bytes)?;
        let number = codec::take_u32(bytes)?;
        let scope = match compact & 0x0f {
            0 => Scope::All,
            1 => Scope::Region(number),
            2 => Scope::Zone(number),
            3 => Scope::Service(number),
            4 => Scope::Sidecar(u16::try_from(number).ok()?),
            _ => return None,
        };
        let kind = *DocumentKind::ALL.get(usize::from(compact >> 4))?;
        Some(DocumentKey { kind, scope })
    }
}

impl std::fmt::Display for DocumentKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:?} of {:?}", self.kind, self.scope)
    }
}

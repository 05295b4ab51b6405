//! For whom a document is, and the order in which documents are merged.

use millethook_machine::codec::{self, BufMut};
use serde::{Deserialize, Serialize};

/// Where a sidecar stands. Names of regions, zones and services are numbers here; the host maps them, alike at all
/// members (an index of a configured list, or a hash of the name).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Identity {
    /// Its region.
    pub region: u32,
    /// Its zone.
    pub zone: u32,
    /// The service that it stands beside.
    pub service: u32,
    /// Its member number.
    pub number: u16,
}

/// For whom a document is. The order of the variants is the order of merge: of two documents that are for one sidecar
/// the later variant's keys win.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Scope {
    /// All sidecars.
    All,
    /// Those of a region.
    Region(u32),
    /// Those of a zone.
    Zone(u32),
    /// Those of a service.
    Service(u32),
    /// One sidecar, by its member number.
    Sidecar(u16),
}

impl Scope {
    /// Scopes that apply to one sidecar: one of each variant.
    pub const LEVELS: usize = 5;

    /// Whether a document of this scope is for this sidecar.
    pub fn covers(self, who: &Identity) -> bool {
        match self {
            Scope::All => true,
            Scope::Region(region) => region == who.region,
            Scope::Zone(zone) => zone == who.zone,
            Scope::Service(service) => service == who.service,
            Scope::Sidecar(number) => number == who.number,
        }
    }

    /// The scopes that apply to a sidecar, in the order of merge.
    pub fn of(who: &Identity) -> [Scope; Scope::LEVELS] {
        [
            Scope::All,
            Scope::Region(who.region),
            Scope::Zone(who.zone),
            Scope::Service(who.service),
            Scope::Sidecar(who.number),
        ]
    }

    /// Its place in the order of merge, from 0.
    pub fn level(self) -> u8 {
        match self {
            Scope::All => 0,
            Scope::Region(_) => 1,
            Scope::Zone(_) => 2,
            Scope::Service(_) => 3,
            Scope::Sidecar(_) => 4,
        }
    }

    /// The number that names it within its level.
    fn number(self) -> u32 {
        match self {
            Scope::All => 0,
            Scope::Region(number) | Scope::Zone(number) | Scope::Service(number) => number,
            Scope::Sidecar(number) => u32::from(number),
        }
    }
}

/// What a document holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum DocumentKind {
    /// Settings of the sidecar.
    Configuration,
    /// The servers of a service. It is for the sidecars that want it, by
    /// [`DistributionConfig::lists`](crate::DistributionConfig::lists), and not for those that stand beside the service.
    ServerList,
}

impl DocumentKind {
    /// All of them.
    pub const ALL: [DocumentKind; 2] = [DocumentKind::Configuration, DocumentKind::ServerList];
}

/// What a document is known by: of each key one document is in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DocumentKey {
    /// What it holds.
    pub kind: DocumentKind,
    /// For whom it is.
    pub scope: Scope,
}

impl DocumentKey {
    /// The key of a scope's configuration.
    pub fn configuration(scope: Scope) -> DocumentKey {
        DocumentKey { kind: DocumentKind::Configuration, scope }
    }

    /// The key of the list of a service's servers. The number names the service as in [`Identity::service`].
    pub fn server_list(service: u32) -> DocumentKey {
        DocumentKey { kind: DocumentKind::ServerList, scope: Scope::Service(service) }
    }

    /// The key as one byte, for a reader that knows the sidecar's identity: kind and level.
    pub(crate) fn short(self) -> u8 {
        (self.kind as u8) << 4 | self.scope.level()
    }

    /// The key that [`DocumentKey::short`] stands for at a sidecar.
    pub(crate) fn from_short(short: u8, who: &Identity) -> Option<DocumentKey> {
        let kind = *DocumentKind::ALL.get(usize::from(short >> 4))?;
        let scope = *Scope::of(who).get(usize::from(short & 0x0f))?;
        Some(DocumentKey { kind, scope })
    }

    /// Adds it to a message: 5 bytes.
    pub(crate) fn write(self, bytes: &mut Vec<u8>) {
        bytes.put_u8(self.short());
        bytes.put_u32(self.scope.number());
    }

    /// Takes it from a message; None: there is less, or no such key.
    pub(crate) fn read(bytes: &mut &[u8]) -> Option<DocumentKey> {
        let short = codec::take_u8(bytes)?;
        let number = codec::take_u32(bytes)?;
        let scope = match short & 0x0f {
            0 => Scope::All,
            1 => Scope::Region(number),
            2 => Scope::Zone(number),
            3 => Scope::Service(number),
            4 => Scope::Sidecar(u16::try_from(number).ok()?),
            _ => return None,
        };
        let kind = *DocumentKind::ALL.get(usize::from(short >> 4))?;
        Some(DocumentKey { kind, scope })
    }
}

impl std::fmt::Display for DocumentKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:?} of {:?}", self.kind, self.scope)
    }
}

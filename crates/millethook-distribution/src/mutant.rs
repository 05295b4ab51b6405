//! Rules that tests can remove (`--features mutants`).

millethook_machine::mutants! {
    /// One control node less than a majority is enough.
    NoMajority,
    /// A control node accepts proposals of a writer that was replaced by another.
    NoFence,
    /// A new writer does not learn what the other control nodes store.
    NoCatchUp,
    /// A new writer ignores documents that were accepted and not committed.
    LeftoversForgotten,
    /// A control node that has started votes at once.
    NoSilence,
    /// Votes count for a round that has expired.
    RoundsForever,
    /// A writer gives two documents the same version.
    CounterStays,
    /// Accepted documents are sent to sidecars before they are committed.
    UncommittedTravels,
    /// A sidecar accepts a document that is older than the one in force.
    VersionsGoBack,
    /// A sidecar accepts documents that are not for it.
    AnyScope,
    /// A document counts as complete when its last chunk has arrived.
    LastChunkIsEnough,
    /// A document that the host refused can still be put into force.
    RefusedComesBack,
    /// A document that many sidecars refuse is not stopped.
    NeverStopped,
    /// Server lists are sent to the sidecars beside the service.
    ListsByIdentity,
    /// A delta is applied to whatever is in force, and the hash is not compared.
    DeltaUnchecked,
    /// All sidecars of a control node are expected to have a list.
    ListsExpectedOfAll,
}

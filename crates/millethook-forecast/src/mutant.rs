//! Rules that tests disable (`--features mutants`) to prove that the tests detect their absence.

millethook_machine::mutants! {
    /// A store's capacity is not scaled by the share of the sample.
    SizeNotScaled,
    /// A replaced server keeps its store.
    ReplacedStaysWarm,
    /// An access is sampled whatever the hash of its item.
    AllSampled,
    /// A figure is given even with too few accesses.
    AlwaysKnown,
    /// A sample has no size limit.
    Unbounded,
    /// Accesses older than a sample's span are kept.
    NothingForgotten,
    /// A sample that is too large drops its last accesses instead of half of its items.
    ThinnedByCount,
    /// Accesses of another sample are merged one at a time.
    MergedOneByOne,
    /// A connection in use is hit again.
    InUseTwice,
    /// A store has no size limit.
    StoreUnbounded,
    /// An expired copy is hit if it is behind one that has been in use for long.
    OldHit,
    /// A server that is already there is added again.
    AddedTwice,
    /// A map may name a server that does not exist.
    AnyMap,
    /// An interval may extend below 0 and above 1.
    IntervalNotClamped,
    /// Accesses of the first pass are also counted in the steady state, by zone.
    ZonesCountedTwice,
    /// A proposal with a lower token is accepted.
    AnyToken,
}

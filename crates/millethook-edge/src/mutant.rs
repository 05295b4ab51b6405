//! Rules that tests take out (`--features mutants`).

millethook_machine::mutants! {
    /// A write goes out before it is marked on disk.
    NoMark,
    /// What earlier owners marked is sent again as if it had never gone out.
    MarksForgotten,
    /// A successor does not wait for its forerunner in the same store,
    NoOrder,
    /// nor for one in another store.
    NoOrderElsewhere,
    /// What may have run is sent again whatever it is.
    AlwaysAgain,
    /// A keyed write is repeated beyond its window, too.
    NoWindow,
    /// A write that is not acknowledged goes out.
    Unacknowledged,
    /// A record whose sum is wrong counts as it stands.
    NoSum,
}

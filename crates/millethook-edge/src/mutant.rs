//! Rules that tests disable (`--features mutants`) to prove that the search detects their absence.

millethook_machine::mutants! {
    /// A write is sent before its mark is on disk.
    NoMark,
    /// A new owner resends writes that earlier owners marked, as if they had never been sent.
    MarksForgotten,
    /// A write does not wait for its dependencies in the same store.
    NoOrder,
    /// A write does not wait for its dependencies in another store.
    NoOrderElsewhere,
    /// A write that may have been executed is resent even if a repeat is harmful.
    AlwaysAgain,
    /// A keyed write is repeated after its window.
    NoWindow,
    /// A write that is not acknowledged is sent.
    Unacknowledged,
    /// A record with a wrong checksum is accepted.
    NoSum,
}

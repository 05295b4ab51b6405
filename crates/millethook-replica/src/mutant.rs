//! Rules that tests disable one by one, to show that each is needed (`--features mutants`, `tests/it/laws.rs`).

millethook_machine::mutants! {
    /// The value that was received last is kept, whichever was written later.
    LastComerHolds,
    /// The epoch of the author is ignored.
    EpochsDoNotCount,
    /// An entry that is received again takes the received age, even if it is lower.
    AgesShrink,
    /// Of two departures the one that was received first is kept.
    FirstDepartureHolds,
    /// Differences are not repaired.
    NoRepair,
}

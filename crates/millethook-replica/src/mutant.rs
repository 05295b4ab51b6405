//! One rule taken out at a time, for the test that each is missed (`--features mutants`). Without the feature nothing
//! of it is in the program.

/// A rule that is missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    /// The word that came last holds, whichever was said later.
    LastComerHolds,
    /// A later process of an author does not count before an earlier one.
    EpochsDoNotCount,
    /// An entry that comes again is as young as it says.
    AgesShrink,
    /// Of two departures the one that came first holds.
    FirstDepartureHolds,
    /// Differences are not mended.
    NoRepair,
}

#[cfg(feature = "mutants")]
thread_local! {
    static PRESENT: std::cell::Cell<Option<Mutant>> = const { std::cell::Cell::new(None) };
}

/// Takes a rule out, on this thread.
#[cfg(feature = "mutants")]
pub fn become_mutant(mutant: Option<Mutant>) {
    PRESENT.set(mutant);
}

/// Whether this rule is out.
#[cfg(feature = "mutants")]
pub(crate) fn is(mutant: Mutant) -> bool {
    PRESENT.get() == Some(mutant)
}

/// Whether this rule is out.
#[cfg(not(feature = "mutants"))]
pub(crate) const fn is(_: Mutant) -> bool {
    false
}

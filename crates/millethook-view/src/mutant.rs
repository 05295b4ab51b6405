//! One check taken out at a time, for the test that the explorer finds each (`--features mutants`). Without the
//! feature nothing of it is in the program.

/// A check that is missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    /// A later process does not count before an earlier one.
    EpochsDoNotCount,
    /// What left can be called alive again.
    LeftComesBack,
    /// A contradiction has the incarnation that was already there.
    SameIncarnation,
    /// Nobody contradicts.
    NoContradiction,
    /// The dead are not asked.
    DeadAreForgotten,
    /// A process does not go above a later one of its number.
    NeverAbove,
    /// Views that differ are not mended.
    NoRepair,
    /// A suspicion does not end.
    SuspectForEver,
}

#[cfg(feature = "mutants")]
thread_local! {
    static PRESENT: std::cell::Cell<Option<Mutant>> = const { std::cell::Cell::new(None) };
}

/// Takes a check out, on this thread.
#[cfg(feature = "mutants")]
pub fn become_mutant(mutant: Option<Mutant>) {
    PRESENT.set(mutant);
}

/// Whether this check is out.
#[cfg(feature = "mutants")]
pub(crate) fn is(mutant: Mutant) -> bool {
    PRESENT.get() == Some(mutant)
}

/// Whether this check is out.
#[cfg(not(feature = "mutants"))]
pub(crate) const fn is(_: Mutant) -> bool {
    false
}

//! Rules that tests disable one by one, to show that each is needed (`--features mutants`, `tests/it/explore.rs`).

millethook_machine::mutants! {
    /// The epoch of a process is ignored.
    EpochsDoNotCount,
    /// A member that has left can become alive again.
    LeftComesBack,
    /// A refutation keeps the incarnation that it refutes.
    SameIncarnation,
    /// Reports are not refuted.
    NoContradiction,
    /// Dead members are not probed.
    DeadAreForgotten,
    /// A process does not raise its epoch above that of a later process with its number.
    NeverAbove,
    /// Views that differ are not repaired.
    NoRepair,
    /// A suspicion does not expire.
    SuspectForEver,
}

//! Rules that tests disable one by one to show that each is needed (`--features mutants`).

millethook_machine::mutants! {
    /// Changes of an earlier version are applied.
    OldChangesTaken,
    /// A suspect list that takes effect undoes the changes that came after it.
    HeldUndoesChanges,
    /// An entry of the platform's list that says that a server has left adds the server.
    LeftInKnownList,
    /// An entry of a live list that says that a server has left adds the server.
    LeftInLiveList,
    /// A draining server counts as usable.
    DrainingUsable,
    /// A snapshot is applied after a live list.
    SnapshotAfterLive,
    /// The platform's list is applied after a live list.
    KnownAfterLive,
    /// A doubtful entry of a snapshot replaces one that is in use.
    DoubtfulReplacesUsed,
    /// A server that was confirmed after its file was written is usable.
    FutureTrusted,
    /// A server that was confirmed after its file was written is dropped without a trial.
    FutureDropped,
    /// A server whose confirmation lies in the future is dropped without a trial.
    ClockSetBackDrops,
    /// No full list is suspect.
    NoSuspicion,
    /// Each further suspect list extends the hold time.
    EndlessSuspicion,
    /// The number of concurrent trials is not bounded.
    AnyTrials,
    /// Trials follow each other without an interval.
    TrialsNotPaced,
    /// The number of trials of a server is not bounded.
    TrialsWithoutEnd,
    /// Another program that answers is accepted as the server.
    StrangerTrusted,
    /// A full list removes no servers.
    WholeRemovesNothing,
    /// The history does not decay, and departures are subtracted.
    HistoryFalls,
}

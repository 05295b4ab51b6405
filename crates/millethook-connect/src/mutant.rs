//! Rules that tests remove one by one, to show that each is needed (`--features mutants`).

millethook_machine::mutants! {
    /// A connection is handed out before its quarantine is over.
    NoQuarantine,
    /// Late stray bytes do not make quarantines longer.
    StrayBytesForgotten,
    /// A quarantine is as long as stray bytes were late, whatever that is.
    EndlessQuarantine,
    /// A connection is handed out without a look at its socket.
    NoLook,
    /// A connection is handed out however long it has rested.
    NeverTooOld,
    /// What has rested for long is kept.
    NotRetired,
    /// Handshakes with a server are not bounded.
    AnyHandshakes,
    /// Connections to a server are not bounded.
    AnyConnections,
    /// A handshake that failed is counted on.
    FailedStillOpening,
    /// A connection that was discarded is counted on.
    DiscardedStillInUse,
    /// A connection that is given up is counted on.
    GivenUpStillCounted,
    /// The connection that came to rest last is given up.
    YoungestGivenUp,
    /// A connection to a server that has left rests when it is released.
    ReleasedToGone,
    /// A connection that was opened ahead of need to a server that has left rests.
    SpareToGone,
    /// Connections at rest stay when their server leaves.
    RestingOfGone,
    /// Servers without connections are never forgotten.
    NeverForgotten,
    /// Connections that are opened ahead of need are not bounded.
    AnySpares,
    /// A connection is opened ahead of need beside one at rest.
    SpareBesideResting,
    /// An idle limit is learned from a server that closes each connection at once.
    LimitOfEndingServer,
    /// A connection that has carried an answer is used again though its server sent stray bytes lately.
    ReusedUnproven,
    /// An unsafe request on a connection in doubt is not tried.
    NoTrial,
}

//! Mutants: rules that tests disable one by one to show that each is covered (`--features mutants`).

millethook_machine::mutants! {
    /// A connection is handed out before the end of its quarantine.
    NoQuarantine,
    /// Late stray bytes do not lengthen quarantines.
    StrayBytesIgnored,
    /// A quarantine follows the lag of stray bytes without limits.
    UnboundedQuarantine,
    /// A connection is handed out without a check of its socket.
    SocketNotChecked,
    /// A connection is handed out after any idle time.
    ExpiredHandedOut,
    /// Connections are kept after their maximum idle time.
    ExpiredKept,
    /// Handshakes with a server are not limited.
    UnboundedHandshakes,
    /// Connections to a server are not limited.
    UnboundedConnections,
    /// A failed handshake is still counted as opening.
    FailedStillOpening,
    /// A discarded connection is still counted as in use.
    DiscardedStillInUse,
    /// An evicted connection is still counted as idle.
    EvictedStillCounted,
    /// The connection that became idle last is evicted.
    NewestEvicted,
    /// A released connection is kept although its server was removed.
    ReleasedAfterRemoval,
    /// A new spare connection is kept although its server was removed.
    SpareAfterRemoval,
    /// Idle connections are kept when their server is removed.
    IdleKeptAfterRemoval,
    /// Servers without connections are never forgotten.
    UnusedServersKept,
    /// Spare connections are not limited.
    UnboundedSpares,
    /// A spare connection is opened although another one is idle.
    SpareDespiteIdle,
    /// An idle limit is learned from a server that closes each connection at once.
    IdleLimitFromRestart,
    /// A connection that has carried an answer is reused although its server recently sent stray bytes.
    ReusedWithoutProof,
    /// An unsafe request is not held on a new or idle connection.
    NoHold,
}

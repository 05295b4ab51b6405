//! Rules that tests remove one by one, to show that each is needed (`--features mutants`).

millethook_machine::mutants! {
    /// An acceptor that has just started grants at once.
    NoSilence,
    /// One acceptor less than a majority is enough.
    NoMajority,
    /// An acceptor grants what another one holds.
    GrantsTwice,
    /// An acceptor takes a token that is no greater than one that it knows.
    TokensStay,
    /// An owner counts from when it was granted, not from when it asked.
    CountsFromAnswer,
    /// An owner allows for no difference between clocks.
    NoDrift,
    /// After a change of the members the old majority is not asked any more.
    OldMajorityForgotten,
    /// An acceptor answers whoever asks, whatever members that one knows.
    AnyMembers,
    /// What was given back can be granted again by a message that comes late.
    ReleasedComesBack,
    /// An owner does not look whether its lease is over.
    NoLook,
    /// What holds the effects takes lower tokens, too.
    NoFence,
}

//! Rules that tests disable one by one, to show that each is needed (`--features mutants`).

millethook_machine::mutants! {
    /// An acceptor grants leases directly after its start.
    NoSilence,
    /// One acceptor less than a majority suffices.
    NoMajority,
    /// An acceptor grants a job that another token holds.
    GrantsTwice,
    /// An acceptor grants a token that is not greater than one that it knows.
    TokensStay,
    /// An owner counts its lease from the grant instead of from the claim.
    CountsFromAnswer,
    /// An owner makes no allowance for clock drift.
    NoDrift,
    /// After a member change no majority of the previous acceptors is needed.
    OldMajorityForgotten,
    /// An acceptor answers every claim, whichever member list its sender uses.
    AnyMembers,
    /// A released token can be granted again by a late message.
    ReleasedComesBack,
    /// An owner does not check whether its lease has expired.
    NoLook,
    /// A fence admits lower tokens, too.
    NoFence,
}

//! Rules that tests take out (`--features mutants`).

millethook_machine::mutants! {
    /// A store holds as much of a sample as of everything.
    SizeNotScaled,
    /// A server that was replaced keeps what it held.
    ReplacedStaysWarm,
    /// An access is taken whatever the hash of its item.
    AllSampled,
    /// Little to go by is no reason to say nothing.
    AlwaysKnown,
    /// A proposal under a lower token is taken over, too.
    AnyToken,
}

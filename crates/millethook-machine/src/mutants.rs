//! Rules that tests can disable to show that each is needed. Without the feature `mutants` of this package the switches
//! are compiled out.

/// Declares a package's mutants: the type `Mutant`, `become_mutant` (feature `mutants`) and `is`.
#[macro_export]
macro_rules! mutants {
    ($($(#[$doc:meta])* $name:ident,)+) => {
        /// A rule that a test can disable.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Mutant { $($(#[$doc])* $name,)+ }

        impl Mutant {
            /// All mutants.
            pub const ALL: &'static [Mutant] = &[$(Mutant::$name,)+];
        }

        #[cfg(feature = "mutants")]
        thread_local! {
            static ACTIVE: std::cell::Cell<Option<Mutant>> = const { std::cell::Cell::new(None) };
        }

        /// Disables a rule on this thread; None enables all rules.
        #[cfg(feature = "mutants")]
        pub fn become_mutant(mutant: Option<Mutant>) {
            ACTIVE.set(mutant);
        }

        /// Whether this rule is disabled.
        #[cfg(feature = "mutants")]
        #[allow(dead_code)]
        pub(crate) fn is(mutant: Mutant) -> bool {
            ACTIVE.get() == Some(mutant)
        }

        /// Whether this rule is disabled.
        #[cfg(not(feature = "mutants"))]
        #[allow(dead_code)]
        pub(crate) const fn is(_: Mutant) -> bool {
            false
        }
    };
}

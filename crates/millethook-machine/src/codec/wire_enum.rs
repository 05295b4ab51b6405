//! Enumerations that are sent as one byte.

/// Declares an enumeration whose variants have numbers on the wire, with `from_wire` and `to_wire`, and implements
/// [`Field`](crate::codec::Field) for it, with one byte.
///
/// ```
/// millethook_machine::wire_enum! {
///     /// The kind of a message.
///     pub enum Kind {
///         /// A request.
///         Ping = 1,
///         /// The answer to a ping.
///         Ack = 2,
///     }
/// }
/// assert_eq!(Kind::from_wire(2), Some(Kind::Ack));
/// assert_eq!(Kind::from_wire(3), None);
/// assert_eq!(Kind::Ping.to_wire(), 1);
/// ```
#[macro_export]
macro_rules! wire_enum {
    (
        $(#[$meta:meta])*
        $visibility:vis enum $name:ident {
            $($(#[$doc:meta])* $variant:ident = $number:literal,)+
        }
    ) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        $visibility enum $name {
            $($(#[$doc])* $variant = $number,)+
        }

        impl $name {
            /// Returns the variant with this number, if there is one.
            $visibility const fn from_wire(number: u8) -> Option<$name> {
                match number {
                    $($number => Some($name::$variant),)+
                    _ => None,
                }
            }

            /// Returns the number of the variant on the wire.
            $visibility const fn to_wire(self) -> u8 {
                self as u8
            }
        }

        impl $crate::codec::Field for $name {
            type Value = $name;

            const LENGTH: usize = 1;

            fn put(value: $name, bytes: &mut Vec<u8>) {
                bytes.push(value.to_wire());
            }

            fn take(
                reader: &mut $crate::codec::Reader<'_>,
            ) -> Result<$name, $crate::codec::Malformed> {
                $name::from_wire(reader.u8()?).ok_or($crate::codec::Malformed::Kind)
            }
        }
    };
}

//! Headers that consist of consecutive fields.

/// Declares a header as a struct and implements [`Header`](crate::codec::Header) for it. Fields are written in their
/// order. The encoding of a field is that of its type, or the one given after `as`.
///
/// ```
/// use millethook_machine::codec::{U48, write_header};
///
/// millethook_machine::message_header! {
///     /// The header of each message.
///     pub struct MessageHeader {
///         /// The number that matches an answer to its request.
///         pub sequence: u16,
///         /// The epoch of the sender.
///         pub epoch: u64 as U48,
///     }
/// }
/// let header = MessageHeader { sequence: 0x0102, epoch: 3 };
/// assert_eq!(write_header(&header), [1, 2, 0, 0, 0, 0, 0, 3]);
/// ```
#[macro_export]
macro_rules! message_header {
    (@encoding $value:ty) => { $value };
    (@encoding $value:ty, $encoding:ty) => { $encoding };
    (
        $(#[$meta:meta])*
        $visibility:vis struct $name:ident {
            $($(#[$doc:meta])* $field_visibility:vis $field:ident: $value:ty $(as $encoding:ty)?,)+
        }
    ) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        $visibility struct $name {
            $($(#[$doc])* $field_visibility $field: $value,)+
        }

        impl $crate::codec::Header for $name {
            const LENGTH: usize = 0
                $(+ <$crate::message_header!(@encoding $value $(, $encoding)?) as $crate::codec::Field>::LENGTH)+;

            fn write(&self, bytes: &mut Vec<u8>) {
                $(<$crate::message_header!(@encoding $value $(, $encoding)?) as $crate::codec::Field>::put(
                    self.$field,
                    bytes,
                );)+
            }

            fn read(
                reader: &mut $crate::codec::Reader<'_>,
            ) -> Result<Self, $crate::codec::Malformed> {
                Ok(Self {
                    $($field: <$crate::message_header!(@encoding $value $(, $encoding)?) as $crate::codec::Field>::take(
                        reader,
                    )?,)+
                })
            }
        }
    };
}

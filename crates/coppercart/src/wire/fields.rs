//! Reads little-endian fields at known offsets.

use crate::api::{RequestId, ServerId};

/// A little-endian reader over bytes whose length has been checked.
pub(super) struct Fields<'a>(pub(super) &'a [u8]);

impl<'a> Fields<'a> {
    pub(super) fn bytes<const N: usize>(&self, at: usize) -> [u8; N] {
        let mut out = [0; N];
        out.copy_from_slice(&self.0[at..at + N]);
        out
    }
    pub(super) fn u8(&self, at: usize) -> u8 {
        self.0[at]
    }
    pub(super) fn u16(&self, at: usize) -> u16 {
        u16::from_le_bytes(self.bytes(at))
    }
    pub(super) fn u32(&self, at: usize) -> u32 {
        u32::from_le_bytes(self.bytes(at))
    }
    pub(super) fn u64(&self, at: usize) -> u64 {
        u64::from_le_bytes(self.bytes(at))
    }
    pub(super) fn f32(&self, at: usize) -> f32 {
        f32::from_le_bytes(self.bytes(at))
    }
    pub(super) fn request(&self, at: usize) -> RequestId {
        RequestId(self.u64(at))
    }
    pub(super) fn server(&self, at: usize) -> ServerId {
        let mut wide = [0; 8];
        wide[..6].copy_from_slice(&self.bytes::<6>(at));
        ServerId(u64::from_le_bytes(wide))
    }
}

//! Hashes that are the same at all sidecars. They do not resist an attacker who chooses the input.

/// Mixes a number into a uniformly distributed 64-bit hash: the finalizer of splitmix64 (Steele, Lea and Flood, OOPSLA 2014).
pub const fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// The weight of a member for a subject in rendezvous hashing (Thaler and Ravishankar, 1998): the member with the
/// greatest weight is responsible for the subject first. Both arguments may be hashes or any other numbers.
pub const fn weight(subject: u64, member: u64) -> u64 {
    mix(subject ^ mix(member.wrapping_add(0x9e37_79b9_7f4a_7c15)))
}

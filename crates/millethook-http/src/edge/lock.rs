//! The lock on a store's intake: a process holds it for as long as it lives, so that nobody removes what it still
//! appends to.

use std::fs::File;
use std::path::Path;

/// Whether nobody holds the lock.
pub(super) fn is_free(path: &Path) -> bool {
    File::open(path).is_ok_and(|file| {
        rustix::fs::flock(&file, rustix::fs::FlockOperation::NonBlockingLockExclusive).is_ok()
    })
}

/// Takes the lock for as long as the file is open.
pub(super) fn hold(file: &File) -> bool {
    // Others look for a moment whether it is free.
    (0..5).any(|_| {
        let locked =
            rustix::fs::flock(file, rustix::fs::FlockOperation::NonBlockingLockExclusive).is_ok();
        if !locked {
            std::thread::sleep(std::time::Duration::from_millis(1));
        }
        locked
    })
}

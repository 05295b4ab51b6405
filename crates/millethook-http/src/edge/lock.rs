//! Lock on the intake of a store. A process holds it for as long as it lives, so that no other process
//! removes a file that it still appends to.

use std::fs::File;
use std::path::Path;

/// Whether no process holds the lock.
pub(super) fn is_free(path: &Path) -> bool {
    File::open(path).is_ok_and(|file| {
        rustix::fs::flock(&file, rustix::fs::FlockOperation::NonBlockingLockExclusive).is_ok()
    })
}

/// Takes the lock, which is held for as long as the file is open.
pub(super) fn acquire(file: &File) -> bool {
    // Other processes briefly take the lock to test whether it is free, so this is tried several times.
    (0..5).any(|_| {
        let locked =
            rustix::fs::flock(file, rustix::fs::FlockOperation::NonBlockingLockExclusive).is_ok();
        if !locked {
            std::thread::sleep(std::time::Duration::from_millis(1));
        }
        locked
    })
}

//! Checks the repository's own page.

use std::path::Path;

/// Fails if a figure in the page differs from the measurements.
#[test]
fn the_page_matches_the_measurements() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    if let Err(error) = millethook_capacity::check(&root) {
        panic!("{error}");
    }
}

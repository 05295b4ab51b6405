//! Paths have a class only if they can be read in just one way.

use super::*;

#[test]
fn a_path_that_can_be_read_in_two_ways_has_no_class() {
    for path in [
        "/look/../order/1",
        "/look/./1",
        "/look/..",
        "/../order",
        "/./order",
        "/look/%2e%2E/order/1",
        "/look/.%2e/order/1",
        "/look/..%2forder/1",
        "/look%2f..%2forder",
        "/look/..%5Corder",
        "/look\\..\\order",
        "//order/1",
        "",
        "*",
        "/look/%2",
        "/look/%zz",
    ] {
        assert_eq!(unambiguous_class(path), Err(Invalid::Path), "{path}");
    }
}

#[test]
fn dots_within_a_segment_are_allowed() {
    for path in ["/look", "/look/", "/look/a..b/...", "/look/.well-known", "/look/1.2%20x//y"] {
        assert_eq!(unambiguous_class(path), Ok("look"), "{path}");
    }
    assert_eq!(unambiguous_class("/v1.2/x"), Ok("v1.2"));
    assert_eq!(unambiguous_class("/"), Ok(""));
}

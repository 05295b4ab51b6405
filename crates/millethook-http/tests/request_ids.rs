//! Which request ids are in use.

use std::time::Duration;

use millethook_http::request_ids::RequestIdRegistry;

const LONGEST_DEADLINE: Duration = Duration::from_secs(3);

#[test]
fn an_open_id_stays_in_use_however_many_others_pass() {
    let ids = RequestIdRegistry::new(LONGEST_DEADLINE);
    let mut open = ids.reserve(b"open").expect("a new id");
    open.set_may_have_run(true);
    for n in 0..300_000u32 {
        let mut other = ids.reserve(&n.to_le_bytes()).expect("a new id");
        other.set_may_have_run(true);
    }
    assert!(ids.reserve(b"open").is_none());
}

#[test]
fn ids_that_never_ran_may_come_again_and_push_no_others_out() {
    let ids = RequestIdRegistry::new(LONGEST_DEADLINE);
    ids.reserve(b"ran").expect("a new id").set_may_have_run(true);
    for n in 0..300_000u32 {
        drop(ids.reserve(&n.to_le_bytes()).expect("a new id"));
    }
    assert!(ids.reserve(&7u32.to_le_bytes()).is_some());
    assert!(ids.reserve(b"ran").is_none());
}

#[test]
fn an_id_that_is_in_use_at_one_process_is_refused_at_the_other() {
    let (old, new) =
        (RequestIdRegistry::new(LONGEST_DEADLINE), RequestIdRegistry::new(LONGEST_DEADLINE));
    let open = old.reserve(b"open").expect("a new id");
    old.reserve(b"ended").expect("a new id").set_may_have_run(true);
    new.add_in_use(old.in_use());
    assert!(new.reserve(b"open").is_none() && new.reserve(b"ended").is_none());
    let mine = new.reserve(b"mine").expect("a new id");
    assert!(!new.reserve_hash(mine.id()));
    assert!(!new.reserve_hash(open.id()));
}

//! Whether a request may have run, given how much of it was sent.

use millethook_connect::contract::Execution::{MayHaveRun, NeverRan};
use millethook_connect::contract::{Begins, Progress};

/// Each cell of the table in the design documents.
#[test]
fn each_progress_has_the_execution_of_the_design_table() {
    let table = [
        (Progress::NotConnected, NeverRan, NeverRan),
        (Progress::Connected, NeverRan, NeverRan),
        (Progress::PartOfHead, NeverRan, NeverRan),
        (Progress::PartOfBody, MayHaveRun, NeverRan),
        (Progress::Complete, MayHaveRun, MayHaveRun),
    ];
    for (progress, head, whole) in table {
        assert_eq!(Begins::Head.execution(progress), head, "{progress:?} under head");
        assert_eq!(Begins::Whole.execution(progress), whole, "{progress:?} under whole");
        assert_eq!(Begins::Head.may_answer(progress), head == MayHaveRun);
        assert_eq!(Begins::Whole.may_answer(progress), whole == MayHaveRun);
    }
}

#[test]
fn progress_follows_from_the_written_bytes() {
    let of = |written| Progress::of(written, 10, 3);
    assert_eq!(of(0), Progress::Connected);
    assert_eq!((of(1), of(9)), (Progress::PartOfHead, Progress::PartOfHead));
    assert_eq!((of(10), of(12)), (Progress::PartOfBody, Progress::PartOfBody));
    assert_eq!(of(13), Progress::Complete);
    // Without a body the last byte of the head is the last byte of the request.
    assert_eq!(Progress::of(10, 10, 0), Progress::Complete);
    assert_eq!(Progress::of(9, 10, 0), Progress::PartOfHead);
}

#[test]
fn requests_may_have_run_from_the_commit_point_on() {
    for begins in [Begins::Head, Begins::Whole] {
        for (head, body) in [(1, 0), (10, 0), (10, 1), (10, 2), (10, 70_000)] {
            let commit = begins.commit_point(head, body);
            for written in [0, 1, head - 1, head, head + body / 2, head + body] {
                let ran = begins.execution(Progress::of(written, head, body)) == MayHaveRun;
                assert_eq!(ran, written >= commit, "{begins}: {written} of {head}+{body}");
            }
        }
    }
}

#[test]
fn the_names_are_those_of_the_configuration_files() {
    assert_eq!("head".parse(), Ok(Begins::Head));
    assert_eq!(Begins::Whole.to_string().parse(), Ok(Begins::Whole));
    let wrong = "body".parse::<Begins>();
    assert_eq!(wrong, Err("\"head\" or \"whole\" expected, not \"body\"".to_owned()));
    assert_eq!(Begins::default(), Begins::Head);
}

//! Exchanges, checked for each number of written bytes.

use super::*;

const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const REJECTED: &str = "HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";

/// An exchange with a head of 10 bytes and a body of 3, of which `written` bytes are written.
fn exchange_after(begins: Begins, written: usize) -> Exchange {
    let mut exchange = Exchange::new(begins, 10, 3, false);
    exchange.wrote(written);
    exchange
}

fn head_status(result: Result<Option<Event>, Failure>) -> Option<u16> {
    match result {
        Ok(Some(Event::Head(head))) => Some(head.status.as_u16()),
        _ => None,
    }
}

#[test]
fn bytes_before_the_commit_point_are_no_answer() {
    for (begins, commit) in [(Begins::Head, 10), (Begins::Whole, 13)] {
        for written in 0..=13 {
            let mut exchange = exchange_after(begins, written);
            let read = exchange.read(&mut BytesMut::from(OK));
            let execution = exchange.execution();
            if written >= commit {
                assert_eq!(head_status(read), Some(200), "{begins}: {written}");
                assert_eq!(execution, Execution::MayHaveRun);
            } else {
                assert_eq!(read, Err(Failure::StrayBytes), "{begins}: {written}");
                assert_eq!(execution, Execution::NeverRan);
                // Nothing more is written, so the request cannot run later.
                assert_eq!(exchange.writable(), (written, written));
            }
        }
    }
}

#[test]
fn an_unprocessed_rejection_is_accepted_at_any_point() {
    for begins in [Begins::Head, Begins::Whole] {
        for written in 0..=13 {
            let mut exchange = exchange_after(begins, written);
            assert_eq!(head_status(exchange.read(&mut BytesMut::from(REJECTED))), Some(503));
            assert!(!exchange.reusable(&BytesMut::new()));
        }
    }
}

#[test]
fn a_broken_exchange_may_have_run_only_from_the_commit_point_on() {
    for (begins, commit) in [(Begins::Head, 10), (Begins::Whole, 13)] {
        for written in 0..=13 {
            let mut exchange = exchange_after(begins, written);
            exchange.write_failed();
            assert_eq!(exchange.on_eof(&BytesMut::new()), Err(Failure::Closed));
            let ran = exchange.execution() == Execution::MayHaveRun;
            assert_eq!(ran, written >= commit, "{begins}: {written}");
        }
    }
}

#[test]
fn an_early_answer_is_read_after_a_failed_write() {
    let mut exchange = exchange_after(Begins::Head, 11);
    exchange.write_failed();
    assert_eq!(exchange.writable(), (11, 11));
    let mut buf = BytesMut::from(OK);
    assert_eq!(head_status(exchange.read(&mut buf)), Some(200));
    assert!(matches!(exchange.read(&mut buf), Ok(Some(Event::Data(_)))));
    assert_eq!(exchange.read(&mut buf), Ok(Some(Event::End)));
    // The body was not written completely, so the connection cannot be reused.
    assert!(!exchange.reusable(&buf));
}

#[test]
fn a_held_request_stops_before_the_commit_point() {
    for (begins, held_at) in [(Begins::Head, 9), (Begins::Whole, 12)] {
        let mut exchange = Exchange::new(begins, 10, 3, true);
        assert_eq!(exchange.writable(), (0, held_at));
        assert!(!exchange.is_holding());
        exchange.wrote(held_at);
        assert!(exchange.is_holding());
        assert_eq!(exchange.execution(), Execution::NeverRan);
        exchange.commit();
        assert_eq!(exchange.writable(), (held_at, 13));
    }
    // Without a body both settings hold the last byte of the head.
    assert_eq!(Exchange::new(Begins::Whole, 10, 0, true).writable(), (0, 9));
}

#[test]
fn a_streamed_body_is_complete_only_at_its_end() {
    for (begins, early) in [(Begins::Head, true), (Begins::Whole, false)] {
        let mut exchange = Exchange::new(begins, 10, 3, false);
        exchange.expect_more_body();
        exchange.wrote(13);
        assert!(exchange.needs_more_body());
        assert_eq!(exchange.progress(), Progress::PartOfBody);
        assert_eq!(exchange.execution() == Execution::MayHaveRun, early);
        exchange.extend_body(4);
        assert!(!exchange.needs_more_body());
        assert_eq!(exchange.writable(), (13, 17));
        exchange.wrote(4);
        assert!(exchange.needs_more_body());
        exchange.finish_body();
        assert_eq!(exchange.progress(), Progress::Complete);
        assert_eq!(exchange.execution(), Execution::MayHaveRun);
        assert_eq!(head_status(exchange.read(&mut BytesMut::from(OK))), Some(200));
    }
}

#[test]
fn bytes_behind_the_answer_prevent_reuse() {
    for (text, reusable) in [(OK.to_owned(), true), (format!("{OK}x"), false)] {
        let mut exchange = exchange_after(Begins::Head, 13);
        let mut buf = BytesMut::from(&*text);
        while exchange.read(&mut buf).expect("an answer").is_some() {}
        assert_eq!(exchange.reusable(&buf), reusable, "{text:?}");
    }
}

/// Guards against taking an earlier answer for that of a request which asked to close the connection.
#[test]
fn only_a_complete_head_announces_the_close() {
    let closes = OK.replacen("\r\n", "\r\nConnection: close\r\n", 1);
    for (text, announced) in [(OK, false), (&closes, true), ("HTTP/1.1 200", false)] {
        let mut exchange = exchange_after(Begins::Head, 13);
        let _ = exchange.read(&mut BytesMut::from(text)).expect("no failure");
        assert_eq!(exchange.announces_close(), announced, "{text:?}");
    }
}

#[test]
fn an_answer_to_an_earlier_request_is_skipped() {
    let mut exchange = exchange_after(Begins::Head, 13);
    let mut buf = BytesMut::from(format!("{OK}{OK}").as_str());
    for _ in 0..2 {
        assert_eq!(head_status(exchange.read(&mut buf)), Some(200));
        while exchange.read(&mut buf).expect("an answer").is_some() {}
        exchange.skip_answer();
    }
    assert!(buf.is_empty() && !exchange.answer_begun(&buf));
}

#[test]
fn an_interim_answer_before_the_commit_point_changes_nothing() {
    let mut exchange = exchange_after(Begins::Whole, 11);
    let mut buf = BytesMut::from("HTTP/1.1 100 Continue\r\n");
    assert_eq!(exchange.read(&mut buf), Ok(None));
    // The head is incomplete, so it is not known to be an interim answer, and nothing more is written.
    assert_eq!(exchange.writable(), (11, 11));
    buf.extend_from_slice(b"\r\n");
    assert_eq!(exchange.read(&mut buf), Ok(None));
    assert_eq!(exchange.writable(), (11, 13));
    exchange.wrote(2);
    buf.extend_from_slice(OK.as_bytes());
    assert_eq!(head_status(exchange.read(&mut buf)), Some(200));
}

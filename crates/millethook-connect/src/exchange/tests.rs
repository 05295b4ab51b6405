//! One request and its answer, byte by byte.

use super::*;

const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const AWAY: &str = "HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";

/// An exchange of which so many bytes of a head of 10 and a body of 3 are out.
fn at(begins: Begins, written: usize) -> Exchange {
    let mut exchange = Exchange::new(begins, 10, 3, false);
    exchange.wrote(written);
    exchange
}

fn head(result: Result<Option<Event>, Failure>) -> Option<u16> {
    match result {
        Ok(Some(Event::Head(head))) => Some(head.status.as_u16()),
        _ => None,
    }
}

#[test]
fn an_answer_counts_from_the_commit_point_on() {
    for (begins, commit) in [(Begins::Head, 10), (Begins::Whole, 13)] {
        for written in 0..=13 {
            let mut exchange = at(begins, written);
            let read = exchange.read(&mut BytesMut::from(OK));
            let execution = exchange.execution();
            if written >= commit {
                assert_eq!(head(read), Some(200), "{begins}: {written}");
                assert_eq!(execution, Execution::MayHaveRun);
            } else {
                assert_eq!(read, Err(Failure::Stray), "{begins}: {written}");
                assert_eq!(execution, Execution::NeverRan);
                // Nothing goes out any more, so that stays true.
                assert_eq!(exchange.writable(), (written, written));
            }
        }
    }
}

#[test]
fn a_request_is_turned_away_at_any_point() {
    for begins in [Begins::Head, Begins::Whole] {
        for written in 0..=13 {
            let mut exchange = at(begins, written);
            assert_eq!(head(exchange.read(&mut BytesMut::from(AWAY))), Some(503));
            assert!(!exchange.reusable(&BytesMut::new()));
        }
    }
}

#[test]
fn what_breaks_proves_what_was_written() {
    for (begins, commit) in [(Begins::Head, 10), (Begins::Whole, 13)] {
        for written in 0..=13 {
            let mut exchange = at(begins, written);
            exchange.write_failed();
            assert_eq!(exchange.on_eof(&BytesMut::new()), Err(Failure::Closed));
            let ran = exchange.execution() == Execution::MayHaveRun;
            assert_eq!(ran, written >= commit, "{begins}: {written}");
        }
    }
}

#[test]
fn an_early_answer_is_read_after_a_failed_write() {
    let mut exchange = at(Begins::Head, 11);
    exchange.write_failed();
    assert_eq!(exchange.writable(), (11, 11));
    let mut buf = BytesMut::from(OK);
    assert_eq!(head(exchange.read(&mut buf)), Some(200));
    assert!(matches!(exchange.read(&mut buf), Ok(Some(Event::Data(_)))));
    assert_eq!(exchange.read(&mut buf), Ok(Some(Event::End)));
    // The body is not out: the connection is given up.
    assert!(!exchange.reusable(&buf));
}

#[test]
fn a_trial_holds_what_could_make_it_run() {
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
    // Without a body both hold the head's last byte.
    assert_eq!(Exchange::new(Begins::Whole, 10, 0, true).writable(), (0, 9));
}

#[test]
fn a_body_that_follows_is_whole_at_its_end_only() {
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
        assert_eq!(head(exchange.read(&mut BytesMut::from(OK))), Some(200));
    }
}

#[test]
fn bytes_beyond_the_answer_end_a_connection() {
    for (text, reusable) in [(OK.to_owned(), true), (format!("{OK}x"), false)] {
        let mut exchange = at(Begins::Head, 13);
        let mut buf = BytesMut::from(&*text);
        while exchange.read(&mut buf).expect("an answer").is_some() {}
        assert_eq!(exchange.reusable(&buf), reusable, "{text:?}");
    }
}

/// Guards against an earlier answer that is taken for that of a request which asked for the connection's end.
#[test]
fn only_a_head_that_has_come_announces_the_end() {
    let closes = OK.replacen("\r\n", "\r\nConnection: close\r\n", 1);
    for (text, announced) in [(OK, false), (&closes, true), ("HTTP/1.1 200", false)] {
        let mut exchange = at(Begins::Head, 13);
        let _ = exchange.read(&mut BytesMut::from(text)).expect("no failure");
        assert_eq!(exchange.announces_close(), announced, "{text:?}");
    }
}

#[test]
fn an_answer_to_an_earlier_request_is_skipped() {
    let mut exchange = at(Begins::Head, 13);
    let mut buf = BytesMut::from(format!("{OK}{OK}").as_str());
    for _ in 0..2 {
        assert_eq!(head(exchange.read(&mut buf)), Some(200));
        while exchange.read(&mut buf).expect("an answer").is_some() {}
        exchange.skip_answer();
    }
    assert!(buf.is_empty() && !exchange.answer_begun(&buf));
}

#[test]
fn an_interim_answer_before_the_commit_point_changes_nothing() {
    let mut exchange = at(Begins::Whole, 11);
    let mut buf = BytesMut::from("HTTP/1.1 100 Continue\r\n");
    assert_eq!(exchange.read(&mut buf), Ok(None));
    // What it is cannot be told yet, so nothing more goes out.
    assert_eq!(exchange.writable(), (11, 11));
    buf.extend_from_slice(b"\r\n");
    assert_eq!(exchange.read(&mut buf), Ok(None));
    assert_eq!(exchange.writable(), (11, 13));
    exchange.wrote(2);
    buf.extend_from_slice(OK.as_bytes());
    assert_eq!(head(exchange.read(&mut buf)), Some(200));
}

//! The decoder of answers, which come at once or in pieces.

use bytes::BytesMut;
use http::StatusCode;
use millethook_connect::response::{
    Decoder, Event, MAX_HEAD_BYTES, Malformed, is_different_answer,
};
use proptest::prelude::*;

/// Decodes an answer that comes in pieces which end at `cuts`. Returns the status, the body, whether the connection may
/// be reused, and the remaining bytes. `end`: the answer has to end with `bytes`.
fn read(
    bytes: &[u8],
    cuts: &[usize],
    end: bool,
) -> Result<(u16, Vec<u8>, bool, Vec<u8>), Malformed> {
    let (mut decoder, mut buf) = (Decoder::default(), BytesMut::new());
    let (mut status, mut body, mut ended) = (0, Vec::new(), false);
    let mut edges: Vec<usize> = cuts.iter().map(|c| c % (bytes.len() + 1)).collect();
    edges.extend([0, bytes.len()]);
    edges.sort_unstable();
    for edge in edges.windows(2) {
        buf.extend_from_slice(&bytes[edge[0]..edge[1]]);
        while let Some(event) = decoder.next(&mut buf)? {
            match event {
                Event::Head(head) => status = head.status.as_u16(),
                Event::Data(data) => body.extend_from_slice(&data),
                Event::End => ended = true,
            }
        }
    }
    if end && !ended {
        ended = decoder.on_eof()? == Event::End;
    }
    assert!(ended || !end);
    Ok((status, body, decoder.reusable(), buf.to_vec()))
}

fn read_all(text: &str) -> Result<(u16, Vec<u8>, bool, Vec<u8>), Malformed> {
    read(text.as_bytes(), &[], true)
}

#[test]
fn the_lengths_of_bodies_follow_rfc_9112() {
    let ok = |body: &str, reusable| Ok((200, body.as_bytes().to_vec(), reusable, Vec::new()));
    assert_eq!(read_all("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), ok("ok", true));
    assert_eq!(read_all("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"), ok("", true));
    assert_eq!(read_all("HTTP/1.1 200 OK\r\nContent-Length: 2, 2\r\n\r\nok"), ok("ok", true));
    assert_eq!(
        read_all("HTTP/1.1 200 OK\r\nConnection: x, Close\r\nContent-Length: 2\r\n\r\nok"),
        ok("ok", false)
    );
    assert_eq!(read_all("HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok"), ok("ok", false));
    assert_eq!(
        read_all("HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 2\r\n\r\nok"),
        ok("ok", true)
    );
    assert_eq!(read_all("HTTP/1.1 200 OK\r\n\r\nto the end"), ok("to the end", true));
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\
                   2\r\nok\r\n3;x=y\r\nay!\r\n0\r\nTrailer: x\r\n\r\n";
    assert_eq!(read_all(chunked), ok("okay!", true));
    let both = chunked.replace("\r\n\r\n2", "\r\nContent-Length: 9\r\n\r\n2");
    assert_eq!(read_all(&both), ok("okay!", false));
    let no_content = "HTTP/1.1 204 No Content\r\n\r\n";
    assert_eq!(read_all(no_content), Ok((204, Vec::new(), true, Vec::new())));
}

#[test]
fn interim_answers_are_skipped() {
    let early = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n\
                 HTTP/1.1 500 Oops\r\nContent-Length: 1\r\n\r\nx";
    assert_eq!(read_all(early), Ok((500, b"x".to_vec(), true, Vec::new())));
    let endless = "HTTP/1.1 100 Continue\r\n\r\n".repeat(40);
    assert_eq!(read_all(&endless), Err(Malformed::Head));
    assert_eq!(read_all("HTTP/1.1 101 Switching\r\n\r\n"), Err(Malformed::Head));
}

#[test]
fn folded_fields_are_one_line() {
    let mut decoder = Decoder::default();
    let mut buf = BytesMut::from("HTTP/1.1 200 OK\r\nX-A: one\r\n two\r\n\r\n");
    let Ok(Some(Event::Head(head))) = decoder.next(&mut buf) else { panic!("a head") };
    assert_eq!(head.headers["x-a"], "one   two");
}

#[test]
fn invalid_answers_are_rejected_with_the_reason() {
    for (text, why) in [
        ("\x16\x03\x01 no such protocol\r\n\r\n", Malformed::Head),
        ("HTTP/1.1 99 Low\r\n\r\n", Malformed::Head),
        ("HTTP/1.1 200 OK\r\nBad Name: x\r\n\r\n", Malformed::Head),
        ("HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", Malformed::Length),
        ("HTTP/1.1 200 OK\r\nContent-Length: +1\r\n\r\nx", Malformed::Length),
        ("HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nx", Malformed::Length),
        ("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort", Malformed::Truncated),
        ("HTTP/1.1 200 OK\r\nContent-Le", Malformed::Truncated),
        ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", Malformed::Chunk),
        ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc", Malformed::Chunk),
        ("", Malformed::Truncated),
    ] {
        assert_eq!(read_all(text), Err(why), "{text:?}");
    }
    let oversized_head = format!("HTTP/1.1 200 OK\r\nX: {}", "y".repeat(MAX_HEAD_BYTES));
    assert_eq!(read_all(&oversized_head), Err(Malformed::Head));
    let line =
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;{}", "y".repeat(2000));
    assert_eq!(read_all(&line), Err(Malformed::Chunk));
}

#[test]
fn bytes_behind_an_answer_stay_in_the_buffer() {
    let two = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1 200 OK\r\n";
    let (_, body, _, rest) = read(two.as_bytes(), &[], false).expect("an answer");
    assert_eq!((body, rest), (b"a".to_vec(), b"HTTP/1.1 200 OK\r\n".to_vec()));
}

proptest! {
    #[test]
    fn the_result_does_not_depend_on_the_pieces(cuts in proptest::collection::vec(0usize..400, 0..12)) {
        let answers = [
            "HTTP/1.1 103 Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n3;x=y\r\nay!\r\n0\r\nT: x\r\n\r\n",
            "HTTP/1.1 200 OK\r\n\r\nto the end",
        ];
        for text in answers {
            prop_assert_eq!(read(text.as_bytes(), &cuts, true), read_all(text));
        }
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300), cuts in proptest::collection::vec(0usize..300, 0..4)) {
        let _ = read(&bytes, &cuts, false);
        let mut headed = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
        headed.extend_from_slice(&bytes);
        let _ = read(&headed, &cuts, false);
    }
}

/// Guards against serving a copy of an earlier answer because the true answer behind it was taken for noise.
#[test]
fn only_an_answer_with_other_content_is_different() {
    let is_different =
        |following: &str| is_different_answer(following.into(), StatusCode::OK, b"fine");
    assert!(is_different("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"));
    assert!(
        is_different("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\noth"),
        "the part that has come differs"
    );
    assert!(is_different("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nfi"));
    assert!(is_different("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"));
    assert!(is_different("HTTP/1.1 500 Oops\r\nContent-Length: 4\r\n\r\nfine"));
    assert!(!is_different("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine"));
    assert!(!is_different(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n"
    ));
    assert!(!is_different("HTTP/1.1 200 OK\r\nContent-"));
    assert!(!is_different("\x16\x03 noise"));
    assert!(!is_different(""));
}

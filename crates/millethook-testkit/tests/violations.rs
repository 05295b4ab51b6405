//! A request that repeats a header field fails the test, whichever thread reads it. This is one
//! test, as the record belongs to the process.

use std::net::TcpStream;
use std::panic::{AssertUnwindSafe, catch_unwind};

use millethook_testkit::*;

const TWICE: &str =
    "GET /look HTTP/1.1\r\nHost: a\r\nX-Time-Left-Ms: 900\r\nX-Time-Left-Ms: 811\r\n\r\n";

#[test]
fn a_doubled_header_is_refused_and_fails_whoever_holds_a_handle() {
    assert_eq!(repeated_field(["host", "via", "accept", "via", "accept"]), None);
    assert_eq!(repeated_field(["host", "x-account", "host"]), Some("host"));
    assert_eq!(repeated_answer_field(["set-cookie", "date", "set-cookie"]), None);
    assert_eq!(repeated_answer_field(["date", "server", "date"]), Some("date"));

    // An answer may repeat a field, and a request may repeat a list field.
    let lists = "GET / HTTP/1.1\r\nHost: a\r\nVia: b\r\nVia: c\r\n\r\n";
    let cookies = answer("200 OK", "Set-Cookie: a=1\r\nSet-Cookie: b=2\r\n", "fine");
    let healthy = Server::start(move |mut conn| {
        while conn.message().is_some() {
            conn.send(&cookies);
        }
    });
    let mut client = Conn::new(TcpStream::connect(healthy.address).unwrap());
    let got = client.request(lists).expect("an answer");
    assert_eq!((got.status(), got.body.as_slice()), (200, &b"fine"[..]));
    assert_eq!(violations(), Vec::<String>::new());
    drop(client);

    let group = ServerGroup::new(1, |_| Fault::Serve("not to be served".into()));
    let mut client = Conn::new(TcpStream::connect(group.servers[0].address).unwrap());
    assert_eq!(client.request(TWICE).expect("an answer").status(), 400);
    assert_eq!(group.count(), 0);
    let found = violations();
    assert!(found.len() == 1 && found[0].contains("x-time-left-ms"), "{found:?}");

    let fails = |drops: Box<dyn FnOnce()>| {
        let failed = catch_unwind(AssertUnwindSafe(drops)).expect_err("it fails as it is dropped");
        let text = failed.downcast_ref::<String>().expect("a text");
        assert!(text.contains("x-time-left-ms is repeated"), "{text}");
    };
    fails(Box::new(|| drop(client)));
    fails(Box::new(|| drop(group)));
    fails(Box::new(|| drop(healthy)));
    fails(Box::new(|| drop(Agent::start(Vec::new()))));

    // Reading a repeated field by name fails rather than returning the first value.
    let headers = vec![("a".to_owned(), "1".to_owned()), ("a".to_owned(), "2".to_owned())];
    let message = Message { first: "HTTP/1.1 200 OK".into(), headers, ..Message::default() };
    assert!(catch_unwind(|| message.header("a").map(str::to_owned)).is_err());
    assert_eq!(violations().len(), 2);
}

//! Bodies and headers are passed on unchanged.

use millethook_testkit::*;

use crate::form::{
    ClientRequest, Form, Outcome, Record, send_all, start, with_and_without_handshake_price,
};

with_and_without_handshake_price!(
    any_bytes_pass_both_ways,
    hop_by_hop_headers_are_not_passed_on,
    a_long_answer_is_passed_on_completely,
    a_long_answer_that_breaks_off_is_visibly_incomplete,
    an_answer_in_pieces_is_complete,
);

fn any_bytes_pass_both_ways<F: Form>() -> Record {
    let group = ServerGroup::new(1, |a| {
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", a.message.body.len());
        Fault::Raw([head.as_bytes(), &a.message.body].concat())
    });
    let bodies = [vec![], (0..=255).collect::<Vec<u8>>(), vec![0; 64 << 10], vec![7; 700_000]];
    let requests = bodies.clone().map(|body| ClientRequest::at_most_once().body(body));
    let record = Record::of(send_all::<F>(&group, requests), &group);
    assert_eq!(record.outcomes, bodies.map(Outcome::Served));
    record
}

fn hop_by_hop_headers_are_not_passed_on<F: Form>() -> Vec<Option<String>> {
    let group = ServerGroup::new(1, |_| Fault::Serve("fine".into()));
    let request = ClientRequest::safe()
        .with("x-kept", "yes")
        .with("connection", "x-dropped")
        .with("x-dropped", "no")
        .with("keep-alive", "timeout=9")
        .with("cookie", "k=7f3a");
    send_all::<F>(&group, [request]);
    let seen = group.seen().remove(0).message;
    let names = ["x-kept", "x-dropped", "keep-alive", "cookie", "x-account"];
    let got = names.map(|name| seen.header(name).map(str::to_owned));
    let expected = [Some("yes"), None, None, Some("k=7f3a"), Some("acme")];
    assert_eq!(got, expected.map(|v| v.map(str::to_owned)));
    got.into()
}

fn streaming<F: Form>(group: &ServerGroup) -> (F, Agent) {
    start(group, |c| {
        for class in c["settings"]["classes"].as_array_mut().unwrap() {
            class["streaming"] = true.into();
        }
    })
}

fn a_long_answer_is_passed_on_completely<F: Form>() -> Record {
    let body = "y".repeat(300_000);
    let group = ServerGroup::new(1, move |_| Fault::Serve(body.clone()));
    let (form, _agent) = streaming::<F>(&group);
    let outcomes: Vec<Outcome> =
        ClientRequest::each().into_iter().map(|request| form.request(request)).collect();
    assert_eq!(outcomes, vec![Outcome::Served(vec![b'y'; 300_000]); 3]);
    Record::of(outcomes, &group)
}

/// Guards against an answer that breaks off after it was partly passed on and looks complete.
fn a_long_answer_that_breaks_off_is_visibly_incomplete<F: Form>() -> Record {
    let part = "x".repeat(200_000);
    let group = ServerGroup::new(1, move |a| match a.nth {
        1 => Fault::RawThenClose(
            format!("HTTP/1.1 200 OK\r\nContent-Length: 900000\r\nConnection: close\r\n\r\n{part}")
                .into(),
        ),
        _ => Fault::Reset,
    });
    let (form, _agent) = streaming::<F>(&group);
    let outcomes = vec![form.request(ClientRequest::at_most_once())];
    assert_eq!(outcomes, [Outcome::Incomplete]);
    Record::of(outcomes, &group)
}

fn an_answer_in_pieces_is_complete<F: Form>() -> Record {
    let group = ServerGroup::new(1, |_| {
        Fault::Trickle("in pieces".into(), 7, std::time::Duration::from_millis(1))
    });
    let record = Record::of(send_all::<F>(&group, ClientRequest::each()), &group);
    assert_eq!(record.outcomes, vec![Outcome::Served(b"in pieces".into()); 3]);
    record
}

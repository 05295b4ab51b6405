//! Bodies and headers on their way through.

use millethook_testkit::*;

use crate::form::{Ask, End, Form, Record, asked, at_either_price, start};

at_either_price!(
    any_bytes_pass_both_ways,
    what_belongs_to_one_hop_stays_there,
    a_long_answer_is_passed_on_whole,
    a_long_answer_that_breaks_off_is_visibly_unwhole,
    an_answer_in_pieces_is_whole,
);

fn any_bytes_pass_both_ways<F: Form>() -> Record {
    let stage = ServerGroup::new(1, |a| {
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", a.message.body.len());
        Fault::Raw([head.as_bytes(), &a.message.body].concat())
    });
    let bodies = [vec![], (0..=255).collect::<Vec<u8>>(), vec![0; 64 << 10], vec![7; 700_000]];
    let asks = bodies.clone().map(|body| Ask::at_most_once().body(body));
    let record = Record::of(asked::<F>(&stage, asks), &stage);
    assert_eq!(record.ends, bodies.map(End::Served));
    record
}

fn what_belongs_to_one_hop_stays_there<F: Form>() -> Vec<Option<String>> {
    let stage = ServerGroup::new(1, |_| Fault::Serve("fine".into()));
    let ask = Ask::safe()
        .with("x-kept", "yes")
        .with("connection", "x-dropped")
        .with("x-dropped", "no")
        .with("keep-alive", "timeout=9")
        .with("cookie", "k=7f3a");
    asked::<F>(&stage, [ask]);
    let seen = stage.seen().remove(0).message;
    let names = ["x-kept", "x-dropped", "keep-alive", "cookie", "x-account"];
    let got = names.map(|name| seen.header(name).map(str::to_owned));
    let expected = [Some("yes"), None, None, Some("k=7f3a"), Some("acme")];
    assert_eq!(got, expected.map(|v| v.map(str::to_owned)));
    got.into()
}

fn streaming<F: Form>(stage: &ServerGroup) -> (F, Agent) {
    start(stage, |c| {
        for class in c["settings"]["classes"].as_array_mut().unwrap() {
            class["streaming"] = true.into();
        }
    })
}

fn a_long_answer_is_passed_on_whole<F: Form>() -> Record {
    let body = "y".repeat(300_000);
    let stage = ServerGroup::new(1, move |_| Fault::Serve(body.clone()));
    let (form, _agent) = streaming::<F>(&stage);
    let ends: Vec<End> = Ask::each().into_iter().map(|ask| form.request(ask)).collect();
    assert_eq!(ends, vec![End::Served(vec![b'y'; 300_000]); 3]);
    Record::of(ends, &stage)
}

/// Danger: an answer that breaks off after it was passed on must not look whole.
fn a_long_answer_that_breaks_off_is_visibly_unwhole<F: Form>() -> Record {
    let part = "x".repeat(200_000);
    let stage = ServerGroup::new(1, move |a| match a.nth {
        1 => Fault::RawThenClose(
            format!("HTTP/1.1 200 OK\r\nContent-Length: 900000\r\nConnection: close\r\n\r\n{part}")
                .into(),
        ),
        _ => Fault::Reset,
    });
    let (form, _agent) = streaming::<F>(&stage);
    let ends = vec![form.request(Ask::at_most_once())];
    assert_eq!(ends, [End::Broken]);
    Record::of(ends, &stage)
}

fn an_answer_in_pieces_is_whole<F: Form>() -> Record {
    let stage = ServerGroup::new(1, |_| {
        Fault::Trickle("in pieces".into(), 7, std::time::Duration::from_millis(1))
    });
    let record = Record::of(asked::<F>(&stage, Ask::each()), &stage);
    assert_eq!(record.ends, vec![End::Served(b"in pieces".into()); 3]);
    record
}

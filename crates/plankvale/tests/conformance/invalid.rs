//! Requests that cannot be taken: told so in both forms alike, and sent nowhere.

use millethook_testkit::*;

use crate::form::{Ask, End, Form, Record, asked, at_either_price, served, start};

at_either_price!(
    what_makes_no_sense_goes_nowhere,
    identity_is_single,
    a_plain_identity_is_taken,
    the_id_of_an_open_request_is_taken,
);

fn fine() -> ServerGroup {
    ServerGroup::new(1, |_| Fault::Serve("fine".into()))
}

fn what_makes_no_sense_goes_nowhere<F: Form>() -> Record {
    let stage = fine();
    let cases = [
        (Ask::safe().path("/nothing"), 404),
        (Ask::safe().path("/"), 404),
        (Ask::safe().path("/order"), 405),
        (Ask::at_most_once().path("/look"), 405),
        (Ask::at_most_once().path("/keep"), 400),
        (Ask::keyed().path("/order"), 400),
        (Ask::safe().without("x-account"), 400),
        (Ask::safe().without("x-account").with("x-account", "nobody"), 400),
        (Ask::safe().without("x-time-left-ms"), 400),
        (Ask::safe().without("x-time-left-ms").with("x-time-left-ms", "-5"), 400),
        (Ask::safe().without("x-time-left-ms").with("x-time-left-ms", "soon"), 400),
        (Ask::safe().without("x-time-left-ms").with("x-time-left-ms", "99999999999"), 400),
        (Ask::at_most_once().body(vec![b'x'; (32 << 20) + 1]), 413),
    ];
    let (asks, statuses): (Vec<_>, Vec<_>) = cases.into_iter().unzip();
    let record = Record::of(asked::<F>(&stage, asks), &stage);
    let expected: Vec<End> = statuses.into_iter().map(End::Invalid).collect();
    assert_eq!((&record.ends, record.attempts()), (&expected, 0));
    record
}

/// Danger: of two headers one reader takes the first and the next the last: a server that reads the
/// other key drops no repeat, and a quota is escaped by a second account. A path that another reader
/// resolves first is of another class there.
fn identity_is_single<F: Form>() -> Record {
    let stage = fine();
    let asks = [
        Ask::keyed().with("idempotency-key", "other"),
        Ask::keyed().with("idempotency-key", "5c0f"),
        Ask::safe().with("x-correlation-id", "other"),
        Ask::safe().with("x-account", "acme"),
        Ask::safe().with("x-account", "other"),
        Ask::keyed().with("x-time-left-ms", "5"),
        Ask::safe().with("host", "a").with("host", "b"),
        Ask::safe().with("x-time-left-ms", "900"),
        Ask::safe().with("x-repeat", "1").with("x-repeat", "0"),
        Ask::safe().with("x-weight-hint", "1").with("x-weight-hint", "2"),
        Ask::safe().path("/look/../order/1"),
        Ask::safe().path("/look/%2e%2E/order/1"),
        Ask::safe().path("/look/..%2forder/1"),
        Ask::safe().path("/look/..%2Forder/1"),
        Ask::safe().path("/look/./1"),
        Ask::safe().path("/look/.."),
        Ask::safe().path("//order/1"),
    ];
    let expected = vec![End::Invalid(400); asks.len()];
    let record = Record::of(asked::<F>(&stage, asks), &stage);
    assert_eq!((&record.ends, record.attempts()), (&expected, 0));
    record
}

/// What is named once, and dots that nobody resolves, do no harm.
fn a_plain_identity_is_taken<F: Form>() -> Record {
    let stage = fine();
    let asks = [Ask::keyed(), Ask::safe().path("/look/a..b/.x?q=/../")];
    let record = Record::of(asked::<F>(&stage, asks), &stage);
    assert_eq!((&record.ends, record.attempts()), (&vec![served("fine"); 2], 2));
    record
}

fn the_id_of_an_open_request_is_taken<F: Form>() -> Record {
    let stage =
        ServerGroup::new(
            1,
            |a| if a.nth == 1 { Fault::Stall } else { Fault::Serve("fine".into()) },
        );
    let (form, _agent) = start::<F>(&stage, |c| {
        for class in c["settings"]["classes"].as_array_mut().unwrap() {
            class["deadline"] = 3_000_000.into();
        }
    });
    let ask = || Ask::at_most_once().left(2_500).without("x-correlation-id");
    let twin = || ask().with("x-correlation-id", "twin");
    let ends = std::thread::scope(|s| {
        let first = s.spawn(|| form.request(twin()));
        wait_until("the first is with a server", || stage.count() == 1);
        let second = form.request(twin());
        let another = form.request(ask().with("x-correlation-id", "no-twin"));
        vec![first.join().expect("no client panics"), second, another]
    });
    assert_eq!(ends, [End::Failed, End::Invalid(409), served("fine")]);
    Record::of(ends, &stage)
}

//! Requests that cannot be accepted: both forms reject them alike and send them nowhere.

use millethook_testkit::*;

use crate::form::{
    ClientRequest, Form, Outcome, Record, send_all, served, start, with_and_without_handshake_price,
};

with_and_without_handshake_price!(
    invalid_requests_reach_no_server,
    repeated_identity_headers_are_rejected,
    a_single_identity_is_accepted,
    the_id_of_an_open_request_is_reserved,
);

fn healthy_server() -> ServerGroup {
    ServerGroup::new(1, |_| Fault::Serve("fine".into()))
}

fn invalid_requests_reach_no_server<F: Form>() -> Record {
    let group = healthy_server();
    let cases = [
        (ClientRequest::safe().path("/nothing"), 404),
        (ClientRequest::safe().path("/"), 404),
        (ClientRequest::safe().path("/order"), 405),
        (ClientRequest::at_most_once().path("/look"), 405),
        (ClientRequest::at_most_once().path("/keep"), 400),
        (ClientRequest::keyed().path("/order"), 400),
        (ClientRequest::safe().without("x-account"), 400),
        (ClientRequest::safe().without("x-account").with("x-account", "nobody"), 400),
        (ClientRequest::safe().without("x-time-left-ms"), 400),
        (ClientRequest::safe().without("x-time-left-ms").with("x-time-left-ms", "-5"), 400),
        (ClientRequest::safe().without("x-time-left-ms").with("x-time-left-ms", "soon"), 400),
        (
            ClientRequest::safe().without("x-time-left-ms").with("x-time-left-ms", "99999999999"),
            400,
        ),
        (ClientRequest::at_most_once().body(vec![b'x'; (32 << 20) + 1]), 413),
    ];
    let (requests, statuses): (Vec<_>, Vec<_>) = cases.into_iter().unzip();
    let record = Record::of(send_all::<F>(&group, requests), &group);
    let expected: Vec<Outcome> = statuses.into_iter().map(Outcome::Invalid).collect();
    assert_eq!((&record.outcomes, record.attempts()), (&expected, 0));
    record
}

/// Guards against readers that disagree, where of two headers one takes the first and the next the
/// last: a server that reads the other key does not deduplicate a repeat, and a second account
/// evades a quota. A path that another reader normalizes belongs to another class there.
fn repeated_identity_headers_are_rejected<F: Form>() -> Record {
    let group = healthy_server();
    let requests = [
        ClientRequest::keyed().with("idempotency-key", "other"),
        ClientRequest::keyed().with("idempotency-key", "5c0f"),
        ClientRequest::safe().with("x-correlation-id", "other"),
        ClientRequest::safe().with("x-account", "acme"),
        ClientRequest::safe().with("x-account", "other"),
        ClientRequest::keyed().with("x-time-left-ms", "5"),
        ClientRequest::safe().with("host", "a").with("host", "b"),
        ClientRequest::safe().with("x-time-left-ms", "900"),
        ClientRequest::safe().with("x-repeat", "1").with("x-repeat", "0"),
        ClientRequest::safe().with("x-weight-hint", "1").with("x-weight-hint", "2"),
        ClientRequest::safe().path("/look/../order/1"),
        ClientRequest::safe().path("/look/%2e%2E/order/1"),
        ClientRequest::safe().path("/look/..%2forder/1"),
        ClientRequest::safe().path("/look/..%2Forder/1"),
        ClientRequest::safe().path("/look/./1"),
        ClientRequest::safe().path("/look/.."),
        ClientRequest::safe().path("//order/1"),
    ];
    let expected = vec![Outcome::Invalid(400); requests.len()];
    let record = Record::of(send_all::<F>(&group, requests), &group);
    assert_eq!((&record.outcomes, record.attempts()), (&expected, 0));
    record
}

/// Headers that occur once, and dots that no reader normalizes, are harmless.
fn a_single_identity_is_accepted<F: Form>() -> Record {
    let group = healthy_server();
    let requests = [ClientRequest::keyed(), ClientRequest::safe().path("/look/a..b/.x?q=/../")];
    let record = Record::of(send_all::<F>(&group, requests), &group);
    assert_eq!((&record.outcomes, record.attempts()), (&vec![served("fine"); 2], 2));
    record
}

fn the_id_of_an_open_request_is_reserved<F: Form>() -> Record {
    let group =
        ServerGroup::new(
            1,
            |a| if a.nth == 1 { Fault::Stall } else { Fault::Serve("fine".into()) },
        );
    let (form, _agent) = start::<F>(&group, |c| {
        for class in c["settings"]["classes"].as_array_mut().unwrap() {
            class["deadline"] = 3_000_000.into();
        }
    });
    let request = || ClientRequest::at_most_once().time_left(2_500).without("x-correlation-id");
    let duplicate = || request().with("x-correlation-id", "twin");
    let outcomes = std::thread::scope(|s| {
        let first = s.spawn(|| form.request(duplicate()));
        wait_until("the first request is at a server", || group.count() == 1);
        let second = form.request(duplicate());
        let another = form.request(request().with("x-correlation-id", "no-twin"));
        vec![first.join().expect("no client panics"), second, another]
    });
    assert_eq!(outcomes, [Outcome::Failed, Outcome::Invalid(409), served("fine")]);
    Record::of(outcomes, &group)
}

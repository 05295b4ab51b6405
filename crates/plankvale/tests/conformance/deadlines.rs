//! Deadlines, and graceful shutdown.

use std::sync::Mutex;
use std::sync::mpsc::{Sender, channel};
use std::time::{Duration, Instant};

use millethook_testkit::*;
use serde_json::json;

use crate::form::{
    ClientRequest, Form, Outcome, REFUSED, Record, send_all, served, start,
    with_and_without_handshake_price,
};

with_and_without_handshake_price!(
    a_request_to_silent_servers_ends_in_the_clients_time,
    without_time_left_there_is_no_attempt,
    servers_are_told_what_time_is_left,
    a_further_attempt_is_told_of_less_time,
    a_long_upload_is_told_of_less_time_once_a_server_was_silent,
    a_time_beyond_the_deadline_is_capped,
    without_servers_requests_are_refused,
    accepted_requests_are_answered_during_shutdown,
);

/// Rule 1: every request gets a final answer in time, whatever servers do. An unsafe request that
/// may have run ends as a failure, not as a refusal.
fn a_request_to_silent_servers_ends_in_the_clients_time<F: Form>() -> Vec<Record> {
    let outcomes = [REFUSED, Outcome::Failed, Outcome::Failed];
    let records = ClientRequest::each().into_iter().zip(outcomes).map(|(request, outcome)| {
        let group = ServerGroup::new(2, |_| Fault::Stall);
        let (form, _agent) = start::<F>(&group, |_| {});
        let before = Instant::now();
        let record = Record::without_server(vec![form.request(request.time_left(400))], &group);
        assert_eq!(record.outcomes, [outcome]);
        // The protocol's slack is 50 ms; the rest allows for a busy machine. It is far below the
        // class's deadline.
        assert!(before.elapsed() < Duration::from_millis(800), "{:?}", before.elapsed());
        record
    });
    records.collect()
}

fn without_time_left_there_is_no_attempt<F: Form>() -> Record {
    let group = ServerGroup::new(1, |_| Fault::Serve("fine".into()));
    let record = Record::of(
        send_all::<F>(&group, ClientRequest::each().map(|request| request.time_left(0))),
        &group,
    );
    assert_eq!((record.outcomes.as_slice(), record.attempts()), (&vec![REFUSED; 3][..], 0));
    record
}

fn servers_are_told_what_time_is_left<F: Form>() -> Record {
    let group = ServerGroup::new(1, |_| Fault::Serve("fine".into()));
    let record = Record::of(
        send_all::<F>(&group, ClientRequest::each().map(|request| request.time_left(700))),
        &group,
    );
    for attempt in group.seen() {
        let left: u64 = attempt.message.header("x-time-left-ms").unwrap().parse().unwrap();
        assert!((1..=700).contains(&left), "{left}");
    }
    record
}

/// A server rejects the request after a delay, so the time that the next server is told is shorter
/// by at least that delay. No slack is needed, as the first value is written before the delay
/// begins and the second one after it.
fn a_further_attempt_is_told_of_less_time<F: Form>() -> Vec<Record> {
    const CLIENT_TIME_MS: u64 = 800;
    const HOLD_MS: u64 = 250;
    let records = ClientRequest::each().map(|request| {
        let group = ServerGroup::new(2, |a| match a.nth {
            1 => {
                std::thread::sleep(Duration::from_millis(HOLD_MS));
                Fault::Reject
            }
            _ => Fault::Serve("fine".into()),
        });
        // A hedge that is sent before the first attempt has ended could tell nearly as much time.
        let (form, _agent) = start::<F>(&group, |c| {
            c["settings"]["limits"]["mayDuplicate"] = json!(false);
        });
        let record =
            Record::without_server(vec![form.request(request.time_left(CLIENT_TIME_MS))], &group);
        assert_eq!(record.outcomes, [served("fine")]);
        let times_left: Vec<u64> = (group.seen().iter())
            .map(|a| a.message.header("x-time-left-ms").unwrap().parse().unwrap())
            .collect();
        assert_eq!(times_left.len(), 2, "{times_left:?}");
        assert!(
            times_left[0] <= CLIENT_TIME_MS
                && times_left[1] <= times_left[0].saturating_sub(HOLD_MS),
            "{times_left:?}"
        );
        record
    });
    records.into()
}

/// The only server known at first never accepts the connection. Half of the aim is spent on it, so
/// the server that is listed in the meantime is told that much less time.
fn a_long_upload_is_told_of_less_time_once_a_server_was_silent<F: Form>() -> Record {
    const CLIENT_TIME_MS: u64 = 1_400;
    const AIM_MS: u64 = 1_000;
    let group = ServerGroup::new(1, |a| Fault::Serve(a.message.body.len().to_string()));
    let silent = BlackHole::start();
    let mut listed = vec![host("s-silent", silent.address)];
    let agent = Agent::start(listed.clone());
    let form = F::start(&config(agent.address, |c| {
        c["settings"]["classes"][2]["aim"] = json!(AIM_MS * 1_000);
    }));
    let request = ClientRequest::at_most_once().time_left(CLIENT_TIME_MS).body(vec![7; 300_000]);
    let outcome = std::thread::scope(|s| {
        let client = s.spawn(|| form.request(request));
        std::thread::sleep(Duration::from_millis(AIM_MS / 5));
        listed.push(host("s-0", group.servers[0].address));
        agent.set_hosts(listed);
        client.join().expect("no client panics")
    });
    let record = Record::of(vec![outcome], &group);
    assert_eq!((record.outcomes.as_slice(), record.attempts()), (&[served("300000")][..], 1));
    let left = group.seen()[0].message.header("x-time-left-ms").unwrap().parse::<u64>().unwrap();
    assert!(left <= CLIENT_TIME_MS - AIM_MS / 2, "{left}");
    record
}

/// Guards against a client that claims to wait for a minute and keeps its request open for that
/// long.
fn a_time_beyond_the_deadline_is_capped<F: Form>() -> Record {
    let group = ServerGroup::new(1, |_| Fault::Stall);
    let before = Instant::now();
    let record =
        Record::of(send_all::<F>(&group, [ClientRequest::safe().time_left(60_000)]), &group);
    assert_eq!(record.outcomes, [REFUSED]);
    // The class's deadline is one second.
    assert!(before.elapsed() < Duration::from_secs(10), "{:?}", before.elapsed());
    record
}

fn without_servers_requests_are_refused<F: Form>() -> Record {
    let group = ServerGroup::new(1, |_| Fault::Serve("fine".into()));
    let agent = Agent::start(group.hosts());
    let form = F::start(&config(agent.address, |_| {}));
    assert_eq!(form.request(ClientRequest::safe()), served("fine"));
    agent.set_hosts(Vec::new());
    wait_until("no server is left", || form.request(ClientRequest::safe()) == REFUSED);
    let before = group.count();
    let outcomes: Vec<Outcome> =
        ClientRequest::each().into_iter().map(|request| form.request(request)).collect();
    assert_eq!((outcomes.as_slice(), group.count()), (&vec![REFUSED; 3][..], before));
    Record { outcomes, seen: Vec::new() }
}

/// A request that is at a server when graceful shutdown begins is answered.
fn accepted_requests_are_answered_during_shutdown<F: Form>() -> Record {
    let (arrived, arrivals) = channel::<Sender<()>>();
    let arrived = Mutex::new(arrived);
    let group = ServerGroup::new(1, move |_| {
        let (release, released) = channel();
        let _ = arrived.lock().expect("no server panics").send(release);
        let _ = released.recv_timeout(WAIT_TIMEOUT);
        Fault::Serve("late".into())
    });
    let (form, _agent) = start::<F>(&group, |_| {});
    let outcomes = std::thread::scope(|s| {
        let clients = ClientRequest::each().map(|request| s.spawn(|| form.request(request)));
        let at_server: Vec<_> = (0..3).map(|_| receive(&arrivals)).collect();
        form.shut_down();
        for release in at_server {
            release.send(()).expect("the server waits");
        }
        clients.map(|client| client.join().expect("no client panics")).into()
    });
    assert_eq!(outcomes, vec![served("late"); 3]);
    Record { outcomes, seen: Vec::new() }
}

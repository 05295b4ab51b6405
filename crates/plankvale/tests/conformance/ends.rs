//! Deadlines, and the planned end.

use std::sync::Mutex;
use std::sync::mpsc::{Sender, channel};
use std::time::{Duration, Instant};

use millethook_testkit::*;
use serde_json::json;

use crate::form::{Ask, End, Form, REFUSED, Record, asked, at_either_price, served, start};

at_either_price!(
    silence_ends_with_the_clients_time,
    no_time_is_no_attempt,
    servers_are_told_what_time_is_left,
    a_further_attempt_is_told_of_less_time,
    a_long_upload_is_told_of_less_time_once_a_server_was_silent,
    a_claim_beyond_the_deadline_is_cut,
    no_server_at_all_is_a_refusal,
    what_was_taken_is_answered_at_the_end,
);

/// Rule 1: a final answer in time, whatever servers do. What may have run is a failure where it is
/// unsafe, and no refusal.
fn silence_ends_with_the_clients_time<F: Form>() -> Vec<Record> {
    let ends = [REFUSED, End::Failed, End::Failed];
    let played = Ask::each().into_iter().zip(ends).map(|(ask, end)| {
        let stage = ServerGroup::new(2, |_| Fault::Stall);
        let (form, _agent) = start::<F>(&stage, |_| {});
        let before = Instant::now();
        let record = Record::anywhere(vec![form.request(ask.left(400))], &stage);
        assert_eq!(record.ends, [end]);
        // The protocol's slack, 50 ms, and more for a busy machine; far below the class's deadline.
        assert!(before.elapsed() < Duration::from_millis(800), "{:?}", before.elapsed());
        record
    });
    played.collect()
}

fn no_time_is_no_attempt<F: Form>() -> Record {
    let stage = ServerGroup::new(1, |_| Fault::Serve("fine".into()));
    let record = Record::of(asked::<F>(&stage, Ask::each().map(|ask| ask.left(0))), &stage);
    assert_eq!((record.ends.as_slice(), record.attempts()), (&vec![REFUSED; 3][..], 0));
    record
}

fn servers_are_told_what_time_is_left<F: Form>() -> Record {
    let stage = ServerGroup::new(1, |_| Fault::Serve("fine".into()));
    let record = Record::of(asked::<F>(&stage, Ask::each().map(|ask| ask.left(700))), &stage);
    for attempt in stage.seen() {
        let left: u64 = attempt.message.header("x-time-left-ms").unwrap().parse().unwrap();
        assert!((1..=700).contains(&left), "{left}");
    }
    record
}

/// A server turns the request away after a while: what the next one is told is less by that while at least. No slack
/// is needed, as the first figure is written before the while begins and the second one after it.
fn a_further_attempt_is_told_of_less_time<F: Form>() -> Vec<Record> {
    const CLIENTS: u64 = 800;
    const HELD: u64 = 250;
    let played = Ask::each().map(|ask| {
        let stage = ServerGroup::new(2, |a| match a.nth {
            1 => {
                std::thread::sleep(Duration::from_millis(HELD));
                Fault::Reject
            }
            _ => Fault::Serve("fine".into()),
        });
        // A copy that is sent before the first attempt has ended could tell nearly as much.
        let (form, _agent) = start::<F>(&stage, |c| {
            c["settings"]["limits"]["mayDuplicate"] = json!(false);
        });
        let record = Record::anywhere(vec![form.request(ask.left(CLIENTS))], &stage);
        assert_eq!(record.ends, [served("fine")]);
        let told: Vec<u64> = (stage.seen().iter())
            .map(|a| a.message.header("x-time-left-ms").unwrap().parse().unwrap())
            .collect();
        assert_eq!(told.len(), 2, "{told:?}");
        assert!(told[0] <= CLIENTS && told[1] <= told[0].saturating_sub(HELD), "{told:?}");
        record
    });
    played.into()
}

/// The only server that is known at first never takes the connection. Half of the aim is spent on it, so the server that
/// is listed meanwhile is told of less by as much.
fn a_long_upload_is_told_of_less_time_once_a_server_was_silent<F: Form>() -> Record {
    const CLIENTS: u64 = 1_400;
    const AIM: u64 = 1_000;
    let stage = ServerGroup::new(1, |a| Fault::Serve(a.message.body.len().to_string()));
    let silent = BlackHole::start();
    let mut listed = vec![host("s-silent", silent.address)];
    let agent = Agent::start(listed.clone());
    let form = F::start(&config(agent.address, |c| {
        c["settings"]["classes"][2]["aim"] = json!(AIM * 1_000);
    }));
    let ask = Ask::at_most_once().left(CLIENTS).body(vec![7; 300_000]);
    let end = std::thread::scope(|s| {
        let asking = s.spawn(|| form.request(ask));
        std::thread::sleep(Duration::from_millis(AIM / 5));
        listed.push(host("s-0", stage.servers[0].address));
        agent.set_hosts(listed);
        asking.join().expect("no client panics")
    });
    let record = Record::of(vec![end], &stage);
    assert_eq!((record.ends.as_slice(), record.attempts()), (&[served("300000")][..], 1));
    let left = stage.seen()[0].message.header("x-time-left-ms").unwrap().parse::<u64>().unwrap();
    assert!(left <= CLIENTS - AIM / 2, "{left}");
    record
}

/// Danger: a client's claim to wait for a minute keeps its request for as long.
fn a_claim_beyond_the_deadline_is_cut<F: Form>() -> Record {
    let stage = ServerGroup::new(1, |_| Fault::Stall);
    let before = Instant::now();
    let record = Record::of(asked::<F>(&stage, [Ask::safe().left(60_000)]), &stage);
    assert_eq!(record.ends, [REFUSED]);
    // The class's deadline is one second.
    assert!(before.elapsed() < Duration::from_secs(10), "{:?}", before.elapsed());
    record
}

fn no_server_at_all_is_a_refusal<F: Form>() -> Record {
    let stage = ServerGroup::new(1, |_| Fault::Serve("fine".into()));
    let agent = Agent::start(stage.hosts());
    let form = F::start(&config(agent.address, |_| {}));
    assert_eq!(form.request(Ask::safe()), served("fine"));
    agent.set_hosts(Vec::new());
    wait_until("nobody is left", || form.request(Ask::safe()) == REFUSED);
    let before = stage.count();
    let ends: Vec<End> = Ask::each().into_iter().map(|ask| form.request(ask)).collect();
    assert_eq!((ends.as_slice(), stage.count()), (&vec![REFUSED; 3][..], before));
    Record { ends, seen: Vec::new() }
}

/// A request that is with a server when the planned end begins is answered.
fn what_was_taken_is_answered_at_the_end<F: Form>() -> Record {
    let (came, coming) = channel::<Sender<()>>();
    let came = Mutex::new(came);
    let stage = ServerGroup::new(1, move |_| {
        let (go, going) = channel();
        let _ = came.lock().expect("no server panics").send(go);
        let _ = going.recv_timeout(WAIT_TIMEOUT);
        Fault::Serve("late".into())
    });
    let (form, _agent) = start::<F>(&stage, |_| {});
    let ends = std::thread::scope(|s| {
        let asking = Ask::each().map(|ask| s.spawn(|| form.request(ask)));
        let with_server: Vec<_> = (0..3).map(|_| receive(&coming)).collect();
        form.end();
        for go in with_server {
            go.send(()).expect("the server waits");
        }
        asking.map(|client| client.join().expect("no client panics")).into()
    });
    assert_eq!(ends, vec![served("late"); 3]);
    Record { ends, seen: Vec::new() }
}

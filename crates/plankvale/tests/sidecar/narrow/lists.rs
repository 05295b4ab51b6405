//! Discovery that fails in the moment in which something changes.

use std::io::Write;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use millethook_testkit::*;
use serde_json::{Value, json};

/// What discovery has to tell counts as told so long after it had it and could be reached.
const TOLD_AFTER: Duration = Duration::from_secs(6);
/// The same after SIGHUP.
const MOVED_AFTER: Duration = Duration::from_secs(4);
/// Nine in ten processes are to be ready by then.
const READY_AFTER: Duration = Duration::from_secs(10);

fn asked(how: &str, known: &[Value]) -> impl Fn(&mut Value) {
    let known = json!({"seq": 7, "whole": true, "hosts": known});
    let how = how.to_owned();
    move |c| {
        c["known"] = known.clone();
        c["settings"]["discovery"] = json!(how);
    }
}

/// Danger: asked for what is newer than a version that it does not know yet, a discovery that counts anew has
/// nothing to say, or changes that are no changes of ours; and the next call would ask the same.
#[test]
fn a_discovery_that_counts_anew_is_followed_in_time() {
    for how in ["pushed", "on_request"] {
        let (a, b) = (Server::named("a"), Server::named("b"));
        let agent = Agent::start(vec![host("s-a", a.address)]);
        for _ in 0..5 {
            agent.set_hosts(vec![host("s-a", a.address)]);
        }
        let sidecar = Sidecar::start(&config(agent.address, asked(how, &[])));
        wait_until("the first list", || sidecar.served_by() == "a");
        agent.restart_versions(vec![host("s-b", b.address)]);
        let began = Instant::now();
        wait_until("the news", || sidecar.served_by() == "b");
        assert!(began.elapsed() < TOLD_AFTER, "{how}: {:?}", began.elapsed());
    }
}

/// Danger: where discovery was, a call may be answered byte by byte. What the next place has to tell counts 4 s after
/// SIGHUP all the same.
#[test]
fn a_call_that_trickles_does_not_keep_from_where_discovery_is_now() {
    for how in ["pushed", "on_request"] {
        let (a, b) = (Server::named("a"), Server::named("b"));
        let first = Agent::start(vec![host("s-a", a.address)]);
        let trickling = Arc::new(AtomicBool::new(false));
        let said = trickling.clone();
        let second = Server::start(move |mut conn| {
            if conn.head().is_some() {
                conn.send("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n");
                said.store(true, Ordering::SeqCst);
                while conn.socket.write_all(b" ").is_ok() {
                    thread::sleep(Duration::from_millis(20));
                }
            }
        });
        let third = Agent::start(vec![host("s-b", b.address)]);
        let at = |address| {
            config(address, |c| {
                asked(how, &[host("s-a", a.address)])(c);
                c["settings"]["rules"]["mustAskIn"] = json!(1_000_000);
            })
        };
        let sidecar = Sidecar::start(&at(first.address));
        assert_eq!(sidecar.served_by(), "a");
        sidecar.reload(&at(second.address).to_string());
        wait_until("the second place asked", || trickling.load(Ordering::SeqCst));
        sidecar.reload(&at(third.address).to_string());
        let began = Instant::now();
        wait_until("the news", || sidecar.served_by() == "b");
        // A third of the time: waited for to its end, the call alone would take 3 s.
        assert!(began.elapsed() < MOVED_AFTER / 3, "{how}: {:?}", began.elapsed());
    }
}

/// A process that starts with a list from before is ready, whatever discovery does.
#[test]
fn a_process_is_ready_while_discovery_is_refusing_hanging_or_silent() {
    let a = Server::named("a");
    let known = [host("s-a", a.address)];
    let mute = Server::start(|mut conn| {
        conn.closed_by_peer();
    });
    let hanging = BlackHole::start();
    for how in ["pushed", "on_request"] {
        for discovery in [refusing_address(), mute.address, hanging.address] {
            let began = Instant::now();
            let sidecar = Sidecar::start(&config(discovery, asked(how, &known)));
            assert!(began.elapsed() < READY_AFTER, "{how}: {:?}", began.elapsed());
            assert_eq!(sidecar.served_by(), "a");
        }
    }
}

/// Lists may come indented, and byte by byte.
#[test]
fn an_indented_list_that_comes_byte_by_byte_counts() {
    let (a, b) = (Server::named("a"), Server::named("b"));
    let list = json!({"seq": 9, "whole": true, "hosts": [host("s-b", b.address)]});
    let text = serde_json::to_string_pretty(&list).unwrap().replace('\n', "\r\n\t");
    let discovery = Server::start(move |mut conn| {
        while conn.head().is_some() {
            for byte in ok(&text).as_bytes().chunks(1) {
                conn.send(byte);
            }
        }
    });
    let sidecar =
        Sidecar::start(&config(discovery.address, asked("pushed", &[host("s-a", a.address)])));
    wait_until("the news", || sidecar.served_by() == "b");
}

/// Idle clients may hold every descriptor that clients can have while discovery is down. Discovery, servers and
/// readiness have theirs all the same.
#[test]
fn a_crowd_of_idle_clients_keeps_nobody_from_discovery() {
    let (a, b) = (Server::named("a"), Server::named("b"));
    let gone = refusing_address();
    let known = [host("s-a", a.address)];
    let crowded = |discovery| {
        config(discovery, |c| {
            asked("pushed", &known)(c);
            c["limits"]["sockets"] = json!(128);
        })
    };
    let sidecar = Sidecar::start(&crowded(gone));
    let mut crowd: Vec<Conn> = (0..200).map(|_| sidecar.client()).collect();
    let held = sidecar.descriptors();
    assert!(held < 128, "{held}");
    assert_eq!(sidecar.served_by(), "a");
    let agent = Agent::start(vec![host("s-b", b.address)]);
    sidecar.reload(&crowded(agent.address).to_string());
    let began = Instant::now();
    wait_until("the news", || {
        // Whoever was closed comes again and rests again.
        crowd.rotate_left(1);
        crowd[0] = sidecar.client();
        sidecar.served_by() == "b"
    });
    assert!(began.elapsed() < MOVED_AFTER, "{:?}", began.elapsed());
    assert_eq!(sidecar.request("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n").status(), 200);
    assert!(sidecar.descriptors() < 128, "{}", sidecar.descriptors());
}

/// Danger: a discovery that works through calls in turn has a call that was hung up on worked on for nobody, and gets
/// it anew. The first call is answered once a second one stands behind it, however long that takes.
#[test]
fn a_call_that_waits_in_line_keeps_its_place() {
    let a = Server::named("a");
    let list = full_list(1, &[host("s-a", a.address)]);
    let calls: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let seen = calls.clone();
    let discovery = Server::start(move |mut conn| {
        while conn.head().is_some() {
            let count = {
                let mut calls = seen.lock().unwrap();
                calls.push(Instant::now());
                calls.len()
            };
            if count > 1 {
                conn.closed_by_peer();
                return;
            }
            while seen.lock().unwrap().len() < 2 {
                thread::sleep(Duration::from_millis(5));
            }
            conn.send(ok(&list));
        }
    });
    let asking = |c: &mut Value| c["settings"]["discovery"] = json!("on_request");
    let sidecar = Sidecar::launch(&config(discovery.address, asking));
    wait_until("the list", || sidecar.request(safe()).body == b"a");
    let calls = calls.lock().unwrap();
    let second = calls[1] - calls[0];
    assert!(second >= Duration::from_millis(1_400), "{second:?}: a line is longer than that");
}

/// What discovery does with a call.
#[derive(Clone, Copy)]
enum Reaction {
    Refuse,
    /// The call is read, and the connection is silently dead from then on.
    Vanish,
    /// The call is read and forgotten, and the connection stays open.
    Forget,
    Tell,
}

/// A discovery of a large fleet that does this with its calls, one after the other, and tells the list from then on:
/// when each call came.
fn calls_of_a_large_fleet(reactions: &[Reaction]) -> Vec<Instant> {
    let a = Server::named("a");
    let list = full_list(1, &[host("s-a", a.address)]);
    let calls: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let (seen, reactions) = (calls.clone(), reactions.to_vec());
    let held: Mutex<Vec<Conn>> = Mutex::default();
    let discovery = Server::start(move |mut conn| {
        while conn.head().is_some() {
            let count = {
                let mut calls = seen.lock().unwrap();
                calls.push(Instant::now());
                calls.len()
            };
            match reactions.get(count - 1).copied().unwrap_or(Reaction::Tell) {
                Reaction::Refuse => conn.send(answer("503 Service Unavailable", "", "")),
                Reaction::Vanish => {
                    conn.drop_incoming_packets();
                    // It ends with the test: closed before, it would tell.
                    return held.lock().unwrap().push(conn);
                }
                Reaction::Forget => return held.lock().unwrap().push(conn),
                Reaction::Tell => conn.send(ok(&list)),
            }
        }
    });
    let sidecar = Sidecar::launch(&config(discovery.address, |c| {
        c["settings"]["discovery"] = json!("on_request");
        c["settings"]["instances"] = json!(300);
    }));
    wait_until("the list", || sidecar.request(safe()).body == b"a");
    let calls = calls.lock().unwrap();
    calls.clone()
}

/// Danger: a connection that dies without a FIN or a reset while discovery's line is full looks like a long wait. What
/// discovery has to tell counts as told after 6 s all the same, for the first call and for one that is placed behind
/// it: two calls on dead connections were noticed as they were given up, after 150 s here.
#[test]
fn calls_on_connections_that_die_silently_are_made_anew_in_time() {
    use Reaction::{Refuse, Tell, Vanish};
    for reactions in [&[Refuse, Vanish, Tell][..], &[Vanish, Vanish, Vanish, Tell][..]] {
        let calls = calls_of_a_large_fleet(reactions);
        for pair in calls.windows(2).take(reactions.len() - 1) {
            assert!(pair[1] - pair[0] < TOLD_AFTER, "{:?}", pair[1] - pair[0]);
        }
    }
}

/// Danger: a call may be forgotten behind a connection that lives, which no probe of the system finds out. The second
/// call is in time for the same 6 s, also after a refusal.
#[test]
fn a_call_that_discovery_forgets_after_a_refusal_is_followed_by_another_in_time() {
    let calls = calls_of_a_large_fleet(&[Reaction::Refuse, Reaction::Forget, Reaction::Tell]);
    let second = calls[2] - calls[1];
    assert!(second < TOLD_AFTER, "{second:?}");
}

/// A refusal is an overload: waits grow with the fleet and with refusals, and stay within what the settings leave.
#[test]
fn refused_calls_come_again_after_waits_that_grow_and_are_bounded() {
    let a = Server::named("a");
    let list = full_list(1, &[host("s-a", a.address)]);
    let calls: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let opens = Arc::new(AtomicUsize::new(0));
    let (seen, opened) = (calls.clone(), opens.clone());
    let discovery = Server::start(move |mut conn| {
        opened.fetch_add(1, Ordering::SeqCst);
        while conn.head().is_some() {
            let count = {
                let mut calls = seen.lock().unwrap();
                calls.push(Instant::now());
                calls.len()
            };
            match count {
                ..=6 => conn.send(answer("503 Service Unavailable", "", "")),
                7 => conn.send(ok(&list)),
                _ => assert!(conn.closed_by_peer(), "a watch is held to the end"),
            }
        }
        opened.fetch_sub(1, Ordering::SeqCst);
    });
    let sidecar = Sidecar::launch(&config(discovery.address, |c| {
        c["settings"]["discovery"] = json!("on_request");
        c["settings"]["instances"] = json!(40);
    }));
    wait_until("the list", || sidecar.request(safe()).body == b"a");
    let calls = calls.lock().unwrap();
    let gaps: Vec<Duration> = calls.windows(2).take(6).map(|pair| pair[1] - pair[0]).collect();
    // A quarter of 10 ms for each of 40 sidecars, twice as much after each refusal, and of 2 s at most.
    for (gap, least_ms) in gaps.iter().zip([100, 200, 400, 500, 500, 500]) {
        assert!(*gap >= Duration::from_millis(least_ms), "{gaps:?}");
        assert!(*gap < TOLD_AFTER, "{gaps:?}");
    }
    assert!(opens.load(Ordering::SeqCst) <= 1, "refused connections are closed");
}

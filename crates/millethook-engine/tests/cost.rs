//! What a request costs in the engine, from the driver's taking it to its answer: allocations on the
//! engine's thread, and calls to the system on the server's connection. A change that adds one fails here
//! and either goes or says in this file why not.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use coppercart::settings::Settings;
use http::{HeaderMap, Method, Uri};
use millethook_connect::pool::{Limits, Reuse};
use millethook_connect::{Begins, EncodedRequest};
use millethook_engine::budget::{ByteReservation, ConnectionPermits, Sockets};
use millethook_engine::driver::{Reply, RequestHead};
use millethook_engine::list::List;
use millethook_engine::names::Names;
use millethook_engine::upstream::{AttemptRequest, SystemCalls};
use millethook_engine::{Engine, EngineConfig};
use millethook_testkit::{Server, hosts, settings_json};
use tokio::task::LocalSet;

const REQUESTS: u64 = 400;
/// Allocations of a request; 12.03 when this was written, the same in each of four runs.
const ALLOCATIONS: f64 = 12.5;

async fn engine(server: &[Server]) -> Engine {
    let mut raw = settings_json();
    raw["kinds"] = serde_json::json!(["std"]);
    // A second copy on a busy machine would count as a request's cost.
    raw["limits"]["mayDuplicate"] = false.into();
    let settings = Settings::from_json(raw.to_string().as_bytes()).expect("sound settings");
    let names = Arc::new(Names::new(&settings, &raw).expect("sound names"));
    let list = serde_json::json!({"seq": 1, "whole": true, "hosts": hosts(server)});
    let known: List = serde_json::from_value(list).expect("a list");
    let config = EngineConfig {
        settings,
        names,
        seed: 7,
        discovery: None,
        initial_list: Some(known),
        begins: Begins::Head,
        connections: Limits::default(),
        // What a used connection costs is what is counted.
        reuse: Some(Reuse::Unlimited),
        peers: None,
        fleet: None,
        distribution: None,
        membership_store: None,
    };
    let sockets = Rc::new(Sockets::for_servers(ConnectionPermits::new(64)));
    Engine::start(config, sockets).await.expect("an engine")
}

async fn ask(engine: &Engine) {
    let target = Uri::from_static("/look/1?q=2");
    let encoded = EncodedRequest::new(&Method::GET, &target, &HeaderMap::new(), Vec::new());
    let aim = Duration::from_millis(200);
    let request = AttemptRequest {
        encoded,
        internal: false,
        repeatable: true,
        streaming: false,
        aim,
        reservation: ByteReservation::default(),
        upload: None,
        withdrawn: Default::default(),
    };
    let head = RequestHead {
        class: 0,
        repeatable: true,
        streaming: false,
        aim,
        tenant: 0,
        key: 1,
        left: 4 * aim,
        hint: None,
        repeat: false,
    };
    let mut ticket = engine.driver.request(head, request);
    let reply = ticket.reply().await;
    assert!(matches!(reply, Reply::Served(..)));
    // The connection settles meanwhile, so that the next request finds it.
    tokio::time::sleep(Duration::from_millis(2)).await;
}

#[test]
fn a_request_costs_what_it_did() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime");
    let local = LocalSet::new();
    let server = [Server::named("fine")];
    let engine = local.block_on(&runtime, engine(&server));
    let play = |n: u64| {
        local.block_on(&runtime, async {
            for _ in 0..n {
                ask(&engine).await;
            }
        });
    };
    play(50);
    let before = engine.driver.usage().calls;
    let counted = allocation_counter::measure(|| play(REQUESTS));
    let after = engine.driver.usage().calls;
    let each = counted.count_total as f64 / REQUESTS as f64;
    assert!(each <= ALLOCATIONS, "{each} allocations a request");
    assert!(counted.bytes_max < 256 << 10, "{} bytes held at once", counted.bytes_max);
    let calls = SystemCalls {
        peeks: after.peeks - before.peeks,
        writes: after.writes - before.writes,
        reads: after.reads - before.reads,
    };
    // One look at the connection, one write of the whole request, one read of the whole answer.
    let one_each = SystemCalls { peeks: REQUESTS, writes: REQUESTS, reads: REQUESTS };
    assert_eq!(calls, one_each);
}

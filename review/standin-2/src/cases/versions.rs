//! A worker that starts again under its id with another software version.

use std::net::IpAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::gateway::{Gateway, Machine, Ports};
use crate::record::Record;
use crate::store::Store;
use crate::streams::{Events, request_all};
use crate::worker::{Behaviour, Life, Start};

const SERVICE: &str = "brief-models";
const ROUTE: &str = r#"{"Name":"brief","Host":"site.example","PathPrefix":"/brief/","Type":"streaming","TimeoutMs":15000,"SloMs":2000,"Priority":0,"Service":"brief-models","MaxAttempts":2,"Public":true,"Resumable":true,"GapTargetMs":400}"#;
/// Streams whose events come from two versions before the rule is broken.
const MIXED_MAX: usize = 2;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let store = Store::start(record);
    store.put("config", "main", &super::configuration(ROUTE, SERVICE));
    let events: Arc<dyn Behaviour> =
        Arc::new(Events { count: 24, first: ms(60), gap: ms(250), breaks: 0 });
    let worker = |id, version, address, first_beat| {
        let start =
            Start { id, service: SERVICE, version, zone: "zone-a", address, first_beat, slots: 64 };
        Life::start(&start, &store, record, Arc::clone(&events))
    };
    let first = worker("i-7f3a91c2", "v1", None, ms(0));
    let _others = [
        worker("i-aa00000001", "v1", None, ms(0)),
        worker("i-aa00000002", "v1", None, ms(0)),
        worker("i-aa00000003", "v1", None, ms(0)),
    ];
    let ip: IpAddr = "127.0.0.1".parse().expect("an address");
    let machine = Machine { node_name: "edge-a-1".to_owned(), ip, zone: "zone-a".to_owned() };
    let gateway = Gateway::start(&machine, Ports::find(&[ip]), store.address, record, true);
    gateway.wait_ready();
    let ids = (0..24).map(|number| format!("00000000be2a{number:04x}")).collect();
    let warm = request_all(gateway.frontend(), "/brief/short", ids, ms(15), record);
    let _ = warm.join();
    thread::sleep(ms(3_000));

    // While nothing runs, the worker crashes and is back after two seconds under its id.
    let again = if has_trouble {
        let address = first.address;
        first.crash();
        thread::sleep(ms(2_000));
        // Its next heartbeat comes within `HeartbeatMs`.
        worker("i-7f3a91c2", "v2", Some(address), ms(700))
    } else {
        thread::sleep(ms(2_000));
        first
    };
    thread::sleep(ms(50));
    let ids = (0..32).map(|number| format!("9c41d07be2a3{number:04x}")).collect();
    let got = request_all(gateway.frontend(), "/brief/long", ids, ms(15), record);
    // The entry of the worker's new start has been in the store for two seconds when the worker
    // crashes again.
    thread::sleep(ms(3_200));
    again.crash();
    let got = got.join().expect("the callers end");

    let mixed: Vec<_> = got.iter().filter(|got| got.versions().len() > 1).collect();
    for got in &mixed {
        record.line(&format!("mixed: {} holds {:?}", got.id, got.events));
    }
    let whole = got.iter().filter(|got| got.status == 200 && got.is_whole).count();
    record.say(&format!(
        "{} streams, {whole} whole, {} with events of two software versions (at most {MIXED_MAX})",
        got.len(),
        mixed.len()
    ));
    if mixed.len() > MIXED_MAX { Verdict::Broken } else { Verdict::Held }
}

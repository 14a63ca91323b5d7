//! A machine that is removed for good, and a new one at another address.

use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::engine::{Engine, Limits, Ordered};
use crate::gateway::{Gateway, Machine, Ports};
use crate::record::Record;
use crate::store::Store;
use crate::streams;

const SERVICE: &str = "brief-models";
const LEASE_MS: u64 = 3_000;
const MODELS: usize = 12;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn configuration() -> String {
    let route = format!(
        r#"{{"Name":"brief","Host":"site.example","PathPrefix":"/brief/","Type":"streaming","TimeoutMs":5000,"SloMs":2000,"Priority":0,"Service":"{SERVICE}","MaxAttempts":2,"Public":true,"Resumable":true,"GapTargetMs":400}}"#
    );
    let model = |number| {
        format!(
            r#"{{"Name":"m{number}","WeightsMb":72700,"LoadS":6,"WarmS":0.4,"DiskLoadS":0.52,"Adapters":0,"AdapterMb":66}}"#
        )
    };
    let models: Vec<String> = (0..MODELS).map(model).collect();
    let engine = format!(
        r#","Engine":{{"KvCapacity":251172,"WeightsMb":220000,"AdapterSlots":8,"LoadsPerS":7.7,"Models":[{}]}}}}],"Tenants""#,
        models.join(",")
    );
    super::configuration(&route, SERVICE).replace("}],\"Tenants\"", &engine)
}

/// Requests one model after the other, so that the holder has something to order.
fn keep_asking(address: Arc<Mutex<SocketAddr>>, ends: Arc<AtomicBool>, record: Record) {
    thread::spawn(move || {
        for number in 0.. {
            if ends.load(Ordering::SeqCst) {
                return;
            }
            let (address, record) = (*address.lock().unwrap(), record.clone());
            thread::spawn(move || {
                let id = format!("9c41d07be2a3{number:04x}");
                let model = format!("m{}", number % MODELS);
                streams::request_with(address, "/brief/2f", &id, &[("model", &model)], &record);
            });
            thread::sleep(ms(200));
        }
    });
}

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let store = Store::start(record);
    store.put("config", "main", &configuration());
    let limits = Limits {
        service: SERVICE.to_owned(),
        models: (0..MODELS).map(|number| (format!("m{number}"), 72_700)).collect(),
        adapter_mb: 66,
        weights_mb: 220_000,
        adapter_slots: 8,
        load: ms(400),
    };
    let engine = |id, models: &[&str]| Engine::start(id, "zone-a", models, &limits, &store, record);
    let engines =
        [engine("i-aa00000001", &["m0", "m1", "m2"]), engine("i-aa00000002", &["m3", "m4", "m5"])];
    let [first_ip, second_ip]: [IpAddr; 2] =
        ["127.0.0.1", "127.0.0.2"].map(|ip| ip.parse().expect("an address"));
    let ports = Ports::find(&[first_ip, second_ip]);
    let machine = |ip| Machine { node_name: "edge-a-1".to_owned(), ip, zone: "zone-a".to_owned() };
    let mut gateway = Gateway::start(&machine(first_ip), ports, store.address, record, true);
    gateway.wait_ready();
    let address = Arc::new(Mutex::new(gateway.frontend()));
    let ends = Arc::new(AtomicBool::new(false));
    keep_asking(Arc::clone(&address), Arc::clone(&ends), record.clone());
    thread::sleep(ms(6_000));
    let count = || engines.iter().map(|engine| engine.orders().len()).sum::<usize>();
    let known = count();
    while count() == known {
        thread::sleep(ms(5));
    }
    // Such as a machine that has just given an order.
    let replacement = has_trouble.then(|| {
        if std::env::var("PLANNED").is_ok() {
            // Not the case: the same as planned work, where the new machine comes first.
            let replacement =
                Gateway::start(&machine(second_ip), ports, store.address, record, false);
            *address.lock().unwrap() = replacement.frontend();
            thread::sleep(ms(2_000));
            gateway.signal("TERM");
            return replacement;
        }
        // The machine is removed for good; a new one comes a second later at another address.
        gateway.signal("KILL");
        gateway.wait_end();
        thread::sleep(ms(1_000));
        let replacement = Gateway::start(&machine(second_ip), ports, store.address, record, false);
        *address.lock().unwrap() = replacement.frontend();
        replacement
    });
    thread::sleep(ms(8_000));
    ends.store(true, Ordering::SeqCst);
    thread::sleep(ms(500));
    drop(replacement);

    let mut turns = 0;
    let mut count = 0;
    for engine in &engines {
        let orders = engine.orders();
        count += orders.len();
        for pair in orders.windows(2) {
            let [before, after] = pair else { continue };
            turns += usize::from(is_turn(&engine.id, before, after, record));
        }
    }
    record.say(&format!(
        "{count} orders, {turns} times an order of another machine within LeaseMs = {LEASE_MS}"
    ));
    if count == 0 {
        panic!("no order was given");
    }
    if turns > 0 { Verdict::Broken } else { Verdict::Held }
}

fn is_turn(engine: &str, before: &Ordered, after: &Ordered, record: &Record) -> bool {
    let gap = after.at.duration_since(before.at);
    let is_turn = before.from != after.from && gap < ms(LEASE_MS);
    if is_turn {
        record.line(&format!(
            "turn: worker {engine} got an order of {} as holder {} with fencing token {} (answer {}), and {} ms later one of {} as holder {} with fencing token {} (answer {})",
            before.from, before.holder, before.token, before.status, gap.as_millis(),
            after.from, after.holder, after.token, after.status
        ));
    }
    is_turn
}

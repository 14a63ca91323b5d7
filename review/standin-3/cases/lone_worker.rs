//! A machine is partitioned from all workers, and the service that its clients use has one.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use super::{limits, tenants};
use crate::client::{send, Request, HOST, KEY};
use crate::gateway::{wait_until_ready, Gateway, Ports};
use crate::json::{number, object, text, Json};
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Description, Worker};
use crate::Verdict;

const CUT_S: f64 = 12.0;
const STABLE_WINDOW_S: f64 = 3.0;
const PAUSE: Duration = Duration::from_millis(100);

fn config() -> Json {
    let service = |name: &str| {
        object([("Name", text(name)), ("HealthPath", text("/healthz")), ("MaxConns", number(110))])
    };
    let route = |name: &str, service: &str| {
        object([
            ("Name", text(name)),
            ("Host", text(HOST)),
            ("PathPrefix", text(&format!("/{name}/"))),
            ("Type", text("idempotent")),
            ("TimeoutMs", number(1_500)),
            ("SloMs", number(300)),
            ("Priority", number(2)),
            ("Service", text(service)),
            ("MaxAttempts", number(2)),
            ("Public", Json::Bool(false)),
        ])
    };
    object([
        ("Version", number(3)),
        ("Routes", Json::List(vec![route("fetch", "desk"), route("old", "archive")])),
        ("Services", Json::List(vec![service("desk"), service("archive")])),
        ("Tenants", tenants()),
        ("Limits", limits()),
    ])
}

fn worker(id: &str, service: &str) -> Description {
    Description {
        id: id.to_owned(),
        service: service.to_owned(),
        version: "v1".to_owned(),
        zone: "z0".to_owned(),
        slots: 6,
        queue: 24,
        models: Vec::new(),
        work_ms: 60,
        events: 0,
        pause_ms: 0,
        brittle: None,
        limit: None,
        load_time: Duration::from_secs(6),
        models_max: 3,
    }
}

/// A first try: when it was sent, at which machine, and whether it was served.
type Try = (f64, usize, bool);

pub fn play(folder: &Path, record: &Record, has_trouble: bool) -> Verdict {
    let ips: Vec<String> = (1..=3).map(|index| format!("127.0.53.{index}")).collect();
    let (store, store_address) = Store::start("127.0.53.100");
    store.put("config", "main", config());
    // Nobody asks for the archive meanwhile.
    let services = ["desk", "archive"];
    let workers: Vec<Arc<Worker>> = services
        .iter()
        .enumerate()
        .map(|(index, service)| {
            let what = worker(&format!("i-{service}"), service);
            Worker::start(what, &format!("127.0.53.{}", 10 + index), &store, record)
        })
        .collect();
    let ports = Ports::find(&ips);
    let mut gateways: Vec<Gateway> = ips
        .iter()
        .enumerate()
        .map(|(index, ip)| {
            Gateway::new(
                folder,
                &format!("edge-{index}"),
                ip,
                &format!("z{index}"),
                &ports,
                store_address,
            )
        })
        .collect();
    gateways.iter_mut().for_each(Gateway::start);
    wait_until_ready(&gateways, record);
    let addresses: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.frontend).collect();
    let begun = record.seconds();
    let cut_at = begun + 4.0;
    let end = cut_at + CUT_S;
    let tries: Arc<Mutex<Vec<Try>>> = Arc::default();
    let mut clients = Vec::new();
    for (machine, address) in addresses.iter().copied().enumerate() {
        let (record, tries) = (record.clone(), Arc::clone(&tries));
        clients.push(thread::spawn(move || {
            let mut sent = Vec::new();
            let mut number = 0;
            while record.seconds() < end {
                let (record, tries) = (record.clone(), Arc::clone(&tries));
                sent.push(thread::spawn(move || {
                    let at = record.seconds();
                    let id = format!("m{machine}-{number:04}");
                    let request = Request {
                        id: &id,
                        key: KEY,
                        method: "GET",
                        target: &format!("/fetch/{machine}/{number}"),
                        headers: Vec::new(),
                        deadline_ms: 3_000,
                        gap_ms: 3_000,
                        leave_after: None,
                    };
                    let answer = send(address, &request);
                    record.note(&format!(
                        "{id} gets {} {} {}",
                        answer.status, answer.body, answer.error
                    ));
                    tries.lock().expect("no panic").push((at, machine, answer.status == 200));
                }));
                number += 1;
                thread::sleep(PAUSE);
            }
            for client in sent {
                let _ = client.join();
            }
        }));
    }
    thread::sleep(Duration::from_secs_f64(cut_at - record.seconds()));
    let machine: Ipv4Addr = ips[0].parse().expect("an address");
    if has_trouble {
        record.note("edge-0 is partitioned from all workers");
        workers.iter().for_each(|worker| worker.cut(machine, true));
    }
    thread::sleep(Duration::from_secs_f64(end - 2.0 - record.seconds()));
    let is_ready = gateways[0].is_ready();
    record
        .note(&format!("edge-0 says that it is {}", if is_ready { "ready" } else { "not ready" }));
    for client in clients {
        let _ = client.join();
    }
    if gateways.iter_mut().any(Gateway::has_ended) {
        record.note("a machine's process has ended");
        return Verdict::CannotRun;
    }
    let tries = tries.lock().expect("no panic");
    let judged: Vec<&Try> =
        tries.iter().filter(|(at, ..)| *at >= cut_at + STABLE_WINDOW_S).collect();
    let count = |is_cut: bool, served: Option<bool>| {
        let fits = |(_, machine, is_served): &&&Try| {
            (*machine == 0) == is_cut && served.is_none_or(|served| served == *is_served)
        };
        judged.iter().filter(fits).count()
    };
    let share = |is_cut: bool| count(is_cut, Some(true)) as f64 / count(is_cut, None).max(1) as f64;
    let failed = count(true, Some(false));
    let most = 10.0 + judged.len() as f64 / 50.0;
    record.note(&format!(
        "from {STABLE_WINDOW_S} s after the cut began: {:.2} of {} first tries at edge-0 were served, {:.2} of {} \
         at the others; {failed} failed at edge-0, of which the rule allows {most:.0}",
        share(true),
        count(true, None),
        share(false),
        count(false, None)
    ));
    if share(true) < share(false) * 2.0 / 3.0 && failed as f64 > most {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

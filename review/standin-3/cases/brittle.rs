//! Workers are brittle, and requests come in batches with quiet seconds between them.

use std::net::SocketAddr;
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

const WORKERS: usize = 4;
const CLIENTS_PER_MACHINE: usize = 20;
const BATCHES: usize = 5;
const PAUSE: Duration = Duration::from_secs(6);
/// The rejections a second from which on a brittle worker falls over, as in the project's own test.
const REJECTIONS_MAX: usize = 2;

fn config() -> Json {
    object([
        ("Version", number(3)),
        (
            "Routes",
            Json::List(vec![object([
                ("Name", text("fetch")),
                ("Host", text(HOST)),
                ("PathPrefix", text("/fetch/")),
                ("Type", text("idempotent")),
                ("TimeoutMs", number(1_500)),
                ("SloMs", number(300)),
                ("Priority", number(2)),
                ("Service", text("desk")),
                ("MaxAttempts", number(2)),
                ("Public", Json::Bool(false)),
            ])]),
        ),
        (
            "Services",
            Json::List(vec![object([
                ("Name", text("desk")),
                ("HealthPath", text("/healthz")),
                ("MaxConns", number(110)),
            ])]),
        ),
        ("Tenants", tenants()),
        ("Limits", limits()),
    ])
}

pub fn play(folder: &Path, record: &Record, has_trouble: bool) -> Verdict {
    let ips: Vec<String> = (1..=3).map(|index| format!("127.0.52.{index}")).collect();
    let (store, store_address) = Store::start("127.0.52.100");
    store.put("config", "main", config());
    let workers: Vec<Arc<Worker>> = (0..WORKERS)
        .map(|index| {
            let what = Description {
                id: format!("i-{index:04}"),
                service: "desk".to_owned(),
                version: "v1".to_owned(),
                zone: format!("z{}", index % 3),
                slots: 6,
                queue: 24,
                models: Vec::new(),
                work_ms: 60,
                events: 0,
                pause_ms: 0,
                brittle: has_trouble.then_some(REJECTIONS_MAX),
                limit: None,
                load_time: Duration::from_secs(6),
                models_max: 3,
            };
            Worker::start(what, &format!("127.0.52.{}", 10 + index), &store, record)
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
    thread::sleep(Duration::from_secs(3));
    let addresses: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.frontend).collect();
    let statuses: Arc<Mutex<Vec<u16>>> = Arc::default();
    for batch in 0..BATCHES {
        record.note(&format!("batch {batch}"));
        let mut clients = Vec::new();
        for number in 0..CLIENTS_PER_MACHINE * addresses.len() {
            let address = addresses[number % addresses.len()];
            let (record, statuses) = (record.clone(), Arc::clone(&statuses));
            clients.push(thread::spawn(move || {
                let id = format!("b{batch}-{number:04}");
                let target = format!("/fetch/{batch}/{number}");
                let request = Request {
                    id: &id,
                    key: KEY,
                    method: "GET",
                    target: &target,
                    headers: Vec::new(),
                    deadline_ms: 3_000,
                    gap_ms: 3_000,
                    leave_after: None,
                };
                let answer = send(address, &request);
                record
                    .note(&format!("{id} gets {} from {address} {}", answer.status, answer.error));
                statuses.lock().expect("no panic").push(answer.status);
            }));
        }
        for client in clients {
            let _ = client.join();
        }
        thread::sleep(PAUSE);
    }
    if gateways.iter_mut().any(Gateway::has_ended) {
        record.note("a machine's process has ended");
        return Verdict::CannotRun;
    }
    let falls: Vec<(u64, usize)> = workers.iter().map(|worker| worker.falls()).collect();
    let total: u64 = falls.iter().map(|(falls, _)| falls).sum();
    let statuses = statuses.lock().expect("no panic");
    let served = statuses.iter().filter(|status| **status == 200).count();
    record.note(&format!(
        "{served} of {} requests were served; the workers fell over {total} times, by worker (falls, most \
         turned away in a second): {falls:?}; the rule allows 2 + {WORKERS} / 10",
        statuses.len()
    ));
    if total as f64 > 2.0 + WORKERS as f64 / 10.0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

//! Limited workers leave, one after the other, while requests wait for their permits.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
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

const DRAIN_S: f64 = 2.0;
const LIMIT_PER_S: f64 = 4.0;
/// Requests a second over all machines.
const PER_S: f64 = 24.0;
/// The pause between two workers that leave; the last one stays.
const GAP: Duration = Duration::from_secs(4);

fn config() -> Json {
    object([
        ("Version", number(3)),
        (
            "Routes",
            Json::List(vec![object([
                ("Name", text("batch")),
                ("Host", text(HOST)),
                ("PathPrefix", text("/batch/")),
                ("Type", text("idempotent")),
                ("TimeoutMs", number(11_000)),
                ("SloMs", number(5_000)),
                ("Priority", number(2)),
                ("Service", text("desk")),
                ("MaxAttempts", number(1)),
                ("Public", Json::Bool(false)),
            ])]),
        ),
        (
            "Services",
            Json::List(vec![object([
                ("Name", text("desk")),
                ("HealthPath", text("/healthz")),
                ("MaxConns", number(370)),
            ])]),
        ),
        ("Tenants", tenants()),
        ("Limits", limits()),
    ])
}

fn worker(index: usize, limit: Option<f64>) -> Description {
    Description {
        id: format!("i-{index:04}"),
        service: "desk".to_owned(),
        version: "v1".to_owned(),
        zone: format!("z{index}"),
        slots: 64,
        queue: 64,
        models: Vec::new(),
        work_ms: 60,
        events: 0,
        pause_ms: 0,
        brittle: None,
        limit,
        load_time: Duration::from_secs(6),
        models_max: 3,
    }
}

pub fn play(folder: &Path, record: &Record, has_trouble: bool) -> Verdict {
    let ips: Vec<String> = (1..=3).map(|index| format!("127.0.57.{index}")).collect();
    let (store, store_address) = Store::start("127.0.57.100");
    store.put("config", "main", config());
    let limit = has_trouble.then_some(LIMIT_PER_S);
    let workers: Vec<Arc<Worker>> = (0..4)
        .map(|index| {
            Worker::start(worker(index, limit), &format!("127.0.57.{}", 10 + index), &store, record)
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
    let end = begun + 24.0;
    let clients = {
        let (record, addresses) = (record.clone(), addresses.clone());
        thread::spawn(move || {
            let mut sent = Vec::new();
            while record.seconds() < end {
                let number = sent.len();
                let (record, address) = (record.clone(), addresses[number % addresses.len()]);
                sent.push(thread::spawn(move || {
                    let id = format!("b{number:04}");
                    let request = Request {
                        id: &id,
                        key: KEY,
                        method: "GET",
                        target: &format!("/batch/{number}"),
                        headers: Vec::new(),
                        deadline_ms: 11_000,
                        gap_ms: 11_000,
                        leave_after: None,
                    };
                    record.note(&format!("{id} is sent to {address}"));
                    let answer = send(address, &request);
                    record.note(&format!(
                        "{id} gets {} {} {}",
                        answer.status, answer.body, answer.error
                    ));
                }));
                thread::sleep(Duration::from_secs_f64(1.0 / PER_S));
            }
            sent.into_iter().for_each(|client| drop(client.join()));
        })
    };
    thread::sleep(Duration::from_secs(10));
    let leaving = &workers[..workers.len() - 1];
    let mut drained_at = Vec::new();
    for worker in leaving {
        drained_at.push(worker.drain());
        thread::sleep(GAP);
    }
    let _ = clients.join();
    if gateways.iter_mut().any(Gateway::has_ended) {
        record.note("a machine's process has ended");
        return Verdict::CannotRun;
    }
    let late: Vec<f64> = leaving
        .iter()
        .zip(&drained_at)
        .flat_map(|(worker, drained_at)| {
            worker.run_times().into_iter().map(move |at| at - drained_at)
        })
        .filter(|after| *after > DRAIN_S)
        .collect();
    record.note(&format!(
        "{} requests reached leaving workers later than {DRAIN_S} s after the store had accepted that they \
         leave: {late:.3?} s after that",
        late.len()
    ));
    if late.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}

//! The workers of a service are upgraded in place, one after the other, under the ids that they had.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use super::{limits, tenants};
use crate::client::{send, Answer, Request, HOST, KEY};
use crate::gateway::{wait_until_ready, Gateway, Ports};
use crate::json::{number, object, text, Json};
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Description, Worker};
use crate::Verdict;

const STREAMS: usize = 24;
const EVENTS: u64 = 40;
const PAUSE_MS: u64 = 200;
/// How long a restart takes, and the pause between two of them.
const AWAY: Duration = Duration::from_millis(800);
const GAP: Duration = Duration::from_millis(1_000);
/// A worker writes its entry about every 1.2 s, so that the first one comes half as late on average.
const ENTRY_DELAY: Duration = Duration::from_millis(600);

fn config() -> Json {
    object([
        ("Version", number(3)),
        (
            "Routes",
            Json::List(vec![object([
                ("Name", text("brief")),
                ("Host", text(HOST)),
                ("PathPrefix", text("/brief/")),
                ("Type", text("streaming")),
                ("TimeoutMs", number(11_000)),
                ("SloMs", number(400)),
                ("Priority", number(0)),
                ("Service", text("writers")),
                ("MaxAttempts", number(4)),
                ("Public", Json::Bool(false)),
                ("Resumable", Json::Bool(true)),
                ("GapTargetMs", number(400)),
            ])]),
        ),
        (
            "Services",
            Json::List(vec![object([
                ("Name", text("writers")),
                ("HealthPath", text("/healthz")),
                ("MaxConns", number(370)),
            ])]),
        ),
        ("Tenants", tenants()),
        ("Limits", limits()),
    ])
}

fn worker(index: usize) -> Description {
    Description {
        id: format!("i-{index:04}"),
        service: "writers".to_owned(),
        version: "v1".to_owned(),
        zone: format!("z{index}"),
        slots: 64,
        queue: 192,
        models: Vec::new(),
        work_ms: 0,
        events: EVENTS,
        pause_ms: PAUSE_MS,
        brittle: None,
        limit: None,
        load_time: Duration::from_secs(6),
        models_max: 3,
    }
}

pub fn play(folder: &Path, record: &Record, has_trouble: bool) -> Verdict {
    let ips: Vec<String> = (1..=3).map(|index| format!("127.0.56.{index}")).collect();
    let (store, store_address) = Store::start("127.0.56.100");
    store.put("config", "main", config());
    let workers: Vec<Arc<Worker>> = (0..2)
        .map(|index| {
            Worker::start(worker(index), &format!("127.0.56.{}", 10 + index), &store, record)
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
    let answers: Arc<Mutex<Vec<Answer>>> = Arc::default();
    let mut clients = Vec::new();
    for number in 0..STREAMS {
        let address = addresses[number % addresses.len()];
        let (record, answers) = (record.clone(), Arc::clone(&answers));
        clients.push(thread::spawn(move || {
            let id = format!("s{number:04}");
            let request = Request {
                id: &id,
                key: KEY,
                method: "POST",
                target: "/brief/lead",
                headers: Vec::new(),
                deadline_ms: 11_000,
                gap_ms: 3_200,
                leave_after: None,
            };
            let answer = send(address, &request);
            let data: Vec<&str> = answer.events.iter().map(|(_, data)| data.as_str()).collect();
            record.note(&format!(
                "{id} ends: status {}, whole {}, {}, {}",
                answer.status,
                answer.is_whole,
                answer.error,
                data.join(" ")
            ));
            answers.lock().expect("no panic").push(answer);
        }));
    }
    thread::sleep(Duration::from_millis(1_500));
    for worker in workers.iter().filter(|_| has_trouble) {
        worker.restart("is upgraded in place", Some("v2"), AWAY, ENTRY_DELAY);
        thread::sleep(GAP);
    }
    for client in clients {
        let _ = client.join();
    }
    if gateways.iter_mut().any(Gateway::has_ended) {
        record.note("a machine's process has ended");
        return Verdict::CannotRun;
    }
    let answers = answers.lock().expect("no panic");
    let is_mixed = |answer: &&Answer| {
        let mut versions: Vec<&str> =
            answer.events.iter().filter_map(|(_, data)| data.split('/').next()).collect();
        versions.sort_unstable();
        versions.dedup();
        versions.len() > 1
    };
    let mixed = answers.iter().filter(is_mixed).count();
    record.note(&format!(
        "{mixed} of {} streams hold events of two software versions in one answer, of which the rule allows 2",
        answers.len()
    ));
    if mixed > 2 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

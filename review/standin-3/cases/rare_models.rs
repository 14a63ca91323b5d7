//! Rare models are asked for while the busy ones fill the memory of all workers.

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

/// A worker has room for three models.
const MODELS_MAX: usize = 3;
const BUSY: [&str; 3] = ["m1", "m2", "m3"];
const RARE: [&str; 5] = ["m4", "m5", "m6", "m7", "m8"];
/// Requests a second for each busy model.
const BUSY_PER_S: f64 = 6.0;
/// The pause between two requests for one rare model.
const RARE_PAUSE: Duration = Duration::from_millis(1_500);
const RARE_REQUESTS: usize = 20;
const DEADLINE_MS: u64 = 11_000;
const GAP_MS: u64 = 8_000;

fn config() -> Json {
    let model = |name: &&str| {
        object([
            ("Name", text(name)),
            ("WeightsMb", number(70_000)),
            ("LoadS", number(6)),
            ("Adapters", number(0)),
            ("AdapterMb", number(12)),
            ("WarmS", number(0.4)),
            ("DiskLoadS", number(0.5)),
        ])
    };
    let engine = object([
        ("Slots", number(64)),
        ("KvCapacity", number(251_172)),
        ("WeightsMb", number(220_000)),
        ("AdapterSlots", number(8)),
        ("LoadsPerS", number(7.7)),
        ("Models", Json::List(BUSY.iter().chain(&RARE).map(model).collect())),
    ]);
    object([
        ("Version", number(3)),
        (
            "Routes",
            Json::List(vec![object([
                ("Name", text("brief")),
                ("Host", text(HOST)),
                ("PathPrefix", text("/brief/")),
                ("Type", text("streaming")),
                ("TimeoutMs", number(DEADLINE_MS as f64)),
                ("SloMs", number(2_000)),
                ("Priority", number(0)),
                ("Service", text("models")),
                ("MaxAttempts", number(2)),
                ("Public", Json::Bool(false)),
                ("Sticky", Json::Bool(true)),
                ("Resumable", Json::Bool(true)),
                ("GapTargetMs", number(400)),
            ])]),
        ),
        (
            "Services",
            Json::List(vec![object([
                ("Name", text("models")),
                ("HealthPath", text("/healthz")),
                ("MaxConns", number(370)),
                ("Engine", engine),
            ])]),
        ),
        ("Tenants", tenants()),
        ("Limits", limits()),
    ])
}

fn worker(index: usize, models: [&str; MODELS_MAX]) -> Description {
    Description {
        id: format!("i-{index:04}"),
        service: "models".to_owned(),
        version: "v1".to_owned(),
        zone: format!("z{index}"),
        slots: 64,
        queue: 192,
        models: models.map(str::to_owned).to_vec(),
        work_ms: 0,
        events: 4,
        pause_ms: 50,
        brittle: None,
        limit: None,
        load_time: Duration::from_secs(6),
        models_max: MODELS_MAX,
    }
}

/// What was asked for: the model, when, and whether it was served.
type Asked = (&'static str, f64, bool);

fn ask(
    record: &Record,
    address: SocketAddr,
    model: &'static str,
    number: usize,
    asked: &Mutex<Vec<Asked>>,
) {
    let at = record.seconds();
    let id = format!("{model}-{number:04}");
    let request = Request {
        id: &id,
        key: KEY,
        method: "POST",
        target: "/brief/lead",
        headers: vec![
            ("Model", model.to_owned()),
            ("Token-Count", "646,20".to_owned()),
            ("Prompt-Prefix", format!("5c1e07a2:155,{:x}:491", 0x10_0000 + number)),
        ],
        deadline_ms: DEADLINE_MS,
        gap_ms: GAP_MS,
        leave_after: None,
    };
    let answer = send(address, &request);
    let is_served = answer.status == 200 && answer.is_whole;
    record.note(&format!("{id} gets {} {} {}", answer.status, answer.body, answer.error));
    asked.lock().expect("no panic").push((model, at, is_served));
}

pub fn play(folder: &Path, record: &Record, has_trouble: bool) -> Verdict {
    let ips: Vec<String> = (1..=3).map(|index| format!("127.0.55.{index}")).collect();
    let (store, store_address) = Store::start("127.0.55.100");
    store.put("config", "main", config());
    let _workers: Vec<Arc<Worker>> = [["m1", "m2", "m3"], ["m1", "m2", "m4"]]
        .into_iter()
        .enumerate()
        .map(|(index, models)| {
            Worker::start(
                worker(index, models),
                &format!("127.0.55.{}", 10 + index),
                &store,
                record,
            )
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
    let rare_at = record.seconds() + 14.0;
    let end = rare_at + RARE_PAUSE.as_secs_f64() * RARE_REQUESTS as f64 + 2.0;
    let asked: Arc<Mutex<Vec<Asked>>> = Arc::default();
    let mut clients = Vec::new();
    for (place, model) in BUSY.into_iter().chain(RARE).enumerate() {
        let is_busy = place < BUSY.len();
        if !is_busy && !has_trouble {
            continue;
        }
        let (record, asked, addresses) = (record.clone(), Arc::clone(&asked), addresses.clone());
        clients.push(thread::spawn(move || {
            if !is_busy {
                thread::sleep(Duration::from_secs_f64(rare_at - record.seconds()));
            }
            let pause =
                if is_busy { Duration::from_secs_f64(1.0 / BUSY_PER_S) } else { RARE_PAUSE };
            let mut sent = Vec::new();
            while record.seconds() < end {
                let number = sent.len();
                let (record, asked) = (record.clone(), Arc::clone(&asked));
                let address = addresses[(number + place) % addresses.len()];
                sent.push(thread::spawn(move || ask(&record, address, model, number, &asked)));
                thread::sleep(pause);
            }
            sent.into_iter().for_each(|client| drop(client.join()));
        }));
    }
    for client in clients {
        let _ = client.join();
    }
    if gateways.iter_mut().any(Gateway::has_ended) {
        record.note("a machine's process has ended");
        return Verdict::CannotRun;
    }
    let asked = asked.lock().expect("no panic");
    let (mut judged, mut starved) = (0, Vec::new());
    for model in BUSY.into_iter().chain(RARE) {
        let of_model: Vec<&Asked> = asked.iter().filter(|(name, ..)| *name == model).collect();
        let served = of_model.iter().filter(|(.., is_served)| *is_served).count();
        let first = of_model.iter().map(|(_, at, _)| *at).fold(f64::INFINITY, f64::min);
        let last = of_model.iter().map(|(_, at, _)| *at).fold(0.0, f64::max);
        record.note(&format!("{model}: {served} of {} requests were served", of_model.len()));
        if of_model.len() >= 4 && last - first > 8.0 {
            judged += 1;
            if served == 0 {
                starved.push(model);
            }
        }
    }
    let most = 1.0 + judged as f64 / 10.0;
    record.note(&format!(
        "{} of {judged} models were never served, of which the rule allows {most}",
        starved.len()
    ));
    if starved.len() as f64 > most {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

//! A worker falls silent while a machine stops; its streams, begun in chunks, go on at workers whose
//! streams end with their connection.

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

const STREAMS: usize = 6;
const EVENTS: u64 = 24;
const PAUSE_MS: u64 = 100;
const DEADLINE_MS: u64 = 11_000;
/// The longest of two seconds, four times the objective and eight times the longest pause.
const GAP_MS: u64 = 3_200;
const SILENCE: Duration = Duration::from_millis(1_400);
const MODEL: &str = "m1";

fn config() -> Json {
    let model = object([
        ("Name", text(MODEL)),
        ("WeightsMb", number(65_000)),
        ("LoadS", number(6)),
        ("Adapters", number(0)),
        ("AdapterMb", number(12)),
        ("WarmS", number(0.4)),
        ("DiskLoadS", number(0.5)),
    ]);
    let engine = object([
        ("Slots", number(64)),
        ("KvCapacity", number(251_172)),
        ("WeightsMb", number(220_000)),
        ("AdapterSlots", number(8)),
        ("LoadsPerS", number(7.7)),
        ("Models", Json::List(vec![model])),
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
                ("TimeoutMs", number(11_000)),
                ("SloMs", number(400)),
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

fn worker(index: usize) -> Description {
    Description {
        id: format!("i-{index:04}"),
        service: "models".to_owned(),
        version: "v1".to_owned(),
        zone: format!("z{}", index % 3),
        slots: 64,
        queue: 192,
        models: vec![MODEL.to_owned()],
        work_ms: 0,
        events: EVENTS,
        pause_ms: PAUSE_MS,
        brittle: None,
        limit: None,
        load_time: Duration::from_secs(6),
        models_max: 3,
    }
}

fn headers(number: usize) -> Vec<(&'static str, String)> {
    vec![
        ("Model", MODEL.to_owned()),
        ("Token-Count", "646,70".to_owned()),
        ("Prompt-Prefix", format!("5c1e07a2:155,{:x}:491", 0x1000 + number)),
    ]
}

pub fn play(folder: &Path, record: &Record, has_trouble: bool) -> Verdict {
    let ips: Vec<String> = (1..=3).map(|index| format!("127.0.59.{index}")).collect();
    let (store, store_address) = Store::start("127.0.59.100");
    store.put("config", "main", config());
    let workers: Vec<Arc<Worker>> = (1..=3)
        .map(|index| {
            Worker::start(worker(index), &format!("127.0.59.{}", 10 + index), &store, record)
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
    let address: SocketAddr = gateways[0].frontend;
    thread::sleep(Duration::from_secs(4));

    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || {
                let id = format!("s{number:04}");
                let request = Request {
                    id: &id,
                    key: KEY,
                    method: "POST",
                    target: "/brief/lead",
                    headers: headers(number),
                    deadline_ms: DEADLINE_MS,
                    gap_ms: GAP_MS,
                    leave_after: None,
                };
                record.note(&format!("{id} is sent to {address}"));
                let answer = send(address, &request);
                record.note(&format!(
                    "{id} ends: status {}, {} events, whole {}, {}",
                    answer.status,
                    answer.events.len(),
                    answer.is_whole,
                    answer.error
                ));
                answer
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(350));
    workers.iter().for_each(|worker| worker.state_no_end());
    record.note("streams that begin from now on end with their connection; edge-0 gets SIGTERM");
    gateways[0].signal("TERM");
    if has_trouble {
        workers[2].fall_silent(SILENCE);
    }
    let answers: Vec<_> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    if gateways.iter_mut().skip(1).any(Gateway::has_ended) {
        record.note("a machine's process has ended");
        return Verdict::CannotRun;
    }
    let begun = answers.iter().filter(|answer| !answer.events.is_empty()).count();
    let lost: Vec<usize> = answers
        .iter()
        .filter(|answer| !answer.events.is_empty() && !answer.is_whole)
        .map(|answer| answer.events.len())
        .collect();
    record.note(&format!(
        "{begun} streams began, {} of them ended without a complete answer, with {lost:?} of {EVENTS} events",
        lost.len()
    ));
    if begun < STREAMS {
        return Verdict::CannotRun;
    }
    if lost.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}

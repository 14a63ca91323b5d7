//! A machine freezes with streams of the only version; a release begins before their clients take
//! them up again at the other machines.

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

/// Streams at the machine that freezes, and those whose clients leave a sound machine.
const AT_FROZEN: usize = 18;
const LEAVERS: usize = 4;
const EVENTS: u64 = 30;
const PAUSE_MS: u64 = 300;
const DEADLINE_MS: u64 = 11_000;
/// The longest of two seconds, four times the objective and eight times the longest pause.
const GAP_MS: u64 = 3_200;
const FREEZE_MS: u64 = 4_000;
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

fn worker(index: usize, version: &str) -> Description {
    Description {
        id: format!("i-{index:04}"),
        service: "models".to_owned(),
        version: version.to_owned(),
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

/// A client's first attempt, and its second one if the first broke off after its first event.
fn stream(
    record: &Record,
    number: usize,
    first: SocketAddr,
    next: SocketAddr,
    leave_after: Option<usize>,
) -> (Answer, Option<Answer>) {
    let id = format!("first{number:04}");
    let request = Request {
        id: &id,
        key: KEY,
        method: "POST",
        target: "/brief/lead",
        headers: headers(number),
        deadline_ms: DEADLINE_MS,
        gap_ms: GAP_MS,
        leave_after,
    };
    let begun = record.seconds();
    record.note(&format!("{id} is sent to {first}"));
    let answer = send(first, &request);
    record.note(&format!(
        "{id} ends: status {}, {} events, whole {}, {}",
        answer.status,
        answer.events.len(),
        answer.is_whole,
        answer.error
    ));
    let Some((last, _)) = answer.events.last().cloned().filter(|_| !answer.is_whole) else {
        return (answer, None);
    };
    let left_ms = DEADLINE_MS.saturating_sub(((record.seconds() - begun) * 1_000.0) as u64);
    let id_again = format!("again{number:04}");
    let mut all = headers(number);
    all.push(("Last-Event-Id", last.to_string()));
    all.push(("Resumes", id.clone()));
    let request = Request {
        id: &id_again,
        key: KEY,
        method: "POST",
        target: "/brief/lead",
        headers: all,
        deadline_ms: left_ms,
        gap_ms: GAP_MS,
        leave_after: None,
    };
    record.note(&format!("{id_again} takes {id} up after event {last} at {next}"));
    let again = send(next, &request);
    record.note(&format!(
        "{id_again} ends: status {}, {} events, whole {}, {} {}",
        again.status,
        again.events.len(),
        again.is_whole,
        again.error,
        again.body
    ));
    (answer, Some(again))
}

pub fn play(folder: &Path, record: &Record, has_trouble: bool) -> Verdict {
    let ips: Vec<String> = (1..=3).map(|index| format!("127.0.51.{index}")).collect();
    let (store, store_address) = Store::start("127.0.51.100");
    store.put("config", "main", config());
    let workers: Vec<Arc<Worker>> = (1..=9)
        .map(|index| {
            Worker::start(worker(index, "v1"), &format!("127.0.51.{}", 10 + index), &store, record)
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

    // Ordinary traffic, for longer than the machines remember streams.
    for number in 0..32 {
        let (record, address) = (record.clone(), addresses[number % 3]);
        thread::spawn(move || stream(&record, 1_000 + number, address, address, None));
        thread::sleep(Duration::from_secs(1));
    }

    let frozen_streams: Arc<Mutex<Vec<(Answer, Option<Answer>)>>> = Arc::default();
    let mut clients = Vec::new();
    for number in 0..AT_FROZEN + LEAVERS {
        let is_leaver = number >= AT_FROZEN;
        let first = addresses[if is_leaver { 1 } else { 0 }];
        let next = addresses[if is_leaver { 2 } else { 1 + number % 2 }];
        let leave_after = is_leaver.then_some(15);
        let (record, results) = (record.clone(), Arc::clone(&frozen_streams));
        clients.push(thread::spawn(move || {
            let result = stream(&record, number, first, next, leave_after);
            results.lock().expect("no panic").push(result);
        }));
    }
    thread::sleep(Duration::from_millis(1_500));
    if has_trouble {
        record.note("edge-0 freezes");
        gateways[0].signal("STOP");
    }
    thread::sleep(Duration::from_millis(1_000));
    record.note("a release begins: the first new worker starts");
    let new_worker = Worker::start(worker(10, "v2"), "127.0.51.20", &store, record);

    // New streams, at the machines that don't freeze.
    thread::sleep(Duration::from_millis(1_800));
    let new_streams: Arc<Mutex<Vec<Answer>>> = Arc::default();
    for number in 0..24 {
        let (recorded, address) = (record.clone(), addresses[1 + number % 2]);
        let results = Arc::clone(&new_streams);
        clients.push(thread::spawn(move || {
            let (answer, _) = stream(&recorded, 2_000 + number, address, address, None);
            results.lock().expect("no panic").push(answer);
        }));
        if number == 5 && has_trouble {
            thread::sleep(Duration::from_millis(FREEZE_MS.saturating_sub(2_800 + 6 * 50)));
            record.note("edge-0 thaws");
            gateways[0].signal("CONT");
        }
        thread::sleep(Duration::from_millis(50));
    }
    for client in clients {
        let _ = client.join();
    }
    if gateways.iter_mut().any(Gateway::has_ended) {
        record.note("a machine's process has ended");
        return Verdict::CannotRun;
    }

    let streams = frozen_streams.lock().expect("no panic").clone();
    let taken_up: Vec<&Answer> = streams.iter().filter_map(|(_, again)| again.as_ref()).collect();
    let goes_on = |again: &&&Answer| again.status == 200 && !again.events.is_empty();
    let gone_on = taken_up.iter().filter(goes_on).count();
    let new = new_streams.lock().expect("no panic").clone();
    let begun =
        new.iter().filter(|answer| answer.status == 200 && !answer.events.is_empty()).count();
    let mixed = streams.iter().filter(|(first, again)| {
        let versions = first.events.iter().chain(again.iter().flat_map(|again| &again.events));
        let mut versions: Vec<&str> =
            versions.filter_map(|(_, data)| data.split('/').next()).collect();
        versions.sort_unstable();
        versions.dedup();
        versions.len() > 1
    });
    record.note(&format!(
        "{} streams were taken up again, {gone_on} of them went on; {begun} of {} new streams began; \
         {} streams hold two versions; workers of v1: {}, of v2: {}",
        taken_up.len(),
        new.len(),
        mixed.count(),
        workers.len(),
        new_worker.what.version
    ));
    let share = gone_on as f64 / taken_up.len().max(1) as f64;
    let begun_share = begun as f64 / new.len().max(1) as f64;
    if taken_up.len() >= 12 && share < begun_share / 2.0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

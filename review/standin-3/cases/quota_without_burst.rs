//! A new configuration gives a tenant a rate and states no burst.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use super::limits;
use crate::client::{send, Request, HOST, KEY};
use crate::gateway::{wait_until_ready, Gateway, Ports};
use crate::json::{number, object, text, Json};
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Description, Worker};
use crate::Verdict;

const PILOTS_KEY: &str = "p0123456789abcdef";
/// The rate of the second tenant in tokens, thirty times what it asks for.
const RATE_PER_S: f64 = 30_000.0;
const BURST: f64 = 30_000.0;
/// The tokens of a request that states none.
const UNCACHED_TOKENS: u32 = 200;
const PER_S: f64 = 5.0;
const SECONDS: f64 = 40.0;

fn config(version: u32, quota: &[(&str, f64)]) -> Json {
    let tenant = |name: &str, key: &str, quota: &[(&str, f64)]| {
        let mut fields = vec![
            ("Name".to_owned(), text(name)),
            ("ApiKeys".to_owned(), Json::List(vec![text(key)])),
        ];
        if !quota.is_empty() {
            fields.push(("Unit".to_owned(), text("token_rate")));
            fields.push(("UncachedTokens".to_owned(), number(UNCACHED_TOKENS)));
        }
        fields.extend(quota.iter().map(|(name, value)| ((*name).to_owned(), number(*value))));
        Json::Object(fields)
    };
    object([
        ("Version", number(version)),
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
        (
            "Tenants",
            Json::List(vec![tenant("ferries", KEY, &[]), tenant("pilots", PILOTS_KEY, quota)]),
        ),
        ("Limits", limits()),
    ])
}

fn worker(index: usize) -> Description {
    Description {
        id: format!("i-{index:04}"),
        service: "desk".to_owned(),
        version: "v1".to_owned(),
        zone: format!("z{index}"),
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

pub fn play(folder: &Path, record: &Record, has_trouble: bool) -> Verdict {
    let ips: Vec<String> = (1..=3).map(|index| format!("127.0.58.{index}")).collect();
    let (store, store_address) = Store::start("127.0.58.100");
    store.put("config", "main", config(3, &[]));
    let _workers: Vec<Arc<Worker>> = (0..3)
        .map(|index| {
            Worker::start(worker(index), &format!("127.0.58.{}", 10 + index), &store, record)
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
    let end = record.seconds() + SECONDS;
    let statuses: Arc<Mutex<Vec<(&str, u16)>>> = Arc::default();
    let mut clients = Vec::new();
    for (tenant, key) in [("ferries", KEY), ("pilots", PILOTS_KEY)] {
        let (record, statuses, addresses) =
            (record.clone(), Arc::clone(&statuses), addresses.clone());
        clients.push(thread::spawn(move || {
            let mut number = 0;
            while record.seconds() < end {
                let id = format!("{tenant}-{number:04}");
                let request = Request {
                    id: &id,
                    key,
                    method: "GET",
                    target: &format!("/fetch/{number}"),
                    headers: Vec::new(),
                    deadline_ms: 3_000,
                    gap_ms: 3_000,
                    leave_after: None,
                };
                let answer = send(addresses[number % addresses.len()], &request);
                record
                    .note(&format!("{id} gets {} {} {}", answer.status, answer.body, answer.error));
                statuses.lock().expect("no panic").push((tenant, answer.status));
                number += 1;
                thread::sleep(Duration::from_secs_f64(1.0 / PER_S));
            }
        }));
    }
    thread::sleep(Duration::from_secs(3));
    let rate = ("RatePerS", RATE_PER_S);
    let quota = if has_trouble { vec![rate] } else { vec![rate, ("Burst", BURST)] };
    store.put("config", "main", config(5, &quota));
    record.note(&format!("the configuration gives pilots {quota:?}"));
    for client in clients {
        let _ = client.join();
    }
    if gateways.iter_mut().any(Gateway::has_ended) {
        record.note("a machine's process has ended");
        return Verdict::CannotRun;
    }
    let statuses = statuses.lock().expect("no panic");
    let share = |tenant: Option<&str>| {
        let of_tenant =
            statuses.iter().filter(|(name, _)| tenant.is_none_or(|tenant| tenant == *name));
        let (asked, served) = of_tenant.fold((0, 0), |(asked, served), (_, status)| {
            (asked + 1, served + u32::from(*status == 200))
        });
        f64::from(served) / f64::from(asked.max(1))
    };
    let (all, pilots) = (share(None), share(Some("pilots")));
    record.note(&format!("{pilots:.2} of the requests of pilots were served, {all:.2} of all"));
    if pilots < all / 4.0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

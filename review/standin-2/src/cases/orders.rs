//! Many disruptions of machines, store and workers that a seed fixes, while models and adapters are
//! ordered. Judged are ONE and LIMIT. This is no case; it looks for one.

use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::engine::{Engine, Limits, Ordered};
use crate::gateway::{Gateway, Machine, Ports};
use crate::random;
use crate::record::Record;
use crate::store::Store;
use crate::streams;

const SERVICE: &str = "brief-models";
const LEASE_MS: u64 = 3_000;
const THAW_MS: u64 = 300;
const MODELS: usize = 12;
const HOSTS: usize = 3;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn size_mb(number: usize) -> u64 {
    if number % 3 == 0 { 65_100 } else { 72_700 }
}

fn configuration() -> String {
    let route = format!(
        r#"{{"Name":"brief","Host":"site.example","PathPrefix":"/brief/","Type":"streaming","TimeoutMs":5000,"SloMs":2000,"Priority":0,"Service":"{SERVICE}","MaxAttempts":2,"Public":true,"Resumable":true,"GapTargetMs":400}}"#
    );
    let model = |number| {
        format!(
            r#"{{"Name":"m{number}","WeightsMb":{},"LoadS":0.8,"WarmS":0.4,"DiskLoadS":0.52,"Adapters":6,"AdapterMb":900}}"#,
            size_mb(number)
        )
    };
    let models: Vec<String> = (0..MODELS).map(model).collect();
    let engine = format!(
        r#","Engine":{{"KvCapacity":251172,"WeightsMb":220000,"AdapterSlots":4,"LoadsPerS":20,"Models":[{}]}}}}],"Tenants""#,
        models.join(",")
    );
    super::configuration(&route, SERVICE).replace("}],\"Tenants\"", &engine)
}

struct Host {
    machine: Machine,
    store: SocketAddr,
    gateway: Mutex<Option<Gateway>>,
    thawed_at: Mutex<Vec<Instant>>,
}

pub fn run(record: &Record, seconds: u64, seed: u64) -> Verdict {
    random::seed(seed);
    let store = Store::start(record);
    store.put("config", "main", &configuration());
    let limits = Limits {
        service: SERVICE.to_owned(),
        models: (0..MODELS).map(|number| (format!("m{number}"), size_mb(number))).collect(),
        adapter_mb: 900,
        weights_mb: 220_000,
        adapter_slots: 4,
        load: ms(400),
    };
    let engines: Arc<Mutex<Vec<Engine>>> = Arc::new(Mutex::new(
        (0..3)
            .map(|number| {
                let models: Vec<String> =
                    (0..3).map(|slot| format!("m{}", number * 3 + slot)).collect();
                let models: Vec<&str> = models.iter().map(String::as_str).collect();
                Engine::start(
                    &format!("i-aa0000000{number}"),
                    "zone-a",
                    &models,
                    &limits,
                    &store,
                    record,
                )
            })
            .collect(),
    ));
    let ips: Vec<IpAddr> = (1..=HOSTS)
        .map(|number| format!("127.0.0.{number}").parse().expect("an address"))
        .collect();
    let ports = Ports::find(&ips);
    let hosts: Arc<Vec<Host>> = Arc::new(
        ips.iter()
            .enumerate()
            .map(|(index, ip)| {
                let address = store.further_address();
                let machine = Machine {
                    node_name: format!("edge-a-{index}"),
                    ip: *ip,
                    zone: "zone-a".to_owned(),
                };
                let gateway = Gateway::start(&machine, ports, address, record, true);
                Host {
                    machine,
                    store: address,
                    gateway: Mutex::new(Some(gateway)),
                    thawed_at: Mutex::default(),
                }
            })
            .collect(),
    );
    let ends = Arc::new(AtomicBool::new(false));
    {
        let (hosts, ends, record) = (Arc::clone(&hosts), Arc::clone(&ends), record.clone());
        thread::spawn(move || {
            for number in 0_usize.. {
                if ends.load(Ordering::SeqCst) {
                    return;
                }
                let host = &hosts[number % HOSTS];
                let address = SocketAddr::new(host.machine.ip, ports.frontend);
                let record = record.clone();
                thread::spawn(move || {
                    let id = format!("9c41d07be2a3{number:06x}");
                    let model = random::below(MODELS as u64);
                    let model = match random::below(2) {
                        0 => format!("m{model}"),
                        _ => format!("m{model}/a{}", 1 + random::below(6)),
                    };
                    streams::request_with(address, "/brief/2f", &id, &[("model", &model)], &record);
                });
                thread::sleep(ms(60));
            }
        });
    }
    thread::sleep(ms(2_000));
    let until = Instant::now() + Duration::from_secs(seconds);
    let mut all = engines.lock().unwrap().clone();
    while Instant::now() < until {
        disrupt(record, &store, &engines, &hosts, ports, &limits, &mut all);
        thread::sleep(ms(200 + random::below(2_500)));
    }
    ends.store(true, Ordering::SeqCst);
    thread::sleep(ms(500));
    for host in hosts.iter() {
        drop(host.gateway.lock().unwrap().take());
    }
    judge(record, &all, &hosts)
}

fn disrupt(
    record: &Record,
    store: &Store,
    engines: &Arc<Mutex<Vec<Engine>>>,
    hosts: &Arc<Vec<Host>>,
    ports: Ports,
    limits: &Limits,
    all: &mut Vec<Engine>,
) {
    let host = random::below(HOSTS as u64) as usize;
    let later = {
        let (store, record) = (store.clone(), record.clone());
        move |after: Duration, what: Box<dyn FnOnce(&Store, &Record) + Send>| {
            thread::spawn(move || {
                thread::sleep(after);
                what(&store, &record);
            });
        }
    };
    match random::below(9) {
        0 | 1 => {
            let name = if random::below(2) == 0 { "KILL" } else { "TERM" };
            let Some(mut gateway) = hosts[host].gateway.lock().unwrap().take() else { return };
            let (hosts, down) = (Arc::clone(hosts), ms(100 + random::below(2_000)));
            let record = record.clone();
            thread::spawn(move || {
                gateway.signal(name);
                gateway.wait_end();
                thread::sleep(down);
                let known = &hosts[host];
                let started = Gateway::start(&known.machine, ports, known.store, &record, false);
                *known.gateway.lock().unwrap() = Some(started);
            });
        }
        2 | 3 => {
            let Some(gateway) = hosts[host].gateway.lock().unwrap().take() else { return };
            let (hosts, length) = (Arc::clone(hosts), ms(300 + random::below(6_000)));
            thread::spawn(move || {
                gateway.signal("STOP");
                thread::sleep(length);
                hosts[host].thawed_at.lock().unwrap().push(Instant::now());
                gateway.signal("CONT");
                *hosts[host].gateway.lock().unwrap() = Some(gateway);
            });
        }
        4 => {
            let is_silent = random::below(2) == 0;
            store.trouble(|trouble| {
                trouble.is_silent = is_silent;
                trouble.is_busy = !is_silent;
            });
            later(
                ms(500 + random::below(5_500)),
                Box::new(|store, _| {
                    store.trouble(|trouble| {
                        trouble.is_silent = false;
                        trouble.is_busy = false;
                    });
                }),
            );
        }
        5 => {
            store.trouble(|trouble| trouble.late_writes = 3);
            later(
                ms(1_000 + random::below(5_000)),
                Box::new(|store, _| {
                    store.trouble(|trouble| trouble.late_writes = 0);
                }),
            );
        }
        6 => {
            let port = hosts[host].store.port();
            store.trouble(|trouble| trouble.cut_ports.push(port));
            later(
                ms(1_000 + random::below(6_000)),
                Box::new(move |store, _| {
                    store.trouble(|trouble| trouble.cut_ports.retain(|cut| *cut != port));
                }),
            );
        }
        7 => {
            let age = ms(1_000 + random::below(11_000));
            store.trouble(|trouble| trouble.is_silent = true);
            let again = ms(random::below(1_000));
            later(
                ms(300 + random::below(1_200)),
                Box::new(move |store, _| {
                    let lost = store.restore(age);
                    store.trouble(|trouble| trouble.is_silent = false);
                    thread::sleep(again);
                    for (kind, name, spec) in lost {
                        store.put(&kind, &name, &spec);
                    }
                }),
            );
        }
        _ => {
            let mut engines = engines.lock().unwrap();
            let index = random::below(engines.len() as u64) as usize;
            match random::below(3) {
                0 => {
                    let known = engines[index].clone();
                    known.crash();
                    thread::sleep(ms(300));
                    let engine = Engine::start_at(
                        Some(known.address),
                        &known.id,
                        "zone-a",
                        &[],
                        limits,
                        store,
                        record,
                    );
                    engines[index] = engine.clone();
                    all.push(engine);
                }
                _ => {
                    for engine in engines.iter() {
                        engine.set_late_orders(2);
                    }
                    let engines: Vec<Engine> = engines.clone();
                    later(
                        ms(3_000 + random::below(4_000)),
                        Box::new(move |_, _| {
                            for engine in &engines {
                                engine.set_late_orders(0);
                            }
                        }),
                    );
                }
            }
        }
    }
}

fn judge(record: &Record, engines: &[Engine], hosts: &[Host]) -> Verdict {
    let mut found = Vec::new();
    let is_thaw = |order: &Ordered| {
        hosts.iter().any(|host| {
            let thawed = host.thawed_at.lock().unwrap();
            host.machine.ip == order.from
                && thawed.iter().any(|at| order.at >= *at && order.at < *at + ms(THAW_MS))
        })
    };
    let mut count = 0;
    for engine in engines {
        found.extend(engine.overloads().iter().map(|text| format!("LIMIT {}: {text}", engine.id)));
        let orders: Vec<Ordered> =
            engine.orders().into_iter().filter(|order| !is_thaw(order)).collect();
        count += orders.len();
        for pair in orders.windows(2) {
            let [before, after] = pair else { continue };
            if after.token < before.token {
                found.push(format!(
                    "ONE {}: token {} after {}",
                    engine.id, after.token, before.token
                ));
            }
            if before.from != after.from {
                let gap = after.at.duration_since(before.at);
                if after.token == before.token {
                    found
                        .push(format!("ONE {}: two holders with token {}", engine.id, after.token));
                }
                if gap < ms(LEASE_MS) {
                    found.push(format!(
                        "ONE {}: {} after {} within {gap:?}",
                        engine.id, after.from, before.from
                    ));
                }
            }
        }
    }
    record.say(&format!("{count} orders, {} violations", found.len()));
    for text in &found {
        record.say(text);
    }
    if found.is_empty() { Verdict::Held } else { Verdict::Broken }
}

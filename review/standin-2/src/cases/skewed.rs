//! Many disruptions that a seed fixes while workers of two software versions serve and callers
//! resume their streams. Judged are ORDER and TWICE. This is no case; it looks for one.

use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::gateway::{Gateway, Machine, Ports};
use crate::random;
use crate::record::Record;
use crate::store::Store;
use crate::streams::{self, Events};
use crate::worker::{Behaviour, Life, Start};

const SERVICE: &str = "brief-models";
const ROUTE: &str = r#"{"Name":"brief","Host":"site.example","PathPrefix":"/brief/","Type":"streaming","TimeoutMs":8000,"SloMs":400,"Priority":0,"Service":"brief-models","MaxAttempts":3,"Public":true,"Resumable":true,"GapTargetMs":400}"#;
const HOSTS: usize = 3;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

struct Host {
    machine: Machine,
    store: SocketAddr,
    gateway: Mutex<Option<Gateway>>,
}

pub fn run(record: &Record, seconds: u64, seed: u64) -> Verdict {
    random::seed(seed);
    let store = Store::start(record);
    store.put("config", "main", &super::configuration(ROUTE, SERVICE));
    let events: Arc<dyn Behaviour> =
        Arc::new(Events { count: 20, first: ms(60), gap: ms(100), breaks: 60 });
    let start = {
        let (store, record) = (store.clone(), record.clone());
        move |id: &str, version: &str, address: Option<SocketAddr>| {
            let start = Start {
                id,
                service: SERVICE,
                version,
                zone: "zone-a",
                address,
                first_beat: ms(0),
                slots: 24,
            };
            Life::start(&start, &store, &record, Arc::clone(&events))
        }
    };
    let workers: Arc<Mutex<Vec<Life>>> = Arc::new(Mutex::new(
        (0..4).map(|number| start(&format!("i-aa0000000{number}"), "v1", None)).collect(),
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
                    zone: format!("zone-{index}"),
                };
                let gateway = Gateway::start(&machine, ports, address, record, true);
                Host { machine, store: address, gateway: Mutex::new(Some(gateway)) }
            })
            .collect(),
    );
    thread::sleep(ms(2_000));
    let ends = Arc::new(AtomicBool::new(false));
    let found: Arc<Mutex<Vec<String>>> = Arc::default();
    let counts: Arc<Mutex<(u64, u64, u64)>> = Arc::default();
    let callers: Vec<_> = (0..24_u64)
        .map(|caller| {
            let (ends, record, ips) = (Arc::clone(&ends), record.clone(), ips.clone());
            let (found, counts) = (Arc::clone(&found), Arc::clone(&counts));
            thread::spawn(move || {
                let mut number = 0_u64;
                while !ends.load(Ordering::SeqCst) {
                    number += 1;
                    let id = format!("{caller:04x}{number:08x}");
                    call(&id, &ips, ports, &record, &found, &counts);
                    thread::sleep(ms(random::below(200)));
                }
            })
        })
        .collect();
    let until = Instant::now() + Duration::from_secs(seconds);
    let mut last = 100;
    while Instant::now() < until {
        disrupt(record, &store, &workers, &hosts, ports, &start, &mut last);
        thread::sleep(ms(200 + random::below(1_800)));
    }
    ends.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    for host in hosts.iter() {
        drop(host.gateway.lock().unwrap().take());
    }
    let found = found.lock().unwrap();
    let (whole, resumed, refused) = *counts.lock().unwrap();
    record.say(&format!(
        "{whole} whole, {resumed} resumed by callers, {refused} of these refused, {} violations",
        found.len()
    ));
    for text in found.iter().take(6) {
        record.say(text);
    }
    if found.is_empty() { Verdict::Held } else { Verdict::Broken }
}

fn call(
    id: &str,
    ips: &[IpAddr],
    ports: Ports,
    record: &Record,
    found: &Mutex<Vec<String>>,
    counts: &Mutex<(u64, u64, u64)>,
) {
    let any = || {
        let ip = ips[random::below(ips.len() as u64) as usize];
        SocketAddr::new(ip, ports.frontend)
    };
    let until = (random::below(3) == 0).then(|| Instant::now() + ms(random::below(2_000)));
    let first = streams::request_until(any(), "/brief/2f", id, &[], until, record);
    let mut events = first.events.clone();
    let mut is_whole = first.is_whole && first.status == 200;
    let mut tries = 0;
    while !events.is_empty() && !is_whole && tries < 2 {
        tries += 1;
        let after = events.last().map_or(0, |(id, _)| *id).to_string();
        let try_id = format!("{id}{tries:04x}");
        let headers = [("last-event-id", after.as_str()), ("resumes", id)];
        let next = streams::request_until(any(), "/brief/2f", &try_id, &headers, None, record);
        let mut counts = counts.lock().unwrap();
        counts.1 += 1;
        counts.2 += u64::from(next.status != 200);
        events.extend(next.events.clone());
        is_whole = next.is_whole && next.status == 200;
    }
    counts.lock().unwrap().0 += u64::from(is_whole);
    let ids: Vec<u64> = events.iter().map(|(id, _)| *id).collect();
    let expected: Vec<u64> = (1..=ids.len() as u64).collect();
    let mut versions: Vec<&str> =
        events.iter().map(|(_, data)| data.split(' ').next().unwrap_or("")).collect();
    versions.sort_unstable();
    versions.dedup();
    if ids != expected {
        found.lock().unwrap().push(format!("ORDER {id}: events {ids:?}"));
    }
    if is_whole && ids.len() != 20 {
        found.lock().unwrap().push(format!("ORDER {id}: whole with {} events", ids.len()));
    }
    if versions.len() > 1 {
        found.lock().unwrap().push(format!("ORDER {id}: {events:?}"));
    }
}

fn disrupt(
    record: &Record,
    store: &Store,
    workers: &Arc<Mutex<Vec<Life>>>,
    hosts: &Arc<Vec<Host>>,
    ports: Ports,
    start: &(impl Fn(&str, &str, Option<SocketAddr>) -> Life + Clone + Send + 'static),
    last: &mut u64,
) {
    let host = random::below(HOSTS as u64) as usize;
    let later = |after: Duration, what: Box<dyn FnOnce() + Send>| {
        thread::spawn(move || {
            thread::sleep(after);
            what();
        });
    };
    let version = if random::below(2) == 0 { "v1" } else { "v2" };
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
            let (hosts, length) = (Arc::clone(hosts), ms(300 + random::below(4_000)));
            thread::spawn(move || {
                gateway.signal("STOP");
                thread::sleep(length);
                gateway.signal("CONT");
                *hosts[host].gateway.lock().unwrap() = Some(gateway);
            });
        }
        4 => {
            let port = hosts[host].store.port();
            store.trouble(|trouble| trouble.cut_ports.push(port));
            let store = store.clone();
            later(
                ms(1_000 + random::below(6_000)),
                Box::new(move || {
                    store.trouble(|trouble| trouble.cut_ports.retain(|cut| *cut != port));
                }),
            );
        }
        5 if random::below(2) == 0 => {
            let age = ms(1_000 + random::below(11_000));
            store.trouble(|trouble| trouble.is_silent = true);
            let again = ms(random::below(1_000));
            let store = store.clone();
            later(
                ms(300 + random::below(1_200)),
                Box::new(move || {
                    let lost = store.restore(age);
                    store.trouble(|trouble| trouble.is_silent = false);
                    thread::sleep(again);
                    for (kind, name, spec) in lost {
                        store.put(&kind, &name, &spec);
                    }
                }),
            );
        }
        5 => {
            store.trouble(|trouble| trouble.is_silent = true);
            let store = store.clone();
            later(
                ms(500 + random::below(5_000)),
                Box::new(move || {
                    store.trouble(|trouble| trouble.is_silent = false);
                }),
            );
        }
        6 => {
            let index = random::below(workers.lock().unwrap().len() as u64) as usize;
            let known = workers.lock().unwrap()[index].clone();
            if known.is_stopped() {
                return;
            }
            known.crash();
            let (workers, start) = (Arc::clone(workers), start.clone());
            later(
                ms(1_000 + random::below(2_000)),
                Box::new(move || {
                    let mut workers = workers.lock().unwrap();
                    if workers[index].born == known.born {
                        workers[index] = start(&known.id, &known.version, Some(known.address));
                    }
                }),
            );
        }
        _ => {
            *last += 1;
            let new = start(&format!("i-bb{last:08}"), version, None);
            let index = random::below(workers.lock().unwrap().len() as u64) as usize;
            let old = std::mem::replace(&mut workers.lock().unwrap()[index], new);
            old.drain();
            later(ms(2_500 + random::below(2_000)), Box::new(move || old.leave()));
        }
    }
}

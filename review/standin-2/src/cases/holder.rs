//! The machine that holds the lease is killed soon after the deployment has started, while one
//! software version serves, and callers take its streams up at the other machines.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::gateway::{Gateway, Machine, Ports};
use crate::record::Record;
use crate::store::Store;
use crate::streams::{Events, Got, request_until};
use crate::worker::{Behaviour, Life, Start};

const SERVICE: &str = "brief-models";
const ROUTE: &str = r#"{"Name":"brief","Host":"site.example","PathPrefix":"/brief/","Type":"streaming","TimeoutMs":11000,"SloMs":2000,"Priority":0,"Service":"brief-models","MaxAttempts":2,"Public":true,"Resumable":true,"GapTargetMs":400}"#;
const HOSTS: usize = 3;
const STREAMS: usize = 24;
/// Traffic starts so long after the machines.
const BEFORE: Duration = Duration::from_secs(10);
/// When the machine is killed, after the streams have begun.
const KILLED_AFTER: Duration = Duration::from_millis(1_500);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let store = Store::start(record);
    store.put("config", "main", &super::configuration(ROUTE, SERVICE));
    let events: Arc<dyn Behaviour> =
        Arc::new(Events { count: 40, first: ms(60), gap: ms(150), breaks: 0 });
    let _workers: Vec<Life> = (0..4)
        .map(|number| {
            let id = format!("i-7f3a91c{number}");
            let start = Start {
                id: &id,
                service: SERVICE,
                version: "v1",
                zone: "zone-a",
                address: None,
                first_beat: ms(0),
                slots: 64,
            };
            Life::start(&start, &store, record, Arc::clone(&events))
        })
        .collect();
    let ips: Vec<IpAddr> = (1..=HOSTS)
        .map(|number| format!("127.0.0.{number}").parse().expect("an address"))
        .collect();
    let ports = Ports::find(&ips);
    let stores: Vec<SocketAddr> = ips.iter().map(|_| store.further_address()).collect();
    let start = |index: usize| {
        let machine = Machine {
            node_name: format!("edge-a-{index}"),
            ip: ips[index],
            zone: format!("zone-{index}"),
        };
        Gateway::start(&machine, ports, stores[index], record, true)
    };
    let mut gateways: Vec<Gateway> = (0..HOSTS).map(start).collect();
    let addresses: Vec<SocketAddr> =
        ips.iter().map(|ip| SocketAddr::new(*ip, ports.frontend)).collect();
    thread::sleep(BEFORE);

    // The machine that wrote the lease last. With OTHER=1, which isn't the case, another one.
    let writer = store.last_writer("leases").expect("a machine holds the lease");
    let holder = stores.iter().position(|store| store.port() == writer).expect("it has a store");
    record.line(&format!("gateway edge-a-{holder} wrote the lease last"));
    let victim = (holder + usize::from(std::env::var("OTHER").is_ok())) % HOSTS;
    let until = (!has_trouble).then(|| Instant::now() + KILLED_AFTER);
    let callers: Vec<JoinHandle<Option<(Got, Got)>>> = (0..STREAMS)
        .map(|number| {
            let (record, addresses) = (record.clone(), addresses.clone());
            thread::sleep(ms(8));
            thread::spawn(move || call(number, victim, &addresses, until, &record))
        })
        .collect();
    thread::sleep(KILLED_AFTER);
    if has_trouble {
        let mut killed = gateways.remove(victim);
        killed.signal("KILL");
        killed.wait_end();
    }
    let pairs: Vec<(Got, Got)> =
        callers.into_iter().filter_map(|caller| caller.join().ok().flatten()).collect();
    let is_served = |got: &Got| got.status == 200 && !got.events.is_empty();
    let went_on = pairs.iter().filter(|(resumed, _)| is_served(resumed)).count();
    let began_new = pairs.iter().filter(|(_, new)| is_served(new)).count();
    record.say(&format!(
        "{went_on} of {} streams that callers took up went on, {began_new} of as many new ones began",
        pairs.len()
    ));
    assert!(pairs.len() >= 12, "too few streams were taken up");
    // The rule: the share that goes on is under half of the share of new streams that begin.
    if went_on * 2 < began_new { Verdict::Broken } else { Verdict::Held }
}

/// Reads a stream of one machine. When it is broken off, takes it up at another one, and begins a
/// new one there.
fn call(
    number: usize,
    victim: usize,
    addresses: &[SocketAddr],
    until: Option<Instant>,
    record: &Record,
) -> Option<(Got, Got)> {
    let id = format!("9c41d07be2a3{number:04x}");
    let first = request_until(addresses[victim], "/brief/2f", &id, &[], until, record);
    let after = first.events.last().map(|(id, _)| id.to_string())?;
    if first.is_whole {
        return None;
    }
    let other = addresses[(victim + 1 + number % (HOSTS - 1)) % HOSTS];
    let headers = [("last-event-id", after.as_str()), ("resumes", &id)];
    let resumed = request_until(other, "/brief/2f", &format!("{id}01"), &headers, None, record);
    let new_id = format!("5be07d1422f0{number:04x}");
    let new = request_until(other, "/brief/short", &new_id, &[], None, record);
    Some((resumed, new))
}

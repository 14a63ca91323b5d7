//! All machines are killed at once while workers of two software versions serve, and callers take
//! their streams up when the machines are in touch again.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::gateway::{Gateway, Machine, Ports};
use crate::record::Record;
use crate::store::Store;
use crate::streams::{self, Events, Got};
use crate::worker::{Behaviour, Life, Start};

const SERVICE: &str = "brief-models";
const ROUTE: &str = r#"{"Name":"brief","Host":"site.example","PathPrefix":"/brief/","Type":"streaming","TimeoutMs":11000,"SloMs":2000,"Priority":0,"Service":"brief-models","MaxAttempts":2,"Public":true,"Resumable":true,"GapTargetMs":400}"#;
const HOSTS: usize = 3;
const STREAMS: usize = 24;
const DEADLINE: Duration = Duration::from_millis(11_000);
/// `StableWindowMs` of the site; a machine that was started that long ago is in touch.
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
/// The time between the kill and the start; the site's days have 570 ms and more.
const DOWN: Duration = Duration::from_millis(600);
/// How long the machines run before, so that they know the versions that serve.
const BEFORE: Duration = Duration::from_secs(35);

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
                version: if number < 2 { "v1" } else { "v2" },
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
    let start = |index: usize, is_bootstrap: bool| {
        let machine = Machine {
            node_name: format!("edge-a-{index}"),
            ip: ips[index],
            zone: format!("zone-{index}"),
        };
        Gateway::start(&machine, ports, store.address, record, is_bootstrap)
    };
    let mut gateways: Vec<Gateway> = (0..HOSTS).map(|index| start(index, true)).collect();
    for gateway in &gateways {
        gateway.wait_ready();
    }
    let address = |index: usize| SocketAddr::new(ips[index % HOSTS], ports.frontend);
    thread::sleep(ms(1_000));
    let warm: Vec<_> = (0..STREAMS)
        .map(|number| {
            begin(address(number), &format!("00000000be2a{number:04x}"), &[], None, record)
        })
        .collect();
    for caller in warm {
        let _ = caller.join();
    }
    thread::sleep(BEFORE);

    let began = Instant::now();
    let breaks_at = began + ms(1_500);
    let callers: Vec<_> = (0..STREAMS)
        .map(|number| {
            let until = (!has_trouble).then_some(breaks_at);
            begin(address(number), &format!("9c41d07be2a3{number:04x}"), &[], until, record)
        })
        .collect();
    thread::sleep(breaks_at.saturating_duration_since(Instant::now()));
    if has_trouble {
        for gateway in &gateways {
            gateway.signal("KILL");
        }
        for gateway in &mut gateways {
            gateway.wait_end();
        }
        thread::sleep(DOWN);
        gateways = (0..HOSTS).map(|index| start(index, false)).collect();
        for gateway in &gateways {
            gateway.wait_ready();
        }
    } else {
        thread::sleep(ms(1_000));
    }
    thread::sleep(STABLE_WINDOW + ms(1_000));
    let first: Vec<Got> =
        callers.into_iter().map(|caller| caller.join().unwrap_or_default()).collect();
    let left = DEADLINE.saturating_sub(began.elapsed()).as_millis().to_string();
    let resumed: Vec<_> = first
        .iter()
        .enumerate()
        .filter(|(_, got)| !got.events.is_empty() && !got.is_whole)
        .map(|(number, got)| {
            let after = got.events.last().map_or(0, |(id, _)| *id).to_string();
            let headers = [
                ("last-event-id", after.as_str()),
                ("resumes", got.id.as_str()),
                ("deadline-ms", left.as_str()),
            ];
            let id = format!("{}01", got.id);
            begin(address(number + 1), &id, &headers, None, record)
        })
        .collect();
    let new: Vec<_> = (0..STREAMS)
        .map(|number| {
            begin(address(number), &format!("5be07d1422f0{number:04x}"), &[], None, record)
        })
        .collect();
    let count = |callers: Vec<thread::JoinHandle<Got>>| {
        let total = callers.len();
        let got = callers.into_iter().map(|caller| caller.join().unwrap_or_default());
        (got.filter(|got| got.status == 200 && !got.events.is_empty()).count(), total)
    };
    let (went_on, taken_up) = count(resumed);
    let (began_new, new) = count(new);
    record.say(&format!(
        "{went_on} of {taken_up} streams that callers took up went on, {began_new} of {new} new ones began, with {left} ms left"
    ));
    assert!(taken_up >= 12, "too few streams were taken up");
    // The rule: the share that goes on is under half of the share of new streams that begin.
    if went_on * new * 2 < began_new * taken_up { Verdict::Broken } else { Verdict::Held }
}

/// Requests a stream in a thread of its own, a little after the one before.
fn begin(
    address: SocketAddr,
    id: &str,
    headers: &[(&str, &str)],
    until: Option<Instant>,
    record: &Record,
) -> thread::JoinHandle<Got> {
    thread::sleep(ms(8));
    let (id, record) = (id.to_owned(), record.clone());
    let headers: Vec<(String, String)> =
        headers.iter().map(|(name, value)| ((*name).to_owned(), (*value).to_owned())).collect();
    thread::spawn(move || {
        let headers: Vec<(&str, &str)> =
            headers.iter().map(|(name, value)| (name.as_str(), value.as_str())).collect();
        streams::request_until(address, "/brief/2f", &id, &headers, until, &record)
    })
}

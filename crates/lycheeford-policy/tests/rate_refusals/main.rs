//! Compares how many requests within the rate are refused by three schemes to share a bucket.
//!
//! One customer calls six hosts and sends four fifths of its requests through one of them, which
//! changes every minute. An ideal bucket on one host that never fails decides which requests are
//! within the rate. Messages take no time here: the figures show the effect of tokens at the wrong
//! host, not of latency. See docs/RATES.md.

mod ways;

use std::fmt::{self, Display};

use lycheeford_policy::{RateLimits, TimeMs};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::ways::{SharesWithLoans, SharingScheme, SingleOwner, StaticSplit, Ticket};

const HOSTS: usize = 6;
const LIMITS: RateLimits = RateLimits { rate_tokens_per_s: 10_000, burst_tokens: 60_000 };
const END_MS: u64 = 600_000;
/// How long the same host gets most of the requests.
const SKEW_MS: u64 = 60_000;

#[derive(Debug, Clone, Copy)]
enum Event {
    Request { host: usize, reserved: u64, used: u64, stream_ms: u64 },
    Crash { host: usize },
    Second,
}

#[derive(Debug, Clone, Copy)]
struct Scenario {
    name: &'static str,
    load_percent: u64,
    crash_every_ms: Option<u64>,
    store_down_from_ms: u64,
    store_down_until_ms: u64,
}

impl Scenario {
    fn store_is_up(&self, now: TimeMs) -> bool {
        !(self.store_down_from_ms..self.store_down_until_ms).contains(&now.as_ms())
    }
}

/// Returns the seeded trace of a scenario, in order of time.
fn trace(scenario: &Scenario, seed: u64) -> Vec<(u64, Event)> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut events = Vec::new();
    let mut now_ms = 0;
    while now_ms < END_MS {
        // A request uses 700 tokens on average.
        let mean_gap_ms = 700 * 100 * 1_000 / (LIMITS.rate_tokens_per_s * scenario.load_percent);
        now_ms += random.random_range(0..=2 * mean_gap_ms);
        let busiest = (now_ms / SKEW_MS) as usize % HOSTS;
        let host =
            if random.random_range(0..5) < 4 { busiest } else { random.random_range(0..HOSTS) };
        let used = random.random_range(200..=1_200);
        let reserved = used + random.random_range(0..=800);
        let stream_ms = random.random_range(500..=5_000);
        events.push((now_ms, Event::Request { host, reserved, used, stream_ms }));
    }
    events.extend((0..END_MS / 1_000).map(|second| (second * 1_000, Event::Second)));
    if let Some(every_ms) = scenario.crash_every_ms {
        let crash = |n: u64| (n * every_ms, Event::Crash { host: n as usize % HOSTS });
        events.extend((1..END_MS / every_ms).map(crash));
    }
    events.sort_by_key(|(at_ms, _)| *at_ms);
    events
}

/// A request whose tokens are delivered evenly until it ends.
struct Stream {
    ticket: Ticket,
    started_ms: u64,
    ends_ms: u64,
    spent: u64,
}

impl Stream {
    fn advance(&mut self, scheme: &mut dyn SharingScheme, now_ms: u64) {
        let passed_ms = now_ms - self.started_ms;
        let due = self.ticket.used * passed_ms / (self.ends_ms - self.started_ms);
        scheme.spend(TimeMs::from_ms(now_ms), &self.ticket, due - self.spent);
        self.spent = due;
    }
}

/// Returns for each request whether it was admitted.
fn run(scheme: &mut dyn SharingScheme, scenario: &Scenario, events: &[(u64, Event)]) -> Vec<bool> {
    let mut streams: Vec<Stream> = Vec::new();
    let mut admitted = Vec::new();
    for (at_ms, event) in events {
        let now = TimeMs::from_ms(*at_ms);
        for mut stream in streams.extract_if(.., |stream| stream.ends_ms <= *at_ms) {
            stream.advance(scheme, stream.ends_ms);
            scheme.finish(TimeMs::from_ms(stream.ends_ms), &stream.ticket);
        }
        match *event {
            Event::Request { host, reserved, used, stream_ms } => {
                let ticket = scheme.admit(now, host, reserved);
                admitted.push(ticket.is_some());
                streams.extend(ticket.map(|ticket| Stream {
                    ticket: ticket.with_used(used),
                    started_ms: *at_ms,
                    ends_ms: at_ms + stream_ms,
                    spent: 0,
                }));
            }
            Event::Crash { host } => scheme.crash(now, host),
            Event::Second => {
                for stream in &mut streams {
                    stream.advance(scheme, *at_ms);
                }
                scheme.every_second(now, scenario.store_is_up(now));
            }
        }
    }
    admitted
}

/// The results of a scheme, compared with the ideal bucket.
struct Figures {
    /// The part of the requests within the rate that was refused, in ppm.
    wrongful_ppm: u64,
    /// The admitted requests, in percent of the ideal bucket's.
    admitted_percent: u64,
}

impl Figures {
    fn new(within: &[bool], admitted: &[bool]) -> Figures {
        let count = |flags: &[bool]| flags.iter().filter(|flag| **flag).count() as u64;
        let is_wrongful: Vec<bool> =
            within.iter().zip(admitted).map(|(within, admitted)| *within && !admitted).collect();
        Figures {
            wrongful_ppm: count(&is_wrongful) * 1_000_000 / count(within),
            admitted_percent: count(admitted) * 100 / count(within),
        }
    }
}

impl Display for Figures {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.pad(&format!("{} ({}%)", self.wrongful_ppm, self.admitted_percent))
    }
}

struct Case {
    scenario: Scenario,
    /// The most requests within the rate that shares with loans may refuse, in ppm.
    bound_ppm: u64,
}

#[test]
fn shares_with_loans_refuse_least() {
    let skewed = Scenario {
        name: "skewed",
        load_percent: 85,
        crash_every_ms: None,
        store_down_from_ms: 0,
        store_down_until_ms: 0,
    };
    let cases = [
        Case { scenario: skewed, bound_ppm: 5_000 },
        Case {
            scenario: Scenario { name: "restarts", crash_every_ms: Some(60_000), ..skewed },
            bound_ppm: 6_500,
        },
        Case {
            scenario: Scenario {
                name: "store outage",
                store_down_from_ms: 120_000,
                store_down_until_ms: 300_000,
                ..skewed
            },
            bound_ppm: 4_000,
        },
        Case {
            scenario: Scenario { name: "three times the rate", load_percent: 300, ..skewed },
            bound_ppm: 480_000,
        },
    ];
    println!("wrongful refusals in ppm (requests admitted against an ideal bucket)");
    println!(
        "{:<22}{:>20}{:>20}{:>20}",
        "scenario", "static split", "one owner", "shares and loans"
    );
    for case in cases {
        let events = trace(&case.scenario, 7);
        let mut ideal = StaticSplit::new(1);
        let within = run(&mut ideal, &case.scenario, &without_crashes(&events));
        let mut owner = SingleOwner::new();
        let split = run(&mut StaticSplit::new(HOSTS), &case.scenario, &events);
        let single_owner = run(&mut owner, &case.scenario, &events);
        let shared = run(&mut SharesWithLoans::new(), &case.scenario, &events);
        let [split, single_owner, shared] =
            [split, single_owner, shared].map(|admitted| Figures::new(&within, &admitted));
        println!("{:<22}{split:>20}{single_owner:>20}{shared:>20}", case.scenario.name);
        assert!(shared.wrongful_ppm <= case.bound_ppm, "{shared} in {}", case.scenario.name);
    }
}

fn without_crashes(events: &[(u64, Event)]) -> Vec<(u64, Event)> {
    let is_crash = |event: &Event| matches!(event, Event::Crash { .. });
    events.iter().filter(|(_, event)| !is_crash(event)).copied().collect()
}

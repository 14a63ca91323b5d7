//! When a waiting request is expected to get a slot, from the slots that became free before.

use lycheeford_policy::{Chosen, HoldTimes, TargetEntry, TargetTable, WaitQueue};

use crate::world::{at, entry, name, need, queued, slot_claim};

/// Targets with one slot, whose requests each end `hold_ms` after they got it.
struct Replay {
    queue: WaitQueue,
    targets: TargetTable,
    hold_ms: u64,
    running: Vec<(u64, Chosen)>,
}

impl Replay {
    fn new(slots: u32, hold_ms: u64) -> Replay {
        let mut targets = TargetTable::default();
        targets.put(at(0), TargetEntry { slots, ..entry("t1", &["m1"]) });
        Replay { queue: WaitQueue::default(), targets, hold_ms, running: Vec::new() }
    }

    /// Adds requests that arrive at `now_ms`, with the ids from `first_id` on.
    fn push(&mut self, now_ms: u64, first_id: u64, count: u64) {
        for id in first_id..first_id + count {
            self.queue.push(at(now_ms), queued(slot_claim(id, now_ms), need("m1")));
            self.dispatch(now_ms);
        }
    }

    fn dispatch(&mut self, now_ms: u64) {
        for (_, chosen) in self.queue.dispatch(at(now_ms), &mut self.targets) {
            self.running.push((now_ms + self.hold_ms, chosen));
        }
    }

    /// Ends requests as their time comes.
    fn run_until(&mut self, from_ms: u64, until_ms: u64) {
        for now_ms in from_ms..until_ms {
            while let Some(index) = self.running.iter().position(|(end_ms, _)| *end_ms <= now_ms) {
                let (_, chosen) = self.running.remove(index);
                self.targets.ended(&chosen, Some(&name("m1")), 100);
                self.dispatch(now_ms);
            }
        }
    }

    /// Returns the forecast wait and the age of the forecast, for the last request in the queue.
    fn forecast(&self, now_ms: u64) -> Option<(u64, u64)> {
        let grant = self.queue.forecast_grant(at(now_ms), self.queue.waiting().last()?)?;
        Some((grant.granted_at.since_ms(at(now_ms)), grant.age_ms))
    }
}

struct ForecastCase {
    what: &'static str,
    slots: u32,
    hold_ms: u64,
    /// Requests that arrive at once.
    count: u64,
    at_ms: u64,
    /// The bounds of the forecast wait of the last request.
    wait_ms: Option<(u64, u64)>,
}

/// Guards against a forecast that rests on the demand, on too little, or on what was long ago.
#[test]
fn the_forecast_follows_the_slots_that_became_free() {
    let cases = [
        ForecastCase {
            what: "too few slots became free",
            slots: 1,
            hold_ms: 100,
            count: 20,
            at_ms: 250,
            wait_ms: None,
        },
        ForecastCase {
            what: "one slot, 14 requests left",
            slots: 1,
            hold_ms: 100,
            count: 20,
            at_ms: 501,
            wait_ms: Some((1_300, 1_500)),
        },
        ForecastCase {
            what: "four slots, 60 requests left",
            slots: 4,
            hold_ms: 100,
            count: 104,
            at_ms: 1_001,
            wait_ms: Some((1_400, 1_600)),
        },
        ForecastCase {
            what: "spare slots show the demand and not the capacity",
            slots: 30,
            hold_ms: 100,
            count: 20,
            at_ms: 501,
            wait_ms: None,
        },
    ];
    for case in cases {
        let mut replay = Replay::new(case.slots, case.hold_ms);
        replay.push(0, 1, case.count);
        replay.run_until(0, case.at_ms);
        let forecast_ms = replay.forecast(case.at_ms).map(|(wait_ms, _)| wait_ms);
        let is_expected = match (forecast_ms, case.wait_ms) {
            (Some(ms), Some((ms_min, ms_max))) => (ms_min..=ms_max).contains(&ms),
            (None, None) => true,
            _ => false,
        };
        assert!(is_expected, "{}: {forecast_ms:?}", case.what);
    }
}

/// Guards against refusals by the capacity of a time that is over.
#[test]
fn a_forecast_grows_while_no_slot_becomes_free_and_ends_after_some_seconds() {
    let mut replay = Replay::new(1, 100);
    replay.push(0, 1, 20);
    replay.run_until(0, 1_001);
    let (first_ms, age_ms) = replay.forecast(1_001).unwrap();
    assert_eq!(age_ms, 1);
    let (later_ms, age_ms) = replay.forecast(3_000).unwrap();
    assert!(later_ms > 2 * first_ms, "{first_ms} ms, then {later_ms} ms");
    assert_eq!(age_ms, 2_000);
    assert_eq!(replay.forecast(6_001), None);
}

/// Guards against a rate that counts the time in which nobody waited.
#[test]
fn pauses_between_bursts_do_not_count() {
    let mut replay = Replay::new(1, 100);
    for burst in 0..4 {
        let start_ms = burst * 1_000;
        replay.push(start_ms, burst * 10 + 1, 5);
        replay.run_until(start_ms, start_ms + 1_000);
    }
    replay.push(4_000, 50, 5);
    let (wait_ms, _) = replay.forecast(4_000).unwrap();
    assert!((300..=500).contains(&wait_ms), "{wait_ms} ms for the fourth in the queue");
    // The callers leave before a slot becomes free.
    for id in 51..55 {
        assert!(replay.queue.remove(id));
    }
    replay.run_until(4_000, 7_000);
    replay.push(7_000, 60, 5);
    let (wait_ms, _) = replay.forecast(7_000).unwrap();
    assert!((300..=500).contains(&wait_ms), "{wait_ms} ms after callers left");
}

#[test]
fn the_time_in_a_slot_is_learnt_by_route_and_size() {
    let mut hold_times = HoldTimes::default();
    let (service, other_service) = (name("models"), name("desk"));
    let (short, long, new) = (name("short"), name("long"), name("new"));
    assert_eq!(hold_times.known_ms(&service, &short, 0), None);
    for _ in 0..10 {
        hold_times.ended(&service, &short, 100, 50);
        hold_times.ended(&service, &long, 900, 0);
    }
    let cases = [
        ("like before", &service, &short, 50, 100.0),
        ("no tokens stated", &service, &short, 0, 100.0),
        ("twice the tokens", &service, &short, 100, 200.0),
        ("a bound for very large ones", &service, &short, 500_000, 2_000.0),
        ("a route without tokens", &service, &long, 70, 900.0),
        ("a new route is like the others of its service", &service, &new, 70, 500.0),
        ("a new service", &other_service, &short, 70, 100.0),
    ];
    for (what, service, route, tokens, expected_ms) in cases {
        let expected = hold_times.expected_ms(service, route, tokens);
        assert!((expected - expected_ms).abs() < 0.01, "{what}: {expected} ms");
    }
}

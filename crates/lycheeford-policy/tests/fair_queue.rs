//! Tests of the queue of waiting requests: their order, the shares of customers, and that each
//! request leaves the queue exactly once.

use lycheeford_policy::{Configuration, Customer, FairQueue, Name, QueuedRequest, TimeMs};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn queue(customers: &[(&str, u8, u64)]) -> FairQueue<usize> {
    let customers = customers.iter().map(|(name, class, rate)| Customer {
        name: Name::from(*name),
        rate_tokens_per_s: *rate,
        burst_tokens: *rate,
        class: *class,
    });
    let configuration =
        Configuration { customers: customers.collect(), ..Configuration::default() };
    let mut queue = FairQueue::new();
    queue.configure(&configuration);
    queue
}

fn request(customer: &str, deadline_ms: u64, payload: usize) -> QueuedRequest<usize> {
    let deadline = TimeMs::from_ms(deadline_ms);
    let (name, customer) = (Name::from("model"), Name::from(customer));
    QueuedRequest { name, customer, deadline, cost_tokens: 100, payload }
}

struct OrderCase {
    name: &'static str,
    /// The name, class and rate in tokens per second of each customer.
    customers: &'static [(&'static str, u8, u64)],
    /// The customer and the deadline in milliseconds of each request, in order of arrival.
    requests: &'static [(&'static str, u64)],
    served: &'static [usize],
}

const ORDER_CASES: &[OrderCase] = &[
    OrderCase {
        name: "requests of one customer are served by earliest deadline",
        customers: &[("a", 0, 1)],
        requests: &[("a", 300), ("a", 100), ("a", 200)],
        served: &[1, 2, 0],
    },
    OrderCase {
        name: "the customer of the lowest class is served first",
        customers: &[("a", 1, 1), ("b", 0, 1)],
        requests: &[("a", 100), ("b", 200), ("b", 300)],
        served: &[1, 2, 0],
    },
    OrderCase {
        name: "a customer with many requests does not delay another customer",
        customers: &[("a", 0, 10), ("b", 0, 10)],
        requests: &[("a", 100), ("a", 110), ("a", 120), ("b", 300)],
        served: &[0, 3, 1, 2],
    },
    OrderCase {
        name: "a customer with twice the rate is served twice as often",
        customers: &[("a", 0, 20), ("b", 0, 10)],
        requests: &[("a", 100), ("a", 101), ("a", 102), ("a", 103), ("b", 200), ("b", 201)],
        served: &[0, 4, 1, 2, 5, 3],
    },
];

#[test]
fn requests_are_served_in_order() {
    for case in ORDER_CASES {
        let mut queue = queue(case.customers);
        for (payload, (customer, deadline_ms)) in case.requests.iter().enumerate() {
            queue.push(TimeMs::from_ms(0), request(customer, *deadline_ms, payload));
        }
        let next = || queue.pop(TimeMs::from_ms(1), "model").map(|request| request.payload);
        let served: Vec<usize> = std::iter::from_fn(next).collect();
        assert_eq!(served, case.served, "{}", case.name);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 128,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261_203),
        ..ProptestConfig::default()
    })]

    /// Each request leaves the queue exactly once: popped before its deadline, cancelled or
    /// returned as expired.
    #[test]
    fn each_request_leaves_the_queue_once(
        steps in prop::collection::vec((0..5u8, 0..3usize, 1..500u64), 1..200),
    ) {
        let names = ["a", "b", "c"];
        let mut queue = queue(&[("a", 0, 1), ("b", 0, 5), ("c", 1, 5)]);
        let (mut now_ms, mut ids, mut removed) = (0, Vec::new(), Vec::new());
        for (payload, (kind, customer, ms)) in steps.iter().enumerate() {
            match kind {
                0 | 1 => {
                    let request = request(names[*customer], now_ms + ms, payload);
                    ids.push((queue.push(TimeMs::from_ms(now_ms), request), payload));
                }
                2 => {
                    if let Some(request) = queue.pop(TimeMs::from_ms(now_ms), "model") {
                        prop_assert!(request.deadline.as_ms() >= now_ms);
                        removed.push(request.payload);
                    }
                }
                3 => now_ms += ms,
                _ => {
                    let expired = queue.take_expired(TimeMs::from_ms(now_ms));
                    prop_assert!(expired.iter().all(|request| request.deadline.as_ms() < now_ms));
                    removed.extend(expired.iter().map(|request| request.payload));
                }
            }
            if let Some((id, payload)) = ids.get(*ms as usize)
                && let Some(request) = queue.cancel(*id)
            {
                prop_assert_eq!(request.payload, *payload);
                removed.push(request.payload);
            }
            let waiting: u32 = queue.depths().iter().map(|depth| depth.waiting).sum();
            prop_assert_eq!(waiting as usize, queue.len());
            prop_assert!(
                queue
                    .next_deadline()
                    .is_none_or(|deadline| deadline.as_ms() >= now_ms || *kind != 4)
            );
        }
        removed.extend(
            queue.take_expired(TimeMs::from_ms(u64::MAX)).iter().map(|request| request.payload),
        );
        removed.sort_unstable();
        let pushed: Vec<usize> = ids.iter().map(|(_, payload)| *payload).collect();
        prop_assert_eq!(removed, pushed);
        prop_assert!(queue.is_empty());
    }
}

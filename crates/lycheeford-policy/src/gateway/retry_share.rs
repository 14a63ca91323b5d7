use std::collections::VecDeque;

use crate::{Name, TimeMs};

/// Fraction of the bound that one host uses, so that delayed counts do not exceed the bound.
const USED_PART: f64 = 0.8;

/// This host's share of the retries that a service may receive in a window.
///
/// When targets fail together, retries multiply the load on the remaining ones. The bound holds
/// over all hosts, which do not coordinate: each host uses the ratio applied to its own requests
/// and an equal part of the slack.
#[derive(Debug, Clone)]
pub struct RetryShare {
    window_ms: u64,
    repeats_per_request: f64,
    slack: f64,
    /// Sorted by name.
    services: Vec<ServiceCounts>,
}

#[derive(Debug, Clone)]
struct ServiceCounts {
    service: Name,
    requests: VecDeque<TimeMs>,
    repeats: VecDeque<TimeMs>,
}

impl RetryShare {
    /// Returns a share without counts, of a bound over `window_ms`.
    pub fn new(window_ms: u64, repeats_per_request: f64, slack: f64) -> RetryShare {
        RetryShare { window_ms, repeats_per_request, slack, services: Vec::new() }
    }

    /// Counts a request for `service`.
    pub fn requested(&mut self, now: TimeMs, service: &Name) {
        let window_ms = self.window_ms;
        let counts = self.counts(service);
        counts.expire(now, window_ms);
        counts.requests.push_back(now);
    }

    /// Takes one retry for `service`, or returns false if none is left.
    ///
    /// `hosts` is the number of hosts that share the bound.
    pub fn take_repeat(&mut self, now: TimeMs, service: &Name, hosts: usize) -> bool {
        self.take_repeat_of_part(now, service, hosts, 1.0)
    }

    /// Takes one retry like [`RetryShare::take_repeat`] if `part` of them isn't used up, so that the
    /// rest is left for requests that fail without one.
    pub fn take_repeat_of_part(
        &mut self,
        now: TimeMs,
        service: &Name,
        hosts: usize,
        part: f64,
    ) -> bool {
        let (window_ms, ratio, slack) = (self.window_ms, self.repeats_per_request, self.slack);
        let counts = self.counts(service);
        counts.expire(now, window_ms);
        let allowed = ratio * counts.requests.len() as f64 + slack / hosts.max(1) as f64;
        if (counts.repeats.len() + 1) as f64 > USED_PART * part * allowed {
            return false;
        }
        counts.repeats.push_back(now);
        true
    }

    fn counts(&mut self, service: &Name) -> &mut ServiceCounts {
        let found = self.services.binary_search_by(|counts| counts.service.cmp(service));
        let index = found.unwrap_or_else(|index| {
            let counts = ServiceCounts {
                service: service.clone(),
                requests: VecDeque::new(),
                repeats: VecDeque::new(),
            };
            self.services.insert(index, counts);
            index
        });
        &mut self.services[index]
    }
}

impl ServiceCounts {
    fn expire(&mut self, now: TimeMs, window_ms: u64) {
        let is_old = |at: &TimeMs| now.since_ms(*at) >= window_ms;
        while self.requests.front().is_some_and(is_old) {
            self.requests.pop_front();
        }
        while self.repeats.front().is_some_and(is_old) {
            self.repeats.pop_front();
        }
    }
}

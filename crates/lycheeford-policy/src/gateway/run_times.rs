use std::collections::VecDeque;

use crate::Name;

/// The last requests of a service that are looked at.
const RUNS_MAX: usize = 256;
/// The part of them that took no longer than what the next one is expected to take.
const MOST: f64 = 0.98;
/// How much longer than that the next one may run.
const MARGIN: f64 = 1.5;
/// What a request of a service is expected to take of which none has ended here.
const UNKNOWN_MS: u64 = 1_000;

/// How long requests of each service ran lately, from the first send to the end of the answer.
#[derive(Debug, Clone, Default)]
pub struct RunTimes {
    /// Sorted by name.
    services: Vec<ServiceRuns>,
}

#[derive(Debug, Clone)]
struct ServiceRuns {
    service: Name,
    /// Oldest first.
    last_ms: VecDeque<u64>,
}

impl RunTimes {
    /// Takes in a request of `service` that was answered whole.
    pub fn ended(&mut self, service: &Name, run_ms: u64) {
        let index = match self.index(service) {
            Ok(index) => index,
            Err(index) => {
                let runs = ServiceRuns { service: service.clone(), last_ms: VecDeque::new() };
                self.services.insert(index, runs);
                index
            }
        };
        let last = &mut self.services[index].last_ms;
        if last.len() >= RUNS_MAX {
            last.pop_front();
        }
        last.push_back(run_ms);
    }

    /// Returns the time to set aside for the next request of `service`.
    ///
    /// A few that were stuck don't count, or they would keep all others out.
    pub fn reserve_ms(&self, service: &Name) -> u64 {
        (self.most_ms(service) as f64 * MARGIN) as u64
    }

    fn most_ms(&self, service: &Name) -> u64 {
        let Ok(index) = self.index(service) else { return UNKNOWN_MS };
        let mut sorted: Vec<u64> = self.services[index].last_ms.iter().copied().collect();
        sorted.sort_unstable();
        let rank = ((sorted.len() as f64 * MOST) as usize).min(sorted.len().saturating_sub(1));
        sorted.get(rank).copied().unwrap_or(UNKNOWN_MS)
    }

    fn index(&self, service: &Name) -> Result<usize, usize> {
        self.services.binary_search_by(|runs| runs.service.cmp(service))
    }
}

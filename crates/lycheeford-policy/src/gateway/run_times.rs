use std::collections::VecDeque;

use crate::{Deployment, Name};

/// Number of recent requests of a route that are considered.
const RUNS_MAX: usize = 128;
/// Quantile of their run times that is used as the expected run time of the next request.
const EXPECTED_QUANTILE: f64 = 0.98;
/// Safety factor on the expected run time.
const SAFETY_FACTOR: f64 = 1.5;
/// Expected run time of a request of a service of which no request has ended here.
const DEFAULT_RUN_MS: u64 = 3_000;

/// Recent run times of the requests of each route, from the first send to the end of the answer.
#[derive(Debug, Clone, Default)]
pub struct RunTimes {
    /// Sorted by service and route.
    routes: Vec<RouteRuns>,
}

#[derive(Debug, Clone)]
struct RouteRuns {
    service: Name,
    route: Name,
    /// Oldest first.
    last_ms: VecDeque<u64>,
}

impl RunTimes {
    /// Records a request whose answer was complete.
    pub fn ended(&mut self, service: &Name, route: &Name, run_ms: u64) {
        let index = match self.index(service, route) {
            Ok(index) => index,
            Err(index) => {
                let (service, route) = (service.clone(), route.clone());
                self.routes.insert(index, RouteRuns { service, route, last_ms: VecDeque::new() });
                index
            }
        };
        let last = &mut self.routes[index].last_ms;
        if last.len() >= RUNS_MAX {
            last.pop_front();
        }
        last.push_back(run_ms);
    }

    /// Returns the time to reserve for the next request of a route whose requests can be given a
    /// final answer at any moment.
    ///
    /// A few stuck requests do not count, since they would block all others. A route without
    /// completed requests here is assumed to be as slow as the slowest route of its service.
    pub fn reserve_ms(&self, service: &Name, route: &Name) -> u64 {
        let expected_ms = match self.index(service, route) {
            Ok(index) => self.routes[index].expected_ms(),
            Err(_) => self.slowest_ms(service).unwrap_or(DEFAULT_RUN_MS),
        };
        (expected_ms as f64 * SAFETY_FACTOR) as u64
    }

    /// Returns the time to reserve for the next stream of a route.
    ///
    /// A stream that has started can only be cut off, so none of the recent run times is ignored.
    pub fn stream_reserve_ms(&self, service: &Name, route: &Name) -> u64 {
        let longest_ms = self.index(service, route).map_or(0, |index| {
            self.routes[index].last_ms.iter().copied().max().unwrap_or_default()
        });
        self.reserve_ms(service, route).max(longest_ms)
    }

    /// Removes routes that are no longer declared.
    pub fn keep_declared(&mut self, deployment: &Deployment) {
        let mut names: Vec<&Name> = deployment.routes.iter().map(|route| &route.name).collect();
        names.sort_unstable();
        self.routes.retain(|runs| names.binary_search(&&runs.route).is_ok());
    }

    fn slowest_ms(&self, service: &Name) -> Option<u64> {
        let first = self.routes.partition_point(|runs| runs.service < *service);
        let of_service = self.routes[first..].iter().take_while(|runs| runs.service == *service);
        of_service.map(RouteRuns::expected_ms).max()
    }

    fn index(&self, service: &Name, route: &Name) -> Result<usize, usize> {
        self.routes.binary_search_by(|runs| (&runs.service, &runs.route).cmp(&(service, route)))
    }
}

impl RouteRuns {
    /// Returns the quantile of the recent run times that is used as the expected run time.
    fn expected_ms(&self) -> u64 {
        let mut sorted: Vec<u64> = self.last_ms.iter().copied().collect();
        sorted.sort_unstable();
        let rank = ((sorted.len() as f64 * EXPECTED_QUANTILE) as usize)
            .min(sorted.len().saturating_sub(1));
        sorted.get(rank).copied().unwrap_or(DEFAULT_RUN_MS)
    }
}

use std::collections::VecDeque;

use crate::{Deployment, Name};

/// The last requests of a route that are looked at.
const RUNS_MAX: usize = 128;
/// The part of them that took no longer than what the next one is expected to take.
const MOST: f64 = 0.98;
/// How much longer than that the next one may run.
const MARGIN: f64 = 1.5;
/// What a request of a service is expected to take of which none has ended here.
const UNKNOWN_MS: u64 = 3_000;

/// How long requests of each route ran lately, from the first send to the end of the answer.
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
    /// Takes in a request that was answered whole.
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

    /// Returns the time to set aside for the next request of a route that can get a final answer
    /// at any moment.
    ///
    /// A few that were stuck don't count, or they would keep all others out. A
    /// route of which none has ended here may be like the slowest one of its service.
    pub fn reserve_ms(&self, service: &Name, route: &Name) -> u64 {
        let most_ms = match self.index(service, route) {
            Ok(index) => self.routes[index].most_ms(),
            Err(_) => self.slowest_ms(service).unwrap_or(UNKNOWN_MS),
        };
        (most_ms as f64 * MARGIN) as u64
    }

    /// Returns the time to set aside for the next stream of a route.
    ///
    /// A stream that has begun can only be cut, so that none of the last ones is passed over.
    pub fn stream_reserve_ms(&self, service: &Name, route: &Name) -> u64 {
        let longest_ms = self.index(service, route).map_or(0, |index| {
            self.routes[index].last_ms.iter().copied().max().unwrap_or_default()
        });
        self.reserve_ms(service, route).max(longest_ms)
    }

    /// Forgets routes that aren't declared any more.
    pub fn keep_declared(&mut self, deployment: &Deployment) {
        let mut names: Vec<&Name> = deployment.routes.iter().map(|route| &route.name).collect();
        names.sort_unstable();
        self.routes.retain(|runs| names.binary_search(&&runs.route).is_ok());
    }

    fn slowest_ms(&self, service: &Name) -> Option<u64> {
        let first = self.routes.partition_point(|runs| runs.service < *service);
        let of_service = self.routes[first..].iter().take_while(|runs| runs.service == *service);
        of_service.map(RouteRuns::most_ms).max()
    }

    fn index(&self, service: &Name, route: &Name) -> Result<usize, usize> {
        self.routes.binary_search_by(|runs| (&runs.service, &runs.route).cmp(&(service, route)))
    }
}

impl RouteRuns {
    /// Returns the time that nearly all of the last runs took at most.
    fn most_ms(&self) -> u64 {
        let mut sorted: Vec<u64> = self.last_ms.iter().copied().collect();
        sorted.sort_unstable();
        let rank = ((sorted.len() as f64 * MOST) as usize).min(sorted.len().saturating_sub(1));
        sorted.get(rank).copied().unwrap_or(UNKNOWN_MS)
    }
}

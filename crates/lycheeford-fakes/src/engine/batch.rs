/// The running requests and the queue of waiting requests, ordered by priority, then arrival.
#[derive(Debug)]
pub(super) struct Batch {
    running_max: usize,
    next_ticket: u64,
    /// The ticket of each running request and the model or adapter name it runs on.
    running: Vec<(u64, String)>,
    /// The priority and ticket of each waiting request, sorted.
    waiting: Vec<(u64, u64)>,
}

impl Batch {
    pub(super) fn new(running_max: usize) -> Batch {
        Batch { running_max, next_ticket: 0, running: Vec::new(), waiting: Vec::new() }
    }

    pub(super) fn running(&self) -> usize {
        self.running.len()
    }

    pub(super) fn queued(&self) -> usize {
        self.waiting.len()
    }

    pub(super) fn has_running_request(&self, name: &str) -> bool {
        self.running.iter().any(|(_, used)| used == name)
    }

    /// Queues a request and returns its ticket.
    pub(super) fn queue(&mut self, priority: u64) -> u64 {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let index = self.waiting.partition_point(|waiting| *waiting < (priority, ticket));
        self.waiting.insert(index, (priority, ticket));
        ticket
    }

    /// Starts the request if it is first in the queue and a slot is free.
    pub(super) fn try_start(&mut self, ticket: u64, name: &str) -> bool {
        let first = self.waiting.first().is_some_and(|(_, first)| *first == ticket);
        if !first || self.running.len() >= self.running_max {
            return false;
        }
        self.waiting.remove(0);
        self.running.push((ticket, name.to_owned()));
        true
    }

    /// Removes the request, whether it is running or waiting.
    pub(super) fn finish(&mut self, ticket: u64) {
        self.waiting.retain(|(_, waiting)| *waiting != ticket);
        self.running.retain(|(running, _)| *running != ticket);
    }
}

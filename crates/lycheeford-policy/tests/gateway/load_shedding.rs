//! Replays of load patterns above the capacity, in virtual time: which requests are served by each
//! way to order and to turn away those that wait for a slot.

use lycheeford_policy::{
    Chosen, Claim, PRIORITY_STEP_MS, Shedding, TargetEntry, TargetTable, WaitQueue,
};

use crate::world::{at, entry, name, need, queued};

/// Slots of the only target.
const SLOTS: usize = 4;
/// The least time that a target needs for an answer.
const ANSWER_MS_MIN: u64 = 60;
/// How long a replay goes on after the last arrival.
const AFTER_MS: u64 = 20_000;
/// The part of its time that a request may wait before this change.
const WAIT_PART_BEFORE: f64 = 0.6;

/// Requests that are alike.
struct Kind {
    what: &'static str,
    priority: u8,
    objective_ms: u64,
    deadline_ms: u64,
    hold_ms: u64,
    per_s: f64,
    from_ms: u64,
    until_ms: u64,
    /// What the objective adds in the order.
    offset_ms: u64,
    /// Rank by what a loss costs callers per unit of work; 0 is cheapest.
    cost_rank: u8,
}

#[derive(Debug, Clone)]
struct Job {
    id: u64,
    kind: usize,
    arrived_ms: u64,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Outcome {
    Waiting,
    Started { ms: u64 },
    Refused { ms: u64 },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Order {
    /// First come first served, with 1.5 s a level of priority, as before.
    FirstCome,
    EarliestDue,
    LeastWork,
    /// Knows all arrivals, and drops the cheapest per unit that don't fit.
    Oracle,
    New,
}

fn claim(kinds: &[Kind], job: &Job) -> Claim {
    let kind = &kinds[job.kind];
    Claim {
        id: job.id,
        arrived_at: at(job.arrived_ms),
        order_at: at(job.arrived_ms + kind.offset_ms),
        due_at: at(job.arrived_ms + kind.objective_ms.saturating_sub(kind.hold_ms)),
        latest_at: at(job.arrived_ms + kind.deadline_ms - kind.hold_ms.max(ANSWER_MS_MIN)),
        priority: kind.priority,
        work: kind.hold_ms as f64,
    }
}

/// Returns the arrivals in order, at random times with the rate of each kind.
fn arrivals(kinds: &[Kind], seed: u64) -> Vec<Job> {
    let mut random = seed;
    let mut next = || {
        random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (random >> 11) as f64 / (1_u64 << 53) as f64
    };
    let mut jobs = Vec::new();
    for (index, kind) in kinds.iter().enumerate() {
        let mut ms = kind.from_ms as f64;
        loop {
            ms += -(1.0 - next()).ln() * 1_000.0 / kind.per_s;
            if ms >= kind.until_ms as f64 {
                break;
            }
            jobs.push(Job { id: 0, kind: index, arrived_ms: ms as u64 });
        }
    }
    jobs.sort_by_key(|job| job.arrived_ms);
    (1..).zip(&mut jobs).for_each(|(id, job)| job.id = id);
    jobs
}

fn replay(order: Order, kinds: &[Kind], jobs: &[Job]) -> Vec<Outcome> {
    match order {
        Order::New => replay_new(kinds, jobs),
        Order::Oracle => replay_oracle(kinds, jobs),
        Order::FirstCome | Order::EarliestDue | Order::LeastWork => {
            replay_simple(order, kinds, jobs)
        }
    }
}

/// The new order, with the queue that the gateway uses.
fn replay_new(kinds: &[Kind], jobs: &[Job]) -> Vec<Outcome> {
    let mut targets = TargetTable::default();
    let slots = SLOTS as u32;
    targets.put(at(0), TargetEntry { slots, ..entry("t1", &["m1"]) });
    let mut queue = WaitQueue::default();
    let mut outcomes = vec![Outcome::Waiting; jobs.len()];
    let mut running: Vec<(u64, Chosen)> = Vec::new();
    let mut arriving = jobs.iter().peekable();
    let hold_ms = |id: u64| kinds[jobs[id as usize - 1].kind].hold_ms;
    for ms in 0..jobs.last().map_or(0, |job| job.arrived_ms) + AFTER_MS {
        let mut started: Vec<(u64, Chosen)> = Vec::new();
        while let Some(index) = running.iter().position(|(end_ms, _)| *end_ms <= ms) {
            let (_, chosen) = running.swap_remove(index);
            targets.ended(&chosen, Some(&name("m1")), 100);
            started.extend(queue.dispatch(at(ms), &mut targets));
            start(&mut started, ms, hold_ms, &mut running, &mut outcomes);
        }
        while let Some(job) = arriving.next_if(|job| job.arrived_ms <= ms) {
            let waiting = queued(claim(kinds, job), need("m1"));
            queue.push(at(ms), waiting.clone());
            started.extend(queue.dispatch(at(ms), &mut targets));
            start(&mut started, ms, hold_ms, &mut running, &mut outcomes);
            if outcomes[job.id as usize - 1] == Outcome::Waiting {
                let shedding = queue.shed_for(at(ms), &waiting);
                shed(shedding, ms, &mut queue, &mut outcomes);
            }
        }
        let shedding = queue.shed_late(at(ms), &need("m1"));
        shed(shedding, ms, &mut queue, &mut outcomes);
        let is_over = |id: &u64| claim(kinds, &jobs[*id as usize - 1]).latest_at < at(ms);
        let waiting = queue.waiting().iter().map(|waiting| waiting.claim.id);
        let over: Vec<u64> = waiting.filter(is_over).collect();
        refuse(&over, ms, &mut queue, &mut outcomes);
    }
    outcomes
}

fn start(
    started: &mut Vec<(u64, Chosen)>,
    ms: u64,
    hold_ms: impl Fn(u64) -> u64,
    running: &mut Vec<(u64, Chosen)>,
    outcomes: &mut [Outcome],
) {
    for (id, chosen) in started.drain(..) {
        running.push((ms + hold_ms(id), chosen));
        outcomes[id as usize - 1] = Outcome::Started { ms };
    }
}

fn shed(shedding: Option<Shedding>, ms: u64, queue: &mut WaitQueue, outcomes: &mut [Outcome]) {
    refuse(&shedding.map(|shedding| shedding.rejected).unwrap_or_default(), ms, queue, outcomes);
}

fn refuse(ids: &[u64], ms: u64, queue: &mut WaitQueue, outcomes: &mut [Outcome]) {
    for id in ids {
        assert!(queue.remove(*id), "{id} had its slot already");
        outcomes[*id as usize - 1] = Outcome::Refused { ms };
    }
}

fn replay_simple(order: Order, kinds: &[Kind], jobs: &[Job]) -> Vec<Outcome> {
    let mut outcomes = vec![Outcome::Waiting; jobs.len()];
    let mut waiting: Vec<((u64, u64), &Job)> = Vec::new();
    let mut slots = [0_u64; SLOTS];
    let mut arriving = jobs.iter().peekable();
    for ms in 0..jobs.last().map_or(0, |job| job.arrived_ms) + AFTER_MS {
        while let Some(job) = arriving.next_if(|job| job.arrived_ms <= ms) {
            let kind = &kinds[job.kind];
            let key_ms = match order {
                Order::FirstCome => ms + u64::from(kind.priority) * PRIORITY_STEP_MS,
                Order::LeastWork => kind.hold_ms,
                _ => ms + kind.objective_ms,
            };
            let key = (key_ms, job.id);
            let index = waiting.partition_point(|(other, _)| *other < key);
            let expected_ms = (index as u64 + 1) * kind.objective_ms / SLOTS as u64;
            let is_refused = order == Order::FirstCome
                && slots.iter().all(|free_ms| *free_ms > ms)
                && expected_ms as f64 > kind.deadline_ms as f64 * WAIT_PART_BEFORE;
            if is_refused {
                outcomes[job.id as usize - 1] = Outcome::Refused { ms };
            } else {
                waiting.insert(index, (key, job));
            }
        }
        waiting.retain(|(_, job)| {
            let kind = &kinds[job.kind];
            let wait_ms_max = match order {
                Order::FirstCome => (kind.deadline_ms as f64 * WAIT_PART_BEFORE) as u64,
                _ => kind.deadline_ms - kind.hold_ms.max(ANSWER_MS_MIN),
            };
            let is_over = ms > job.arrived_ms + wait_ms_max;
            if is_over {
                outcomes[job.id as usize - 1] = Outcome::Refused { ms };
            }
            !is_over
        });
        for free_ms in slots.iter_mut().filter(|free_ms| **free_ms <= ms) {
            if waiting.is_empty() {
                break;
            }
            let (_, job) = waiting.remove(0);
            *free_ms = ms + kinds[job.kind].hold_ms;
            outcomes[job.id as usize - 1] = Outcome::Started { ms };
        }
    }
    outcomes
}

/// Adds the requests with the most value per unit first, each if all can still be served as they
/// were added: in time for their objectives, or at last, before their deadlines.
fn replay_oracle(kinds: &[Kind], jobs: &[Job]) -> Vec<Outcome> {
    let mut by_value: Vec<&Job> = jobs.iter().collect();
    let density = |job: &Job| weight(&kinds[job.kind]) / kinds[job.kind].hold_ms as f64;
    by_value.sort_by(|a, b| density(b).total_cmp(&density(a)).then(a.id.cmp(&b.id)));
    let mut kept: Vec<(u64, &Job)> = Vec::new();
    for is_timely in [true, false] {
        let limit_ms = |job: &Job| {
            let claim = claim(kinds, job);
            if is_timely { claim.due_at.as_ms() } else { claim.latest_at.as_ms() }
        };
        by_value.retain(|job| !kept.iter().any(|(_, other)| other.id == job.id));
        // A chunk that fits as a whole needs no check of its parts.
        let mut pending: Vec<Vec<&Job>> = by_value.chunks(64).rev().map(<[&Job]>::to_vec).collect();
        while let Some(chunk) = pending.pop() {
            let mut tried = kept.clone();
            tried.extend(chunk.iter().map(|job| (limit_ms(job), *job)));
            if schedule(kinds, &mut tried).is_some() {
                kept = tried;
            } else if chunk.len() > 1 {
                let (first, second) = chunk.split_at(chunk.len() / 2);
                pending.push(second.to_vec());
                pending.push(first.to_vec());
            }
        }
    }
    let mut outcomes: Vec<Outcome> =
        jobs.iter().map(|job| Outcome::Refused { ms: job.arrived_ms }).collect();
    for (id, ms) in schedule(kinds, &mut kept).unwrap_or_default() {
        outcomes[id as usize - 1] = Outcome::Started { ms };
    }
    outcomes
}

/// Returns when each request starts in the order of the limits, or `None` if one is too late.
fn schedule(kinds: &[Kind], jobs: &mut [(u64, &Job)]) -> Option<Vec<(u64, u64)>> {
    jobs.sort_by_key(|(_, job)| (job.arrived_ms, job.id));
    let mut slots = [0_u64; SLOTS];
    let mut ready: Vec<(u64, &Job)> = Vec::new();
    let mut arriving = jobs.iter().peekable();
    let mut starts = Vec::with_capacity(jobs.len());
    let mut ms = 0;
    while starts.len() < jobs.len() {
        let slot = (0..SLOTS).min_by_key(|slot| slots[*slot])?;
        ms = slots[slot].max(ms);
        if ready.is_empty() {
            ms = ms.max(arriving.peek()?.1.arrived_ms);
        }
        while let Some((limit_ms, job)) = arriving.next_if(|(_, job)| job.arrived_ms <= ms) {
            let index = ready.partition_point(|(other_ms, _)| other_ms > limit_ms);
            ready.insert(index, (*limit_ms, job));
        }
        let (limit_ms, job) = ready.pop()?;
        if ms > limit_ms {
            return None;
        }
        starts.push((job.id, ms));
        slots[slot] = ms + kinds[job.kind].hold_ms;
    }
    Some(starts)
}

fn weight(kind: &Kind) -> f64 {
    2_f64.powi(-i32::from(kind.priority))
}

/// What became of the requests of one kind.
#[derive(Debug, Default, Clone, Copy)]
struct Sum {
    count: usize,
    refused: usize,
    late: usize,
    /// Requests that were refused after they had waited for more than 250 ms.
    held: usize,
    value: f64,
}

impl Sum {
    fn refused_part(&self) -> f64 {
        self.refused as f64 / self.count.max(1) as f64
    }
}

fn sums(kinds: &[Kind], jobs: &[Job], outcomes: &[Outcome]) -> Vec<Sum> {
    let mut sums = vec![Sum::default(); kinds.len()];
    for (job, outcome) in jobs.iter().zip(outcomes) {
        let (kind, sum) = (&kinds[job.kind], &mut sums[job.kind]);
        sum.count += 1;
        match *outcome {
            Outcome::Waiting => panic!("request {} was never answered", job.id),
            Outcome::Refused { ms } => {
                sum.refused += 1;
                sum.held += usize::from(ms > job.arrived_ms + 250);
            }
            Outcome::Started { ms } => {
                let took_ms = ms + kind.hold_ms - job.arrived_ms;
                let is_late = took_ms > kind.objective_ms;
                sum.late += usize::from(is_late);
                let value = if is_late { 0.5 } else { 1.0 };
                // An answer after the deadline reaches no caller.
                sum.value += if took_ms > kind.deadline_ms { 0.0 } else { value * weight(kind) };
            }
        }
    }
    sums
}

fn burst_of_two_objectives() -> Vec<Kind> {
    let urgent = Kind {
        what: "400 ms",
        priority: 0,
        objective_ms: 400,
        deadline_ms: 4_000,
        hold_ms: 40,
        per_s: 125.0,
        from_ms: 0,
        until_ms: 6_000,
        offset_ms: 0,
        cost_rank: 0,
    };
    let patient = Kind {
        what: "2 s",
        objective_ms: 2_000,
        deadline_ms: 13_000,
        per_s: 25.0,
        offset_ms: 1_600,
        cost_rank: 1,
        ..urgent
    };
    vec![urgent, patient]
}

fn priorities_and_large_requests() -> Vec<Kind> {
    let urgent = Kind {
        what: "priority 0",
        priority: 0,
        objective_ms: 500,
        deadline_ms: 5_000,
        hold_ms: 40,
        per_s: 70.0,
        from_ms: 0,
        until_ms: 10_000,
        offset_ms: 0,
        cost_rank: 1,
    };
    let patient = Kind {
        what: "priority 2",
        priority: 2,
        objective_ms: 5_000,
        deadline_ms: 11_000,
        per_s: 40.0,
        cost_rank: 0,
        ..urgent
    };
    let large = Kind {
        what: "large, priority 1",
        priority: 1,
        objective_ms: 800,
        deadline_ms: 5_000,
        hold_ms: 800,
        per_s: 2.0,
        cost_rank: 0,
        ..urgent
    };
    vec![urgent, patient, large]
}

fn one_old_among_urgent() -> Vec<Kind> {
    let urgent = Kind {
        what: "urgent",
        priority: 0,
        objective_ms: 400,
        deadline_ms: 4_000,
        hold_ms: 40,
        per_s: 150.0,
        from_ms: 0,
        until_ms: 16_000,
        offset_ms: 0,
        cost_rank: 1,
    };
    let old = Kind {
        what: "one old request",
        priority: 2,
        objective_ms: 5_000,
        deadline_ms: 13_000,
        hold_ms: 10,
        from_ms: 2_000,
        until_ms: 2_000,
        cost_rank: 0,
        ..urgent
    };
    vec![urgent, old]
}

struct Pattern {
    what: &'static str,
    kinds: Vec<Kind>,
    /// A kind of which a single request comes.
    single: Option<usize>,
}

/// Guards against refusals of what costs callers more to lose, against starvation, and against an
/// order that is worth less to callers than first come first served.
#[test]
fn no_pattern_of_load_is_served_worse_than_first_come_first_served() {
    let patterns = [
        Pattern { what: "two objectives", kinds: burst_of_two_objectives(), single: None },
        Pattern { what: "priorities", kinds: priorities_and_large_requests(), single: None },
        Pattern { what: "one old request", kinds: one_old_among_urgent(), single: Some(1) },
    ];
    let orders =
        [Order::FirstCome, Order::EarliestDue, Order::LeastWork, Order::Oracle, Order::New];
    for pattern in &patterns {
        let kinds = &pattern.kinds;
        for seed in 1..=3 {
            let mut jobs = arrivals(kinds, seed);
            if let Some(single) = pattern.single {
                jobs.retain(|job| job.kind != single);
                jobs.push(Job { id: 0, kind: single, arrived_ms: kinds[single].from_ms });
                jobs.sort_by_key(|job| job.arrived_ms);
                (1..).zip(&mut jobs).for_each(|(id, job)| job.id = id);
            }
            let results = orders.map(|order| sums(kinds, &jobs, &replay(order, kinds, &jobs)));
            for (order, sums) in orders.iter().zip(&results) {
                print_sums(pattern, seed, *order, sums);
            }
            check(pattern, seed, &results[0], &results[4]);
        }
    }
}

fn print_sums(pattern: &Pattern, seed: u64, order: Order, sums: &[Sum]) {
    let value: f64 = sums.iter().map(|sum| sum.value).sum();
    println!("{}, seed {seed}, {order:?}: value {value:.0}", pattern.what);
    for (kind, sum) in pattern.kinds.iter().zip(sums) {
        println!(
            "    {}: {} requests, refused {:.3}, late {}, refused after 250 ms {}",
            kind.what,
            sum.count,
            sum.refused_part(),
            sum.late,
            sum.held
        );
    }
}

fn check(pattern: &Pattern, seed: u64, first_come: &[Sum], new: &[Sum]) {
    let kinds = &pattern.kinds;
    let what = format!("{}, seed {seed}", pattern.what);
    let value = |sums: &[Sum]| sums.iter().map(|sum| sum.value).sum::<f64>();
    assert!(value(new) >= value(first_come), "{what}: less value than first come first served");
    for (dear, sum) in kinds.iter().zip(new) {
        assert!(sum.refused < sum.count, "{what}: {} starves", dear.what);
        for (cheap, other) in kinds.iter().zip(new) {
            let is_worse = sum.refused_part() > other.refused_part() + 0.02;
            let is_dearer = dear.cost_rank > cheap.cost_rank && other.count > 1;
            assert!(!(is_dearer && is_worse), "{what}: {} before {}", dear.what, cheap.what);
        }
    }
}

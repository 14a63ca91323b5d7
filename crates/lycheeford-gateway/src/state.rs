use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use async_std::channel::{Receiver, Sender, bounded};
use lycheeford_caller::{MemoryAccount, Stop};
use lycheeford_platform::FollowWaker;
use lycheeford_policy::{
    Confirmation, CrashSuspects, DemandTable, Deployment, Evacuations, PeerState, ReportStamp,
    RetryShare, RunTimes, StopPlan, StopTimes, TargetReach, TimeMs, UnstatedEnds,
};
use lycheeford_target::{TargetClient, TargetLimits, Unframed};
use slog::Logger;

use crate::fleet::{Dispatcher, TargetSync};
use crate::membership::{LimitEvent, Membership, StreamEvent, Streams, Unsent};
use crate::operation::metrics::Metrics;
use crate::orders::Orders;
use crate::request::PermitWaiters;
use crate::request::rates::Rates;
use crate::{Clock, GatewayLog, GatewaySettings, PlatformProtocols};

/// The validity of a confirmation, as a part of the time within which a withdrawn key must stop
/// working.
///
/// The rest covers the delay of watches.
const CONFIRMATION_PART: f64 = 0.7;
/// The time-out for connecting to a target.
const CONNECT_MS_MAX: u64 = 400;
/// How long a sound target may be silent and go on.
const SILENT_MS_MAX: u32 = 2_000;
/// The most idle connections to each target, since all hosts share the connections that it accepts.
const POOL_PER_TARGET_MAX: usize = 4;
/// How long an idle connection to a target is kept.
const POOL_IDLE_MS_MAX: u64 = 8_000;
/// The longest time that a request takes to reach a leaving target.
const LEAVE_MARGIN_MS: u64 = 500;
/// The remaining grace period at which requests without a response get a final one.
const STOP_ANSWER_MS: u64 = 600;
/// The remaining grace period at which a stopping host cuts whatever still runs.
const STOP_END_MS: u64 = 400;
/// The capacity of the queue of limit events.
const LIMIT_EVENTS_MAX: usize = 1_024;
/// The capacity of the queue of stream events. Each host that a stream's version is told to, or
/// asked for, takes one place.
const STREAM_EVENTS_MAX: usize = 4_096;
/// The size limit of a target's response that isn't a stream.
pub(crate) const ANSWER_BYTES_MAX: usize = 16 << 20;
/// How long a part of a stream waits for memory before the stream is cut; long enough to close
/// several connections that are read slowly.
pub(crate) const MEMORY_WAIT: Duration = Duration::from_secs(3);
/// The memory of a process without requests: its code, tables of 300 hosts, threads and logs.
const OWN_MEMORY_MB: u64 = 40;
const BYTES_PER_MB: u64 = 1_000_000;
/// The part of the other memory that the account may use.
///
/// The rest is for what the allocator keeps between blocks, and for connections that wait for a
/// request. With six tenths, a debug build with 20 slow callers reached 102 of 120 MB.
const ACCOUNT_PART: f64 = 0.5;
/// The least memory of the account: seven eighths of it, which large reservations may use, hold an
/// answer of the largest size and a body of as many bytes.
const ACCOUNT_BYTES_MIN: usize = 2 * ANSWER_BYTES_MAX + (ANSWER_BYTES_MAX >> 1);

/// The tables that all tasks of a gateway share.
///
/// A task holds one lock at a time and never across an await. Where two locks are needed, they are
/// taken in the order of the fields: `dispatcher`, `membership`, `orders`, `demand`, `rates`,
/// `retries`, `run_times`, `suspects`, `streams`, `unstated_ends`, `reach`, `confirmation`, `target_sync`,
/// `evacuations`, `unsent`,
/// `permits`.
///
/// `versions_recalled_at` is held across the calls that it stands for, and taken with no other lock.
pub(crate) struct State {
    pub(crate) settings: GatewaySettings,
    pub(crate) protocols: PlatformProtocols,
    pub(crate) clock: Clock,
    pub(crate) log: Logger,
    /// Counts the dropped log lines.
    pub(crate) left_out: GatewayLog,
    pub(crate) metrics: Metrics,
    pub(crate) incarnation: u64,
    /// Marks the reports of this process.
    pub(crate) report_stamp: ReportStamp,
    pub(crate) targets: TargetClient,
    /// The account of all bytes that this process holds for callers and targets.
    pub(crate) memory: Arc<MemoryAccount>,
    pub(crate) deployment: ArcSwapOption<Deployment>,
    dispatcher: Mutex<Dispatcher>,
    membership: Mutex<Membership>,
    orders: Mutex<Orders>,
    demand: Mutex<DemandTable>,
    rates: Mutex<Rates>,
    retries: Mutex<RetryShare>,
    run_times: Mutex<RunTimes>,
    suspects: Mutex<CrashSuspects>,
    streams: Mutex<Streams>,
    unstated_ends: Mutex<UnstatedEnds>,
    reach: Mutex<TargetReach>,
    confirmation: Mutex<Confirmation>,
    target_sync: Mutex<TargetSync>,
    evacuations: Mutex<Evacuations>,
    unsent: Mutex<Unsent>,
    permits: Mutex<PermitWaiters>,
    /// When the versions that began streams were last read again from the store.
    pub(crate) versions_recalled_at: async_std::sync::Mutex<Option<TimeMs>>,
    /// Wake the store followers before their pause is over.
    pub(crate) declaration_pace: FollowWaker,
    pub(crate) target_pace: FollowWaker,
    /// Whether the last demand message to the lease holder had any waiting requests.
    pub(crate) has_reported_demand: AtomicBool,
    is_registered: AtomicBool,
    knows_targets: AtomicBool,
    stop_plan: OnceLock<StopPlan>,
    /// Triggered when requests without a response get a final one.
    pub(crate) answers_due: Stop,
    /// Triggered when the process is about to end, even if requests are still running.
    pub(crate) ending: Stop,
    requests_running: AtomicU64,
    last_number: AtomicU64,
    /// Wakes the task that sends waiting demand to the lease holder.
    pub(crate) demand_changed: (Sender<()>, Receiver<()>),
    /// Wakes the task that plans orders.
    pub(crate) plan_due: (Sender<()>, Receiver<()>),
    /// Events for the task that grants the permits of rate-limited targets.
    pub(crate) limit_events: (Sender<LimitEvent>, Receiver<LimitEvent>),
    /// Events for the task that sends messages about streams.
    pub(crate) stream_events: (Sender<StreamEvent>, Receiver<StreamEvent>),
    /// Wakes the task that stores crash suspects.
    pub(crate) suspects_due: (Sender<()>, Receiver<()>),
    /// Wakes the task that probes whether this host reaches any target.
    pub(crate) probe_due: (Sender<()>, Receiver<()>),
}

impl State {
    pub(crate) fn new(
        settings: GatewaySettings,
        protocols: PlatformProtocols,
        log: GatewayLog,
    ) -> Arc<State> {
        let clock = Clock;
        let incarnation = rand::random::<u64>() >> 1;
        let limits = TargetLimits {
            connect_ms_max: CONNECT_MS_MAX,
            pool_idle_ms_max: POOL_IDLE_MS_MAX,
            pool_per_target_max: POOL_PER_TARGET_MAX,
            unframed: Unframed::EndWithConnection,
            silent_ms_max: Some(SILENT_MS_MAX),
            source: Some(settings.target_source),
            ..TargetLimits::default()
        };
        let retries = settings.retries;
        let memory = MemoryAccount::new(account_bytes(settings.memory_mb));
        Arc::new(State {
            orders: Mutex::new(Orders::new(&settings, incarnation)),
            retries: Mutex::new(RetryShare::new(
                retries.window_ms,
                retries.repeats_per_request,
                retries.slack,
            )),
            membership: Mutex::new(Membership::new(settings.record())),
            settings,
            protocols,
            clock,
            log: log.logger.clone(),
            left_out: log,
            metrics: Metrics::new(),
            incarnation,
            report_stamp: ReportStamp::new(clock.now(), incarnation),
            targets: TargetClient::within(limits, Arc::clone(&memory)),
            memory,
            deployment: ArcSwapOption::empty(),
            dispatcher: Mutex::default(),
            demand: Mutex::default(),
            rates: Mutex::default(),
            run_times: Mutex::default(),
            suspects: Mutex::default(),
            streams: Mutex::new(Streams::new(clock.now())),
            unstated_ends: Mutex::default(),
            reach: Mutex::default(),
            confirmation: Mutex::default(),
            target_sync: Mutex::default(),
            evacuations: Mutex::default(),
            unsent: Mutex::default(),
            permits: Mutex::default(),
            versions_recalled_at: async_std::sync::Mutex::default(),
            declaration_pace: FollowWaker::default(),
            target_pace: FollowWaker::default(),
            has_reported_demand: AtomicBool::new(false),
            is_registered: AtomicBool::new(false),
            knows_targets: AtomicBool::new(false),
            stop_plan: OnceLock::new(),
            answers_due: Stop::new(),
            ending: Stop::new(),
            requests_running: AtomicU64::new(0),
            last_number: AtomicU64::new(0),
            demand_changed: bounded(1),
            plan_due: bounded(1),
            limit_events: bounded(LIMIT_EVENTS_MAX),
            stream_events: bounded(STREAM_EVENTS_MAX),
            suspects_due: bounded(1),
            probe_due: bounded(1),
        })
    }

    pub(crate) fn now(&self) -> TimeMs {
        self.clock.now()
    }

    pub(crate) fn dispatcher(&self) -> MutexGuard<'_, Dispatcher> {
        lock(&self.dispatcher)
    }

    pub(crate) fn membership(&self) -> MutexGuard<'_, Membership> {
        lock(&self.membership)
    }

    /// Returns the state of orders, in which the store's era is known: no order is given by a lease
    /// that the store has lost.
    pub(crate) fn orders(&self) -> MutexGuard<'_, Orders> {
        let mut orders = lock(&self.orders);
        orders.lease.enter_era(self.now(), self.store_era());
        orders
    }

    /// Returns the newest known era of the store.
    pub(crate) fn store_era(&self) -> u64 {
        self.protocols.store.objects().era()
    }

    pub(crate) fn demand(&self) -> MutexGuard<'_, DemandTable> {
        lock(&self.demand)
    }

    pub(crate) fn rates(&self) -> MutexGuard<'_, Rates> {
        lock(&self.rates)
    }

    pub(crate) fn retries(&self) -> MutexGuard<'_, RetryShare> {
        lock(&self.retries)
    }

    pub(crate) fn run_times(&self) -> MutexGuard<'_, RunTimes> {
        lock(&self.run_times)
    }

    pub(crate) fn suspects(&self) -> MutexGuard<'_, CrashSuspects> {
        lock(&self.suspects)
    }

    pub(crate) fn streams(&self) -> MutexGuard<'_, Streams> {
        lock(&self.streams)
    }

    pub(crate) fn unstated_ends(&self) -> MutexGuard<'_, UnstatedEnds> {
        lock(&self.unstated_ends)
    }

    pub(crate) fn reach(&self) -> MutexGuard<'_, TargetReach> {
        lock(&self.reach)
    }

    /// Returns whether this host reaches no target although others do.
    pub(crate) fn is_cut_off(&self) -> bool {
        self.reach().is_cut_off(self.now())
    }

    pub(crate) fn confirmation(&self) -> MutexGuard<'_, Confirmation> {
        lock(&self.confirmation)
    }

    pub(crate) fn target_sync(&self) -> MutexGuard<'_, TargetSync> {
        lock(&self.target_sync)
    }

    pub(crate) fn evacuations(&self) -> MutexGuard<'_, Evacuations> {
        lock(&self.evacuations)
    }

    pub(crate) fn unsent(&self) -> MutexGuard<'_, Unsent> {
        lock(&self.unsent)
    }

    /// Returns how long a confirmation is valid.
    pub(crate) fn confirmation_ms_max(&self) -> u64 {
        (self.settings.key_revocation_ms_max as f64 * CONFIRMATION_PART) as u64
    }

    /// Returns how long after its data was last current this host may use a target that turns out
    /// to be leaving.
    pub(crate) fn target_use_ms_max(&self) -> u64 {
        self.settings.target_leave_ms_max.saturating_sub(LEAVE_MARGIN_MS)
    }

    /// Returns whether the declaration known here was confirmed as current recently enough to check
    /// keys by it.
    pub(crate) fn is_confirmed(&self, now: TimeMs) -> bool {
        let revision = self.deployment.load().as_ref().map_or(0, |known| known.revision);
        self.confirmation().confirms(revision, self.confirmation_ms_max(), now)
    }

    /// Returns the state that this host reports to others; it accepts callers if ready.
    pub(crate) fn serving_state(&self, now: TimeMs) -> PeerState {
        if self.is_draining() {
            return PeerState::Draining;
        }
        let knows_enough = self.is_registered()
            && self.knows_targets.load(Ordering::Acquire)
            && self.is_confirmed(now);
        match (knows_enough, self.is_cut_off()) {
            (false, _) => PeerState::Starting,
            (true, true) => PeerState::CutOff,
            (true, false) => PeerState::Ready,
        }
    }

    /// Returns whether this host has registered itself and listed the others.
    pub(crate) fn is_registered(&self) -> bool {
        self.is_registered.load(Ordering::Acquire)
    }

    pub(crate) fn set_registered(&self) {
        self.is_registered.store(true, Ordering::Release);
    }

    pub(crate) fn set_knows_targets(&self) {
        self.knows_targets.store(true, Ordering::Release);
    }

    /// Returns the times of the stop sequence, which starts with the first call.
    pub(crate) fn start_draining(&self, stopped_at: TimeMs) -> StopPlan {
        let times = StopTimes {
            grace_ms: self.settings.stop_grace_ms,
            answer_ms: STOP_ANSWER_MS,
            end_ms: STOP_END_MS,
        };
        *self.stop_plan.get_or_init(|| StopPlan::new(stopped_at, times))
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.stop_plan.get().is_some()
    }

    /// Returns the times of the stop sequence, if this host was told to stop.
    pub(crate) fn stop_plan(&self) -> Option<StopPlan> {
        self.stop_plan.get().copied()
    }

    /// Counts a request as running until the guard is dropped.
    pub(crate) fn request_started(self: &Arc<State>) -> RunningRequest {
        self.requests_running.fetch_add(1, Ordering::AcqRel);
        RunningRequest { state: Arc::clone(self) }
    }

    pub(crate) fn requests_running(&self) -> u64 {
        self.requests_running.load(Ordering::Acquire)
    }

    /// Returns a number that is unique within this process.
    pub(crate) fn next_number(&self) -> u64 {
        self.last_number.fetch_add(1, Ordering::AcqRel) + 1
    }

    /// Assigns free slots to waiting requests.
    pub(crate) fn dispatch_waiting(&self) {
        self.dispatcher().dispatch(self.now());
    }

    pub(crate) fn permits(&self) -> MutexGuard<'_, PermitWaiters> {
        lock(&self.permits)
    }

    /// Queues an event for the task that grants permits. If the queue is full, the event is
    /// dropped, like a lost message.
    pub(crate) fn queue_event(&self, event: LimitEvent) {
        if self.limit_events.0.try_send(event).is_err() {
            self.unsent().count_overflow();
        }
    }

    /// Queues an event for the task that sends messages about streams. If the queue is full, the
    /// event is dropped, like a lost message.
    pub(crate) fn queue_stream_event(&self, event: StreamEvent) {
        if self.stream_events.0.try_send(event).is_err() {
            self.unsent().count_overflow();
        }
    }

    pub(crate) fn wake_demand_task(&self) {
        // A full channel already holds a wake-up.
        let _ = self.demand_changed.0.try_send(());
    }

    pub(crate) fn wake_suspects_task(&self) {
        // A full channel already holds a wake-up.
        let _ = self.suspects_due.0.try_send(());
    }

    pub(crate) fn wake_planner(&self) {
        // A full channel already holds a wake-up.
        let _ = self.plan_due.0.try_send(());
    }
}

/// Counts a request as running until it is dropped.
pub(crate) struct RunningRequest {
    state: Arc<State>,
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.state.requests_running.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Returns the size of the account of a process that may use `memory_mb`.
fn account_bytes(memory_mb: u64) -> usize {
    let others_bytes = memory_mb.saturating_sub(OWN_MEMORY_MB).saturating_mul(BYTES_PER_MB);
    ((others_bytes as f64 * ACCOUNT_PART) as usize).max(ACCOUNT_BYTES_MIN)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

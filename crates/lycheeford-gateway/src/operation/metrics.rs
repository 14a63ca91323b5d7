use std::sync::atomic::AtomicU64;

use lycheeford_policy::{CrashCause, Name, RefusalCode, build_name};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::metrics::info::Info;
use prometheus_client::registry::Registry;

use crate::OrderedName;

/// The upper bound of the smallest bucket of every histogram, in milliseconds.
const BUCKET_MS_MIN: f64 = 4.0;
/// The ratio of the upper bound of each bucket to the one before.
const BUCKET_RATIO: f64 = 2.0;
/// The number of buckets of every histogram, up to about half a minute.
const BUCKETS: u16 = 14;

/// A customer and the priority of its requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CustomerLabels {
    customer: String,
    priority: u32,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabels {
    reason: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    outcome: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ListeningLabels {
    listening: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RestLabels {
    rest: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct VersionSourceLabels {
    version_source: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OrderLabels {
    order: &'static str,
    outcome: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct SignalLabels {
    word: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AnswerLabels {
    answer: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CauseLabels {
    cause: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct UnreadLabels {
    what: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct BuildLabels {
    build: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct SourceLabels {
    source: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct HolderLabels {
    host: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TaskLabels {
    task: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StepLabels {
    step: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PriorityLabels {
    priority: u32,
}

type Histograms = Family<CustomerLabels, Histogram, fn() -> Histogram>;

/// The metrics of a gateway; docs/OPERATIONS.md explains each.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    answered: Histograms,
    first_event: Histograms,
    refused: Family<ReasonLabels, Counter>,
    attempts: Family<OutcomeLabels, Counter>,
    streams_cut: Family<CauseLabels, Counter>,
    unstated_ends: Family<ListeningLabels, Counter>,
    rest_requests: Family<RestLabels, Counter>,
    resumes: Family<VersionSourceLabels, Counter>,
    orders: Family<OrderLabels, Counter>,
    signals: Family<SignalLabels, Counter>,
    permits: Family<AnswerLabels, Counter>,
    crash_causes: Family<CauseLabels, Counter>,
    load_forecasts: Family<OutcomeLabels, Counter>,
    unread_messages: Family<UnreadLabels, Counter>,
    task_panics: Family<TaskLabels, Counter>,
    rate_waits: Family<StepLabels, Counter>,
    units_refused_below_level: Counter<f64, AtomicU64>,
    pub(crate) unreadable_entries: Counter,
    /// The requests that targets had, or may have had, when this host's grace ended.
    pub(crate) unanswered_at_stop: Counter,
    pub(crate) revision: Gauge<u64, AtomicU64>,
    pub(crate) holds_orders: Gauge,
    pub(crate) evacuated_domains: Gauge,
    ages: Family<SourceLabels, Gauge>,
    store_era: Gauge,
    hosts_alive: Gauge,
    holder: Family<HolderLabels, Gauge>,
    lines_left_out: Gauge,
    waiting: Family<PriorityLabels, Gauge>,
    displaced: Family<PriorityLabels, Counter>,
    held_before_refusal: Histogram,
    pub(crate) slow_callers_closed: Counter,
    memory_held_bytes: Gauge,
    memory_bytes_max: Gauge,
}

/// The values that are sampled when the metrics are read.
#[derive(Debug)]
pub(crate) struct MetricsSnapshot {
    /// The time since the last moment at which the declaration and the targets known here were
    /// current, according to the store or to other hosts that asked it.
    pub(crate) declaration_age_ms: Option<u64>,
    pub(crate) targets_age_ms: Option<u64>,
    pub(crate) store_era: u64,
    pub(crate) hosts_alive: usize,
    /// The lease holder and the age of the last renewal.
    pub(crate) holder: Option<(Name, u64)>,
    pub(crate) lines_left_out: u64,
    /// The priorities of the requests that wait for a slot.
    pub(crate) waiting: Vec<u8>,
    pub(crate) memory_held_bytes: usize,
    pub(crate) memory_bytes_max: usize,
}

impl Metrics {
    pub(crate) fn new() -> Metrics {
        let mut metrics = Metrics {
            registry: Registry::with_prefix("lycheeford_gateway"),
            answered: Family::new_with_constructor(histogram),
            first_event: Family::new_with_constructor(histogram),
            refused: Family::default(),
            attempts: Family::default(),
            streams_cut: Family::default(),
            unstated_ends: Family::default(),
            rest_requests: Family::default(),
            resumes: Family::default(),
            orders: Family::default(),
            signals: Family::default(),
            permits: Family::default(),
            crash_causes: Family::default(),
            load_forecasts: Family::default(),
            unread_messages: Family::default(),
            task_panics: Family::default(),
            rate_waits: Family::default(),
            units_refused_below_level: Counter::default(),
            unreadable_entries: Counter::default(),
            unanswered_at_stop: Counter::default(),
            revision: Gauge::default(),
            holds_orders: Gauge::default(),
            evacuated_domains: Gauge::default(),
            ages: Family::default(),
            store_era: Gauge::default(),
            hosts_alive: Gauge::default(),
            holder: Family::default(),
            lines_left_out: Gauge::default(),
            waiting: Family::default(),
            displaced: Family::default(),
            held_before_refusal: histogram(),
            slow_callers_closed: Counter::default(),
            memory_held_bytes: Gauge::default(),
            memory_bytes_max: Gauge::default(),
        };
        metrics.register();
        metrics
    }

    /// Returns the metrics in the text format of Prometheus.
    pub(crate) fn text(&self, snapshot: &MetricsSnapshot) -> String {
        self.sample(snapshot);
        let mut text = String::new();
        // Writing to a string can't fail.
        let _ = encode(&mut text, &self.registry);
        text
    }

    fn sample(&self, snapshot: &MetricsSnapshot) {
        let gauge = |number: u64| i64::try_from(number).unwrap_or(i64::MAX);
        let sources =
            [("declaration", snapshot.declaration_age_ms), ("targets", snapshot.targets_age_ms)];
        for (source, age_ms) in sources {
            // No confirmation yet counts as the greatest age.
            let age_ms = age_ms.map_or(i64::MAX, gauge);
            self.ages.get_or_create(&SourceLabels { source }).set(age_ms);
        }
        self.store_era.set(gauge(snapshot.store_era));
        self.hosts_alive.set(gauge(snapshot.hosts_alive as u64));
        self.holder.clear();
        if let Some((holder, age_ms)) = &snapshot.holder {
            let labels = HolderLabels { host: holder.as_str().to_owned() };
            self.holder.get_or_create(&labels).set(gauge(*age_ms));
        }
        self.lines_left_out.set(gauge(snapshot.lines_left_out));
        self.waiting.clear();
        for priority in &snapshot.waiting {
            let labels = PriorityLabels { priority: u32::from(*priority) };
            self.waiting.get_or_create(&labels).inc();
        }
        self.memory_held_bytes.set(gauge(snapshot.memory_held_bytes as u64));
        self.memory_bytes_max.set(gauge(snapshot.memory_bytes_max as u64));
    }

    pub(crate) fn answered(&self, customer: Option<&Name>, priority: u8, total_ms: u64) {
        self.answered.get_or_create(&labels(customer, priority)).observe(total_ms as f64);
    }

    pub(crate) fn first_event(&self, customer: Option<&Name>, priority: u8, first_ms: u64) {
        self.first_event.get_or_create(&labels(customer, priority)).observe(first_ms as f64);
    }

    pub(crate) fn refused(&self, code: RefusalCode) {
        // A code that can't be serialized is counted as `unknown`.
        let reason = serde_json::to_value(code).unwrap_or_default();
        let reason = reason.as_str().unwrap_or("unknown").to_owned();
        self.refused.get_or_create(&ReasonLabels { reason }).inc();
    }

    pub(crate) fn resume(&self, version_source: &'static str) {
        self.resumes.get_or_create(&VersionSourceLabels { version_source }).inc();
    }

    pub(crate) fn attempt(&self, outcome: &'static str) {
        self.attempts.get_or_create(&OutcomeLabels { outcome }).inc();
    }

    /// Counts a stream that was broken off for good.
    pub(crate) fn stream_cut(&self, cause: &'static str) {
        self.streams_cut.get_or_create(&CauseLabels { cause }).inc();
    }

    /// Counts an answer whose end its target didn't state, by whether the target still listened.
    pub(crate) fn unstated_end(&self, listening: &'static str) {
        self.unstated_ends.get_or_create(&ListeningLabels { listening }).inc();
    }

    /// Counts a request for the rest of a stream whose end nobody stated, by what came.
    pub(crate) fn rest_request(&self, rest: &'static str) {
        self.rest_requests.get_or_create(&RestLabels { rest }).inc();
    }

    /// Counts a signal in a target's response, by its kind.
    pub(crate) fn target_signal(&self, signal: &'static str) {
        self.signals.get_or_create(&SignalLabels { word: signal }).inc();
    }

    /// Counts a request that gave way to others for a slot.
    pub(crate) fn displaced(&self, priority: u8) {
        self.displaced.get_or_create(&PriorityLabels { priority: u32::from(priority) }).inc();
    }

    /// Records how long a request had waited for a slot when it was refused.
    pub(crate) fn held_before_refusal(&self, held_ms: u64) {
        self.held_before_refusal.observe(held_ms as f64);
    }

    pub(crate) fn permit(&self, answer: &'static str) {
        self.permits.get_or_create(&AnswerLabels { answer }).inc();
    }

    /// Counts a message of another host of which all or a part wasn't understood.
    pub(crate) fn unread_message(&self, what: &'static str) {
        self.unread_messages.get_or_create(&UnreadLabels { what }).inc();
    }

    pub(crate) fn task_panicked(&self, task: &'static str) {
        self.task_panics.get_or_create(&TaskLabels { task }).inc();
    }

    /// Counts a step of a request's wait for its customer's rate.
    pub(crate) fn rate_wait(&self, step: &'static str) {
        self.rate_waits.get_or_create(&StepLabels { step }).inc();
    }

    /// Counts units that were refused although this host's view of the fleet's level held them.
    pub(crate) fn units_refused_below_level(&self, units: f64) {
        self.units_refused_below_level.inc_by(units);
    }

    /// Counts a request for a model that no target held, by what became of its forecast.
    pub(crate) fn load_forecast(&self, outcome: &'static str) {
        self.load_forecasts.get_or_create(&OutcomeLabels { outcome }).inc();
    }

    /// Counts a reason for which requests are refused from now on.
    pub(crate) fn crash_cause(&self, cause: CrashCause) {
        let cause = match cause {
            CrashCause::Request(_) => "request",
            CrashCause::PromptPart(_) => "prompt_part",
        };
        self.crash_causes.get_or_create(&CauseLabels { cause }).inc();
    }

    pub(crate) fn order(&self, name: &OrderedName, is_accepted: bool) {
        let order = match name {
            OrderedName::Load(_) => "load",
            OrderedName::Unload(_) => "unload",
        };
        let outcome = if is_accepted { "accepted" } else { "other" };
        self.orders.get_or_create(&OrderLabels { order, outcome }).inc();
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        let build = BuildLabels { build: build_name().as_str().to_owned() };
        registry.register("build", "The build of this process", Info::new(build));
        let help = "Messages of other hosts of which all or a part wasn't understood";
        registry.register("unread_messages", help, self.unread_messages.clone());
        let help = "Background tasks that panicked and were started again";
        registry.register("task_panics", help, self.task_panics.clone());
        let help = "Waits of requests for their customers' rates, by step";
        registry.register("rate_waits", help, self.rate_waits.clone());
        let help = "Units refused although the level of the whole rate held them";
        let below_level = self.units_refused_below_level.clone();
        registry.register("units_refused_below_level", help, below_level);
        registry.register("answered_ms", "Time to the end of an answer", self.answered.clone());
        registry.register("first_event_ms", "Time to the first event", self.first_event.clone());
        registry.register("refused", "Refusals by reason", self.refused.clone());
        registry.register("attempts", "Attempts that gave no answer", self.attempts.clone());
        let help = "Streams that were broken off for good";
        registry.register("streams_cut", help, self.streams_cut.clone());
        let help =
            "Answers that ended with their connection, by whether their target still listened";
        registry.register("unstated_ends", help, self.unstated_ends.clone());
        let help = "Requests for the rest of streams whose end nobody stated, by what came";
        registry.register("rest_requests", help, self.rest_requests.clone());
        registry.register(
            "resumes",
            "Requests that resume a stream, by who knew its version",
            self.resumes.clone(),
        );
        registry.register("orders", "Orders to engines", self.orders.clone());
        registry.register("target_words", "What targets said of themselves", self.signals.clone());
        let help = "Answers to questions for permits of targets that name a limit";
        registry.register("target_permits", help, self.permits.clone());
        let help = "Requests and prompt parts that are refused because targets crashed under them";
        registry.register("crash_causes", help, self.crash_causes.clone());
        let help = "Requests for models that no target held, by what became of the forecast";
        registry.register("load_forecasts", help, self.load_forecasts.clone());
        let help = "Changes of targets' entries that can't be read";
        registry.register("unreadable_entries", help, self.unreadable_entries.clone());
        let help = "Requests that had no answer of a target when the grace of this host ended";
        registry.register("unanswered_at_stop", help, self.unanswered_at_stop.clone());
        registry.register("revision", "The declaration in force", self.revision.clone());
        registry.register(
            "holds_orders",
            "Whether this host gives orders to engines",
            self.holds_orders.clone(),
        );
        registry.register(
            "evacuated_domains",
            "Failure domains whose targets get no requests",
            self.evacuated_domains.clone(),
        );
        registry.register(
            "store_era",
            "Rises by one with each restore of the store from an older copy",
            self.store_era.clone(),
        );
        registry.register("age_ms", "Age of what the store last said", self.ages.clone());
        registry.register("hosts_alive", "Other hosts that report", self.hosts_alive.clone());
        registry.register("orders_holder", "Age of the lease by its holder", self.holder.clone());
        registry.register("waiting", "Requests that wait for a slot", self.waiting.clone());
        let help = "Requests that gave way to others for a slot";
        registry.register("displaced", help, self.displaced.clone());
        let help = "Time for which requests waited for a slot before they were refused";
        registry.register("held_before_refusal_ms", help, self.held_before_refusal.clone());
        registry.register(
            "lines_left_out",
            "Lines that the log left out",
            self.lines_left_out.clone(),
        );
        let help = "Connections closed because their callers read slowly and memory was short";
        registry.register("slow_callers_closed", help, self.slow_callers_closed.clone());
        let help = "Memory for bodies, answers and parts of streams that is in use";
        registry.register("memory_held_bytes", help, self.memory_held_bytes.clone());
        let help = "The limit of that memory";
        registry.register("memory_bytes_max", help, self.memory_bytes_max.clone());
    }
}

fn labels(customer: Option<&Name>, priority: u8) -> CustomerLabels {
    let customer = customer.map_or("", |name| name.as_str()).to_owned();
    CustomerLabels { customer, priority: u32::from(priority) }
}

fn histogram() -> Histogram {
    Histogram::new(exponential_buckets(BUCKET_MS_MIN, BUCKET_RATIO, BUCKETS))
}

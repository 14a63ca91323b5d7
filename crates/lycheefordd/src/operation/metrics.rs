use std::sync::atomic::AtomicU64;

use lycheeford_policy::{Configuration, Name, RefusalCode, build_name};
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue, LabelValueEncoder};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::metrics::info::Info;
use prometheus_client::registry::Registry;

/// The upper bound of the first bucket of every histogram.
const BUCKET_MS_MIN: f64 = 1.0;
/// The ratio of a bucket's upper bound to the bound before it.
const BUCKET_RATIO: f64 = 2.0;
/// The number of buckets of every histogram; the last bound is about nine minutes.
const BUCKETS: u16 = 20;

/// The labels of every histogram and of most counters: a customer and its priority class.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct CustomerLabels {
    pub(crate) customer: String,
    pub(crate) class: u32,
}

impl CustomerLabels {
    pub(crate) fn of(configuration: &Configuration, customer: &Name) -> CustomerLabels {
        let class = configuration.customer(customer).map_or(0, |customer| customer.class);
        CustomerLabels { customer: customer.as_str().to_owned(), class: u32::from(class) }
    }
}

/// The labels of the refusal counter; `customer` is empty if the customer isn't known.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RefusalLabels {
    customer: String,
    code: CodeLabel,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct CodeLabel(RefusalCode);

impl EncodeLabelValue for CodeLabel {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> Result<(), std::fmt::Error> {
        let code = serde_json::to_value(self.0).unwrap_or_default();
        EncodeLabelValue::encode(&code.as_str().unwrap_or("unknown"), encoder)
    }
}

/// An event that the daemon counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum Event {
    /// A request was sent to another target after a failure.
    Retry,
    /// A broken stream was resumed at another target.
    Resume,
    /// A caller hung up before the end of its answer.
    HangUp,
    /// A load was planned.
    Load,
    /// An unload was planned.
    Unload,
    /// An order got no answer, so that its outcome is unknown.
    OrderUnknown,
    /// A request was admitted with tokens borrowed from peers.
    Loan,
    /// A target crashed while it ran a request.
    TargetCrash,
    /// A message of another daemon wasn't understood.
    UnreadMessage,
    /// A background task panicked and was started again.
    TaskPanic,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EventLabels {
    event: Event,
}

type Histograms = Family<CustomerLabels, Histogram, fn() -> Histogram>;

/// The metrics that `/metrics` exports. docs/OPERATING.md explains each.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    pub(crate) queueing_ms: Histograms,
    pub(crate) cold_start_ms: Histograms,
    pub(crate) first_token_ms: Histograms,
    pub(crate) between_tokens_ms: Histograms,
    requests: Family<CustomerLabels, Counter>,
    good_answers: Family<CustomerLabels, Counter>,
    tokens: Family<CustomerLabels, Counter>,
    refusals: Family<RefusalLabels, Counter>,
    refusals_within_rate: Family<CustomerLabels, Counter>,
    events: Family<EventLabels, Counter>,
    idle_accelerator_ms: Counter,
    pub(crate) configuration_revision: Gauge<u64, AtomicU64>,
    pub(crate) queued: Gauge,
}

impl Metrics {
    pub(crate) fn new() -> Metrics {
        let mut metrics = Metrics {
            registry: Registry::with_prefix("lycheeford"),
            queueing_ms: Family::new_with_constructor(histogram),
            cold_start_ms: Family::new_with_constructor(histogram),
            first_token_ms: Family::new_with_constructor(histogram),
            between_tokens_ms: Family::new_with_constructor(histogram),
            requests: Family::default(),
            good_answers: Family::default(),
            tokens: Family::default(),
            refusals: Family::default(),
            refusals_within_rate: Family::default(),
            events: Family::default(),
            idle_accelerator_ms: Counter::default(),
            configuration_revision: Gauge::default(),
            queued: Gauge::default(),
        };
        metrics.register();
        metrics
    }

    /// Returns the metrics in the text format of Prometheus.
    pub(crate) fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string can't fail.
        let _ = encode(&mut text, &self.registry);
        text
    }

    pub(crate) fn request(&self, labels: &CustomerLabels) {
        self.requests.get_or_create(labels).inc();
    }

    pub(crate) fn good_answer(&self, labels: &CustomerLabels) {
        self.good_answers.get_or_create(labels).inc();
    }

    pub(crate) fn tokens(&self, labels: &CustomerLabels, tokens: u64) {
        self.tokens.get_or_create(labels).inc_by(tokens);
    }

    pub(crate) fn refusal(&self, customer: Option<&Name>, code: RefusalCode) {
        let customer = customer.map_or("", |name| name.as_str()).to_owned();
        self.refusals.get_or_create(&RefusalLabels { customer, code: CodeLabel(code) }).inc();
    }

    pub(crate) fn refusal_within_rate(&self, labels: &CustomerLabels) {
        self.refusals_within_rate.get_or_create(labels).inc();
    }

    pub(crate) fn event(&self, event: Event) {
        self.events.get_or_create(&EventLabels { event }).inc();
    }

    pub(crate) fn idle_accelerators(&self, ms: u64) {
        self.idle_accelerator_ms.inc_by(ms);
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        let build = [("build", build_name().as_str().to_owned())];
        registry.register("build", "The build of this process", Info::new(build.to_vec()));
        let mut histogram = |name: &str, help: &str, metric: &Histograms| {
            registry.register(name, help, metric.clone());
        };
        histogram("queueing_ms", "Time that a request waited for a replica", &self.queueing_ms);
        histogram("cold_start_ms", "Time to the first token of a cold model", &self.cold_start_ms);
        histogram("first_token_ms", "Time to the first token", &self.first_token_ms);
        histogram("between_tokens_ms", "Time between two tokens", &self.between_tokens_ms);
        registry.register("requests", "Requests of a known customer", self.requests.clone());
        registry.register("good_answers", "Whole answers in time", self.good_answers.clone());
        registry.register("tokens", "Tokens received", self.tokens.clone());
        registry.register("refusals", "Refusals by reason", self.refusals.clone());
        registry.register(
            "refusals_within_rate",
            "Requests refused for their rate although the customer was within it",
            self.refusals_within_rate.clone(),
        );
        registry.register("events", "Events by kind", self.events.clone());
        registry.register(
            "idle_accelerator_ms",
            "Time that accelerators held replicas without a request, seen as coordinator",
            self.idle_accelerator_ms.clone(),
        );
        registry.register(
            "configuration_revision",
            "The configuration revision in force",
            self.configuration_revision.clone(),
        );
        registry.register("queued", "Requests that wait for a replica", self.queued.clone());
    }
}

fn histogram() -> Histogram {
    Histogram::new(exponential_buckets(BUCKET_MS_MIN, BUCKET_RATIO, BUCKETS))
}

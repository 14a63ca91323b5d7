use lycheeford_policy::{Incarnation, Name};

/// One message between daemons.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// Says who speaks; the first frame in each direction.
    Hello(Hello),
    /// Asks for a peer's state and tells one's own.
    Beat(Beat),
    /// Answers a beat on the same connection.
    BeatReply(Beat),
    /// Asks for tokens.
    LoanRequest(LoanRequest),
    /// Lends tokens, or refuses to with zero.
    LoanGrant(LoanGrant),
    /// Tells how many lent tokens were used.
    LoanSettlement(LoanSettlement),
    /// Asks what became of a loan.
    LoanQuery(LoanQuery),
    /// Tells the coordinator what callers wait for.
    DemandReport(DemandReport),
    /// Tells every host where replicas are ready.
    PlacementReport(PlacementReport),
    /// Shares which requests were running when a target died.
    CrashReport(Vec<CrashCount>),
    /// Asks whether all frames before it were taken; the value pairs it with its answer.
    Flush(u64),
    /// Answers a flush on the same connection.
    Flushed(u64),
}

/// Who speaks on a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hello {
    /// The host's name.
    pub host: Name,
    /// The life of its daemon.
    pub incarnation: Incarnation,
}

/// A beat or its answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Beat {
    /// Pairs an answer with its beat.
    pub sequence: u64,
    /// The sender's state.
    pub report: HostReport,
}

/// What a daemon says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostReport {
    /// The host's name.
    pub host: Name,
    /// The life of its daemon.
    pub incarnation: Incarnation,
    /// The configuration revision that it has in force.
    pub configuration_revision: u64,
    /// The age of its own last confirmation that this revision is current.
    pub confirmed_age_ms: Option<u64>,
    /// Whether it takes no new callers.
    pub draining: bool,
    /// What it could lend.
    pub spare: Vec<SpareTokens>,
}

/// Tokens of one customer that a host could lend.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SpareTokens {
    /// The customer.
    pub customer: Name,
    /// How many tokens.
    pub tokens: u64,
}

/// Asks for tokens of a customer for one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoanRequest {
    /// Unique for the borrower's life.
    pub loan_id: u64,
    /// The customer.
    pub customer: Name,
    /// How many tokens the request lacks.
    pub tokens: u64,
}

/// Lends tokens that the sender has set aside.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoanGrant {
    /// The borrower's id of the loan.
    pub loan_id: u64,
    /// The customer.
    pub customer: Name,
    /// How many tokens are lent; zero refuses.
    pub tokens: u64,
    /// When the lender expects to have the tokens, if it refused.
    pub ready_in_ms: Option<u64>,
}

/// Tells the lender how many of the lent tokens were used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoanSettlement {
    /// The borrower's id of the loan.
    pub loan_id: u64,
    /// The customer.
    pub customer: Name,
    /// How many tokens were used; the rest returns to the lender.
    pub used_tokens: u64,
}

/// Asks a borrower what became of a loan whose settlement is missing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoanQuery {
    /// The borrower's id of the loan.
    pub loan_id: u64,
    /// The customer.
    pub customer: Name,
}

/// A host's whole demand, which replaces its earlier report.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DemandReport {
    /// What callers wait for.
    pub demands: Vec<Demand>,
    /// What was served since the last report.
    pub served: Vec<Served>,
    /// How many requests of this host run at each target.
    pub loads: Vec<TargetLoad>,
}

/// Requests of one customer that wait for one model or adapter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Demand {
    /// The model or adapter.
    pub name: Name,
    /// The customer.
    pub customer: Name,
    /// The customer's class; 0 goes first.
    pub class: u8,
    /// How many requests wait.
    pub waiting: u32,
    /// When the first of them must be answered.
    pub deadline_in_ms: u64,
    /// How long the first of them has waited.
    pub waited_ms: u64,
}

/// Requests served for one model or adapter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Served {
    /// The model or adapter.
    pub name: Name,
    /// How many requests.
    pub requests: u32,
}

/// Requests of one host that run at one target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetLoad {
    /// The target.
    pub target: Name,
    /// How many requests run.
    pub running: u32,
}

/// The coordinator's whole view of replicas.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PlacementReport {
    /// Grows with each change of one coordinator's view.
    pub sequence: u64,
    /// The targets, sorted by name.
    pub targets: Vec<TargetPlacement>,
    /// What is being loaded.
    pub expected: Vec<Expected>,
    /// What won't be loaded in time.
    pub refused: Vec<Refused>,
}

/// What one target can serve.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetPlacement {
    /// The target.
    pub target: Name,
    /// The life of its engine.
    pub incarnation: Incarnation,
    /// Whether it may get new work.
    pub accepts_work: bool,
    /// Requests that run on it.
    pub running: u32,
    /// Requests that wait on it.
    pub queued: u32,
    /// The models and adapters that are ready, sorted.
    pub ready: Vec<Name>,
}

/// A load under way or waiting its turn.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Expected {
    /// The model or adapter.
    pub name: Name,
    /// When it is likely to be ready.
    pub ready_in_ms: u64,
}

/// A demand that can't be met before its deadline.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refused {
    /// The model or adapter.
    pub name: Name,
    /// The customer.
    pub customer: Name,
    /// When to come back.
    pub retry_after_ms: u64,
}

/// How often one request was running when its target died.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashCount {
    /// The request's fingerprint.
    pub fingerprint: u64,
    /// How many targets died.
    pub crashes: u32,
}

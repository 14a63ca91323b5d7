use lycheeford_policy::{
    Activity, AskId, CrashSuspect, Demand, Incarnation, Instance, Loan, LoanId, LoanReport, Name,
};

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
    LoanAsk(LoanAsk),
    /// Lends tokens.
    LoanOffer(LoanOffer),
    /// Lends nothing.
    LoanRefusal(LoanRefusal),
    /// Asks how a loan stands.
    LoanQuery(LoanOffer),
    /// Tells how a loan stands.
    LoanReport(CustomerLoanReport),
    /// Tells that a loan is settled.
    LoanSettled(LoanSettled),
    /// Asks whether the receiver holds no loan of a former holder.
    DisclaimAsk(FormerHolder),
    /// Tells that the sender holds no such loan and accepts none any more.
    Disclaimed(FormerHolder),
    /// Tells the coordinator what callers wait for.
    DemandReport(DemandReport),
    /// Tells every host where replicas are ready.
    PlacementReport(PlacementReport),
    /// Shares which requests were running when a target died.
    CrashReport(Vec<CrashSuspect>),
    /// Asks for a newer configuration; the value names the chunks that the sender has.
    ConfigurationAsk(Vec<Name>),
    /// Gives a newer configuration.
    ConfigurationOffer(ConfigurationOffer),
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
pub struct LoanAsk {
    /// The customer.
    pub customer: Name,
    /// The borrower's id of the question.
    pub ask: AskId,
    /// How many tokens the request lacks.
    pub tokens: u64,
}

/// A loan of a customer's tokens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoanOffer {
    /// The customer.
    pub customer: Name,
    /// The loan.
    pub loan: Loan,
}

/// Lends nothing, and says what the sender has.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoanRefusal {
    /// The customer.
    pub customer: Name,
    /// The question.
    pub ask: AskId,
    /// What the sender could lend now.
    pub spare_tokens: u64,
}

/// Tells how a loan stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CustomerLoanReport {
    /// The customer.
    pub customer: Name,
    /// How it stands.
    pub report: LoanReport,
}

/// Tells a borrower that a loan is settled.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoanSettled {
    /// The customer.
    pub customer: Name,
    /// The loan.
    pub id: LoanId,
}

/// A former holder of a customer's share, whose loans are asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FormerHolder {
    /// The customer.
    pub customer: Name,
    /// The holder.
    pub former: Instance,
}

/// A host's whole demand, which replaces its earlier report.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DemandReport {
    /// What callers wait for.
    pub demands: Vec<Demand>,
    /// What the host's requests use.
    pub activity: Vec<Activity>,
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

/// A committed configuration's head, with some of its chunks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigurationOffer {
    /// The head in its stored form.
    pub head_json: String,
    /// Chunks that the receiver lacks.
    pub chunks: Vec<ConfigurationChunk>,
}

/// An immutable part of a configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigurationChunk {
    /// The digest of the text.
    pub name: Name,
    /// The text.
    pub text: String,
}

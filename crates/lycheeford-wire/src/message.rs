use lycheeford_policy::{
    Activity, AskId, CrashSuspect, Demand, Incarnation, Instance, Loan, LoanId, LoanReport, Name,
};

/// One message between daemons.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// Identifies the sender; the first frame that the connecting daemon sends.
    Hello(Hello),
    /// Heartbeat: reports the sender's state and asks for the receiver's.
    Beat(Beat),
    /// Answers a beat on the same connection.
    BeatReply(Beat),
    /// Asks to borrow tokens of a customer's rate limit.
    LoanAsk(LoanAsk),
    /// Grants a loan of tokens.
    LoanOffer(LoanOffer),
    /// Declines a loan.
    LoanRefusal(LoanRefusal),
    /// Asks the borrower for the state of a loan.
    LoanQuery(LoanOffer),
    /// Reports the state of a loan to its lender.
    LoanReport(CustomerLoanReport),
    /// Notifies the borrower that the lender has settled a loan.
    LoanSettled(LoanSettled),
    /// Asks the receiver to confirm that it has no loan from a former holder of a share.
    DisclaimAsk(FormerHolder),
    /// Confirms that the sender has no such loan and accepts none any more.
    Disclaimed(FormerHolder),
    /// Reports to the coordinator which models and adapters callers wait for.
    DemandReport(DemandReport),
    /// Reports to every host where replicas are ready.
    PlacementReport(PlacementReport),
    /// Reports which requests were running when a target crashed.
    CrashReport(Vec<CrashSuspect>),
    /// Requests a newer configuration; the value names the chunks that the sender already has.
    ConfigurationAsk(Vec<Name>),
    /// Sends a newer configuration.
    ConfigurationOffer(ConfigurationOffer),
    /// Asks to confirm that all earlier frames were handled; the value identifies the answer.
    Flush(u64),
    /// Answers a flush with its value, on the same connection.
    Flushed(u64),
}

/// The identity of the daemon that opened a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hello {
    /// The host's name.
    pub host: Name,
    /// The incarnation of its daemon, which increases with each restart.
    pub incarnation: Incarnation,
    /// The name of the daemon's build; `None` if the build is older than the field.
    pub build: Option<Name>,
}

/// A heartbeat or the reply to it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Beat {
    /// The same number in a beat and in the reply to it.
    pub sequence: u64,
    /// The sender's state.
    pub report: HostReport,
}

/// The state that a daemon reports in its beats and replies.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostReport {
    /// The host's name.
    pub host: Name,
    /// The incarnation of its daemon, which increases with each restart.
    pub incarnation: Incarnation,
    /// The revision of the configuration that the daemon uses.
    pub configuration_revision: u64,
    /// How long ago the daemon itself last confirmed that this revision is current; `None` if it
    /// never has.
    pub confirmed_age_ms: Option<u64>,
    /// Whether the daemon accepts no new callers.
    pub draining: bool,
    /// The tokens that the host could lend; only replies to beats contain them.
    pub spare: Vec<SpareTokens>,
}

/// Tokens of one customer's rate limit that a host could lend.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SpareTokens {
    /// The customer whose tokens could be lent.
    pub customer: Name,
    /// The number of tokens.
    pub tokens: u64,
}

/// Asks to borrow tokens of a customer's rate limit for one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoanAsk {
    /// The customer whose request lacks tokens.
    pub customer: Name,
    /// The borrower's id of this ask.
    pub ask: AskId,
    /// The number of tokens that the request lacks.
    pub tokens: u64,
}

/// A loan of tokens of a customer's rate limit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoanOffer {
    /// The customer whose tokens are lent.
    pub customer: Name,
    /// The loan that is granted, or asked about in a [`Message::LoanQuery`].
    pub loan: Loan,
}

/// Declines a loan, and reports what the sender could lend.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoanRefusal {
    /// The customer whose tokens were asked for.
    pub customer: Name,
    /// The ask that is declined.
    pub ask: AskId,
    /// The number of tokens that the sender could lend now.
    pub spare_tokens: u64,
}

/// Reports the state of a loan to its lender.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CustomerLoanReport {
    /// The customer whose tokens are lent.
    pub customer: Name,
    /// The loan and its state at the borrower.
    pub report: LoanReport,
}

/// Notifies a borrower that the lender has settled a loan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoanSettled {
    /// The customer whose tokens were lent.
    pub customer: Name,
    /// The loan that is settled.
    pub id: LoanId,
}

/// A former holder of a share of a customer's rate limit, which may have lent tokens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FormerHolder {
    /// The customer whose rate limit the share is part of.
    pub customer: Name,
    /// The instance of a daemon that held the share.
    pub former: Instance,
}

/// The complete demand of a host, which replaces its earlier report.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DemandReport {
    /// The models and adapters that callers wait for.
    pub demands: Vec<Demand>,
    /// The models and adapters that the host's requests use.
    pub activity: Vec<Activity>,
}

/// The coordinator's complete view of replicas.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PlacementReport {
    /// Increases with each change of one coordinator's view.
    pub sequence: u64,
    /// The targets, sorted by name.
    pub targets: Vec<TargetPlacement>,
    /// Models and adapters whose loads are in progress or queued.
    pub expected: Vec<Expected>,
    /// Demands that can't be met before their deadlines.
    pub refused: Vec<Refused>,
}

/// The models and adapters that one target can serve, and its load.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetPlacement {
    /// The name of the target.
    pub target: Name,
    /// The incarnation of its engine, which increases with each restart.
    pub incarnation: Incarnation,
    /// Whether new requests may be sent to the target.
    pub accepts_work: bool,
    /// The number of requests that run on the target.
    pub running: u32,
    /// The number of requests that wait on the target.
    pub queued: u32,
    /// The models and adapters that are loaded and ready, sorted.
    pub ready: Vec<Name>,
}

/// A load that is in progress or queued.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Expected {
    /// The model or adapter.
    pub name: Name,
    /// The expected time until the model or adapter is ready.
    pub ready_in_ms: u64,
}

/// A demand that can't be met before its deadline.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refused {
    /// The model or adapter.
    pub name: Name,
    /// The customer whose requests are refused.
    pub customer: Name,
    /// How long the caller should wait before it retries.
    pub retry_after_ms: u64,
}

/// The head of a committed configuration, with some of its chunks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigurationOffer {
    /// The head in its stored JSON form.
    pub head_json: String,
    /// Chunks that the receiver lacks.
    pub chunks: Vec<ConfigurationChunk>,
}

/// An immutable part of a configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigurationChunk {
    /// The digest of the text, which identifies the chunk.
    pub name: Name,
    /// The content of the chunk.
    pub text: String,
}

use crate::Instance;

/// Names one question for a loan, within one life of the borrower.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AskId(pub u64);

/// Names one loan over the whole fleet.
///
/// Between daemons only the question's number travels: a connection belongs to
/// one life at each end, which the daemon fills in from its greeting.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct LoanId {
    /// The life of the peer that lends.
    pub lender: Instance,
    /// The life of the peer that asked.
    pub borrower: Instance,
    /// The question, which is put to one lender only.
    pub ask: AskId,
}

/// Tokens lent to a peer for one request of its own.
///
/// The lender has moved them out of its level before the message leaves; a
/// lost message costs tokens until it is settled, and never the promise.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Loan {
    /// The loan.
    pub id: LoanId,
    /// The tokens.
    pub tokens: u64,
}

/// What a borrower says about a loan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoanReport {
    /// The loan.
    pub id: LoanId,
    /// How it stands.
    pub state: LoanState,
}

/// How a loan stands at its borrower.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoanState {
    /// The request still runs; the lender asks again later.
    Running {
        /// The tokens that were spent so far.
        used_tokens: u64,
    },
    /// The borrower spends no more of it.
    Closed {
        /// The tokens that were spent.
        used_tokens: u64,
        /// The tokens that go back to the lender's level.
        returned_tokens: u64,
    },
    /// The loan was to an earlier life of this host, so all of it counts as spent.
    BorrowerGone,
}

/// What became of a loan that arrived.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LoanArrival {
    /// It joined the reservation that asked for it.
    Accepted {
        /// The tokens that the reservation still lacks.
        missing_tokens: u64,
    },
    /// It was here before; nothing changed.
    Duplicate,
    /// Nobody waits for it; the report goes to the lender.
    Returned(LoanReport),
}

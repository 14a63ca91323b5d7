use crate::Instance;

/// Identifies a loan request, within one incarnation of the borrower.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AskId(pub u64);

/// Identifies a loan over the whole fleet.
///
/// Messages between daemons contain only the number of the loan request: a connection belongs to
/// one incarnation at each end, and the daemon fills in the two incarnations from the greeting of
/// the connection.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct LoanId {
    /// The incarnation of the peer that lends.
    pub lender: Instance,
    /// The incarnation of the peer that requested the loan.
    pub borrower: Instance,
    /// The loan request, which is sent to one lender only.
    pub ask: AskId,
}

/// Tokens lent to a peer for one of its requests.
///
/// The lender has moved the tokens out of its level before the message is sent. A lost message
/// makes the tokens unavailable until the loan is settled, but never lets the fleet exceed the
/// limit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Loan {
    /// The id of the loan, which contains lender and borrower.
    pub id: LoanId,
    /// The number of tokens lent.
    pub tokens: u64,
}

/// The report of a borrower on a loan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoanReport {
    /// The id of the loan.
    pub id: LoanId,
    /// The state of the loan at its borrower.
    pub state: LoanState,
}

/// The state of a loan at its borrower.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoanState {
    /// The request still runs; the lender asks again later.
    Running {
        /// The number of tokens spent so far.
        used_tokens: u64,
    },
    /// The borrower spends no more tokens of the loan.
    Closed {
        /// The number of tokens spent.
        used_tokens: u64,
        /// The number of tokens that return to the level of the lender.
        returned_tokens: u64,
    },
    /// The loan went to an earlier incarnation of the borrower's host, so all of its tokens count
    /// as spent.
    BorrowerGone,
}

/// The result of receiving a loan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LoanArrival {
    /// The loan was added to the reservation that requested it.
    Accepted {
        /// The number of tokens that the reservation still lacks.
        missing_tokens: u64,
    },
    /// The loan was received before; nothing changed.
    Duplicate,
    /// No reservation of this incarnation waits for the loan; the report has to be sent to the
    /// lender.
    Returned(LoanReport),
}

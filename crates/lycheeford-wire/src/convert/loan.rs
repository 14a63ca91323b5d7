use lycheeford_policy::{AskId, Incarnation, Instance, Loan, LoanId, LoanReport, LoanState};

use super::{checked_name, required};
use crate::error::WireError;
use crate::generated as wire;
use crate::generated::loan_report::State;
use crate::message::{CustomerLoanReport, LoanAsk, LoanOffer, LoanRefusal, LoanSettled};

impl From<LoanAsk> for wire::LoanAsk {
    fn from(domain: LoanAsk) -> wire::LoanAsk {
        wire::LoanAsk {
            customer: domain.customer.as_str().to_owned(),
            ask: domain.ask.0,
            tokens: domain.tokens,
        }
    }
}

impl TryFrom<wire::LoanAsk> for LoanAsk {
    type Error = WireError;

    fn try_from(wire: wire::LoanAsk) -> Result<LoanAsk, WireError> {
        Ok(LoanAsk {
            customer: checked_name(wire.customer, "customer")?,
            ask: AskId(wire.ask),
            tokens: wire.tokens,
        })
    }
}

impl From<LoanOffer> for wire::LoanOffer {
    fn from(domain: LoanOffer) -> wire::LoanOffer {
        wire::LoanOffer {
            customer: domain.customer.as_str().to_owned(),
            loan: Some(domain.loan.into()),
        }
    }
}

impl TryFrom<wire::LoanOffer> for LoanOffer {
    type Error = WireError;

    fn try_from(wire: wire::LoanOffer) -> Result<LoanOffer, WireError> {
        Ok(LoanOffer {
            customer: checked_name(wire.customer, "customer")?,
            loan: required(wire.loan, "loan")?,
        })
    }
}

impl From<LoanRefusal> for wire::LoanRefusal {
    fn from(domain: LoanRefusal) -> wire::LoanRefusal {
        wire::LoanRefusal {
            customer: domain.customer.as_str().to_owned(),
            ask: domain.ask.0,
            spare_tokens: domain.spare_tokens,
        }
    }
}

impl TryFrom<wire::LoanRefusal> for LoanRefusal {
    type Error = WireError;

    fn try_from(wire: wire::LoanRefusal) -> Result<LoanRefusal, WireError> {
        Ok(LoanRefusal {
            customer: checked_name(wire.customer, "customer")?,
            ask: AskId(wire.ask),
            spare_tokens: wire.spare_tokens,
        })
    }
}

impl From<LoanSettled> for wire::LoanSettled {
    fn from(domain: LoanSettled) -> wire::LoanSettled {
        wire::LoanSettled {
            customer: domain.customer.as_str().to_owned(),
            id: Some(domain.id.into()),
        }
    }
}

impl TryFrom<wire::LoanSettled> for LoanSettled {
    type Error = WireError;

    fn try_from(wire: wire::LoanSettled) -> Result<LoanSettled, WireError> {
        Ok(LoanSettled {
            customer: checked_name(wire.customer, "customer")?,
            id: required(wire.id, "id")?,
        })
    }
}

impl From<Instance> for wire::Instance {
    fn from(domain: Instance) -> wire::Instance {
        wire::Instance { host: domain.host.as_str().to_owned(), incarnation: domain.incarnation.0 }
    }
}

impl TryFrom<wire::Instance> for Instance {
    type Error = WireError;

    fn try_from(wire: wire::Instance) -> Result<Instance, WireError> {
        Ok(Instance {
            host: checked_name(wire.host, "host")?,
            incarnation: Incarnation(wire.incarnation),
        })
    }
}

impl From<LoanId> for wire::LoanId {
    fn from(domain: LoanId) -> wire::LoanId {
        wire::LoanId {
            lender: Some(domain.lender.into()),
            borrower: Some(domain.borrower.into()),
            ask: domain.ask.0,
        }
    }
}

impl TryFrom<wire::LoanId> for LoanId {
    type Error = WireError;

    fn try_from(wire: wire::LoanId) -> Result<LoanId, WireError> {
        Ok(LoanId {
            lender: required(wire.lender, "lender")?,
            borrower: required(wire.borrower, "borrower")?,
            ask: AskId(wire.ask),
        })
    }
}

impl From<Loan> for wire::Loan {
    fn from(domain: Loan) -> wire::Loan {
        wire::Loan { id: Some(domain.id.into()), tokens: domain.tokens }
    }
}

impl TryFrom<wire::Loan> for Loan {
    type Error = WireError;

    fn try_from(wire: wire::Loan) -> Result<Loan, WireError> {
        Ok(Loan { id: required(wire.id, "id")?, tokens: wire.tokens })
    }
}

impl From<CustomerLoanReport> for wire::LoanReport {
    fn from(domain: CustomerLoanReport) -> wire::LoanReport {
        let state = match domain.report.state {
            LoanState::Running { used_tokens } => State::Running(wire::Running { used_tokens }),
            LoanState::Closed { used_tokens, returned_tokens } => {
                State::Closed(wire::Closed { used_tokens, returned_tokens })
            }
            LoanState::BorrowerGone => State::BorrowerGone(wire::BorrowerGone {}),
        };
        wire::LoanReport {
            customer: domain.customer.as_str().to_owned(),
            id: Some(domain.report.id.into()),
            state: Some(state),
        }
    }
}

impl TryFrom<wire::LoanReport> for CustomerLoanReport {
    type Error = WireError;

    fn try_from(wire: wire::LoanReport) -> Result<CustomerLoanReport, WireError> {
        let state = match wire.state.ok_or_else(|| WireError::missing("state"))? {
            State::Running(wire::Running { used_tokens }) => LoanState::Running { used_tokens },
            State::Closed(wire::Closed { used_tokens, returned_tokens }) => {
                LoanState::Closed { used_tokens, returned_tokens }
            }
            State::BorrowerGone(_) => LoanState::BorrowerGone,
        };
        Ok(CustomerLoanReport {
            customer: checked_name(wire.customer, "customer")?,
            report: LoanReport { id: required(wire.id, "id")?, state },
        })
    }
}

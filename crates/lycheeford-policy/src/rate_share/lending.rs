use super::{RateShare, ReservationId};
use crate::loan::{AskId, Loan, LoanArrival, LoanId, LoanReport, LoanState};
use crate::token_bucket::{NANOTOKENS_PER_TOKEN, lendable_nano, to_nanotokens};
use crate::{GoneProofs, Instance, Name, TimeMs};

/// Loans of tokens between daemons, on the side of the lender and of the borrower.
impl RateShare {
    /// Opens a loan request to `lender` for a reservation; at most one loan answers it.
    pub fn open_ask(&mut self, id: ReservationId, lender: &Name) -> Option<AskId> {
        self.position(id)?;
        let ask = AskId(self.next_number());
        self.borrowed.open_ask(ask, id, lender);
        Some(ask)
    }

    /// Adds a received loan to the reservation that requested it.
    pub fn accept_loan(&mut self, loan: &Loan) -> LoanArrival {
        if loan.id.borrower != self.own_instance {
            return LoanArrival::Returned(self.report_for_other_instance(loan));
        }
        if self.borrowed.contains(&loan.id) {
            return LoanArrival::Duplicate;
        }
        let Some(id) = self.borrowed.take_ask(loan) else {
            return LoanArrival::Returned(unused_loan_report(loan));
        };
        let Some(index) = self.position(id) else {
            return LoanArrival::Returned(unused_loan_report(loan));
        };
        let reservation = &mut self.reservations[index];
        reservation.loans.push(loan.id.clone());
        reservation.missing_tokens = reservation.missing_tokens.saturating_sub(loan.tokens);
        self.borrowed.record(loan);
        LoanArrival::Accepted { missing_tokens: reservation.missing_tokens }
    }

    /// Returns the state of a loan, to answer its lender.
    ///
    /// A loan that has not arrived is rejected from now on, so that it can be reported as returned
    /// in full.
    pub fn report_loan(&mut self, loan: &Loan) -> LoanReport {
        if loan.id.borrower != self.own_instance {
            return self.report_for_other_instance(loan);
        }
        if let Some(report) = self.borrowed.report(&loan.id) {
            return report;
        }
        self.borrowed.close_ask(loan.id.ask);
        unused_loan_report(loan)
    }

    /// Removes a closed loan after its lender has settled it.
    pub fn forget_loan(&mut self, id: &LoanId) {
        self.borrowed.forget(id);
    }

    /// Lends up to `tokens` for a peer's loan request, or returns `None` if no tokens can be
    /// spared.
    ///
    /// A repeated request gets the same loan again while that loan is outstanding. The tokens leave
    /// the local level here, before the message is sent. Lend only to hosts on the platform's list:
    /// a later holder of this share asks the listed hosts which loans they still hold.
    pub fn lend(
        &mut self,
        now: TimeMs,
        borrower: &Instance,
        ask: AskId,
        tokens: u64,
    ) -> Option<Loan> {
        let id = LoanId { lender: self.own_instance.clone(), borrower: borrower.clone(), ask };
        if let Some(loan) = self.outstanding_loans.get(&id) {
            return Some(loan.clone());
        }
        let granted = self.bucket.commit(now, tokens.min(self.lendable_tokens()));
        if granted == 0 {
            return None;
        }
        let loan = Loan { id, tokens: granted };
        self.outstanding_loans.record(now, &loan);
        Some(loan)
    }

    /// Returns the tokens that a peer could borrow; each message to a peer announces this number.
    pub fn spare_tokens(&mut self, now: TimeMs) -> u64 {
        self.bucket.level_tokens(now).min(self.lendable_tokens())
    }

    /// Settles a loan of this incarnation by its borrower's report; a repeated report changes
    /// nothing.
    ///
    /// The tokens that a running loan has spent so far are counted as spent at once, so that the
    /// bucket can refill. Returns whether the borrower may remove its record of the loan.
    pub fn settle(&mut self, now: TimeMs, report: &LoanReport) -> bool {
        let returned_tokens = match report.state {
            LoanState::Running { used_tokens } => {
                let newly_used = self.outstanding_loans.spend_up_to(&report.id, used_tokens);
                self.bucket.spend(now, newly_used);
                return false;
            }
            LoanState::Closed { returned_tokens, .. } => returned_tokens,
            LoanState::BorrowerGone => 0,
        };
        let Some(left_tokens) = self.outstanding_loans.remove(&report.id) else { return true };
        let returned_tokens = returned_tokens.min(left_tokens);
        self.bucket.spend(now, left_tokens - returned_tokens);
        self.bucket.put_back(now, returned_tokens);
        true
    }

    /// Counts the loans to borrowers proven gone as spent, and removes closed loans from lenders
    /// proven gone.
    pub fn settle_gone(&mut self, now: TimeMs, gone: &GoneProofs) {
        self.borrowed.forget_gone(gone);
        let left_tokens = self.outstanding_loans.remove_gone(gone);
        self.bucket.spend(now, left_tokens);
    }

    /// Returns the loans that have been outstanding for at least `age_ms`, whose borrowers should
    /// be asked for a report.
    pub fn overdue_loans(&self, now: TimeMs, age_ms: u64) -> Vec<Loan> {
        self.outstanding_loans.older_than(now, age_ms)
    }

    fn lendable_tokens(&self) -> u64 {
        let limit_nano = lendable_nano(self.bucket.limits(), self.bucket.share_ppm());
        let outstanding_nano = to_nanotokens(self.outstanding_loans.tokens()) + self.inherited_nano;
        (limit_nano.saturating_sub(outstanding_nano) / NANOTOKENS_PER_TOKEN) as u64
    }

    fn report_for_other_instance(&self, loan: &Loan) -> LoanReport {
        let state = if self.own_instance.succeeds(&loan.id.borrower) {
            LoanState::BorrowerGone
        } else {
            LoanState::Running { used_tokens: 0 }
        };
        LoanReport { id: loan.id.clone(), state }
    }
}

fn unused_loan_report(loan: &Loan) -> LoanReport {
    let state = LoanState::Closed { used_tokens: 0, returned_tokens: loan.tokens };
    LoanReport { id: loan.id.clone(), state }
}

use super::{RateShare, ReservationId};
use crate::loan::{AskId, Loan, LoanArrival, LoanId, LoanReport, LoanState};
use crate::token_bucket::{NANO, lendable_nano, nano};
use crate::{GoneProofs, Instance, Name, TimeMs};

/// Loans, as their lender and as their borrower.
impl RateShare {
    /// Opens a question to `lender` for a reservation; it takes one loan at most.
    pub fn open_ask(&mut self, id: ReservationId, lender: &Name) -> Option<AskId> {
        self.position(id)?;
        let ask = AskId(self.next_number());
        self.borrowed.open_ask(ask, id, lender);
        Some(ask)
    }

    /// Takes a loan in for the reservation that asked for it.
    pub fn accept_loan(&mut self, loan: &Loan) -> LoanArrival {
        if loan.id.borrower != self.me {
            return LoanArrival::Returned(self.foreign_report(loan));
        }
        if self.borrowed.contains(&loan.id) {
            return LoanArrival::Duplicate;
        }
        let Some(id) = self.borrowed.take_ask(loan) else {
            return LoanArrival::Returned(unused(loan));
        };
        let Some(index) = self.position(id) else {
            return LoanArrival::Returned(unused(loan));
        };
        let reservation = &mut self.reservations[index];
        reservation.loans.push(loan.id.clone());
        reservation.missing_tokens = reservation.missing_tokens.saturating_sub(loan.tokens);
        self.borrowed.record(loan);
        LoanArrival::Accepted { missing_tokens: reservation.missing_tokens }
    }

    /// Answers a lender that asks how its loan stands.
    ///
    /// A loan that never arrived is refused from now on, so that it can be
    /// returned whole.
    pub fn report_loan(&mut self, loan: &Loan) -> LoanReport {
        if loan.id.borrower != self.me {
            return self.foreign_report(loan);
        }
        if let Some(report) = self.borrowed.report(&loan.id) {
            return report;
        }
        self.borrowed.close_ask(loan.id.ask);
        unused(loan)
    }

    /// Forgets a closed loan after its lender has settled it.
    pub fn forget_loan(&mut self, id: &LoanId) {
        self.borrowed.forget(id);
    }

    /// Lends up to `tokens` to the peer's question, or `None` without any to spare.
    ///
    /// A doubled question gets the same loan again while it is out.
    /// The tokens leave the level here, before the message is sent. Lend only to
    /// a host of the platform's list: a later holder asks the listed hosts what
    /// they still hold.
    pub fn lend(
        &mut self,
        now: TimeMs,
        borrower: &Instance,
        ask: AskId,
        tokens: u64,
    ) -> Option<Loan> {
        let id = LoanId { lender: self.me.clone(), borrower: borrower.clone(), ask };
        if let Some(loan) = self.loans_out.get(&id) {
            return Some(loan.clone());
        }
        let granted = self.bucket.commit(now, tokens.min(self.lendable_tokens()));
        if granted == 0 {
            return None;
        }
        let loan = Loan { id, tokens: granted };
        self.loans_out.record(now, &loan);
        Some(loan)
    }

    /// Returns the tokens that a peer could borrow, to be told with each message.
    pub fn spare_tokens(&mut self, now: TimeMs) -> u64 {
        self.bucket.level_tokens(now).min(self.lendable_tokens())
    }

    /// Settles a loan of this life from its borrower's report; a second report changes nothing.
    ///
    /// What a running loan has spent so far makes room here at once. Returns
    /// whether the borrower may forget the loan.
    pub fn settle(&mut self, now: TimeMs, report: &LoanReport) -> bool {
        let returned_tokens = match report.state {
            LoanState::Running { used_tokens } => {
                let newly_used = self.loans_out.spend_up_to(&report.id, used_tokens);
                self.bucket.spend(now, newly_used);
                return false;
            }
            LoanState::Closed { returned_tokens, .. } => returned_tokens,
            LoanState::BorrowerGone => 0,
        };
        let Some(left_tokens) = self.loans_out.remove(&report.id) else { return true };
        let returned_tokens = returned_tokens.min(left_tokens);
        self.bucket.spend(now, left_tokens - returned_tokens);
        self.bucket.put_back(now, returned_tokens);
        true
    }

    /// Counts the loans of borrowers proven gone as spent, and forgets closed ones of lenders gone.
    pub fn settle_gone(&mut self, now: TimeMs, gone: &GoneProofs) {
        self.borrowed.forget_gone(gone);
        let left_tokens = self.loans_out.remove_gone(gone);
        self.bucket.spend(now, left_tokens);
    }

    /// Returns the loans that were out at least `age_ms`, whose borrowers should be asked.
    pub fn overdue_loans(&self, now: TimeMs, age_ms: u64) -> Vec<Loan> {
        self.loans_out.older_than(now, age_ms)
    }

    fn lendable_tokens(&self) -> u64 {
        let limit_nano = lendable_nano(self.bucket.limits(), self.bucket.share_ppm());
        let out_nano = nano(self.loans_out.tokens()) + self.inherited_nano;
        (limit_nano.saturating_sub(out_nano) / NANO) as u64
    }

    fn foreign_report(&self, loan: &Loan) -> LoanReport {
        let state = if self.me.succeeds(&loan.id.borrower) {
            LoanState::BorrowerGone
        } else {
            LoanState::Running { used_tokens: 0 }
        };
        LoanReport { id: loan.id.clone(), state }
    }
}

fn unused(loan: &Loan) -> LoanReport {
    let state = LoanState::Closed { used_tokens: 0, returned_tokens: loan.tokens };
    LoanReport { id: loan.id.clone(), state }
}

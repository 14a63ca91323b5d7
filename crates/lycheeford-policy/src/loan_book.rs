use crate::loan::{AskId, Loan, LoanId, LoanReport, LoanState};
use crate::rate_share::ReservationId;
use crate::share::TakenShare;
use crate::{GoneProofs, Instance, Name, TimeMs};

/// The loans that this incarnation has granted and not yet settled, sorted by id.
#[derive(Debug, Clone, Default)]
pub(crate) struct OutstandingLoans {
    loans: Vec<OutstandingLoan>,
}

#[derive(Debug, Clone)]
struct OutstandingLoan {
    loan: Loan,
    lent_at: TimeMs,
    /// The tokens that the borrower has reported as spent.
    used_tokens: u64,
}

impl OutstandingLoan {
    fn left_tokens(&self) -> u64 {
        self.loan.tokens - self.used_tokens
    }
}

impl OutstandingLoans {
    pub(crate) fn record(&mut self, now: TimeMs, loan: &Loan) {
        if let Err(index) = self.position(&loan.id) {
            let outstanding = OutstandingLoan { loan: loan.clone(), lent_at: now, used_tokens: 0 };
            self.loans.insert(index, outstanding);
        }
    }

    pub(crate) fn get(&self, id: &LoanId) -> Option<&Loan> {
        self.position(id).ok().map(|index| &self.loans[index].loan)
    }

    /// Counts tokens of a running loan as spent and returns how many of them are counted for the
    /// first time.
    pub(crate) fn spend_up_to(&mut self, id: &LoanId, used_tokens: u64) -> u64 {
        let Ok(index) = self.position(id) else { return 0 };
        let outstanding = &mut self.loans[index];
        let newly_used =
            used_tokens.min(outstanding.loan.tokens).saturating_sub(outstanding.used_tokens);
        outstanding.used_tokens += newly_used;
        newly_used
    }

    /// Removes a loan and returns its tokens that were not counted as spent.
    pub(crate) fn remove(&mut self, id: &LoanId) -> Option<u64> {
        let index = self.position(id).ok()?;
        Some(self.loans.remove(index).left_tokens())
    }

    /// Removes the loans to borrowers proven gone and returns their tokens that were not counted as
    /// spent.
    pub(crate) fn remove_gone(&mut self, gone: &GoneProofs) -> u64 {
        let before = self.tokens();
        self.loans.retain(|outstanding| !gone.is_gone(&outstanding.loan.id.borrower));
        before - self.tokens()
    }

    pub(crate) fn older_than(&self, now: TimeMs, age_ms: u64) -> Vec<Loan> {
        let old =
            self.loans.iter().filter(|outstanding| now.since_ms(outstanding.lent_at) >= age_ms);
        old.map(|outstanding| outstanding.loan.clone()).collect()
    }

    /// Returns the tokens that borrowers may still spend.
    pub(crate) fn tokens(&self) -> u64 {
        self.loans.iter().map(OutstandingLoan::left_tokens).sum()
    }

    fn position(&self, id: &LoanId) -> Result<usize, usize> {
        self.loans.binary_search_by(|outstanding| outstanding.loan.id.cmp(id))
    }
}

/// The state of a borrower: open loan requests, and loans until their lender has settled them.
#[derive(Debug, Clone, Default)]
pub(crate) struct BorrowedLoans {
    asks: Vec<OpenAsk>,
    loans: Vec<BorrowedLoan>,
    /// For each host, the last incarnation whose loans are rejected, sorted by host.
    disclaimed: Vec<Instance>,
}

#[derive(Debug, Clone)]
struct OpenAsk {
    id: AskId,
    reservation: ReservationId,
    lender: Name,
}

#[derive(Debug, Clone)]
struct BorrowedLoan {
    id: LoanId,
    tokens: u64,
    used_tokens: u64,
    running: bool,
}

impl BorrowedLoans {
    pub(crate) fn open_ask(&mut self, id: AskId, reservation: ReservationId, lender: &Name) {
        self.asks.push(OpenAsk { id, reservation, lender: lender.clone() });
    }

    /// Closes the loan request that `loan` answers and returns the reservation that it was for.
    pub(crate) fn take_ask(&mut self, loan: &Loan) -> Option<ReservationId> {
        if self.is_disclaimed(&loan.id.lender) {
            return None;
        }
        let index = self.asks.binary_search_by_key(&loan.id.ask, |ask| ask.id).ok()?;
        if self.asks[index].lender != loan.id.lender.host {
            return None;
        }
        Some(self.asks.remove(index).reservation)
    }

    pub(crate) fn close_ask(&mut self, id: AskId) {
        self.asks.retain(|ask| ask.id != id);
    }

    pub(crate) fn close_asks(&mut self, reservation: ReservationId) {
        self.asks.retain(|ask| ask.reservation != reservation);
    }

    pub(crate) fn record(&mut self, loan: &Loan) {
        if let Err(index) = self.position(&loan.id) {
            let borrowed = BorrowedLoan {
                id: loan.id.clone(),
                tokens: loan.tokens,
                used_tokens: 0,
                running: true,
            };
            self.loans.insert(index, borrowed);
        }
    }

    pub(crate) fn contains(&self, id: &LoanId) -> bool {
        self.position(id).is_ok()
    }

    pub(crate) fn left_tokens(&self, ids: &[LoanId]) -> u64 {
        ids.iter().filter_map(|id| self.get(id)).map(BorrowedLoan::left_tokens).sum()
    }

    /// Spends `tokens`, which must not exceed [`left_tokens`](Self::left_tokens).
    pub(crate) fn spend(&mut self, ids: &[LoanId], tokens: u64) {
        let mut rest_tokens = tokens;
        for id in ids {
            let Ok(index) = self.position(id) else { continue };
            let part_tokens = rest_tokens.min(self.loans[index].left_tokens());
            self.loans[index].used_tokens += part_tokens;
            rest_tokens -= part_tokens;
        }
    }

    pub(crate) fn close(&mut self, id: &LoanId) -> Option<LoanReport> {
        let index = self.position(id).ok()?;
        self.loans[index].running = false;
        self.report(id)
    }

    pub(crate) fn report(&self, id: &LoanId) -> Option<LoanReport> {
        let loan = self.get(id)?;
        let state = if loan.running {
            LoanState::Running { used_tokens: loan.used_tokens }
        } else {
            LoanState::Closed { used_tokens: loan.used_tokens, returned_tokens: loan.left_tokens() }
        };
        Some(LoanReport { id: id.clone(), state })
    }

    pub(crate) fn forget(&mut self, id: &LoanId) {
        if let Ok(index) = self.position(id)
            && !self.loans[index].running
        {
            self.loans.remove(index);
        }
    }

    pub(crate) fn forget_gone(&mut self, gone: &GoneProofs) {
        self.loans.retain(|loan| loan.running || !gone.is_gone(&loan.id.lender));
    }

    pub(crate) fn disclaim(&mut self, former: &Instance) -> bool {
        match self.disclaimed.binary_search_by(|known| known.host.cmp(&former.host)) {
            Ok(index) if former.succeeds(&self.disclaimed[index]) => {
                self.disclaimed[index] = former.clone();
            }
            Ok(_) => {}
            Err(index) => self.disclaimed.insert(index, former.clone()),
        }
        let is_former = |loan: &BorrowedLoan| !loan.id.lender.succeeds(former);
        let of_host = self.loans.iter().filter(|loan| loan.id.lender.host == former.host);
        !of_host.into_iter().any(|loan| loan.running && is_former(loan))
    }

    fn is_disclaimed(&self, lender: &Instance) -> bool {
        self.disclaimed
            .binary_search_by(|known| known.host.cmp(&lender.host))
            .is_ok_and(|index| !lender.succeeds(&self.disclaimed[index]))
    }

    fn get(&self, id: &LoanId) -> Option<&BorrowedLoan> {
        self.position(id).ok().map(|index| &self.loans[index])
    }

    fn position(&self, id: &LoanId) -> Result<usize, usize> {
        self.loans.binary_search_by(|loan| loan.id.cmp(id))
    }
}

impl BorrowedLoan {
    fn left_tokens(&self) -> u64 {
        self.tokens - self.used_tokens
    }
}

/// Shares taken over from former holders, with the hosts that may hold loans of those holders.
#[derive(Debug, Clone, Default)]
pub(crate) struct InheritedShares {
    shares: Vec<InheritedShare>,
}

#[derive(Debug, Clone)]
struct InheritedShare {
    taken: TakenShare,
    /// The hosts that have not yet confirmed that they hold no loan of a former holder, each with
    /// that holder.
    awaited: Vec<(Name, Instance)>,
}

impl InheritedShares {
    /// Applies the taken shares of the stored table; a share that the table no longer lists has no
    /// loans left.
    pub(crate) fn update(&mut self, taken: &[TakenShare], entry_hosts: &[Name]) {
        let known = std::mem::take(&mut self.shares);
        self.shares = taken
            .iter()
            .map(|taken| {
                let same = known.iter().find(|share| share.is_same_share(taken));
                let awaited = match same {
                    Some(share) => share.awaited_for(taken),
                    None => all_pairs(entry_hosts, &taken.from),
                };
                InheritedShare { taken: taken.clone(), awaited }
            })
            .collect();
    }

    pub(crate) fn record_disclaimer(&mut self, host: &Name, former: &Instance) {
        for share in &mut self.shares {
            share.awaited.retain(|(awaited, from)| awaited != host || from != former);
        }
    }

    pub(crate) fn queries(&self) -> Vec<(Name, Instance)> {
        self.shares.iter().flat_map(|share| share.awaited.clone()).collect()
    }

    /// Returns the former holders of which no host can hold a loan any more: every host has
    /// confirmed that it holds none, or is gone.
    pub(crate) fn resolved(&self) -> Vec<Instance> {
        let is_awaited = |former: &Instance| {
            self.shares.iter().flat_map(|share| &share.awaited).any(|(_, from)| from == former)
        };
        let formers = self.shares.iter().flat_map(|share| &share.taken.from);
        formers.filter(|former| !is_awaited(former)).cloned().collect()
    }

    pub(crate) fn unresolved_ppm(&self) -> u32 {
        let open = self.shares.iter().filter(|share| !share.awaited.is_empty());
        open.fold(0, |sum, share| sum.saturating_add(share.taken.share_ppm))
    }
}

impl InheritedShare {
    /// Returns whether `taken` is this share, possibly with some former holders removed.
    fn is_same_share(&self, taken: &TakenShare) -> bool {
        self.taken.share_ppm == taken.share_ppm
            && taken.from.iter().all(|former| self.taken.from.contains(former))
    }

    fn awaited_for(&self, taken: &TakenShare) -> Vec<(Name, Instance)> {
        let open = self.awaited.iter().filter(|(_, former)| taken.from.contains(former));
        open.cloned().collect()
    }
}

fn all_pairs(hosts: &[Name], formers: &[Instance]) -> Vec<(Name, Instance)> {
    let of_former =
        |former: &Instance| hosts.iter().map(|host| (host.clone(), former.clone())).collect();
    formers.iter().flat_map::<Vec<(Name, Instance)>, _>(of_former).collect()
}

use crate::loan::{AskId, Loan, LoanId, LoanReport, LoanState};
use crate::rate_share::ReservationId;
use crate::share::TakenShare;
use crate::{GoneProofs, Instance, Name, TimeMs};

/// The loans of this life that aren't settled, sorted by id.
#[derive(Debug, Clone, Default)]
pub(crate) struct LoansOut {
    loans: Vec<LoanOut>,
}

#[derive(Debug, Clone)]
struct LoanOut {
    loan: Loan,
    lent_at: TimeMs,
    /// What the borrower is known to have spent.
    used_tokens: u64,
}

impl LoanOut {
    fn left_tokens(&self) -> u64 {
        self.loan.tokens - self.used_tokens
    }
}

impl LoansOut {
    pub(crate) fn record(&mut self, now: TimeMs, loan: &Loan) {
        if let Err(index) = self.position(&loan.id) {
            let out = LoanOut { loan: loan.clone(), lent_at: now, used_tokens: 0 };
            self.loans.insert(index, out);
        }
    }

    pub(crate) fn get(&self, id: &LoanId) -> Option<&Loan> {
        self.position(id).ok().map(|index| &self.loans[index].loan)
    }

    /// Counts tokens of a running loan as spent and returns how many weren't counted yet.
    pub(crate) fn spend_up_to(&mut self, id: &LoanId, used_tokens: u64) -> u64 {
        let Ok(index) = self.position(id) else { return 0 };
        let out = &mut self.loans[index];
        let newly_used = used_tokens.min(out.loan.tokens).saturating_sub(out.used_tokens);
        out.used_tokens += newly_used;
        newly_used
    }

    /// Removes a loan and returns the tokens that weren't counted as spent.
    pub(crate) fn remove(&mut self, id: &LoanId) -> Option<u64> {
        let index = self.position(id).ok()?;
        Some(self.loans.remove(index).left_tokens())
    }

    /// Removes the loans of borrowers proven gone and returns their uncounted tokens.
    pub(crate) fn remove_gone(&mut self, gone: &GoneProofs) -> u64 {
        let before = self.tokens();
        self.loans.retain(|out| !gone.is_gone(&out.loan.id.borrower));
        before - self.tokens()
    }

    pub(crate) fn older_than(&self, now: TimeMs, age_ms: u64) -> Vec<Loan> {
        let old = self.loans.iter().filter(|out| now.since_ms(out.lent_at) >= age_ms);
        old.map(|out| out.loan.clone()).collect()
    }

    /// Returns the tokens that may still be spent.
    pub(crate) fn tokens(&self) -> u64 {
        self.loans.iter().map(LoanOut::left_tokens).sum()
    }

    fn position(&self, id: &LoanId) -> Result<usize, usize> {
        self.loans.binary_search_by(|out| out.loan.id.cmp(id))
    }
}

/// The borrower's side: open questions, and loans until their lender has settled them.
#[derive(Debug, Clone, Default)]
pub(crate) struct BorrowedLoans {
    asks: Vec<OpenAsk>,
    loans: Vec<Borrowed>,
    /// For each host, the last life whose loans are refused.
    disclaimed: Vec<Instance>,
}

#[derive(Debug, Clone)]
struct OpenAsk {
    id: AskId,
    reservation: ReservationId,
    lender: Name,
}

#[derive(Debug, Clone)]
struct Borrowed {
    id: LoanId,
    tokens: u64,
    used_tokens: u64,
    running: bool,
}

impl BorrowedLoans {
    pub(crate) fn open_ask(&mut self, id: AskId, reservation: ReservationId, lender: &Name) {
        self.asks.push(OpenAsk { id, reservation, lender: lender.clone() });
    }

    /// Closes the question that `loan` answers and returns who asked.
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
            let borrowed = Borrowed {
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
        ids.iter().filter_map(|id| self.get(id)).map(Borrowed::left_tokens).sum()
    }

    /// Spends `tokens`, which [`left_tokens`](Self::left_tokens) covers.
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
        let is_former = |loan: &Borrowed| !loan.id.lender.succeeds(former);
        let of_host = self.loans.iter().filter(|loan| loan.id.lender.host == former.host);
        !of_host.into_iter().any(|loan| loan.running && is_former(loan))
    }

    fn is_disclaimed(&self, lender: &Instance) -> bool {
        self.disclaimed
            .binary_search_by(|known| known.host.cmp(&lender.host))
            .is_ok_and(|index| !lender.succeeds(&self.disclaimed[index]))
    }

    fn get(&self, id: &LoanId) -> Option<&Borrowed> {
        self.position(id).ok().map(|index| &self.loans[index])
    }

    fn position(&self, id: &LoanId) -> Result<usize, usize> {
        self.loans.binary_search_by(|loan| loan.id.cmp(id))
    }
}

impl Borrowed {
    fn left_tokens(&self) -> u64 {
        self.tokens - self.used_tokens
    }
}

/// Shares that were taken over, with the hosts that may hold loans of the former holder.
#[derive(Debug, Clone, Default)]
pub(crate) struct Inherited {
    shares: Vec<InheritedShare>,
}

#[derive(Debug, Clone)]
struct InheritedShare {
    taken: TakenShare,
    /// Who has yet to deny holding loans of whom.
    awaited: Vec<(Name, Instance)>,
}

impl Inherited {
    /// Takes over what the table lists; what it no longer lists is over.
    pub(crate) fn update(&mut self, taken: &[TakenShare], entry_hosts: &[Name]) {
        let known = std::mem::take(&mut self.shares);
        self.shares = taken
            .iter()
            .map(|taken| {
                let same = known.iter().find(|share| share.covers(taken));
                let awaited = match same {
                    Some(share) => share.awaited_of(taken),
                    None => all_pairs(entry_hosts, &taken.from),
                };
                InheritedShare { taken: taken.clone(), awaited }
            })
            .collect();
    }

    pub(crate) fn disclaimed(&mut self, host: &Name, former: &Instance) {
        for share in &mut self.shares {
            share.awaited.retain(|(awaited, from)| awaited != host || from != former);
        }
    }

    pub(crate) fn queries(&self) -> Vec<(Name, Instance)> {
        self.shares.iter().flat_map(|share| share.awaited.clone()).collect()
    }

    /// Returns the former holders that nobody is awaited for.
    pub(crate) fn resolved(&self) -> Vec<Instance> {
        let is_awaited = |former: &Instance| {
            self.shares.iter().flat_map(|share| &share.awaited).any(|(_, from)| from == former)
        };
        let formers = self.shares.iter().flat_map(|share| &share.taken.from);
        formers.filter(|former| !is_awaited(former)).cloned().collect()
    }

    pub(crate) fn open_ppm(&self) -> u32 {
        let open = self.shares.iter().filter(|share| !share.awaited.is_empty());
        open.fold(0, |sum, share| sum.saturating_add(share.taken.share_ppm))
    }
}

impl InheritedShare {
    /// Tells whether `taken` is this share, perhaps with some former holders cleared.
    fn covers(&self, taken: &TakenShare) -> bool {
        self.taken.share_ppm == taken.share_ppm
            && taken.from.iter().all(|former| self.taken.from.contains(former))
    }

    fn awaited_of(&self, taken: &TakenShare) -> Vec<(Name, Instance)> {
        let open = self.awaited.iter().filter(|(_, former)| taken.from.contains(former));
        open.cloned().collect()
    }
}

fn all_pairs(hosts: &[Name], formers: &[Instance]) -> Vec<(Name, Instance)> {
    let of_former =
        |former: &Instance| hosts.iter().map(|host| (host.clone(), former.clone())).collect();
    formers.iter().flat_map::<Vec<(Name, Instance)>, _>(of_former).collect()
}

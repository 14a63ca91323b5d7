mod lending;
mod stored_share;

use crate::loan::{LoanId, LoanReport};
use crate::loan_book::{BorrowedLoans, InheritedShares, OutstandingLoans};
use crate::token_bucket::{RateLimits, TokenBucket, burst_nano, to_nanotokens};
use crate::{Instance, TimeMs};

/// Identifies a reservation within one incarnation of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReservationId(pub u64);

/// The reason why tokens can't be reserved from the local bucket now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shortage {
    /// The number of missing tokens; a peer may lend them.
    pub missing_tokens: u64,
    /// Time until the local bucket alone would hold all tokens asked for; `None` if it never will
    /// without a change of share, limits or commitments.
    pub ready_in_ms: Option<u64>,
}

/// The error of spending more tokens than the reservation still holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Overdrawn {
    /// The number of tokens that the reservation still holds; none of them was spent.
    pub left_tokens: u64,
}

/// One daemon's share of a customer's rate and burst.
///
/// Tokens come from the daemon's own bucket, or from a peer as a loan for one request. No operation
/// here waits for the platform's service: shares move rarely and by conditional update, loans move
/// by message. docs/RATES.md shows why the limit over the whole fleet holds whichever process is
/// paused and whichever message is late or lost.
///
/// ```
/// use lycheeford_policy::{Instance, RateLimits, RateShare, ShareTable, TimeMs};
///
/// let me = Instance::new("a", 1);
/// let limits = RateLimits { rate_tokens_per_s: 100, burst_tokens: 1_000 };
/// let now = TimeMs::from_ms(0);
/// let mut share = RateShare::new(me.clone(), now, limits);
/// let table = ShareTable::create(&"pilots".into(), &me, &["a".into()]);
/// share.adopt(now, 1, &table, &["a".into()]);
/// let id = share.reserve(now, 400).unwrap();
/// share.consume(now, id, 150).unwrap();
/// share.finish(now, id);
/// assert_eq!(share.level_tokens(now), 850);
/// ```
#[derive(Debug, Clone)]
pub struct RateShare {
    own_instance: Instance,
    bucket: TokenBucket,
    table_version: u64,
    started: bool,
    /// The table version that a write of ours to lower the share was based on, while the write may
    /// still take effect.
    pending_transfer_version: Option<u64>,
    reservations: Vec<Reservation>,
    outstanding_loans: OutstandingLoans,
    borrowed: BorrowedLoans,
    inherited: InheritedShares,
    inherited_nano: u128,
    last_number: u64,
}

#[derive(Debug, Clone)]
struct Reservation {
    id: ReservationId,
    own_tokens: u64,
    missing_tokens: u64,
    loans: Vec<LoanId>,
}

impl RateShare {
    /// Returns a rate share with an empty bucket and a share of zero.
    pub fn new(me: Instance, now: TimeMs, limits: RateLimits) -> RateShare {
        RateShare {
            own_instance: me,
            bucket: TokenBucket::new(now, limits),
            table_version: 0,
            started: false,
            pending_transfer_version: None,
            reservations: Vec::new(),
            outstanding_loans: OutstandingLoans::default(),
            borrowed: BorrowedLoans::default(),
            inherited: InheritedShares::default(),
            inherited_nano: 0,
            last_number: 0,
        }
    }

    /// Returns the number of whole tokens that can be reserved without a loan.
    pub fn level_tokens(&mut self, now: TimeMs) -> u64 {
        self.bucket.level_tokens(now)
    }

    /// Returns the share in force on this host in ppm, which may be less than the stored share.
    pub fn share_ppm(&self) -> u32 {
        self.bucket.share_ppm()
    }

    /// Returns the version of the share table that is in force on this host.
    pub fn table_version(&self) -> u64 {
        self.table_version
    }

    /// Applies the operator's new rate and burst.
    pub fn set_limits(&mut self, now: TimeMs, limits: RateLimits) {
        self.bucket.set_limits(now, limits);
        self.commit_inherited(now);
    }

    /// Reserves all of `tokens` from the local bucket, or nothing.
    ///
    /// # Errors
    ///
    /// A [`Shortage`] with the number of missing tokens and the time until they would be available.
    pub fn reserve(&mut self, now: TimeMs, tokens: u64) -> Result<ReservationId, Shortage> {
        let level_tokens = self.bucket.level_tokens(now);
        if level_tokens < tokens {
            let missing_tokens = tokens - level_tokens;
            let ready_in_ms = self.bucket.ready_in_ms(now, tokens);
            return Err(Shortage { missing_tokens, ready_in_ms });
        }
        Ok(self.reserve_available(now, tokens).0)
    }

    /// Reserves the part of `tokens` that the local bucket has and returns the number of missing
    /// tokens.
    ///
    /// Loans and [`top_up`](Self::top_up) add the missing tokens; a request that stops waiting for
    /// them calls [`finish`](Self::finish).
    pub fn reserve_available(&mut self, now: TimeMs, tokens: u64) -> (ReservationId, u64) {
        let own_tokens = self.bucket.commit(now, tokens);
        let missing_tokens = tokens - own_tokens;
        let id = ReservationId(self.next_number());
        self.reservations.push(Reservation { id, own_tokens, missing_tokens, loans: Vec::new() });
        (id, missing_tokens)
    }

    /// Adds tokens that the local bucket has refilled to a reservation and returns how many are
    /// still missing.
    pub fn top_up(&mut self, now: TimeMs, id: ReservationId) -> u64 {
        let Some(index) = self.position(id) else { return 0 };
        let reservation = &mut self.reservations[index];
        let own_tokens = self.bucket.commit(now, reservation.missing_tokens);
        reservation.own_tokens += own_tokens;
        reservation.missing_tokens -= own_tokens;
        reservation.missing_tokens
    }

    /// Spends tokens of a reservation; call this before the tokens are delivered to the caller.
    ///
    /// # Errors
    ///
    /// [`Overdrawn`] if the reservation holds fewer tokens; then no token is spent, and none may be
    /// delivered.
    pub fn consume(
        &mut self,
        now: TimeMs,
        id: ReservationId,
        tokens: u64,
    ) -> Result<(), Overdrawn> {
        let Some(index) = self.position(id) else { return Err(Overdrawn { left_tokens: 0 }) };
        let reservation = &mut self.reservations[index];
        let left_tokens = reservation.own_tokens + self.borrowed.left_tokens(&reservation.loans);
        if left_tokens < tokens {
            return Err(Overdrawn { left_tokens });
        }
        let own_tokens = tokens.min(reservation.own_tokens);
        reservation.own_tokens -= own_tokens;
        self.bucket.spend(now, own_tokens);
        self.borrowed.spend(&reservation.loans, tokens - own_tokens);
        Ok(())
    }

    /// Ends a reservation, returns unspent tokens to the local bucket and returns the reports for
    /// the lenders.
    pub fn finish(&mut self, now: TimeMs, id: ReservationId) -> Vec<LoanReport> {
        let Some(index) = self.position(id) else { return Vec::new() };
        let reservation = self.reservations.remove(index);
        self.bucket.put_back(now, reservation.own_tokens);
        self.borrowed.close_asks(id);
        reservation.loans.iter().filter_map(|loan| self.borrowed.close(loan)).collect()
    }

    /// Returns whether the level and all committed tokens together are within the burst of the
    /// share.
    pub fn is_within_share(&mut self, now: TimeMs) -> bool {
        let level_nano = to_nanotokens(self.bucket.level_tokens(now));
        let burst_nano = burst_nano(self.bucket.limits(), self.share_ppm());
        level_nano + self.bucket.committed_nano() <= burst_nano
    }

    fn position(&self, id: ReservationId) -> Option<usize> {
        self.reservations.binary_search_by_key(&id, |reservation| reservation.id).ok()
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }
}

use crate::TimeMs;

/// The parts of a whole share.
pub const WHOLE_SHARE_PPM: u32 = 1_000_000;

/// The part of a holder's burst that may be out on loan at once.
///
/// A holder that restarts has forgotten its loans and counts this part as
/// lent until every peer has said otherwise; the rest serves meanwhile.
pub const LENDABLE_PPM: u32 = 900_000;

/// Nanotokens in a token; ppm times tokens a second times milliseconds is nanotokens.
pub(crate) const NANO: u128 = 1_000_000_000;

/// A customer's rate and burst over all hosts together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RateLimits {
    /// Tokens a second.
    pub rate_tokens_per_s: u64,
    /// Tokens at once.
    pub burst_tokens: u64,
}

/// One holder's part of a customer's token bucket, in exact arithmetic.
///
/// A token is in the level, committed (reserved, lent or possibly lent by an
/// earlier life) or spent. `level + committed <= share * burst` holds at all
/// times, and the sum grows by at most `share * rate` over any time. Both are
/// integers in nanotokens, so nothing is lost or won by rounding. docs/RATES.md
/// shows how the bound over the fleet follows.
///
/// Every method refills first: the room that a spent token frees can only
/// fill from then on.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    limits: RateLimits,
    share_ppm: u32,
    level_nano: u128,
    committed_nano: u128,
    refilled_at: TimeMs,
}

impl TokenBucket {
    /// Returns an empty bucket without a share.
    pub fn new(now: TimeMs, limits: RateLimits) -> TokenBucket {
        TokenBucket { limits, share_ppm: 0, level_nano: 0, committed_nano: 0, refilled_at: now }
    }

    /// Returns the share.
    pub fn share_ppm(&self) -> u32 {
        self.share_ppm
    }

    /// Returns the customer's limits.
    pub fn limits(&self) -> RateLimits {
        self.limits
    }

    /// Returns the whole tokens that can be taken at `now`.
    pub fn level_tokens(&mut self, now: TimeMs) -> u64 {
        self.refill(now);
        (self.level_nano / NANO) as u64
    }

    /// Changes the limits; a level above the new burst is cut.
    pub fn set_limits(&mut self, now: TimeMs, limits: RateLimits) {
        self.refill(now);
        self.limits = limits;
        self.cut();
    }

    /// Changes the share; a greater one adds room and no tokens.
    pub fn set_share(&mut self, now: TimeMs, share_ppm: u32) {
        self.refill(now);
        self.share_ppm = share_ppm.min(WHOLE_SHARE_PPM);
        self.cut();
    }

    /// Fills the bucket, which only the creator of a share table may do, once.
    pub fn fill(&mut self) {
        self.level_nano = self.capacity_nano().saturating_sub(self.committed_nano);
    }

    /// Moves up to `tokens` whole tokens from the level to committed and returns how many.
    pub fn commit(&mut self, now: TimeMs, tokens: u64) -> u64 {
        let taken = tokens.min(self.level_tokens(now));
        self.level_nano -= nano(taken);
        self.committed_nano += nano(taken);
        taken
    }

    /// Moves committed tokens back to the level.
    pub fn put_back(&mut self, now: TimeMs, tokens: u64) {
        self.refill(now);
        let returned = nano(tokens).min(self.committed_nano);
        self.committed_nano -= returned;
        self.level_nano += returned;
        self.cut();
    }

    /// Takes committed tokens out as spent.
    pub fn spend(&mut self, now: TimeMs, tokens: u64) {
        self.spend_nano(now, nano(tokens));
    }

    /// Counts nanotokens as committed that an earlier life may have lent.
    pub(crate) fn encumber_nano(&mut self, now: TimeMs, amount_nano: u128) {
        self.refill(now);
        self.committed_nano += amount_nano;
        self.cut();
    }

    pub(crate) fn spend_nano(&mut self, now: TimeMs, amount_nano: u128) {
        self.refill(now);
        self.committed_nano = self.committed_nano.saturating_sub(amount_nano);
    }

    pub(crate) fn committed_nano(&self) -> u128 {
        self.committed_nano
    }

    /// Returns the time until the level holds `tokens`, if the room allows so many.
    pub fn ready_in_ms(&mut self, now: TimeMs, tokens: u64) -> Option<u64> {
        self.refill(now);
        let missing_nano = nano(tokens).saturating_sub(self.level_nano);
        if missing_nano == 0 {
            return Some(0);
        }
        let per_ms = u128::from(self.share_ppm) * u128::from(self.limits.rate_tokens_per_s);
        let room_nano = self.capacity_nano().saturating_sub(self.committed_nano);
        if per_ms == 0 || nano(tokens) > room_nano {
            return None;
        }
        u64::try_from(missing_nano.div_ceil(per_ms)).ok()
    }

    fn refill(&mut self, now: TimeMs) {
        let elapsed_ms = now.since_ms(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        self.level_nano += u128::from(self.share_ppm)
            * u128::from(self.limits.rate_tokens_per_s)
            * u128::from(elapsed_ms);
        self.cut();
    }

    fn cut(&mut self) {
        let room_nano = self.capacity_nano().saturating_sub(self.committed_nano);
        self.level_nano = self.level_nano.min(room_nano);
    }

    fn capacity_nano(&self) -> u128 {
        burst_nano(self.limits, self.share_ppm)
    }
}

/// Returns the burst of a share, in nanotokens.
pub(crate) fn burst_nano(limits: RateLimits, share_ppm: u32) -> u128 {
    u128::from(share_ppm) * u128::from(limits.burst_tokens) * 1_000
}

/// Returns the part of a share's burst that may be out on loan, in nanotokens.
pub(crate) fn lendable_nano(limits: RateLimits, share_ppm: u32) -> u128 {
    burst_nano(limits, share_ppm) * u128::from(LENDABLE_PPM) / u128::from(WHOLE_SHARE_PPM)
}

pub(crate) fn nano(tokens: u64) -> u128 {
    u128::from(tokens) * NANO
}

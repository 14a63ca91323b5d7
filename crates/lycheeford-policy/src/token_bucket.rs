use crate::TimeMs;

/// The whole of a customer's rate and burst, in parts per million.
pub const WHOLE_SHARE_PPM: u32 = 1_000_000;

/// The largest part of a holder's burst that may be lent at any time, in parts per million.
///
/// A holder that restarts has lost the record of its loans and counts this part as lent until every
/// peer has reported that it holds none. The remaining part stays usable meanwhile.
pub const LENDABLE_PPM: u32 = 900_000;

/// Nanotokens per token. Parts per million times tokens per second times milliseconds gives
/// nanotokens.
pub(crate) const NANOTOKENS_PER_TOKEN: u128 = 1_000_000_000;

/// A customer's rate and burst over all hosts together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RateLimits {
    /// The refill rate in tokens per second.
    pub rate_tokens_per_s: u64,
    /// The size of the full bucket in tokens.
    pub burst_tokens: u64,
}

/// One holder's part of a customer's token bucket, in exact arithmetic.
///
/// Each token is available (in the level), committed (reserved, lent or possibly lent by an earlier
/// incarnation) or spent. `level + committed <= share * burst` holds at all times unless the share
/// or the burst is lowered below what is committed, and a refill adds at most `share * rate` per
/// second to the level. Level and committed are integers in nanotokens, so that rounding neither
/// loses nor creates tokens. docs/RATES.md shows how the limit over the whole fleet follows.
///
/// Every method that takes the time refills first, so that the room freed by a spent token fills
/// only from that moment on.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    limits: RateLimits,
    share_ppm: u32,
    level_nano: u128,
    committed_nano: u128,
    refilled_at: TimeMs,
}

impl TokenBucket {
    /// Returns an empty bucket with a share of zero.
    pub fn new(now: TimeMs, limits: RateLimits) -> TokenBucket {
        TokenBucket { limits, share_ppm: 0, level_nano: 0, committed_nano: 0, refilled_at: now }
    }

    /// Returns the share in parts per million.
    pub fn share_ppm(&self) -> u32 {
        self.share_ppm
    }

    /// Returns the customer's rate and burst over all hosts.
    pub fn limits(&self) -> RateLimits {
        self.limits
    }

    /// Returns the number of whole tokens that are available at `now`.
    pub fn level_tokens(&mut self, now: TimeMs) -> u64 {
        self.refill(now);
        (self.level_nano / NANOTOKENS_PER_TOKEN) as u64
    }

    /// Changes the limits; a level above the new burst is lowered to it.
    pub fn set_limits(&mut self, now: TimeMs, limits: RateLimits) {
        self.refill(now);
        self.limits = limits;
        self.clamp_level();
    }

    /// Changes the share; a larger share adds capacity but no tokens.
    pub fn set_share(&mut self, now: TimeMs, share_ppm: u32) {
        self.refill(now);
        self.share_ppm = share_ppm.min(WHOLE_SHARE_PPM);
        self.clamp_level();
    }

    /// Fills the bucket. Only the creator of a share table may do so, once.
    pub fn fill(&mut self) {
        self.level_nano = self.capacity_nano().saturating_sub(self.committed_nano);
    }

    /// Moves up to `tokens` whole tokens from the level to committed and returns how many were
    /// moved.
    pub fn commit(&mut self, now: TimeMs, tokens: u64) -> u64 {
        let taken = tokens.min(self.level_tokens(now));
        self.level_nano -= to_nanotokens(taken);
        self.committed_nano += to_nanotokens(taken);
        taken
    }

    /// Moves committed tokens back to the level.
    pub fn put_back(&mut self, now: TimeMs, tokens: u64) {
        self.refill(now);
        let returned = to_nanotokens(tokens).min(self.committed_nano);
        self.committed_nano -= returned;
        self.level_nano += returned;
        self.clamp_level();
    }

    /// Removes committed tokens as spent.
    pub fn spend(&mut self, now: TimeMs, tokens: u64) {
        self.spend_nano(now, to_nanotokens(tokens));
    }

    /// Adds nanotokens that an earlier incarnation may have lent to the committed ones.
    pub(crate) fn add_committed_nano(&mut self, now: TimeMs, amount_nano: u128) {
        self.refill(now);
        self.committed_nano += amount_nano;
        self.clamp_level();
    }

    pub(crate) fn spend_nano(&mut self, now: TimeMs, amount_nano: u128) {
        self.refill(now);
        self.committed_nano = self.committed_nano.saturating_sub(amount_nano);
    }

    pub(crate) fn committed_nano(&self) -> u128 {
        self.committed_nano
    }

    /// Returns the time until the level holds `tokens`, or `None` if it never will without a change
    /// of share, limits or commitments.
    pub fn ready_in_ms(&mut self, now: TimeMs, tokens: u64) -> Option<u64> {
        self.refill(now);
        let missing_nano = to_nanotokens(tokens).saturating_sub(self.level_nano);
        if missing_nano == 0 {
            return Some(0);
        }
        let per_ms = u128::from(self.share_ppm) * u128::from(self.limits.rate_tokens_per_s);
        let room_nano = self.capacity_nano().saturating_sub(self.committed_nano);
        if per_ms == 0 || to_nanotokens(tokens) > room_nano {
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
        self.clamp_level();
    }

    fn clamp_level(&mut self) {
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

/// Returns the part of the burst of a share that may be lent at any time, in nanotokens.
pub(crate) fn lendable_nano(limits: RateLimits, share_ppm: u32) -> u128 {
    burst_nano(limits, share_ppm) * u128::from(LENDABLE_PPM) / u128::from(WHOLE_SHARE_PPM)
}

pub(crate) fn to_nanotokens(tokens: u64) -> u128 {
    u128::from(tokens) * NANOTOKENS_PER_TOKEN
}

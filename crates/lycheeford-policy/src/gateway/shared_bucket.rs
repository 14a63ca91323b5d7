use crate::{CustomerRate, TimeMs};

const MS_PER_S: f64 = 1_000.0;
/// The part of the burst that a host has before it has heard what others spent.
///
/// Many hosts may start at once, each without a memory of what was spent.
const START_PART: f64 = 0.03;
/// The time over which the spending of the others is averaged.
const AVERAGE_MS: f64 = 500.0;
/// How much of the others' spending hasn't been heard yet, by its usual age.
const UNHEARD_MS: f64 = 200.0;
/// How far a host moves towards the level that another one reports.
const AGREE_PART: f64 = 0.1;

/// One host's view of a customer's rate and burst over all hosts.
///
/// Every host refills the whole bucket and takes out what itself and, some
/// hundred milliseconds late, the others spent. A host that doesn't hear some
/// of the others refills only its part, since those may go on spending unseen:
/// two halves of a fleet that is cut in two then spend one rate together.
///
/// ```
/// use lycheeford_policy::{CustomerRate, RateUnit, SharedBucket, TimeMs};
///
/// let rate = CustomerRate { units_per_s: 10.0, burst_units: 20.0, unit: RateUnit::Requests };
/// let mut bucket = SharedBucket::new(TimeMs::from_ms(0));
/// assert!(bucket.take(TimeMs::from_ms(0), &rate, 1.0, 0.6).is_ok());
/// assert_eq!(bucket.take(TimeMs::from_ms(0), &rate, 1.0, 1.0), Err(100));
/// ```
#[derive(Debug, Clone)]
pub struct SharedBucket {
    level: Option<f64>,
    refilled_at: TimeMs,
    spent_here: f64,
    /// What the others spend in a millisecond, and when that was last known.
    elsewhere_per_ms: f64,
    elsewhere_at: TimeMs,
    /// The rate and burst of the last refill.
    refill_per_ms: f64,
    burst_units: f64,
}

impl SharedBucket {
    /// Returns a bucket of a host that has just started.
    pub fn new(now: TimeMs) -> SharedBucket {
        SharedBucket {
            level: None,
            refilled_at: now,
            spent_here: 0.0,
            elsewhere_per_ms: 0.0,
            elsewhere_at: now,
            refill_per_ms: 0.0,
            burst_units: 0.0,
        }
    }

    /// Takes `units`, or returns after how many milliseconds they may be there.
    ///
    /// `part` is the part of the hosts that are heard, this one included. The
    /// level may fall below zero by one request, so that one larger than the
    /// burst isn't refused for ever.
    ///
    /// # Errors
    ///
    /// Fails with the wait if the customer is over its rate.
    pub fn take(
        &mut self,
        now: TimeMs,
        rate: &CustomerRate,
        part: f64,
        units: f64,
    ) -> Result<(), u64> {
        self.refill(now, rate, part);
        let level = self.level.unwrap_or_default();
        // At several times the rate, all hosts would spend the same refill before they hear.
        let unheard = self.elsewhere_faded(now) * UNHEARD_MS;
        if level <= unheard {
            let missing = 1.0 + unheard - level;
            let refill_per_ms = (rate.units_per_s * part / MS_PER_S).max(f64::MIN_POSITIVE);
            return Err((missing / refill_per_ms).min(60_000.0).ceil() as u64);
        }
        self.level = Some(level - units);
        self.spent_here += units;
        Ok(())
    }

    /// Gives back what a request took that never ran.
    pub fn give_back(&mut self, rate: &CustomerRate, units: f64) {
        self.level = self.level.map(|level| (level + units).min(rate.burst_units));
        self.spent_here -= units;
    }

    /// Takes out what other hosts spent.
    pub fn spent_elsewhere(&mut self, now: TimeMs, units: f64) {
        self.level = self.level.map(|level| level - units);
        self.elsewhere_per_ms = (self.elsewhere_faded(now) + units / AVERAGE_MS).max(0.0);
        self.elsewhere_at = now;
    }

    fn elsewhere_faded(&self, now: TimeMs) -> f64 {
        let age_ms = now.since_ms(self.elsewhere_at) as f64;
        self.elsewhere_per_ms * (-age_ms / AVERAGE_MS).exp()
    }

    /// Moves the level towards what another host knows.
    ///
    /// Views drift apart by what each host misses while it starts or is cut
    /// off; a customer would then be refused at one host and not at the next.
    pub fn level_elsewhere(&mut self, level: f64) {
        let own = self.level.unwrap_or(level);
        self.level = Some(own + (level - own) * AGREE_PART);
    }

    /// Returns the level at `now`, if the customer has spent anything here.
    pub fn level(&self, now: TimeMs) -> Option<f64> {
        let elapsed_ms = now.since_ms(self.refilled_at) as f64;
        self.level.map(|level| (level + self.refill_per_ms * elapsed_ms).min(self.burst_units))
    }

    /// Returns all that this host spent since it started, for the others.
    pub fn spent_here(&self) -> f64 {
        self.spent_here
    }

    fn refill(&mut self, now: TimeMs, rate: &CustomerRate, part: f64) {
        let elapsed_ms = now.since_ms(self.refilled_at) as f64;
        self.refilled_at = now;
        let start = rate.burst_units * START_PART;
        self.refill_per_ms = rate.units_per_s * part / MS_PER_S;
        self.burst_units = rate.burst_units;
        let refilled = self.level.unwrap_or(start) + self.refill_per_ms * elapsed_ms;
        // Long silence of the others must not leave a debt that outlasts a window.
        self.level = Some(refilled.min(rate.burst_units).max(-rate.burst_units));
    }
}

use super::demand_share::DemandShare;
use super::hearing::Hearing;
use super::portion::Portion;
use crate::{CustomerRate, TimeMs};

const MS_PER_S: f64 = 1_000.0;
/// The longest wait that a customer is told.
const WAIT_MS_MAX: f64 = 60_000.0;
/// From this time on a silence counts as a cut; a lost report is shorter.
pub(super) const LONG_CUT_MS: u64 = 700;
/// The part of the burst that all hosts together have before they hear what was spent.
///
/// Many may start at once, each without a memory of what was spent.
const START_PART: f64 = 0.24;
/// A host that knows few others may yet hear of more.
const START_HOSTS_MIN: usize = 8;
/// The pauses between reports over which the spending of the others is averaged.
const AVERAGE_PAUSES: f64 = 2.0;
/// How much of the others' spending hasn't been heard yet, in pauses between reports.
const UNHEARD_PAUSES: f64 = 0.8;
/// How long a debt takes to refill at most, so that one from a long silence of the others passes.
///
/// Less would forgive what they spend while their reports are under way.
const DEBT_MS_MAX: f64 = 4_000.0;
/// A customer that asks for more than its rate gets it in portions once no more is left than it
/// asks for in a pause between reports, and no more than this part of the burst.
const PORTION_BELOW: f64 = 0.5;
/// Once it asks for less than this part of its rate, it doesn't any more.
const PORTION_UNTIL: f64 = 0.9;
/// How far a host moves towards the level that another one reports.
const AGREE_PART: f64 = 0.1;

/// One host's view of a customer's rate and burst over all hosts.
///
/// Every host refills the whole bucket and takes out what itself and, some
/// hundred milliseconds late, the others spent. While it doesn't hear some of
/// the others, it spends no more than its part of what there was and of the
/// refill, since those may go on unseen: two halves of a fleet that is cut in two
/// then spend one burst and one rate together.
///
/// A customer that asks for more than its rate has its level near zero all the time. If
/// each host then spent whatever comes back, all would do so at once, before they hear of
/// each other, and then none. So each takes its portion: the part of the refill that
/// is the part of the customer's demand that comes to it.
///
/// ```
/// use lycheeford_policy::{CustomerRate, Hearing, RateUnit, SharedBucket, TimeMs};
///
/// let rate = CustomerRate { units_per_s: 10.0, burst_units: 20.0, unit: RateUnit::Requests };
/// let mut bucket = SharedBucket::new(TimeMs::from_ms(0));
/// let hearing = Hearing { part: 1.0, hosts: 8, pause_ms: 250, is_new_fleet: false };
/// assert!(bucket.take(TimeMs::from_ms(0), &rate, &hearing, 0.6).is_ok());
/// assert_eq!(bucket.take(TimeMs::from_ms(0), &rate, &hearing, 1.0), Err(100));
/// ```
#[derive(Debug, Clone)]
pub struct SharedBucket {
    level: Option<f64>,
    /// Whether others spent something before this host first did.
    was_spent_elsewhere: bool,
    refilled_at: TimeMs,
    spent_here: f64,
    /// What the others spend in a millisecond, and when that was last known.
    elsewhere_per_ms: f64,
    elsewhere_at: TimeMs,
    average_ms: f64,
    /// The rate and burst of the last refill.
    refill_per_ms: f64,
    burst_units: f64,
    /// Set while some hosts aren't heard.
    cut: Option<Cut>,
    demand: DemandShare,
    /// Set while the customer asks for more than its rate.
    portion: Option<Portion>,
}

/// What a host may spend while it doesn't hear some of the others.
#[derive(Debug, Clone, Copy)]
struct Cut {
    since: TimeMs,
    part: f64,
    level: f64,
    /// Whether the host began with it, and has heard of what the others spent meanwhile.
    is_start: bool,
}

impl SharedBucket {
    /// Returns a bucket of a host that has just started.
    pub fn new(now: TimeMs) -> SharedBucket {
        SharedBucket {
            level: None,
            was_spent_elsewhere: false,
            refilled_at: now,
            spent_here: 0.0,
            elsewhere_per_ms: 0.0,
            elsewhere_at: now,
            average_ms: f64::INFINITY,
            refill_per_ms: 0.0,
            burst_units: 0.0,
            cut: None,
            demand: DemandShare::new(now),
            portion: None,
        }
    }

    /// Takes `units`, or returns after how many milliseconds they may be there.
    ///
    /// The level may fall below zero by one request, so that one larger than the
    /// burst isn't refused for ever.
    ///
    /// # Errors
    ///
    /// Fails with the wait if the customer is over its rate.
    pub fn take(
        &mut self,
        now: TimeMs,
        rate: &CustomerRate,
        hearing: &Hearing,
        units: f64,
    ) -> Result<(), u64> {
        self.refill(now, rate, hearing);
        self.demand.asked_here(now, units, hearing.pause_ms);
        self.apportion(now, hearing.pause_ms);
        let pause_ms = hearing.pause_ms as f64;
        self.average_ms = pause_ms * AVERAGE_PAUSES;
        // The refill has set the level.
        let level = self.level.unwrap_or_default();
        // At several times the rate, all hosts would spend the same refill before they hear.
        let unheard = match self.portion {
            Some(_) => 0.0,
            None => self.elsewhere_faded(now) * pause_ms * UNHEARD_PAUSES,
        };
        let own = self.cut.map_or(f64::INFINITY, |cut| cut.level);
        let portion = self.portion.map_or(f64::INFINITY, |portion| portion.level());
        if level <= unheard || own <= 0.0 || portion <= 0.0 {
            let wait_ms = |missing: f64, part: f64| {
                (1.0 + missing) / (self.refill_per_ms * part).max(f64::MIN_POSITIVE)
            };
            let waits = [
                wait_ms(unheard - level, 1.0),
                wait_ms(-own, hearing.part),
                wait_ms(-portion, self.portion.map_or(1.0, |portion| portion.share())),
            ];
            let longest_ms = waits.into_iter().fold(1.0, f64::max);
            return Err(longest_ms.min(WAIT_MS_MAX).ceil() as u64);
        }
        if let Some(portion) = &mut self.portion {
            portion.spend(units);
        }
        self.spend(units);
        self.spent_here += units;
        Ok(())
    }

    /// Begins or ends to give the refill in portions, by what is asked for.
    fn apportion(&mut self, now: TimeMs, pause_ms: u64) {
        let level = self.level.unwrap_or_default();
        let share = self.demand.share(now);
        let demand_per_ms = self.demand.total_per_ms(now);
        let unheard = demand_per_ms * pause_ms as f64;
        match &mut self.portion {
            None if demand_per_ms > self.refill_per_ms
                && level < unheard.min(self.burst_units * PORTION_BELOW) =>
            {
                self.portion = Some(Portion::new(now, share, level));
            }
            Some(_) if demand_per_ms < self.refill_per_ms * PORTION_UNTIL => self.portion = None,
            Some(portion) => portion.follow(now, share),
            None => {}
        }
    }

    /// Gives back what a request took that never ran.
    pub fn give_back(&mut self, rate: &CustomerRate, units: f64) {
        self.level = self.level.map(|level| (level + units).min(rate.burst_units));
        if let Some(portion) = &mut self.portion {
            portion.spend(-units);
        }
        self.spent_here -= units;
    }

    /// Takes out what other hosts spent.
    pub fn spent_elsewhere(&mut self, now: TimeMs, units: f64) {
        self.advance(now);
        self.was_spent_elsewhere |= !self.knows_rate();
        self.spend(units);
        self.elsewhere_per_ms = (self.elsewhere_faded(now) + units / self.average_ms).max(0.0);
        self.elsewhere_at = now;
        self.demand.asked_elsewhere(now, units);
    }

    /// Takes in what other hosts refused.
    pub fn refused_elsewhere(&mut self, now: TimeMs, units: f64) {
        self.demand.asked_elsewhere(now, units);
    }

    fn spend(&mut self, units: f64) {
        self.level = self.level.map(|level| level - units);
        if let Some(cut) = &mut self.cut {
            cut.level -= units;
        }
    }

    fn elsewhere_faded(&self, now: TimeMs) -> f64 {
        let age_ms = now.since_ms(self.elsewhere_at) as f64;
        self.elsewhere_per_ms * (-age_ms / self.average_ms).exp()
    }

    /// Moves the level towards what another host knows.
    ///
    /// Views drift apart by what each host misses while it starts or is cut
    /// off; a customer would then be refused at one host and not at the next.
    /// `missing_units` is what this host knows of and the other one hadn't heard.
    pub fn level_elsewhere(&mut self, now: TimeMs, level: f64, missing_units: f64) {
        self.advance(now);
        let level = level - missing_units.max(0.0);
        if !self.knows_rate() {
            // Without the rate nothing refills here; the last word of others is the best.
            self.level = Some(level);
            return;
        }
        let own = self.level.unwrap_or(level);
        self.level = Some(own + (level - own) * AGREE_PART);
    }

    /// Returns the level at `now`, if the customer has spent anything here.
    pub fn level(&self, now: TimeMs) -> Option<f64> {
        if !self.knows_rate() {
            return None;
        }
        let elapsed_ms = now.since_ms(self.refilled_at) as f64;
        self.level.map(|level| (level + self.refill_per_ms * elapsed_ms).min(self.burst_units))
    }

    /// Returns all that this host spent since it started, for the others.
    pub fn spent_here(&self) -> f64 {
        self.spent_here
    }

    /// Returns this host's part of the refill while the customer asks for more than its rate.
    pub fn portion(&self) -> Option<f64> {
        self.portion.map(|portion| portion.share())
    }

    /// Returns whether a request of the customer came here, with its rate.
    fn knows_rate(&self) -> bool {
        self.burst_units > 0.0
    }

    fn refill(&mut self, now: TimeMs, rate: &CustomerRate, hearing: &Hearing) {
        let Hearing { part, hosts, is_new_fleet, .. } = *hearing;
        self.advance(now);
        self.refill_per_ms = rate.units_per_s / MS_PER_S;
        self.burst_units = rate.burst_units;
        let start_part = if is_new_fleet && !self.was_spent_elsewhere {
            1.0
        } else {
            START_PART / hosts.max(START_HOSTS_MIN) as f64
        };
        let is_start = self.level.is_none();
        let level = self.level.unwrap_or(rate.burst_units * start_part).min(rate.burst_units);
        self.level = Some(level);
        if part < 1.0 {
            // What a host begins with is its own part already.
            let own = if is_start { level } else { level * part };
            let cut = self.cut.get_or_insert(Cut { since: now, part, level: own, is_start });
            if part < cut.part && cut.level > 0.0 {
                cut.level *= part / cut.part;
            }
            cut.part = part;
        } else if let Some(cut) = self.cut.take()
            && now.since_ms(cut.since) >= LONG_CUT_MS
            && !cut.is_start
        {
            // What the others spent in a long silence isn't told afterwards.
            self.level = Some(level.min(cut.level));
        }
    }

    /// Refills for the time since the last change, whoever spends next.
    ///
    /// A host that takes nothing must not let a refill beyond the burst pile up.
    fn advance(&mut self, now: TimeMs) {
        let elapsed_ms = now.since_ms(self.refilled_at) as f64;
        self.refilled_at = now;
        if !self.knows_rate() {
            return;
        }
        let (refill_per_ms, burst_units) = (self.refill_per_ms, self.burst_units);
        let debt_max = (refill_per_ms * DEBT_MS_MAX).max(burst_units);
        let refilled = |level: f64, part: f64| {
            (level + refill_per_ms * part * elapsed_ms).min(burst_units * part).max(-debt_max)
        };
        self.level = self.level.map(|level| refilled(level, 1.0));
        if let Some(cut) = &mut self.cut {
            cut.level = refilled(cut.level, cut.part);
        }
        let level = self.level.unwrap_or_default();
        if let Some(portion) = &mut self.portion {
            portion.refill(level, burst_units, refill_per_ms, elapsed_ms);
        }
    }
}

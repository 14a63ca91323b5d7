use super::claim::Supply;
use super::demand_share::DemandShare;
use super::peer_visibility::PeerVisibility;
use super::portion::Portion;
use crate::{CustomerRate, TimeMs};

const MS_PER_S: f64 = 1_000.0;
/// Longest wait that is returned to a customer.
const WAIT_MS_MAX: f64 = 60_000.0;
/// A silence of at least this length counts as a network partition; a lost report causes a shorter
/// one.
pub(super) const LONG_PARTITION_MS: u64 = 700;
/// Fraction of the burst that all hosts together may spend before they learn what was already
/// spent.
///
/// Many hosts may start at once, none of which knows what was spent before.
const INITIAL_PART: f64 = 0.24;
/// Assumed minimum number of hosts at start, since a host that knows few others may still learn of
/// more.
const INITIAL_HOSTS_MIN: usize = 8;
/// Averaging time of the other hosts' spending, in report intervals.
const AVERAGE_PAUSES: f64 = 2.0;
/// Spending of the other hosts that has not been reported yet, in report intervals.
const UNREPORTED_PAUSES: f64 = 0.8;
/// Longest time that a debt takes to refill, so that a debt from a long silence of other hosts
/// ends.
///
/// A shorter time would forgive what other hosts spend while their reports are in transit.
const DEBT_MS_MAX: f64 = 4_000.0;
/// A customer that asks for more than its rate is served in portions once the level is below its
/// demand in one report interval, and below this fraction of the burst.
const PORTION_BELOW: f64 = 0.5;
/// Portions end once the customer asks for less than this fraction of its rate.
const PORTION_UNTIL: f64 = 0.9;
/// Fraction of the difference by which a host moves towards the level that another host reports.
const CONVERGENCE_PART: f64 = 0.1;

/// One host's view of a customer's rate and burst over all hosts.
///
/// Every host refills the whole bucket and subtracts what itself and, some hundred milliseconds
/// later, the other hosts spent. While reports of some hosts are missing, it spends no more than
/// its own fraction of the level and of the refill, since the silent hosts may go on spending: the
/// two halves of a partitioned fleet then together spend one burst and one rate.
///
/// A customer that asks for more than its rate keeps its level near zero. If each host then spent
/// whatever was refilled, all would do so at once, before they receive each other's reports, and
/// then none. So each host uses a portion: the fraction of the refill that equals its fraction of
/// the customer's demand.
///
/// ```
/// use lycheeford_policy::{CustomerRate, PeerVisibility, RateUnit, SharedBucket, TimeMs};
///
/// let rate = CustomerRate { units_per_s: 10.0, burst_units: 20.0, unit: RateUnit::Requests };
/// let mut bucket = SharedBucket::new(TimeMs::from_ms(0));
/// let visibility = PeerVisibility { part: 1.0, hosts: 8, pause_ms: 250, is_new_fleet: false };
/// assert!(bucket.take(TimeMs::from_ms(0), &rate, &visibility, 0.6).is_ok());
/// assert_eq!(bucket.take(TimeMs::from_ms(0), &rate, &visibility, 1.0), Err(100));
/// ```
#[derive(Debug, Clone)]
pub struct SharedBucket {
    level: Option<f64>,
    /// Whether other hosts had spent something before this host first did.
    was_spent_elsewhere: bool,
    refilled_at: TimeMs,
    spent_here: f64,
    /// Decaying average of the other hosts' spending per millisecond, and the time of its last
    /// update.
    elsewhere_per_ms: f64,
    elsewhere_at: TimeMs,
    average_ms: f64,
    /// Rate and burst at the last refill.
    refill_per_ms: f64,
    burst_units: f64,
    /// Set while reports of some hosts are missing.
    partition: Option<Partition>,
    demand: DemandShare,
    /// Set while the customer asks for more than its rate.
    portion: Option<Portion>,
}

/// What a host may spend while reports of some other hosts are missing.
#[derive(Debug, Clone, Copy)]
struct Partition {
    since: TimeMs,
    part: f64,
    level: f64,
    /// Whether the partition existed when the bucket was first filled; the other hosts' spending
    /// since then is known.
    is_initial: bool,
}

impl SharedBucket {
    /// Returns the bucket of a host that has just started.
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
            partition: None,
            demand: DemandShare::new(now),
            portion: None,
        }
    }

    /// Takes `units`, or returns after how many milliseconds they may be available.
    ///
    /// The level may fall below zero by one request, so that a request larger than the burst is not
    /// refused forever.
    ///
    /// # Errors
    ///
    /// Returns the wait in milliseconds if the customer is over its rate.
    pub fn take(
        &mut self,
        now: TimeMs,
        rate: &CustomerRate,
        visibility: &PeerVisibility,
        units: f64,
    ) -> Result<(), u64> {
        self.ask(now, rate, visibility, units);
        // `refill` has set the level.
        let level = self.level.unwrap_or_default();
        let unreported_units = self.unreported_units(now, visibility);
        let own_level = self.partition.map_or(f64::INFINITY, |partition| partition.level);
        let portion = self.portion.map_or(f64::INFINITY, |portion| portion.level());
        if level <= unreported_units || own_level <= 0.0 || portion <= 0.0 {
            let wait_ms = |missing: f64, part: f64| {
                (1.0 + missing) / (self.refill_per_ms * part).max(f64::MIN_POSITIVE)
            };
            let waits = [
                wait_ms(unreported_units - level, 1.0),
                wait_ms(-own_level, visibility.part),
                wait_ms(-portion, self.portion.map_or(1.0, |portion| portion.share())),
            ];
            let longest_ms = waits.into_iter().fold(1.0, f64::max);
            return Err(longest_ms.min(WAIT_MS_MAX).ceil() as u64);
        }
        self.spend_here(units);
        Ok(())
    }

    /// Records that a request asks for `units`, without taking them.
    ///
    /// Each request is recorded once, also if it waits for its units.
    pub fn ask(
        &mut self,
        now: TimeMs,
        rate: &CustomerRate,
        visibility: &PeerVisibility,
        units: f64,
    ) {
        self.refill(now, rate, visibility);
        self.demand.asked_here(now, units, visibility.pause_ms);
        self.update_portion(now, visibility.pause_ms);
        self.average_ms = visibility.pause_ms as f64 * AVERAGE_PAUSES;
    }

    /// Refills the bucket without a request, before a forecast for those that wait.
    pub fn update(&mut self, now: TimeMs, rate: &CustomerRate, visibility: &PeerVisibility) {
        self.refill(now, rate, visibility);
        self.update_portion(now, visibility.pause_ms);
    }

    /// Takes the units of a request that [`SharedBucket::supply`] says is granted now.
    pub fn spend_here(&mut self, units: f64) {
        if let Some(portion) = &mut self.portion {
            portion.spend(units);
        }
        self.spend(units);
        self.spent_here += units;
    }

    /// Returns the supply that grants last after `work_ahead` units: that of the level, of this
    /// host's own part while reports are missing, or of its portion.
    ///
    /// The bucket must have been refilled for `now` by [`SharedBucket::ask`] or
    /// [`SharedBucket::update`]. A claim is granted at `now` exactly if [`SharedBucket::take`] would
    /// admit it.
    pub fn supply(&self, now: TimeMs, visibility: &PeerVisibility, work_ahead: f64) -> Supply {
        let level = self.level.unwrap_or_default();
        let share = self.portion.map_or_else(|| self.demand.share(now), |portion| portion.share());
        // Without portions, the other hosts take what they ask for, of which the last report interval
        // isn't known. A forecast from the whole refill less what is known was too early by seconds
        // while demand rose.
        let level_part = if self.portion.is_some() { 1.0 } else { share };
        let level_supply = Supply {
            available: level - self.unreported_units(now, visibility),
            per_ms: self.refill_per_ms * level_part,
            grant_units: f64::MIN_POSITIVE,
        };
        let own_supply = self.partition.map(|partition| Supply {
            available: partition.level,
            per_ms: self.refill_per_ms * partition.part,
            grant_units: f64::MIN_POSITIVE,
        });
        let portion_supply = self.portion.map(|portion| Supply {
            // Portions aren't refilled while a debt is paid off.
            available: portion.level() + level.min(0.0) * portion.share(),
            per_ms: portion.refill_per_ms(level, self.burst_units, self.refill_per_ms),
            grant_units: f64::MIN_POSITIVE,
        });
        let supplies = [Some(level_supply), own_supply, portion_supply];
        let granted_ms =
            |supply: &Supply| supply.granted_at(now, work_ahead).map_or(u64::MAX, TimeMs::as_ms);
        let is_short = supplies.iter().flatten().any(|supply| supply.available <= 0.0);
        let last = supplies.into_iter().flatten().max_by_key(granted_ms).unwrap_or(level_supply);
        // Whichever supply grants last in the end, nothing is granted before all of them are above
        // zero.
        let available = if is_short { last.available.min(0.0) } else { last.available };
        Supply { available, ..last }
    }

    /// Returns what other hosts spent and have yet to report.
    fn unreported_units(&self, now: TimeMs, visibility: &PeerVisibility) -> f64 {
        if self.portion.is_some() {
            // At several times the rate, all hosts would spend the same refill before they receive
            // each other's reports.
            return 0.0;
        }
        self.elsewhere_decayed_per_ms(now) * visibility.pause_ms as f64 * UNREPORTED_PAUSES
    }

    /// Starts, updates or ends the portion, depending on the demand.
    fn update_portion(&mut self, now: TimeMs, pause_ms: u64) {
        let level = self.level.unwrap_or_default();
        let share = self.demand.share(now);
        let demand_per_ms = self.demand.total_per_ms(now);
        let unreported_units = demand_per_ms * pause_ms as f64;
        match &mut self.portion {
            None if demand_per_ms > self.refill_per_ms
                && level < unreported_units.min(self.burst_units * PORTION_BELOW) =>
            {
                self.portion = Some(Portion::new(now, share, level));
            }
            Some(_) if demand_per_ms < self.refill_per_ms * PORTION_UNTIL => self.portion = None,
            Some(portion) => portion.update_share(now, share),
            None => {}
        }
    }

    /// Refunds the units that were taken for a request that never ran.
    pub fn give_back(&mut self, rate: &CustomerRate, units: f64) {
        self.level = self.level.map(|level| (level + units).min(rate.burst_units));
        if let Some(portion) = &mut self.portion {
            portion.spend(-units);
        }
        self.spent_here -= units;
    }

    /// Subtracts what other hosts spent.
    pub fn spent_elsewhere(&mut self, now: TimeMs, units: f64) {
        self.advance(now);
        self.was_spent_elsewhere |= !self.has_rate();
        self.spend(units);
        self.elsewhere_per_ms =
            (self.elsewhere_decayed_per_ms(now) + units / self.average_ms).max(0.0);
        self.elsewhere_at = now;
        self.demand.asked_elsewhere(now, units);
    }

    /// Records what other hosts refused, which counts as demand.
    pub fn refused_elsewhere(&mut self, now: TimeMs, units: f64) {
        self.demand.asked_elsewhere(now, units);
    }

    fn spend(&mut self, units: f64) {
        self.level = self.level.map(|level| level - units);
        if let Some(partition) = &mut self.partition {
            partition.level -= units;
        }
    }

    fn elsewhere_decayed_per_ms(&self, now: TimeMs) -> f64 {
        let age_ms = now.since_ms(self.elsewhere_at) as f64;
        self.elsewhere_per_ms * (-age_ms / self.average_ms).exp()
    }

    /// Moves the level towards the level that another host reports.
    ///
    /// Views drift apart by what each host misses while it starts or is partitioned; a customer
    /// would then be refused at one host and admitted at the next. `missing_units` is spending
    /// known to this host that the other host had not received.
    pub fn level_elsewhere(&mut self, now: TimeMs, level: f64, missing_units: f64) {
        self.advance(now);
        let level = level - missing_units.max(0.0);
        if !self.has_rate() {
            // Without the rate nothing is refilled here, so the last level reported by another host
            // is the best estimate.
            self.level = Some(level);
            return;
        }
        let own_level = self.level.unwrap_or(level);
        self.level = Some(own_level + (level - own_level) * CONVERGENCE_PART);
    }

    /// Returns the level at `now`, if a request of the customer has arrived at this host.
    pub fn level(&self, now: TimeMs) -> Option<f64> {
        if !self.has_rate() {
            return None;
        }
        let elapsed_ms = now.since_ms(self.refilled_at) as f64;
        self.level.map(|level| (level + self.refill_per_ms * elapsed_ms).min(self.burst_units))
    }

    /// Returns everything that this host spent since it started, for reports to other hosts.
    pub fn spent_here(&self) -> f64 {
        self.spent_here
    }

    /// Returns this host's fraction of the refill while the customer asks for more than its rate.
    pub fn portion(&self) -> Option<f64> {
        self.portion.map(|portion| portion.share())
    }

    /// Returns whether the rate is known, which is the case once a request of the customer has
    /// arrived.
    fn has_rate(&self) -> bool {
        self.burst_units > 0.0
    }

    fn refill(&mut self, now: TimeMs, rate: &CustomerRate, visibility: &PeerVisibility) {
        let PeerVisibility { part, hosts, is_new_fleet, .. } = *visibility;
        self.advance(now);
        self.refill_per_ms = rate.units_per_s / MS_PER_S;
        self.burst_units = rate.burst_units;
        let initial_part = if is_new_fleet && !self.was_spent_elsewhere {
            1.0
        } else {
            INITIAL_PART / hosts.max(INITIAL_HOSTS_MIN) as f64
        };
        let is_initial = self.level.is_none();
        let level = self.level.unwrap_or(rate.burst_units * initial_part).min(rate.burst_units);
        self.level = Some(level);
        if part < 1.0 {
            // The initial level is already this host's own fraction.
            let own_level = if is_initial { level } else { level * part };
            let partition = self.partition.get_or_insert(Partition {
                since: now,
                part,
                level: own_level,
                is_initial,
            });
            if part < partition.part && partition.level > 0.0 {
                partition.level *= part / partition.part;
            }
            partition.part = part;
        } else if let Some(partition) = self.partition.take()
            && now.since_ms(partition.since) >= LONG_PARTITION_MS
            && !partition.is_initial
        {
            // Spending of other hosts during a long silence is not reported afterwards.
            self.level = Some(level.min(partition.level));
        }
    }

    /// Refills for the time since the last change, whichever host spends next.
    ///
    /// Without this, a host that spends nothing would accumulate a refill beyond the burst.
    fn advance(&mut self, now: TimeMs) {
        let elapsed_ms = now.since_ms(self.refilled_at) as f64;
        self.refilled_at = now;
        if !self.has_rate() {
            return;
        }
        let (refill_per_ms, burst_units) = (self.refill_per_ms, self.burst_units);
        let debt_max = (refill_per_ms * DEBT_MS_MAX).max(burst_units);
        let refilled = |level: f64, part: f64| {
            (level + refill_per_ms * part * elapsed_ms).min(burst_units * part).max(-debt_max)
        };
        self.level = self.level.map(|level| refilled(level, 1.0));
        if let Some(partition) = &mut self.partition {
            partition.level = refilled(partition.level, partition.part);
        }
        let level = self.level.unwrap_or_default();
        if let Some(portion) = &mut self.portion {
            portion.refill(level, burst_units, refill_per_ms, elapsed_ms);
        }
    }
}

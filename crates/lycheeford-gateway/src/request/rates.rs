use lycheeford_policy::{Counters, Name, SharedBucket, ShortKey, TimeMs};

/// What customers spend, and what they ask for.
#[derive(Debug, Default)]
pub(crate) struct Rates {
    /// Sorted by key.
    buckets: Vec<(ShortKey, SharedBucket)>,
    /// What each customer was refused here.
    refused: Counters,
    /// How often each name was asked for here.
    asked: Counters,
}

impl Rates {
    /// Returns the bucket of a customer.
    pub(crate) fn bucket(&mut self, now: TimeMs, customer: &Name) -> &mut SharedBucket {
        self.bucket_of(now, ShortKey::of(customer))
    }

    fn bucket_of(&mut self, now: TimeMs, customer: ShortKey) -> &mut SharedBucket {
        let found = self.buckets.binary_search_by_key(&customer, |(key, _)| *key);
        let index = found.unwrap_or_else(|index| {
            self.buckets.insert(index, (customer, SharedBucket::new(now)));
            index
        });
        &mut self.buckets[index].1
    }

    /// Takes in what a customer spent through another host.
    pub(crate) fn spent_elsewhere(&mut self, now: TimeMs, customer: ShortKey, units: f64) {
        self.bucket_of(now, customer).spent_elsewhere(now, units);
    }

    /// Takes in what a customer was refused by another host.
    pub(crate) fn refused_elsewhere(&mut self, now: TimeMs, customer: ShortKey, units: f64) {
        self.bucket_of(now, customer).refused_elsewhere(now, units);
    }

    /// Takes in what is left for a customer as far as another host knows.
    pub(crate) fn level_elsewhere(
        &mut self,
        now: TimeMs,
        customer: ShortKey,
        level: f64,
        missing_units: f64,
    ) {
        self.bucket_of(now, customer).level_elsewhere(now, level, missing_units);
    }

    /// Returns what is left for each customer that spent something through this host.
    pub(crate) fn levels(&self, now: TimeMs) -> Vec<(ShortKey, f64)> {
        let level = |(key, bucket): &(ShortKey, SharedBucket)| Some((*key, bucket.level(now)?));
        self.buckets.iter().filter_map(level).collect()
    }

    /// Returns what each customer spent through this host since it started.
    pub(crate) fn spent(&self) -> Vec<(ShortKey, f64)> {
        self.buckets.iter().map(|(key, bucket)| (*key, bucket.spent_here())).collect()
    }

    /// Returns what a customer spent through this host since it started.
    pub(crate) fn spent_here(&self, customer: ShortKey) -> f64 {
        let found = self.buckets.binary_search_by_key(&customer, |(key, _)| *key);
        found.map_or(0.0, |index| self.buckets[index].1.spent_here())
    }

    /// Counts what a customer was refused here.
    pub(crate) fn refuse(&mut self, now: TimeMs, customer: &Name, units: f64) {
        self.refused.add(now, ShortKey::of(customer), units);
    }

    /// Returns what each customer was refused here since this host started.
    pub(crate) fn refused(&self) -> Vec<(ShortKey, f64)> {
        self.refused.all()
    }

    /// Counts that a name was asked for.
    pub(crate) fn ask(&mut self, now: TimeMs, name: ShortKey) {
        self.asked.add(now, name, 1.0);
    }

    /// Returns how often each name was asked for here.
    pub(crate) fn asked(&self) -> &Counters {
        &self.asked
    }
}

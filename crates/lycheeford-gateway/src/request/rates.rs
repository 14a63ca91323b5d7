use lycheeford_policy::{Counters, Name, SharedBucket, ShortKey, TimeMs};

/// The customers' rate limits and the demand for models and adapters.
#[derive(Debug, Default)]
pub(crate) struct Rates {
    /// Sorted by key.
    buckets: Vec<(ShortKey, SharedBucket)>,
    /// The units refused to each customer by this host.
    refused: Counters,
    /// The requests for each model and adapter at this host.
    asked: Counters,
}

impl Rates {
    /// Returns the token bucket of a customer.
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

    /// Records units that a customer spent through another host.
    pub(crate) fn spent_elsewhere(&mut self, now: TimeMs, customer: ShortKey, units: f64) {
        self.bucket_of(now, customer).spent_elsewhere(now, units);
    }

    /// Records units that another host refused to a customer.
    pub(crate) fn refused_elsewhere(&mut self, now: TimeMs, customer: ShortKey, units: f64) {
        self.bucket_of(now, customer).refused_elsewhere(now, units);
    }

    /// Records the level of a customer's bucket as another host reports it.
    pub(crate) fn level_elsewhere(
        &mut self,
        now: TimeMs,
        customer: ShortKey,
        level: f64,
        missing_units: f64,
    ) {
        self.bucket_of(now, customer).level_elsewhere(now, level, missing_units);
    }

    /// Returns the bucket level of each customer of which a request has arrived at this host.
    pub(crate) fn levels(&self, now: TimeMs) -> Vec<(ShortKey, f64)> {
        let level = |(key, bucket): &(ShortKey, SharedBucket)| Some((*key, bucket.level(now)?));
        self.buckets.iter().filter_map(level).collect()
    }

    /// Returns the units that each customer spent through this host since it started.
    pub(crate) fn spent(&self) -> Vec<(ShortKey, f64)> {
        self.buckets.iter().map(|(key, bucket)| (*key, bucket.spent_here())).collect()
    }

    /// Returns the units that a customer spent through this host since it started.
    pub(crate) fn spent_here(&self, customer: ShortKey) -> f64 {
        let found = self.buckets.binary_search_by_key(&customer, |(key, _)| *key);
        found.map_or(0.0, |index| self.buckets[index].1.spent_here())
    }

    /// Counts units refused to a customer by this host.
    pub(crate) fn count_refused(&mut self, now: TimeMs, customer: &Name, units: f64) {
        self.refused.add(now, ShortKey::of(customer), units);
    }

    /// Returns the units refused to each customer since this host started.
    pub(crate) fn refused(&self) -> Vec<(ShortKey, f64)> {
        self.refused.all()
    }

    /// Counts a request for a model or adapter.
    pub(crate) fn count_request(&mut self, now: TimeMs, name: ShortKey) {
        self.asked.add(now, name, 1.0);
    }

    /// Returns the requests for each model and adapter at this host.
    pub(crate) fn asked(&self) -> &Counters {
        &self.asked
    }
}

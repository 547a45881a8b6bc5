//! Token buckets that bound a node's retries by the service that is called.

use std::collections::HashMap;

use crate::{names::ServiceName, retry::RetryTokenBucket};

/// Most services with a bucket. Calls of further ones are not retried.
const MAX_SERVICES: usize = 4096;

/// Retry tokens of a node. Those earned by the calls of one service serve no other: a service whose
/// instances turn calls away would get the retries that the calls of all services allow.
#[derive(Debug)]
pub struct ServiceTokens {
    ratio: f64,
    burst: f64,
    buckets: HashMap<ServiceName, RetryTokenBucket>,
}

impl ServiceTokens {
    /// Creates tokens of which each call adds `ratio` to the bucket of its service. A bucket holds
    /// `burst` tokens, and is full at first.
    pub fn new(ratio: f64, burst: f64) -> Self {
        Self { ratio, burst, buckets: HashMap::new() }
    }

    /// Sets the capacity of each bucket, in retries, and drops tokens above it.
    pub fn set_burst(&mut self, burst: f64) {
        self.burst = burst;
        self.buckets.values_mut().for_each(|bucket| bucket.set_burst(burst));
    }

    /// Sets the tokens that each call adds, and keeps those in the buckets.
    pub fn set_ratio(&mut self, ratio: f64) {
        self.ratio = ratio;
        self.buckets.values_mut().for_each(|bucket| bucket.set_ratio(ratio));
    }

    /// Adds the tokens of one call of `service`.
    pub fn record_call(&mut self, service: &ServiceName) {
        if let Some(bucket) = self.bucket(service) {
            bucket.record_call();
        }
    }

    /// Takes one token for a retry at `service`, or returns `false` if there is less than one.
    #[must_use]
    pub fn try_take(&mut self, service: &ServiceName) -> bool {
        self.bucket(service).is_some_and(RetryTokenBucket::try_take)
    }

    fn bucket(&mut self, service: &ServiceName) -> Option<&mut RetryTokenBucket> {
        if !self.buckets.contains_key(service) && self.buckets.len() < MAX_SERVICES {
            let bucket = RetryTokenBucket::new(self.ratio, self.burst);
            self.buckets.insert(service.clone(), bucket);
        }
        self.buckets.get_mut(service)
    }
}

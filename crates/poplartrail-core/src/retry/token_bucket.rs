//! Token bucket that bounds a node's retries at one service to a fraction of its calls.

/// Token bucket that every call fills by a fraction of a token and every retry takes a token from.
#[derive(Debug, Clone)]
pub struct RetryTokenBucket {
    ratio: f64,
    burst: f64,
    tokens: f64,
}

impl RetryTokenBucket {
    /// Creates a full bucket of `burst` tokens; each call adds `ratio` tokens.
    pub fn new(ratio: f64, burst: f64) -> Self {
        Self { ratio, burst, tokens: burst }
    }

    /// Sets the capacity of the bucket, in retries, and drops tokens above it.
    pub fn set_burst(&mut self, burst: f64) {
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }

    /// Sets the tokens that each call adds, and keeps those in the bucket.
    pub fn set_ratio(&mut self, ratio: f64) {
        self.ratio = ratio;
    }

    /// Adds the tokens of one call, up to the capacity.
    pub fn record_call(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.burst);
    }

    /// Takes one token for a retry, or returns `false` if there is less than one.
    #[must_use]
    pub fn try_take(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

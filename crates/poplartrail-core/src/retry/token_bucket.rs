//! A bound on a node's retries as a fraction of its calls.

/// Tokens that calls earn and retries spend.
#[derive(Debug, Clone)]
pub struct RetryTokenBucket {
    ratio: f64,
    burst: f64,
    tokens: f64,
}

impl RetryTokenBucket {
    /// Allows `ratio` retries for each call, and `burst` at once at the start or after a rest.
    pub fn new(ratio: f64, burst: f64) -> Self {
        Self { ratio, burst, tokens: burst }
    }

    /// Changes the number of retries that may be saved up; more than that are forgotten.
    pub fn set_burst(&mut self, burst: f64) {
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }

    /// Changes the ratio and keeps the tokens.
    pub fn set_ratio(&mut self, ratio: f64) {
        self.ratio = ratio;
    }

    /// Earns the part of a token that one call is worth.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.burst);
    }

    /// Takes one token, or returns `false` if none is left.
    #[must_use]
    pub fn spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

//! A bound on a node's retries as a fraction of its calls.

/// Tokens that calls earn and retries spend.
#[derive(Debug, Clone)]
pub struct RetryRatio {
    ratio: f64,
    tokens: f64,
}

/// Most tokens that can be saved up.
const MAX_TOKENS: f64 = 100.0;

impl RetryRatio {
    /// Allows `ratio` retries for each call, and a few at the start.
    pub fn new(ratio: f64) -> Self {
        Self { ratio, tokens: MAX_TOKENS }
    }

    /// Changes the ratio and keeps the tokens.
    pub fn set_ratio(&mut self, ratio: f64) {
        self.ratio = ratio;
    }

    /// Earns the part of a token that one call is worth.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(MAX_TOKENS);
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

//! Bounds on retries: a token bucket for each node, and the remaining budgets of requests that
//! callers repeat.

mod budget_cache;
mod token_bucket;

pub use budget_cache::RetryBudgetCache;
pub use token_bucket::RetryTokenBucket;

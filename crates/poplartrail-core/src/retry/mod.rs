//! Bounds on repeats: a ratio for each node, and a memory of requests that callers repeat.

mod budget_cache;
mod token_bucket;

pub use budget_cache::RetryBudgetCache;
pub use token_bucket::RetryTokenBucket;

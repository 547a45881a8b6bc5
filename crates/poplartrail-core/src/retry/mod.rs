//! Bounds on retries: token buckets of each node, one for each service that it calls, and the remaining budgets of requests that
//! callers repeat.

mod budget_cache;
mod service_tokens;
mod token_bucket;

pub use budget_cache::RetryBudgetCache;
pub use service_tokens::ServiceTokens;
pub use token_bucket::RetryTokenBucket;

//! Points in time as plain numbers, passed to decisions so that they never read a clock.

mod monotonic;
mod wall;

pub use monotonic::Time;
pub use wall::WallTime;

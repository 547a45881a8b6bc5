//! Points in time as plain numbers, so that decisions never read a clock.

mod monotonic;
mod wall;

pub use monotonic::Time;
pub use wall::WallTime;

//! Members of each service, computed from its member stream in the platform log.

mod member_info;
mod membership;
mod poll_wait;
mod read_pause;
mod record;

pub use member_info::Member;
pub use membership::{MemberEntry, Membership};
pub use poll_wait::poll_wait;
pub use read_pause::read_pause;
pub use record::{MemberRecord, MemberState, SlotChange};

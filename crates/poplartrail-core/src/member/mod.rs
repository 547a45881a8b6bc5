//! Who serves what, folded from the platform log.

mod member_info;
mod record;
mod roster;

pub use member_info::Member;
pub use record::{MemberRecord, MemberState, SlotChange};
pub use roster::{Roster, RosterEntry};

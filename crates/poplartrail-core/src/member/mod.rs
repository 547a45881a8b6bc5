//! Members of each service, computed from its member stream in the platform log.

mod member_info;
mod membership;
mod record;

pub use member_info::Member;
pub use membership::{MemberEntry, Membership};
pub use record::{MemberRecord, MemberState, SlotChange};

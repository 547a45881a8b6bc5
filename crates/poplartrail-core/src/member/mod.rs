//! Members of each service, folded from the platform log.

mod member_info;
mod membership;
mod record;

pub use member_info::Member;
pub use membership::{MemberEntry, Membership};
pub use record::{MemberRecord, MemberState, SlotChange};

//! What the decide thread expects of the outside.

mod clock;
mod message;
mod ring;

pub use clock::{Clock, SystemClock};
pub use message::{
    DecideMessage, IngressMessage, PeersMessage, PlatformMessage, ReportMessage, UpstreamMessage,
};
pub use ring::{RingReceiver, RingSender, Wait, ring};

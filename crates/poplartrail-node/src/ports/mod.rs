//! Ports: what the decide thread needs from its surroundings.

mod clock;
mod message;
mod ring;

pub use clock::{Clock, SystemClock};
pub use message::{
    DecideMessage, IngressMessage, PeersMessage, PlatformMessage, ReportMessage, UpstreamMessage,
};
pub use ring::{RecvTimeoutError, RingReceiver, RingSender, ring};

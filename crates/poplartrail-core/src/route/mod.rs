//! Choice of an instance for a call, and what answers tell about the instances.

mod instance;
mod report;
mod router;
mod silence;
mod unheard;

pub use instance::{Instance, InstanceKey, Standing};
pub use report::GateReport;
pub use router::{Choice, Router};
pub use silence::Silence;
pub use unheard::{Traffic, Unheard};

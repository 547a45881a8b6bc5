//! Creates the rings and threads of a process from its settings.

mod error;
mod hosted;
mod logging;
mod options;
mod start;
mod stop;

pub use error::DaemonError;
pub use hosted::run_hosted;
pub use logging::init_logging;
pub use start::run;

//! Why the daemon could not start.

use poplartrail_settings::SettingsError;
use quick_error::quick_error;

use crate::adapters::peers::TlsError;

quick_error! {
    /// A start that failed.
    #[derive(Debug)]
    pub enum DaemonError {
        /// The settings cannot be used.
        Settings(err: SettingsError) {
            from()
            display("{}", err)
        }
        /// The certificates cannot be used.
        Tls(err: TlsError) {
            from()
            display("{}", err)
        }
        /// A thread could not be started.
        Thread(name: &'static str, err: std::io::Error) {
            display("the {} thread cannot be started ({}): raise the limit on threads", name, err)
        }
        /// Signals cannot be received.
        Signals(err: std::io::Error) {
            display("signals cannot be received ({}): raise the limit on open files", err)
        }
        /// The logger could not be set up.
        Logging(why: String) {
            display("the log cannot be written ({}): check standard output", why)
        }
        /// The metrics could not be set up.
        Metrics(why: String) {
            display("metrics cannot be recorded ({}): start one daemon in a process", why)
        }
    }
}

//! Errors on the start of the daemon.

use poplartrail_settings::SettingsError;
use quick_error::quick_error;

use crate::adapters::peers::TlsError;

quick_error! {
    /// Reason why the daemon could not start.
    #[derive(Debug)]
    pub enum DaemonError {
        /// The settings file cannot be read or is not valid.
        Settings(err: SettingsError) {
            from()
            display("{}", err)
        }
        /// The certificates cannot be loaded or created.
        Tls(err: TlsError) {
            from()
            display("{}", err)
        }
        /// The operating system refused to start a thread.
        Thread(name: &'static str, err: std::io::Error) {
            display("the {} thread cannot be started ({}): raise the limit on threads", name, err)
        }
        /// The signal handlers could not be installed.
        Signals(err: std::io::Error) {
            display("signals cannot be received ({}): raise the limit on open files", err)
        }
        /// The logger could not be set up.
        Logging(why: String) {
            display("the log cannot be written ({}): check standard output", why)
        }
        /// The recorder of the metrics could not be installed.
        Metrics(why: String) {
            display("metrics cannot be recorded ({}): run only one daemon in a process", why)
        }
    }
}

//! Logs as JSON lines on standard output.

use std::sync::Arc;

use spdlog::{
    LevelFilter, Logger,
    formatter::JsonFormatter,
    sink::{StdStream, StdStreamSink},
};

use crate::daemon::DaemonError;

/// Makes every log entry one JSON line on standard output.
pub fn init_logging(is_verbose: bool) -> Result<(), DaemonError> {
    let error = |err: spdlog::Error| DaemonError::Logging(err.to_string());
    let sink = StdStreamSink::builder()
        .std_stream(StdStream::Stdout)
        .formatter(JsonFormatter::new())
        .build_arc()
        .map_err(error)?;
    let level = if is_verbose { spdlog::Level::Debug } else { spdlog::Level::Info };
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(LevelFilter::MoreSevereEqual(level))
        .flush_level_filter(LevelFilter::All)
        .build()
        .map_err(error)?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

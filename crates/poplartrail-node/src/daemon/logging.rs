//! Logging as JSON lines on standard output.

use std::{num::NonZeroUsize, sync::Arc};

use spdlog::{
    LevelFilter, Logger, ThreadPool,
    formatter::JsonFormatter,
    sink::{AsyncPoolSink, OverflowPolicy, StdStream, StdStreamSink},
};

use crate::daemon::DaemonError;

/// Maximum number of lines that wait to be written: some seconds at the highest rate that the limit
/// on lines lets through.
const MAX_QUEUED_LINES: NonZeroUsize = NonZeroUsize::new(4_096).expect("not zero");

/// Installs the logger, which writes each entry as one JSON line to standard output.
pub fn init_logging(is_verbose: bool) -> Result<(), DaemonError> {
    let error = |err: spdlog::Error| DaemonError::Logging(err.to_string());
    let sink = StdStreamSink::builder()
        .std_stream(StdStream::Stdout)
        .formatter(JsonFormatter::new())
        .build_arc()
        .map_err(error)?;
    // A slow reader of the log must not block a serving thread: a line that finds the channel full
    // is dropped.
    let pool = ThreadPool::builder().capacity(MAX_QUEUED_LINES).build_arc().map_err(error)?;
    let sink = AsyncPoolSink::builder()
        .sink(sink)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .thread_pool(pool)
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

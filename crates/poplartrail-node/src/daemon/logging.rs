//! Logs as JSON lines on standard output.

use std::{num::NonZeroUsize, sync::Arc};

use spdlog::{
    LevelFilter, Logger, ThreadPool,
    formatter::JsonFormatter,
    sink::{AsyncPoolSink, OverflowPolicy, StdStream, StdStreamSink},
};

use crate::daemon::DaemonError;

/// Lines that may wait to be written: some seconds of the most that is let through.
const MAX_WAITING_LINES: NonZeroUsize = NonZeroUsize::new(4_096).expect("not zero");

/// Makes every log entry one JSON line on standard output.
pub fn init_logging(is_verbose: bool) -> Result<(), DaemonError> {
    let error = |err: spdlog::Error| DaemonError::Logging(err.to_string());
    let sink = StdStreamSink::builder()
        .std_stream(StdStream::Stdout)
        .formatter(JsonFormatter::new())
        .build_arc()
        .map_err(error)?;
    // A reader that does not keep up must not hold up a thread that serves: what finds the channel
    // full is left out.
    let pool = ThreadPool::builder().capacity(MAX_WAITING_LINES).build_arc().map_err(error)?;
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

//! Logs as JSON lines on standard error: each event once, with the same field names in every role.

mod limit;

use std::sync::Arc;

use spdlog::formatter::JsonFormatter;
use spdlog::sink::{StdStream, StdStreamSink};
use spdlog::{Level, LevelFilter, Logger};

/// From this level on; the process's name is the logger's.
pub fn start(node: &str, level: &str) {
    let level = match level {
        "error" => Level::Error,
        "warn" => Level::Warn,
        "debug" => Level::Debug,
        _ => Level::Info,
    };
    let sink = StdStreamSink::builder().std_stream(StdStream::Stderr).formatter(JsonFormatter::new()).build();
    let Ok(sink) = sink else { return };
    let logger = Logger::builder()
        .name(node)
        .sink(Arc::new(sink))
        .level_filter(LevelFilter::MoreSevereEqual(level))
        .flush_level_filter(LevelFilter::All)
        .build();
    if let Ok(logger) = logger {
        spdlog::set_default_logger(Arc::new(logger));
    }
}

/// A line for staff; of one event only so many a second are written, and the next one tells how many were left out.
pub fn event(what: &'static str, text: &str) {
    let Some(left_out) = limit::admit(what) else { return };
    if left_out > 0 {
        spdlog::info!("{} more", left_out, kv: { event = what });
    }
    spdlog::info!("{}", text, kv: { event = what });
}

pub fn debug(what: &str, text: &str) {
    spdlog::debug!("{}", text, kv: { event = what });
}

pub fn error(what: &str, text: &str) {
    spdlog::error!("{}", text, kv: { event = what });
}

//! Logs as JSON lines on standard error, with the same field names in every role.

mod rate_limit;

use std::sync::Arc;

use spdlog::formatter::JsonFormatter;
use spdlog::sink::{StdStream, StdStreamSink};
use spdlog::{Level, LevelFilter, Logger};

/// Sets the process's logger up: `node` is its name, and lines below `level` are left out (`info` where the level is unknown).
pub fn init(node: &str, level: &str) {
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

/// An event that staff may want to know. Of one kind only so many a second are written; the next line says how many were left
/// out.
pub fn event(kind: &'static str, text: &str) {
    let Some(suppressed) = rate_limit::admit(kind) else { return };
    if suppressed > 0 {
        spdlog::info!("{} more", suppressed, kv: { event = kind });
    }
    spdlog::info!("{}", text, kv: { event = kind });
}

/// An event that helps to find faults of the tier itself.
pub fn debug(kind: &str, text: &str) {
    spdlog::debug!("{}", text, kv: { event = kind });
}

/// A fault that staff must know of.
pub fn error(kind: &str, text: &str) {
    spdlog::error!("{}", text, kv: { event = kind });
}

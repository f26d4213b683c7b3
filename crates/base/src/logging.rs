//! Structured logs: each event is one line of key=value pairs.
//!
//! - [`bounded`]: a non-blocking log writer with a bounded buffer.
//! - [`limiter`]: limits lines about events that another process causes.
//!
//! Call sites use the macros of spdlog-rs with `kv` pairs, as in
//! `info!("bundle accepted", kv: { sequence = 7, operator = "awa" })`.

pub mod bounded;
pub mod limiter;

use std::fmt::Write as _;
use std::io;
use std::sync::Arc;
use std::time::UNIX_EPOCH;

use bounded::BoundedWriter;
use serde::{Deserialize, Serialize};
use spdlog::formatter::{Formatter, FormatterContext};
use spdlog::sink::{Sink, StdStreamSink, WriteSink};
use spdlog::{LevelFilter, Record, StringBuf, error};

use crate::task::panic_message;

/// The least severe level that is logged.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Level {
    /// Logs nothing.
    Off,
    /// Failures that need an operator's action.
    Error,
    /// Conditions that may need an operator's action.
    Warn,
    /// Events of normal operation.
    #[default]
    Info,
    /// Details for developers.
    Debug,
}

impl Level {
    fn filter(self) -> LevelFilter {
        match self {
            Self::Off => LevelFilter::Off,
            Self::Error => LevelFilter::MoreSevereEqual(spdlog::Level::Error),
            Self::Warn => LevelFilter::MoreSevereEqual(spdlog::Level::Warn),
            Self::Info => LevelFilter::MoreSevereEqual(spdlog::Level::Info),
            Self::Debug => LevelFilter::MoreSevereEqual(spdlog::Level::Debug),
        }
    }
}

/// Sets up logging to standard error for a command.
pub fn init(level: Level) {
    let sink = StdStreamSink::builder()
        .stderr()
        .formatter(KeyValue)
        .build();
    if let Ok(sink) = sink {
        install(
            level,
            Arc::new(sink),
            LevelFilter::MoreSevereEqual(spdlog::Level::Info),
        );
    }
}

/// Sets up logging to standard output for a daemon. The buffer is bounded, and
/// a slow reader of the output never blocks the daemon.
///
/// # Errors
///
/// Returns an error when the writer thread cannot be started.
pub fn init_daemon(level: Level) -> io::Result<()> {
    let writer = BoundedWriter::start(io::stdout())?;
    let sink = WriteSink::builder()
        .formatter(KeyValue)
        .target(writer)
        .build();
    let sink = sink.map_err(io::Error::other)?;
    install(level, Arc::new(sink), LevelFilter::Off);
    Ok(())
}

/// Changes the log level of the process.
pub fn set_level(level: Level) {
    spdlog::default_logger().set_level_filter(level.filter());
}

/// Logs each panic of the process as one line, in place of the message on standard error,
/// whose reader could block the process.
pub fn log_panics() {
    std::panic::set_hook(Box::new(|info| {
        let cause = panic_message(info.payload());
        let location = info.location().map(ToString::to_string);
        error!("panic", kv: {
            cause = cause.as_str(), location = location.as_deref().unwrap_or("-")
        });
    }));
}

/// Flushes buffered log lines. Call it before the process ends.
pub fn flush() {
    spdlog::default_logger().flush();
}

fn install(level: Level, sink: Arc<dyn Sink>, flush: LevelFilter) {
    let logger = spdlog::Logger::builder()
        .sink(sink)
        .level_filter(level.filter())
        .flush_level_filter(flush)
        .build();
    if let Ok(logger) = logger {
        spdlog::set_default_logger(Arc::new(logger));
    }
}

/// Formats a record as one line: `time=… level=… event="…" key=value …`.
#[derive(Debug, Clone)]
pub struct KeyValue;

impl Formatter for KeyValue {
    fn format(
        &self,
        record: &Record<'_>,
        dest: &mut StringBuf,
        _ctx: &mut FormatterContext<'_>,
    ) -> spdlog::Result<()> {
        let ms = record
            .time()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_millis());
        let level = record.level().as_str();
        let fail = spdlog::Error::FormatRecord;

        write!(dest, "time={ms} level={level} event={:?}", record.payload()).map_err(fail)?;
        for (key, value) in record.key_values() {
            write!(
                dest,
                " {}={}",
                key.as_str(),
                quote_value(&value.to_string())
            )
            .map_err(fail)?;
        }
        dest.write_char('\n').map_err(fail)
    }
}

/// Maximum length of a value in a line, in characters. Text of other systems may be of any
/// length, and one line must not fill the buffer.
const MAX_VALUE_CHARS: usize = 512;

/// Formats a value for a log line. Anything but a single plain word is quoted
/// and escaped, so that text from callers cannot inject line breaks or keys. A
/// long value is truncated.
fn quote_value(value: &str) -> String {
    let plain = |c: char| c.is_ascii_graphic() && c != '"' && c != '=';
    if let Some((end, _)) = value.char_indices().nth(MAX_VALUE_CHARS) {
        return format!("{:?}", format!("{}...", &value[..end]));
    }
    if !value.is_empty() && value.chars().all(plain) {
        return value.to_owned();
    }
    format!("{value:?}")
}

//! Logs: one line of key=value pairs for each event.
//!
//! - [`bounded`]: output that is bounded and never waited for.
//!
//! Every call site uses spdlog-rs with its `kv` part, as in
//! `info!("bundle accepted", kv: { sequence = 7, operator = "awa" })`.

pub mod bounded;

use std::fmt::Write as _;
use std::io;
use std::sync::Arc;
use std::time::UNIX_EPOCH;

use bounded::BoundedWriter;
use serde::{Deserialize, Serialize};
use spdlog::formatter::{Formatter, FormatterContext};
use spdlog::sink::{Sink, StdStreamSink, WriteSink};
use spdlog::{LevelFilter, Record, StringBuf};

/// How much is logged.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Level {
    /// Nothing at all.
    Off,
    /// Only what needs a person.
    Error,
    /// What may need a person.
    Warn,
    /// What an operator reads every day.
    #[default]
    Info,
    /// What a developer reads.
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

/// Sends logs of a command to standard error at the given level.
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

/// Sends logs of a daemon to standard output at the given level, bounded and
/// without waiting for whoever reads them.
///
/// # Errors
///
/// Returns the error when the thread that writes them cannot be started.
pub fn init_daemon(level: Level) -> io::Result<()> {
    let out = BoundedWriter::start(io::stdout())?;
    let sink = WriteSink::builder().formatter(KeyValue).target(out).build();
    let sink = sink.map_err(io::Error::other)?;
    install(level, Arc::new(sink), LevelFilter::Off);
    Ok(())
}

/// Changes the level of the logs.
pub fn set_level(level: Level) {
    spdlog::default_logger().set_level_filter(level.filter());
}

/// Writes out what was logged; for the end of a process.
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

/// Writes `time=… level=… event="…" key=value …` on one line.
#[derive(Debug, Clone)]
struct KeyValue;

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
            write!(dest, " {}={}", key.as_str(), quoted(&value.to_string())).map_err(fail)?;
        }
        dest.write_char('\n').map_err(fail)
    }
}

/// A value as it stands in a log line: quoted when it would not read as one
/// word, so that a caller's text cannot break the line or forge a key.
fn quoted(value: &str) -> String {
    let plain = |c: char| c.is_ascii_graphic() && c != '"' && c != '=';
    if !value.is_empty() && value.chars().all(plain) {
        return value.to_owned();
    }
    format!("{value:?}")
}

//! Logs: one line of key=value pairs for each event.
//!
//! Every call site uses spdlog-rs with its `kv` part, as in
//! `info!("bundle accepted", kv: { sequence = 7, operator = "awa" })`.

use std::fmt::Write as _;
use std::sync::Arc;
use std::time::UNIX_EPOCH;

use serde::{Deserialize, Serialize};
use spdlog::formatter::{Formatter, FormatterContext};
use spdlog::sink::StdStreamSink;
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

/// Sends logs of this process to standard error at the given level.
pub fn init(level: Level) {
    let sink = StdStreamSink::builder()
        .stderr()
        .formatter(KeyValue)
        .build();
    let Ok(sink) = sink else { return };

    let logger = spdlog::Logger::builder()
        .sink(Arc::new(sink))
        .level_filter(level.filter())
        .flush_level_filter(LevelFilter::MoreSevereEqual(spdlog::Level::Info))
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

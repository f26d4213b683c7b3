//! Settings in JSON. An error names the offending key, the value found and a
//! hint.

use std::fmt::{self, Display, Formatter};
use std::path::Path;
use std::time::Duration;

use serde::de::{DeserializeOwned, Error as _};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use snafu::{ResultExt, Snafu};

/// Reads settings of type `T` from a JSON file. To reject unknown keys, `T` must
/// have the attribute `#[serde(deny_unknown_fields)]`.
///
/// # Errors
///
/// Returns [`Error`] when the file cannot be read or is not a valid `T`.
pub fn load<T: DeserializeOwned>(path: &Path) -> Result<T, Error> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).context(ReadSnafu { path: &name })?;
    parse(&name, &text)
}

/// Parses settings of type `T` from JSON text. `name` is the source of the text
/// in errors.
///
/// # Errors
///
/// Returns [`Error::Parse`] with the path of the key when the text is invalid.
pub fn parse<T: DeserializeOwned>(name: &str, text: &str) -> Result<T, Error> {
    let mut de = serde_json::Deserializer::from_str(text);
    let value = serde_path_to_error::deserialize(&mut de).map_err(|e| Error::Parse {
        file: name.to_owned(),
        key: e.path().to_string(),
        found: e.into_inner().to_string(),
    })?;
    de.end().map_err(|e| Error::Parse {
        file: name.to_owned(),
        key: ".".to_owned(),
        found: e.to_string(),
    })?;
    Ok(value)
}

/// Reports one value as invalid unless `valid` is set.
///
/// # Errors
///
/// Returns [`Error::Check`] with the key, the value found and the hint.
pub fn check(key: &str, found: impl Display, valid: bool, hint: &str) -> Result<(), Error> {
    if valid {
        return Ok(());
    }
    CheckSnafu {
        key,
        found: found.to_string(),
        hint,
    }
    .fail()
}

/// Why settings were rejected.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The file could not be read.
    #[snafu(display(
        "step=read_settings file={path}: {source} (hint: check the path given to --settings)"
    ))]
    Read {
        /// The path of the file.
        path: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The text is not valid JSON or does not match the settings type.
    #[snafu(display(
        "step=parse_settings file={file} key={key}: {found} \
         (hint: see docs/OPERATORS.md for the keys and their units)"
    ))]
    Parse {
        /// The source of the text, usually a file.
        file: String,
        /// The path of the offending key.
        key: String,
        /// The parser's error message.
        found: String,
    },
    /// A value is well-formed but out of range or inconsistent.
    #[snafu(display("step=check_settings key={key}: found {found} (hint: {hint})"))]
    Check {
        /// The path of the offending key.
        key: String,
        /// The value found.
        found: String,
        /// Which values are accepted.
        hint: String,
    },
}

/// A duration written with its unit, as in `"250ms"`, `"2s"` or `"5m"`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct HumanDuration(pub Duration);

impl HumanDuration {
    /// Creates a duration of `ms` milliseconds.
    #[must_use]
    pub const fn ms(ms: u64) -> Self {
        Self(Duration::from_millis(ms))
    }

    /// Creates a duration of `secs` seconds.
    #[must_use]
    pub const fn secs(secs: u64) -> Self {
        Self(Duration::from_secs(secs))
    }
}

impl std::str::FromStr for HumanDuration {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let unit_at = text
            .find(|c: char| !c.is_ascii_digit())
            .unwrap_or(text.len());
        let (digits, unit) = text.split_at(unit_at);

        let count: u64 = digits.parse().map_err(|_| duration_error(text))?;
        let unit_us: u64 = match unit {
            "us" => 1,
            "ms" => 1_000,
            "s" => 1_000_000,
            "m" => 60_000_000,
            "h" => 3_600_000_000,
            _ => return Err(duration_error(text)),
        };

        let us = count
            .checked_mul(unit_us)
            .ok_or_else(|| duration_error(text))?;
        Ok(Self(Duration::from_micros(us)))
    }
}

fn duration_error(text: &str) -> String {
    format!(
        "bad duration {text:?}, expected a whole number with us, ms, s, m or h, as in \"250ms\""
    )
}

impl Display for HumanDuration {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let us = self.0.as_micros();
        match us {
            0 => f.write_str("0s"),
            _ if us.is_multiple_of(1_000_000) => write!(f, "{}s", us / 1_000_000),
            _ if us.is_multiple_of(1_000) => write!(f, "{}ms", us / 1_000),
            _ => write!(f, "{us}us"),
        }
    }
}

impl Serialize for HumanDuration {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for HumanDuration {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(D::Error::custom)
    }
}

//! The records of the table of crashes that entries share through the store.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use super::Crash;

/// Start of the key of a part that is known to be sound.
const SOUND_PREFIX: &str = "sound-";

/// The key of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RecordKey {
    /// A server crashed while it ran a call.
    Crash(Crash),
    /// A server has answered a prompt with this part.
    SoundPart(u64),
}

impl Display for RecordKey {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Crash(crash) => crash.fmt(f),
            Self::SoundPart(part) => write!(f, "{SOUND_PREFIX}{part:x}"),
        }
    }
}

impl FromStr for RecordKey {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text.strip_prefix(SOUND_PREFIX) {
            Some(part) => parse_part(part).map(Self::SoundPart),
            None => text.parse().map(Self::Crash),
        }
    }
}

/// Maximum number of parts that are read from a record; a prompt has about three. Each takes
/// memory for as long as the crash counts.
const MAX_PARTS: usize = 64;

/// Marks a call whose answer had just begun.
const BEGAN_MARK: &str = "began";

/// The value of a record. Its text form is `SEEN_MS RUN_MS PART,PART began`, with the parts
/// in hexadecimal; all but the first field may be missing.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// When the crash was seen, or the part was known to be sound, in Unix milliseconds.
    pub seen_ms: u64,
    /// Time from sending the call to the crash, in milliseconds.
    pub run_ms: u32,
    /// Whether the answer had just begun.
    pub just_began: bool,
    /// The parts of the call's prompt that other requests may share.
    pub shared_parts: Vec<u64>,
}

impl Display for CrashRecord {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.seen_ms)?;
        if self.run_ms == 0 && self.shared_parts.is_empty() {
            return Ok(());
        }
        let parts: Vec<String> = self.shared_parts.iter().map(|p| format!("{p:x}")).collect();
        write!(f, " {} {}", self.run_ms, parts.join(","))?;
        match self.just_began {
            true => write!(f, " {BEGAN_MARK}"),
            false => Ok(()),
        }
    }
}

impl FromStr for CrashRecord {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let bad = || format!("invalid crash record, expected SEEN_MS RUN_MS PARTS: {text:?}");
        let mut fields = text.split(' ');
        let seen_ms = fields.next().and_then(|f| f.parse().ok()).ok_or_else(bad)?;
        let run_ms = fields.next().unwrap_or("0").parse().map_err(|_| bad())?;
        let parts = fields.next().unwrap_or("").split(',');
        let parts = parts.filter(|part| !part.is_empty()).take(MAX_PARTS);
        let parts = parts.map(parse_part);
        let shared_parts = parts.collect::<Result<_, _>>()?;
        let just_began = match fields.next() {
            None => false,
            Some(BEGAN_MARK) => true,
            Some(_) => return Err(bad()),
        };
        Ok(Self {
            seen_ms,
            run_ms,
            just_began,
            shared_parts,
        })
    }
}

fn parse_part(text: &str) -> Result<u64, String> {
    u64::from_str_radix(text, 16).map_err(|_| format!("invalid part of a prompt: {text:?}"))
}

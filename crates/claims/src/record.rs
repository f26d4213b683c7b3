//! What stands in the log: claims and how they ended, several to a record.

use base::ids::RequestId;
use bundle::Hash;
use serde::{Deserialize, Serialize};

/// One record of the stream.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// The entry that wrote it.
    pub entry: String,
    /// How earlier claims of this entry ended; they count before the claims
    /// of the same record.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub ends: Vec<Ended>,
    /// New claims.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub claims: Vec<Claimed>,
}

/// A claim of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Claimed {
    /// Hash of the workspace and its key.
    pub key: Hash,
    /// Hash of what the call asks for.
    pub body: Hash,
    /// The call.
    pub ticket: Mark,
}

/// How a claim ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ended {
    /// Hash of the workspace and its key.
    pub key: Hash,
    /// The call that owned it.
    pub ticket: Mark,
    /// How it ended.
    pub end: End,
}

/// How a call with a key ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// It did not run and never will; the key is free again.
    NotRun,
    /// Its whole answer was made.
    Whole,
    /// It may have run.
    Unknown,
}

/// A ticket as text: JSON numbers end at 64 bits in many readers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Mark(pub RequestId);

impl From<Mark> for String {
    fn from(mark: Mark) -> Self {
        mark.0.to_string()
    }
}

impl TryFrom<String> for Mark {
    type Error = std::num::ParseIntError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        u128::from_str_radix(&text, 16).map(|n| Self(RequestId(n)))
    }
}

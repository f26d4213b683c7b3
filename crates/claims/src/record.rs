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
    pub ends: Vec<ClaimEnd>,
    /// New claims.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub claims: Vec<ClaimRequest>,
}

/// A claim of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimRequest {
    /// Hash of the workspace and its key.
    pub key: Hash,
    /// Hash of what the call asks for.
    pub body: Hash,
    /// The call.
    pub ticket: TicketText,
}

/// How a claim ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimEnd {
    /// Hash of the workspace and its key.
    pub key: Hash,
    /// The call that owned it.
    pub ticket: TicketText,
    /// How it ended.
    #[serde(rename = "end")]
    pub outcome: CallOutcome,
}

/// How a call with a key ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallOutcome {
    /// It did not run and never will; the key is free again.
    NotRun,
    /// Its whole answer was made.
    #[serde(rename = "whole")]
    Completed,
    /// It may have run.
    Unknown,
}

/// A ticket as text: JSON numbers end at 64 bits in many readers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct TicketText(pub RequestId);

impl From<TicketText> for String {
    fn from(mark: TicketText) -> Self {
        mark.0.to_string()
    }
}

impl TryFrom<String> for TicketText {
    type Error = std::num::ParseIntError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        u128::from_str_radix(&text, 16).map(|n| Self(RequestId(n)))
    }
}

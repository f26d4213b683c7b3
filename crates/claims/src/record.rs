//! Log records. A record contains a batch of claims and ends of claims.

use base::ids::RequestId;
use bundle::Hash;
use serde::{Deserialize, Serialize};

/// One record of the stream.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Name of the entry that wrote the record.
    pub entry: String,
    /// Ends of this entry's earlier claims, which apply before the claims of
    /// the same record.
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
    /// Hash of the workspace and the idempotency key.
    pub key: Hash,
    /// Hash of the request body.
    pub body: Hash,
    /// Ticket of the call.
    pub ticket: TicketText,
}

/// The end of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimEnd {
    /// Hash of the workspace and the idempotency key.
    pub key: Hash,
    /// Ticket of the call that owned the key.
    pub ticket: TicketText,
    /// Outcome of the call.
    #[serde(rename = "end")]
    pub outcome: CallOutcome,
}

/// Outcome of a call with a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallOutcome {
    /// It was not executed and never will be; the key is released.
    NotRun,
    /// It produced its complete answer.
    #[serde(rename = "whole")]
    Completed,
    /// It may have been executed.
    Unknown,
}

/// A ticket serialized as text, since many JSON parsers limit numbers to
/// 64 bits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct TicketText(pub RequestId);

impl From<TicketText> for String {
    fn from(ticket: TicketText) -> Self {
        ticket.0.to_string()
    }
}

impl TryFrom<String> for TicketText {
    type Error = std::num::ParseIntError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        u128::from_str_radix(&text, 16).map(|n| Self(RequestId(n)))
    }
}

//! Results of evaluating a record. All readers reach the same result.

use std::fmt::{self, Display, Formatter};

use base::ids::BundleSequence;
use serde::{Deserialize, Serialize};

/// Result of evaluating one record of the stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The change was accepted and is the active version from this offset on.
    Accepted(BundleSequence),
    /// Another change to the same parent precedes this one in the log.
    Conflict {
        /// The accepted version.
        winner: BundleSequence,
        /// Name of the operator who signed the accepted version.
        operator: String,
    },
    /// A version that this reader had missed was installed from a checkpoint.
    Adopted(BundleSequence),
    /// A checkpoint of the active version, or an older one whose writer had not
    /// yet read the active version.
    Known,
    /// A checkpoint whose writer had processed the active version's offset
    /// without accepting that version. A newer checkpoint must correct it.
    StaleCheckpoint,
    /// A part of content was buffered for the record that refers to it.
    PartBuffered,
    /// The reader has missed records and cannot evaluate changes until it finds
    /// a checkpoint.
    NotEvaluated,
    /// The offset was processed before.
    Duplicate,
    /// The record is invalid and has no effect.
    Refused(RecordError),
}

/// Why a record was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordError {
    /// It is larger than [`crate::record::RECORD_MAX_BYTES`].
    TooLarge,
    /// It is not a record.
    Unreadable,
    /// Its operator is not allowed to sign.
    UnknownOperator,
    /// Its signature is invalid.
    BadSignature,
    /// Its parent is not the active version, and it did not compete with a past
    /// version for the same parent.
    WrongParent,
    /// It was accepted before, or is older than the history that is kept.
    Replayed,
    /// Its content is incomplete or does not match the signed digest.
    BadContent,
}

impl Verdict {
    /// All labels, for registering counters.
    pub const LABELS: [&'static str; 15] = [
        "accepted",
        "beaten",
        "adopted",
        "known",
        "behind",
        "kept",
        "unjudged",
        "repeated",
        "too_large",
        "unreadable",
        "unknown_operator",
        "bad_signature",
        "wrong_parent",
        "replayed",
        "bad_content",
    ];

    /// The name used in metric labels and logs.
    #[must_use]
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Accepted(_) => "accepted",
            Self::Conflict { .. } => "beaten",
            Self::Adopted(_) => "adopted",
            Self::Known => "known",
            Self::StaleCheckpoint => "behind",
            Self::PartBuffered => "kept",
            Self::NotEvaluated => "unjudged",
            Self::Duplicate => "repeated",
            Self::Refused(error) => error.as_str(),
        }
    }
}

impl RecordError {
    /// The name used in metric labels and logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::TooLarge => "too_large",
            Self::Unreadable => "unreadable",
            Self::UnknownOperator => "unknown_operator",
            Self::BadSignature => "bad_signature",
            Self::WrongParent => "wrong_parent",
            Self::Replayed => "replayed",
            Self::BadContent => "bad_content",
        }
    }
}

impl Display for Verdict {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

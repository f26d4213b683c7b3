//! What became of a record, by the one rule that all readers share.

use std::fmt::{self, Display, Formatter};

use base::ids::BundleSequence;
use serde::{Deserialize, Serialize};

/// What became of one record of the stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// A change is in force from here on.
    Accepted(BundleSequence),
    /// Another record for the same parent stands earlier in the log.
    Conflict {
        /// The version that won.
        winner: BundleSequence,
        /// Who signed it.
        operator: String,
    },
    /// A checkpoint told this reader of a version that it had missed.
    Adopted(BundleSequence),
    /// A checkpoint of the version in force, or one written before its
    /// writer could know a later version.
    Known,
    /// A checkpoint whose writer had read past a version in force here and
    /// does not know it; its writer must be told by another checkpoint.
    StaleCheckpoint,
    /// A part of larger content was kept for the record that needs it.
    PartBuffered,
    /// The reader has missed records and cannot judge before it finds a
    /// checkpoint.
    NotEvaluated,
    /// The offset was judged before.
    Duplicate,
    /// The record is of no effect, whatever follows.
    Refused(RecordError),
}

/// Why a record is of no effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordError {
    /// It is larger than [`crate::record::RECORD_MAX_BYTES`].
    TooLarge,
    /// It is not a record.
    Unreadable,
    /// Its operator may not sign.
    UnknownOperator,
    /// Its signature does not fit.
    BadSignature,
    /// Its parent is not the version in force, and never was its rival.
    WrongParent,
    /// It was accepted before, or is older than anything remembered.
    Replayed,
    /// Its content is incomplete or has another digest than was signed.
    BadContent,
}

impl Verdict {
    /// Every label, for setting up counters.
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

    /// The word used in labels and logs.
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
            Self::Refused(fault) => fault.as_str(),
        }
    }
}

impl RecordError {
    /// The word used in labels and logs.
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

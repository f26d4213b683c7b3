//! Records of the bundle's stream in the platform's log.

use base::ids::{BundleSequence, Offset};
use serde::{Deserialize, Serialize};

use crate::content::{Content, Entries, Patch};
use crate::hash::Hash;
use crate::keys::{self, Operators, SecretKey, verify};

/// Largest record, in bytes. Larger content travels in parts.
pub const RECORD_MAX_BYTES: usize = 256 << 10;

/// Bytes of entries in one part, which leaves room for its other fields.
pub const PART_MAX_BYTES: usize = RECORD_MAX_BYTES - (4 << 10);

/// What an operator signs: one step from a version to the next.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Header {
    /// The new version's number: the parent's plus one.
    pub sequence: BundleSequence,
    /// The parent's [`SignedHeader::id`]; all zero for the first version.
    pub parent: Hash,
    /// Digest of the whole content after the step.
    pub digest: Hash,
    /// Hash of the operators who may sign the next step.
    pub operators: Hash,
    /// Who signs.
    pub operator: String,
    /// The earlier version whose content this one restores, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub restores: Option<BundleSequence>,
}

/// A header with its signature.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SignedHeader {
    /// What is signed.
    pub header: Header,
    /// The signature over the header's canonical bytes, in base64.
    pub signature: String,
}

/// One record of the stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case", tag = "kind")]
pub enum Record {
    /// A step that an operator publishes.
    Change {
        /// The signed step.
        signed: SignedHeader,
        /// The content that it leads to.
        payload: Payload,
    },
    /// A version accepted earlier, appended again by a daemon so that it
    /// outlives the log's retention.
    Checkpoint(Checkpoint),
    /// A part of content that is too large for one record.
    Part {
        /// The digest of the whole content.
        digest: Hash,
        /// The part's number, from 0.
        index: u32,
        /// Its entries.
        entries: Entries,
    },
}

/// How a record carries its content.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum Payload {
    /// All entries.
    #[serde(rename = "whole")]
    Full(Entries),
    /// What changed since the parent.
    Delta(Patch),
    /// All entries, in that many parts before this record.
    Parts(u32),
}

/// A version as one reader of the log accepted it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Checkpoint {
    /// The version's signed header.
    pub signed: SignedHeader,
    /// Where it was accepted.
    #[serde(rename = "at")]
    pub accepted_offset: Offset,
    /// The last offset that its writer had judged: the version was in force
    /// after all records up to there.
    #[serde(rename = "judged")]
    pub processed: Offset,
    /// What proves that its operator may sign, from a settings' trust root
    /// on.
    pub chain: Vec<OperatorChange>,
    /// Its content.
    pub payload: Payload,
}

/// A version that changed who may sign.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorChange {
    /// The version's signed header.
    pub signed: SignedHeader,
    /// Who may sign after it.
    pub operators: Operators,
}

impl SignedHeader {
    /// Signs a header.
    ///
    /// # Errors
    ///
    /// Returns [`keys::Error`] when the key is damaged.
    pub fn new(header: Header, key: &SecretKey) -> Result<Self, keys::Error> {
        let signature = key.sign(&header.bytes())?;
        Ok(Self { header, signature })
    }

    /// The record's identity: the hash of the signed bytes. The same step
    /// signed twice has the same identity.
    #[must_use]
    pub fn id(&self) -> Hash {
        Hash::of(&[&self.header.bytes()])
    }

    /// Checks the signature against those who may sign.
    ///
    /// # Errors
    ///
    /// Returns [`keys::Error`] when it does not fit.
    pub fn verify(&self, operators: &Operators) -> Result<(), keys::Error> {
        let header = &self.header;
        verify(
            operators,
            &header.operator,
            &header.bytes(),
            &self.signature,
        )
    }
}

impl Header {
    /// The canonical bytes: JSON with the fields in the order of the type.
    #[must_use]
    pub fn bytes(&self) -> Vec<u8> {
        // Numbers and strings only, which always serialize.
        serde_json::to_vec(self).unwrap_or_default()
    }
}

impl Record {
    /// The record as the log keeps it.
    #[must_use]
    pub fn bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }
}

/// The hash of a set of operators, as a [`Header`] carries it.
#[must_use]
pub fn operators_hash(operators: &Operators) -> Hash {
    let parts = operators
        .iter()
        .flat_map(|(name, key)| [name.as_bytes(), key.as_bytes()]);
    Hash::of(&parts.collect::<Vec<_>>())
}

/// The operators that content names.
#[must_use]
pub fn content_operators(content: &Content) -> Operators {
    let key = |value| serde_json::from_str(value).unwrap_or_default();
    content
        .section("operators")
        .map(|(name, value)| (name.to_owned(), key(value)))
        .collect()
}

/// Splits content into records of at most about `limit` bytes each. The
/// record that names their count follows them in the log.
#[must_use]
pub fn split_parts(content: &Content, limit: usize) -> Vec<Record> {
    let digest = content.digest();
    let mut parts = Vec::new();
    let mut entries = Entries::new();
    let mut size = 0;

    let mut close = |entries: &mut Entries| {
        let index = u32::try_from(parts.len()).unwrap_or(u32::MAX);
        let entries = std::mem::take(entries);
        parts.push(Record::Part {
            digest,
            index,
            entries,
        });
    };
    for (section, name, value) in content.iter() {
        // Quotes, colon, comma and a section of its own in the worst case.
        let cost = section.len() + name.len() + value.len() + 16;
        if size + cost > limit && !entries.is_empty() {
            close(&mut entries);
            size = 0;
        }
        size += cost;
        let value = serde_json::from_str(value).unwrap_or_default();
        let named = entries.entry(section.to_owned()).or_default();
        named.insert(name.to_owned(), value);
    }
    if !entries.is_empty() {
        close(&mut entries);
    }
    parts
}

//! Records of the bundle stream in the platform's log.

use base::ids::{BundleSequence, Offset};
use serde::{Deserialize, Serialize};

use crate::content::{Content, Entries, Patch};
use crate::hash::Hash;
use crate::keys::{self, Operators, SecretKey, verify};

/// Maximum record size in bytes. Larger content is split into parts.
pub const RECORD_MAX_BYTES: usize = 256 << 10;

/// Maximum size in bytes of the entries in a part, leaving room for its other
/// fields.
pub const PART_MAX_BYTES: usize = RECORD_MAX_BYTES - (4 << 10);

/// The signed metadata of a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Header {
    /// Sequence number: the parent's plus one.
    pub sequence: BundleSequence,
    /// [`SignedHeader::id`] of the parent version; all zero for the first.
    pub parent: Hash,
    /// Digest of the version's full content.
    pub digest: Hash,
    /// Hash of the operators who may sign the next version.
    pub operators: Hash,
    /// Name of the signing operator.
    pub operator: String,
    /// Earlier version whose content this one restores (rollback), if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub restores: Option<BundleSequence>,
}

/// A header with its signature.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SignedHeader {
    /// The header.
    pub header: Header,
    /// Base64 signature over the header's canonical bytes.
    pub signature: String,
}

/// One record of the stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case", tag = "kind")]
pub enum Record {
    /// A version published by an operator.
    Change {
        /// The signed header.
        signed: SignedHeader,
        /// The version's content.
        payload: Payload,
    },
    /// A snapshot of the state, appended by a daemon so that the active version
    /// outlives the log's retention.
    Checkpoint(Checkpoint),
    /// A part of content that exceeds the record size.
    Part {
        /// Digest of the full content.
        digest: Hash,
        /// Index of the part, from 0.
        index: u32,
        /// Entries in the part.
        entries: Entries,
    },
}

/// The content of a record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum Payload {
    /// All entries.
    #[serde(rename = "whole")]
    Full(Entries),
    /// Patch to the parent's content.
    Delta(Patch),
    /// All entries, in this number of preceding part records.
    Parts(u32),
}

/// Snapshot of a log reader's state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Checkpoint {
    /// Signed header of the version.
    pub signed: SignedHeader,
    /// Offset of the record that was accepted.
    #[serde(rename = "at")]
    pub accepted_offset: Offset,
    /// Last offset that the writer had processed. The version was active after
    /// all records up to and including it.
    #[serde(rename = "judged")]
    pub processed: Offset,
    /// Chain of trust from the operators in the settings to the version's
    /// signer.
    pub chain: Vec<OperatorChange>,
    /// The version's content.
    pub payload: Payload,
}

/// A link in the chain of trust: a version that changed the operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorChange {
    /// Signed header of the version.
    pub signed: SignedHeader,
    /// Operators who may sign the versions after it.
    pub operators: Operators,
}

impl SignedHeader {
    /// Signs a header.
    ///
    /// # Errors
    ///
    /// Returns [`keys::Error`] if the key cannot be decoded.
    pub fn new(header: Header, key: &SecretKey) -> Result<Self, keys::Error> {
        let signature = key.sign(&header.bytes())?;
        Ok(Self { header, signature })
    }

    /// Identifier: the hash of the signed bytes. Signing the same header twice
    /// gives the same identifier.
    #[must_use]
    pub fn id(&self) -> Hash {
        Hash::of(&[&self.header.bytes()])
    }

    /// Verifies the signature against the operators who may sign.
    ///
    /// # Errors
    ///
    /// Returns [`keys::Error`] if the signature is invalid.
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
    /// Canonical bytes: JSON with the fields in declaration order.
    #[must_use]
    pub fn bytes(&self) -> Vec<u8> {
        // The fields are numbers and strings, which always serialize.
        serde_json::to_vec(self).unwrap_or_default()
    }
}

impl Record {
    /// Serializes the record for the log.
    #[must_use]
    pub fn bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }
}

/// Hash of a set of operators for a [`Header`].
#[must_use]
pub fn operators_hash(operators: &Operators) -> Hash {
    let parts = operators
        .iter()
        .flat_map(|(name, key)| [name.as_bytes(), key.as_bytes()]);
    Hash::of(&parts.collect::<Vec<_>>())
}

/// The `operators` section of `content`.
#[must_use]
pub fn content_operators(content: &Content) -> Operators {
    let key = |value| serde_json::from_str(value).unwrap_or_default();
    content
        .section("operators")
        .map(|(name, value)| (name.to_owned(), key(value)))
        .collect()
}

/// Splits content into part records of at most about `limit` bytes each. The
/// record that contains their count follows them in the log.
#[must_use]
pub fn split_parts(content: &Content, limit: usize) -> Vec<Record> {
    let digest = content.digest();
    let mut parts = Vec::new();
    let mut entries = Entries::new();
    let mut size = 0;

    let mut flush = |entries: &mut Entries| {
        let index = u32::try_from(parts.len()).unwrap_or(u32::MAX);
        let entries = std::mem::take(entries);
        parts.push(Record::Part {
            digest,
            index,
            entries,
        });
    };
    for (section, name, value) in content.iter() {
        // 16 bytes cover quotes, colons, commas and the braces of a new
        // section in the worst case.
        let cost = section.len() + name.len() + value.len() + 16;
        if size + cost > limit && !entries.is_empty() {
            flush(&mut entries);
            size = 0;
        }
        size += cost;
        let value = serde_json::from_str(value).unwrap_or_default();
        let named = entries.entry(section.to_owned()).or_default();
        named.insert(name.to_owned(), value);
    }
    if !entries.is_empty() {
        flush(&mut entries);
    }
    parts
}

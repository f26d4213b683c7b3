//! Publishing a version of the bundle from the operators' CLI.
//!
//! The publisher evaluates the log with the same acceptor as every daemon, so
//! the outcome that it reports is the one that all daemons reach.

use std::time::Duration;

use base::ids::{BundleSequence, Offset};
use bundle::record::{
    Header, PART_MAX_BYTES, RECORD_MAX_BYTES, content_operators, operators_hash, split_parts,
};
use bundle::{
    Acceptor, Content, Hash, Operators, Payload, Record, SecretKey, SignedHeader, Verdict,
};
use clients::log::{Error, LogClient, Page};

use crate::STREAM;

/// Maximum number of records per read.
const PAGE_RECORDS: usize = 500;

/// Reads the log and publishes versions.
pub struct Publisher {
    log: LogClient,
    trust: Operators,
    acceptor: Acceptor,
    /// Versions found in the log, oldest first.
    versions: Vec<AcceptedVersion>,
}

/// One accepted version.
#[derive(Debug, Clone)]
pub struct AcceptedVersion {
    /// Sequence number.
    pub sequence: BundleSequence,
    /// Offset of the accepted record.
    pub accepted_offset: Offset,
    /// Name of the operator who signed it.
    pub operator: String,
    /// Earlier version whose content it restores (rollback), if any.
    pub restores: Option<BundleSequence>,
}

/// Outcome of a publication, as read from the log. `Unknown` if it could not
/// be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PublishOutcome {
    /// Accepted as the version with this sequence number.
    Accepted(BundleSequence),
    /// Another change to the same parent was accepted first.
    Conflict {
        /// The accepted version.
        winner: BundleSequence,
        /// Name of the operator who signed the accepted version.
        operator: String,
    },
    /// The record is in the log and is refused by every reader.
    Refused(Verdict),
    /// The log did not reply; the record may have been appended or may still
    /// be.
    Unknown,
}

impl Publisher {
    /// Creates a publisher that has not read any records yet.
    #[must_use]
    pub fn new(log: LogClient, trust: Operators) -> Self {
        Self {
            log,
            acceptor: Acceptor::new(trust.clone()),
            trust,
            versions: Vec::new(),
        }
    }

    /// State after the records read so far.
    #[must_use]
    pub fn acceptor(&self) -> &Acceptor {
        &self.acceptor
    }

    /// Versions found in the log, oldest first.
    #[must_use]
    pub fn versions(&self) -> &[AcceptedVersion] {
        &self.versions
    }

    /// Reads the log to its end.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the log does not reply.
    pub async fn read_to_end(&mut self) -> Result<(), Error> {
        loop {
            let page = self.read_page().await?;
            for entry in &page.records {
                let verdict = self.apply(entry.offset, &entry.body);
                if matches!(verdict, Verdict::Adopted(_)) {
                    break;
                }
            }
            if self.acceptor.next_offset() >= page.end_offset {
                return Ok(());
            }
        }
    }

    /// Reads the log again from the start and returns the content of an accepted
    /// version; `None` if the log no longer contains it.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the log does not reply.
    pub async fn version_content(
        &self,
        sequence: BundleSequence,
    ) -> Result<Option<Content>, Error> {
        if sequence == self.acceptor.sequence() {
            return Ok(Some(self.acceptor.content().clone()));
        }
        let mut replay = Self::new(self.log.clone(), self.trust.clone());
        loop {
            let page = replay.read_page().await?;
            for entry in &page.records {
                let verdict = replay.apply(entry.offset, &entry.body);
                if replay.acceptor.sequence() == sequence {
                    return Ok(Some(replay.acceptor.content().clone()));
                }
                if matches!(verdict, Verdict::Adopted(_)) {
                    break;
                }
            }
            if replay.acceptor.next_offset() >= page.end_offset {
                return Ok(None);
            }
        }
    }

    /// Signs `content` as the successor of the active version and publishes it.
    /// Requires [`Self::read_to_end`]. `restores` is the earlier version that
    /// has the same content, if any.
    ///
    /// # Errors
    ///
    /// Returns [`bundle::keys::Error`] if the key cannot be decoded. Failures of
    /// the log are reported in the [`PublishOutcome`].
    pub async fn publish(
        &mut self,
        key: &SecretKey,
        content: &Content,
        restores: Option<BundleSequence>,
    ) -> Result<PublishOutcome, bundle::keys::Error> {
        // Records were missed, so the parent is not known.
        if !self.acceptor.is_contiguous() {
            return Ok(PublishOutcome::Unknown);
        }
        // The content is already active, for example after an earlier attempt
        // whose reply was lost.
        let published = self.acceptor.content().digest() == content.digest();
        if published && self.acceptor.head().is_some() {
            return Ok(PublishOutcome::Accepted(self.acceptor.sequence()));
        }
        let records = self.records(key, content, restores)?;
        for record in &records {
            if self.append(record).await.is_err() {
                return Ok(PublishOutcome::Unknown);
            }
        }
        let Some(Record::Change { signed, .. }) = records.last() else {
            return Ok(PublishOutcome::Unknown);
        };
        Ok(self.outcome(signed.id(), signed.header.sequence).await)
    }

    /// Creates the records for `content`: a delta if it fits into one record,
    /// otherwise parts.
    fn records(
        &self,
        key: &SecretKey,
        content: &Content,
        restores: Option<BundleSequence>,
    ) -> Result<Vec<Record>, bundle::keys::Error> {
        let parent = self.acceptor.head().map(|h| h.signed.id());
        let header = Header {
            sequence: BundleSequence(self.acceptor.sequence().0 + 1),
            parent: parent.unwrap_or_default(),
            digest: content.digest(),
            operators: operators_hash(&content_operators(content)),
            operator: key.operator.clone(),
            restores,
        };
        let signed = SignedHeader::new(header, key)?;

        let delta = Record::Change {
            signed: signed.clone(),
            payload: Payload::Delta(self.acceptor.content().patch_to(content)),
        };
        if delta.bytes().len() <= RECORD_MAX_BYTES {
            return Ok(vec![delta]);
        }
        let mut records = split_parts(content, PART_MAX_BYTES);
        let count = u32::try_from(records.len()).unwrap_or(u32::MAX);
        let payload = Payload::Parts(count);
        records.push(Record::Change { signed, payload });
        Ok(records)
    }

    async fn append(&self, record: &Record) -> Result<Offset, Error> {
        let body = String::from_utf8(record.bytes()).unwrap_or_default();
        self.log.append(STREAM, &record_id(record), &body).await
    }

    /// Reads the log until the record with `id` was evaluated.
    async fn outcome(&mut self, id: Hash, sequence: BundleSequence) -> PublishOutcome {
        loop {
            let Ok(page) = self.read_page().await else {
                return PublishOutcome::Unknown;
            };
            for entry in &page.records {
                let verdict = self.apply(entry.offset, &entry.body);
                if entry.id != id.to_string() {
                    continue;
                }
                match verdict {
                    Verdict::Accepted(sequence) => return PublishOutcome::Accepted(sequence),
                    Verdict::Conflict { winner, operator } => {
                        return PublishOutcome::Conflict { winner, operator };
                    }
                    // Read before, from an earlier attempt with the same content.
                    _ if self.is_head(id) => return PublishOutcome::Accepted(sequence),
                    Verdict::NotEvaluated | Verdict::Duplicate => return PublishOutcome::Unknown,
                    verdict => return PublishOutcome::Refused(verdict),
                }
            }
            if self.acceptor.next_offset() >= page.end_offset {
                return PublishOutcome::Unknown;
            }
        }
    }

    fn is_head(&self, id: Hash) -> bool {
        self.acceptor.head().is_some_and(|h| h.signed.id() == id)
    }

    async fn read_page(&mut self) -> Result<Page, Error> {
        let from = self.acceptor.next_offset();
        let page = self
            .log
            .read(STREAM, from, PAGE_RECORDS, Duration::ZERO)
            .await?;
        self.acceptor.skip_expired(page.first_offset);
        Ok(page)
    }

    fn apply(&mut self, at: Offset, body: &str) -> Verdict {
        let verdict = self.acceptor.apply(at, body.as_bytes());
        let new = matches!(verdict, Verdict::Accepted(_) | Verdict::Adopted(_));
        if let Some(head) = self.acceptor.head().filter(|_| new) {
            self.versions.push(AcceptedVersion {
                sequence: head.sequence(),
                accepted_offset: head.accepted_offset,
                operator: head.signed.header.operator.clone(),
                restores: head.signed.header.restores,
            });
        }
        verdict
    }
}

/// Identifier under which a record is appended to the log.
fn record_id(record: &Record) -> String {
    match record {
        Record::Change { signed, .. } => signed.id().to_string(),
        Record::Part { digest, index, .. } => format!("part-{digest}-{index}"),
        Record::Checkpoint(checkpoint) => format!("checkpoint-{}", checkpoint.signed.id()),
    }
}

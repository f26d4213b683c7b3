//! Publishing a version of the bundle, as the operators' tool does.
//!
//! The tool judges the log by the same acceptance as every daemon, so what it
//! says about its own record is what all of them find.

use std::time::Duration;

use base::ids::{BundleSequence, Offset};
use bundle::record::{
    Header, PART_MAX_BYTES, RECORD_MAX_BYTES, content_operators, operators_hash, split_parts,
};
use bundle::{
    Acceptor, Content, Hash, Operators, Payload, Record, SecretKey, SignedHeader, Verdict,
};
use clients::log::{Error, Log, Page};

use crate::STREAM;

/// Most records in one read.
const PAGE_RECORDS: usize = 500;

/// A reader of the log that remembers which versions it read.
pub struct Publisher {
    log: Log,
    trust: Operators,
    acceptor: Acceptor,
    /// The versions that were read, oldest first.
    versions: Vec<AcceptedVersion>,
}

/// One accepted version.
#[derive(Debug, Clone)]
pub struct AcceptedVersion {
    /// Its number.
    pub sequence: BundleSequence,
    /// Where it was accepted.
    pub accepted_offset: Offset,
    /// Who signed it.
    pub operator: String,
    /// The earlier version whose content it restores, if any.
    pub restores: Option<BundleSequence>,
}

/// What became of a publication. Nothing here is a guess.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PublishOutcome {
    /// It is the version with this number.
    Accepted(BundleSequence),
    /// Another version won.
    Conflict {
        /// The version that won.
        winner: BundleSequence,
        /// Who signed it.
        operator: String,
    },
    /// The log has the record and every reader refuses it.
    Refused(Verdict),
    /// The log did not answer; the record may be there or may still come.
    Unknown,
}

impl Publisher {
    /// Makes a reader of the log that has read nothing.
    #[must_use]
    pub fn new(log: Log, trust: Operators) -> Self {
        Self {
            log,
            acceptor: Acceptor::new(trust.clone()),
            trust,
            versions: Vec::new(),
        }
    }

    /// What the log's records come to so far.
    #[must_use]
    pub fn acceptor(&self) -> &Acceptor {
        &self.acceptor
    }

    /// The versions that were read, oldest first.
    #[must_use]
    pub fn versions(&self) -> &[AcceptedVersion] {
        &self.versions
    }

    /// Reads the log to its end.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when the log does not answer.
    pub async fn read_to_end(&mut self) -> Result<(), Error> {
        loop {
            let page = self.read_page().await?;
            for entry in &page.records {
                let verdict = self.apply(entry.offset, &entry.body);
                if matches!(verdict, Verdict::Adopted(_)) {
                    break;
                }
            }
            if self.acceptor.next_offset() >= page.end {
                return Ok(());
            }
        }
    }

    /// The content of an accepted version, read from the log once more;
    /// `None` when the log no longer has it.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when the log does not answer.
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
            if replay.acceptor.next_offset() >= page.end {
                return Ok(None);
            }
        }
    }

    /// Signs `content` as the step after the version in force and publishes
    /// it. The log must have been read. `restores` names the earlier version
    /// that has the same content, if any.
    ///
    /// # Errors
    ///
    /// Returns [`bundle::keys::Error`] when the key is damaged. What the log
    /// does is told by the [`Outcome`].
    pub async fn publish(
        &mut self,
        key: &SecretKey,
        content: &Content,
        restores: Option<BundleSequence>,
    ) -> Result<PublishOutcome, bundle::keys::Error> {
        // What follows on nothing, no reader could judge.
        if !self.acceptor.is_contiguous() {
            return Ok(PublishOutcome::Unknown);
        }
        // As after an earlier try whose reply was lost.
        let held = self.acceptor.content().digest() == content.digest();
        if held && self.acceptor.head().is_some() {
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

    /// The records that publish `content`: a delta if it fits, else parts.
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

    /// Reads on until the record was judged.
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
                    // Read already, by an earlier try with the same content.
                    _ if self.is_head(id) => return PublishOutcome::Accepted(sequence),
                    Verdict::NotEvaluated | Verdict::Duplicate => return PublishOutcome::Unknown,
                    verdict => return PublishOutcome::Refused(verdict),
                }
            }
            if self.acceptor.next_offset() >= page.end {
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
        self.acceptor.skip_expired(page.first);
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

/// The id that a record is found by in the log.
fn record_id(record: &Record) -> String {
    match record {
        Record::Change { signed, .. } => signed.id().to_string(),
        Record::Part { digest, index, .. } => format!("part-{digest}-{index}"),
        Record::Checkpoint(checkpoint) => format!("checkpoint-{}", checkpoint.signed.id()),
    }
}

//! Checkpoints: creating them and installing them from the log or a peer.

use base::ids::Offset;

use super::{Acceptor, Head, key_error};
use crate::keys::{self, Operators};
use crate::record::{
    Checkpoint, OperatorChange, PART_MAX_BYTES, Payload, RECORD_MAX_BYTES, Record, SignedHeader,
    operators_hash, split_parts,
};
use crate::verdict::{RecordError, Verdict};

impl Acceptor {
    /// Returns the state as a checkpoint with its full content; `None` if there
    /// is no version or records were missed.
    #[must_use]
    pub fn snapshot(&self) -> Option<Checkpoint> {
        let head = self.head.as_ref().filter(|_| self.gap_start.is_none())?;
        let sequence = head.sequence();
        let before = |link: &&OperatorChange| link.signed.header.sequence < sequence;
        Some(Checkpoint {
            signed: head.signed.clone(),
            accepted_offset: head.accepted_offset,
            processed: Offset(self.next_offset.0.saturating_sub(1)),
            chain: self.chain.iter().filter(before).cloned().collect(),
            payload: Payload::Full(self.content.entries()),
        })
    }

    /// Returns the state as log records: content parts, if needed, and then
    /// the checkpoint.
    #[must_use]
    pub fn checkpoint_records(&self) -> Vec<Record> {
        let Some(mut checkpoint) = self.snapshot() else {
            return Vec::new();
        };
        let record = Record::Checkpoint(checkpoint.clone());
        if record.bytes().len() <= RECORD_MAX_BYTES {
            return vec![record];
        }

        let mut records = split_parts(&self.content, PART_MAX_BYTES);
        let count = u32::try_from(records.len()).unwrap_or(u32::MAX);
        checkpoint.payload = Payload::Parts(count);
        records.push(Record::Checkpoint(checkpoint));
        records
    }

    /// Installs a peer's state if it has a later version or closes a gap.
    /// Returns whether it was installed.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError`] if the signatures or the content are invalid.
    pub fn adopt(&mut self, checkpoint: Checkpoint) -> Result<bool, RecordError> {
        let sequence = checkpoint.signed.header.sequence;
        let closes_gap =
            self.gap_start.is_some() && checkpoint.processed.0 + 1 >= self.next_offset.0;
        if sequence < self.sequence() || (sequence == self.sequence() && !closes_gap) {
            return Ok(false);
        }
        let processed = checkpoint.processed;
        self.install_checkpoint(checkpoint)?;
        if processed.0 + 1 >= self.next_offset.0 {
            self.next_offset = Offset(processed.0 + 1);
            self.gap_start = None;
        }
        Ok(true)
    }

    /// Evaluates a checkpoint record.
    pub(super) fn apply_checkpoint(&mut self, offset: Offset, checkpoint: Checkpoint) -> Verdict {
        let sequence = checkpoint.signed.header.sequence;
        let processed = checkpoint.processed;
        // A correct writer cannot have processed its own record, nor accepted
        // a version beyond what it has processed.
        if processed >= offset || checkpoint.accepted_offset > processed {
            return Verdict::Refused(RecordError::BadContent);
        }
        let Some(gap_start) = self.gap_start else {
            return self.compare_checkpoint(offset, checkpoint);
        };

        // After a gap a checkpoint is usable if no record expired between the
        // writer's last processed offset and this reader's first one.
        if processed.0 + 1 < gap_start.0 || sequence < self.sequence() {
            return Verdict::NotEvaluated;
        }
        if let Err(error) = self.install_checkpoint(checkpoint) {
            return Verdict::Refused(error);
        }
        self.newest_checkpoint = Some((offset, sequence));
        self.gap_start = None;
        self.next_offset = Offset(processed.0 + 1);
        Verdict::Adopted(sequence)
    }

    /// Compares a checkpoint with the active version.
    fn compare_checkpoint(&mut self, offset: Offset, checkpoint: Checkpoint) -> Verdict {
        let sequence = checkpoint.signed.header.sequence;
        let id = checkpoint.signed.id();
        let (accepted_offset, processed) = (checkpoint.accepted_offset, checkpoint.processed);
        let Some(head) = &self.head else {
            return match self.install_checkpoint(checkpoint) {
                Ok(()) => Verdict::Adopted(sequence),
                Err(error) => Verdict::Refused(error),
            };
        };

        if sequence == head.sequence() && id == head.signed.id() {
            self.newest_checkpoint = Some((offset, sequence));
            return Verdict::Known;
        }
        let higher = sequence > head.sequence();
        let earlier = sequence == head.sequence() && accepted_offset < head.accepted_offset;
        if higher || earlier {
            return match self.install_checkpoint(checkpoint) {
                Ok(()) => {
                    self.newest_checkpoint = Some((offset, sequence));
                    Verdict::Adopted(sequence)
                }
                Err(error) => Verdict::Refused(error),
            };
        }
        // The writer had processed the active version's offset without
        // accepting that version.
        let missed_head = processed >= head.accepted_offset;
        if missed_head {
            Verdict::StaleCheckpoint
        } else {
            Verdict::Known
        }
    }

    /// Verifies a checkpoint and activates its version.
    fn install_checkpoint(&mut self, checkpoint: Checkpoint) -> Result<(), RecordError> {
        let Checkpoint {
            signed,
            accepted_offset,
            chain,
            payload,
            ..
        } = checkpoint;
        let verified = verify_chain(&self.operators, &chain, &signed);
        verified
            .or_else(|_| verify_chain(&self.trust, &chain, &signed))
            .map_err(key_error)?;
        if matches!(payload, Payload::Delta(_)) {
            return Err(RecordError::BadContent);
        }

        self.set_content(signed.header.digest, &signed.header.operators, payload)?;
        if let Some(last) = chain.last() {
            self.operators.clone_from(&last.operators);
        }
        self.chain = chain;
        self.set_head(Head {
            signed,
            accepted_offset,
        });
        Ok(())
    }
}

/// Verifies that a chain of operator changes leads from `base` to the signer.
///
/// Links that do not verify are skipped: settings written later trust
/// operators that do not appear in the earlier links.
fn verify_chain(
    base: &Operators,
    chain: &[OperatorChange],
    signed: &SignedHeader,
) -> Result<(), keys::Error> {
    let mut operators = base;
    for link in chain {
        let intact = operators_hash(&link.operators) == link.signed.header.operators;
        let earlier = link.signed.header.sequence < signed.header.sequence;
        if intact && earlier && link.signed.verify(operators).is_ok() {
            operators = &link.operators;
        }
    }
    signed.verify(operators)
}

//! Checkpoints: writing the state down, and taking it over from the log or
//! from a peer.

use base::ids::Offset;

use super::{Acceptor, Head, key_error};
use crate::keys::{self, Operators};
use crate::record::{
    Checkpoint, OperatorChange, PART_MAX_BYTES, Payload, RECORD_MAX_BYTES, Record, SignedHeader,
    operators_hash, split_parts,
};
use crate::verdict::{RecordError, Verdict};

impl Acceptor {
    /// The state as a checkpoint with all its content; `None` when there is
    /// none to vouch for.
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

    /// The state as records for the log, the checkpoint last.
    #[must_use]
    pub fn checkpoint_records(&self) -> Vec<Record> {
        let Some(mut checkpoint) = self.snapshot() else {
            return Vec::new();
        };
        let whole = Record::Checkpoint(checkpoint.clone());
        if whole.bytes().len() <= RECORD_MAX_BYTES {
            return vec![whole];
        }

        let mut records = split_parts(&self.content, PART_MAX_BYTES);
        let count = u32::try_from(records.len()).unwrap_or(u32::MAX);
        checkpoint.payload = Payload::Parts(count);
        records.push(Record::Checkpoint(checkpoint));
        records
    }

    /// Takes over a peer's state, if it is a later version or closes a gap.
    ///
    /// # Errors
    ///
    /// Returns the fault when the state does not hold against what this
    /// reader trusts.
    pub fn adopt(&mut self, checkpoint: Checkpoint) -> Result<bool, RecordError> {
        let sequence = checkpoint.signed.header.sequence;
        let closes = self.gap_start.is_some() && checkpoint.processed.0 + 1 >= self.next_offset.0;
        if sequence < self.sequence() || (sequence == self.sequence() && !closes) {
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

    /// Judges a checkpoint.
    pub(super) fn apply_checkpoint(&mut self, offset: Offset, checkpoint: Checkpoint) -> Verdict {
        let sequence = checkpoint.signed.header.sequence;
        let processed = checkpoint.processed;
        // No honest writer has processed its own record already.
        if processed >= offset || checkpoint.accepted_offset > processed {
            return Verdict::Refused(RecordError::BadContent);
        }
        let Some(first) = self.gap_start else {
            return self.compare_checkpoint(offset, checkpoint);
        };

        // Without an anchor: usable if nothing expired unread between what
        // its writer had processed and what this reader has seen.
        if processed.0 + 1 < first.0 || sequence < self.sequence() {
            return Verdict::NotEvaluated;
        }
        if let Err(fault) = self.install_checkpoint(checkpoint) {
            return Verdict::Refused(fault);
        }
        self.newest_checkpoint = Some((offset, sequence));
        self.gap_start = None;
        self.next_offset = Offset(processed.0 + 1);
        Verdict::Adopted(sequence)
    }

    /// Holds a checkpoint against the version in force.
    fn compare_checkpoint(&mut self, offset: Offset, checkpoint: Checkpoint) -> Verdict {
        let sequence = checkpoint.signed.header.sequence;
        let id = checkpoint.signed.id();
        let (accepted_offset, processed) = (checkpoint.accepted_offset, checkpoint.processed);
        let Some(head) = &self.head else {
            return match self.install_checkpoint(checkpoint) {
                Ok(()) => Verdict::Adopted(sequence),
                Err(fault) => Verdict::Refused(fault),
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
                Err(fault) => Verdict::Refused(fault),
            };
        }
        // Its writer had read past the version in force and missed it.
        let missed = processed >= head.accepted_offset;
        if missed {
            Verdict::StaleCheckpoint
        } else {
            Verdict::Known
        }
    }

    /// Takes over a checkpoint's version after checking it.
    fn install_checkpoint(&mut self, checkpoint: Checkpoint) -> Result<(), RecordError> {
        let Checkpoint {
            signed,
            accepted_offset,
            chain,
            payload,
            ..
        } = checkpoint;
        let held = verify_chain(&self.operators, &chain, &signed);
        held.or_else(|_| verify_chain(&self.trust, &chain, &signed))
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

/// Whether a chain of changes of operators leads from `base` to the signer.
///
/// Links that do not fit are passed over: settings written after them trust
/// operators that the earlier links never knew.
fn verify_chain(
    base: &Operators,
    chain: &[OperatorChange],
    signed: &SignedHeader,
) -> Result<(), keys::Error> {
    let mut operators = base;
    for link in chain {
        let whole = operators_hash(&link.operators) == link.signed.header.operators;
        let earlier = link.signed.header.sequence < signed.header.sequence;
        if whole && earlier && link.signed.verify(operators).is_ok() {
            operators = &link.operators;
        }
    }
    signed.verify(operators)
}

//! Checkpoints: writing the state down, and taking it over from the log or
//! from a peer.

use base::ids::Offset;

use super::{Acceptor, Head, fault};
use crate::keys::{self, Operators};
use crate::record::{
    Checkpoint, Link, PART_LIMIT, Payload, RECORD_LIMIT, Record, Signed, operators_hash, parts,
};
use crate::verdict::{Fault, Verdict};

impl Acceptor {
    /// The state as a checkpoint with all its content; `None` when there is
    /// none to vouch for.
    #[must_use]
    pub fn snapshot(&self) -> Option<Checkpoint> {
        let head = self.head.as_ref().filter(|_| self.gap.is_none())?;
        let sequence = head.sequence();
        let before = |link: &&Link| link.signed.header.sequence < sequence;
        Some(Checkpoint {
            signed: head.signed.clone(),
            at: head.at,
            judged: Offset(self.next.0.saturating_sub(1)),
            chain: self.chain.iter().filter(before).cloned().collect(),
            payload: Payload::Whole(self.content.entries()),
        })
    }

    /// The state as records for the log, the checkpoint last.
    #[must_use]
    pub fn checkpoint_records(&self) -> Vec<Record> {
        let Some(mut checkpoint) = self.snapshot() else {
            return Vec::new();
        };
        let whole = Record::Checkpoint(checkpoint.clone());
        if whole.bytes().len() <= RECORD_LIMIT {
            return vec![whole];
        }

        let mut records = parts(&self.content, PART_LIMIT);
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
    pub fn adopt(&mut self, checkpoint: Checkpoint) -> Result<bool, Fault> {
        let sequence = checkpoint.signed.header.sequence;
        let closes = self.gap.is_some() && checkpoint.judged.0 + 1 >= self.next.0;
        if sequence < self.sequence() || (sequence == self.sequence() && !closes) {
            return Ok(false);
        }
        let judged = checkpoint.judged;
        self.install(checkpoint)?;
        if judged.0 + 1 >= self.next.0 {
            self.next = Offset(judged.0 + 1);
            self.gap = None;
        }
        Ok(true)
    }

    /// Judges a checkpoint.
    pub(super) fn checkpoint(&mut self, offset: Offset, checkpoint: Checkpoint) -> Verdict {
        let sequence = checkpoint.signed.header.sequence;
        let judged = checkpoint.judged;
        // No honest writer has judged its own record already.
        if judged >= offset || checkpoint.at > judged {
            return Verdict::Refused(Fault::BadContent);
        }
        let Some(first) = self.gap else {
            return self.compare(offset, checkpoint);
        };

        // Without an anchor: usable if nothing expired unread between what
        // its writer had judged and what this reader has seen.
        if judged.0 + 1 < first.0 || sequence < self.sequence() {
            return Verdict::Unjudged;
        }
        if let Err(fault) = self.install(checkpoint) {
            return Verdict::Refused(fault);
        }
        self.newest = Some((offset, sequence));
        self.gap = None;
        self.next = Offset(judged.0 + 1);
        Verdict::Adopted(sequence)
    }

    /// Holds a checkpoint against the version in force.
    fn compare(&mut self, offset: Offset, checkpoint: Checkpoint) -> Verdict {
        let sequence = checkpoint.signed.header.sequence;
        let id = checkpoint.signed.id();
        let (at, judged) = (checkpoint.at, checkpoint.judged);
        let Some(head) = &self.head else {
            return match self.install(checkpoint) {
                Ok(()) => Verdict::Adopted(sequence),
                Err(fault) => Verdict::Refused(fault),
            };
        };

        if sequence == head.sequence() && id == head.signed.id() {
            self.newest = Some((offset, sequence));
            return Verdict::Known;
        }
        let higher = sequence > head.sequence();
        let earlier = sequence == head.sequence() && at < head.at;
        if higher || earlier {
            return match self.install(checkpoint) {
                Ok(()) => {
                    self.newest = Some((offset, sequence));
                    Verdict::Adopted(sequence)
                }
                Err(fault) => Verdict::Refused(fault),
            };
        }
        // Its writer had read past the version in force and missed it.
        let missed = judged >= head.at;
        if missed {
            Verdict::Behind
        } else {
            Verdict::Known
        }
    }

    /// Takes over a checkpoint's version after checking it.
    fn install(&mut self, checkpoint: Checkpoint) -> Result<(), Fault> {
        let Checkpoint {
            signed,
            at,
            chain,
            payload,
            ..
        } = checkpoint;
        let held = proves(&self.operators, &chain, &signed);
        held.or_else(|_| proves(&self.trust, &chain, &signed))
            .map_err(fault)?;
        if matches!(payload, Payload::Delta(_)) {
            return Err(Fault::BadContent);
        }

        self.fill(signed.header.digest, &signed.header.operators, payload)?;
        if let Some(last) = chain.last() {
            self.operators.clone_from(&last.operators);
        }
        self.chain = chain;
        self.advance(Head { signed, at });
        Ok(())
    }
}

/// Whether a chain of changes of operators leads from `base` to the signer.
///
/// Links that do not fit are passed over: settings written after them trust
/// operators that the earlier links never knew.
fn proves(base: &Operators, chain: &[Link], signed: &Signed) -> Result<(), keys::Error> {
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

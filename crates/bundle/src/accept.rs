//! Determines the active version of the bundle: a deterministic state machine
//! over the log's records, shared by the operators' CLI and every daemon.
//!
//! All readers that have processed every record up to an offset hold the same
//! state. A checkpoint is a snapshot of that state with its offset. A reader
//! that missed records (a new one, or one that was disconnected for longer
//! than the log's retention) evaluates no changes until it finds a checkpoint
//! that leaves no gap. Otherwise a late duplicate of a record that lost a
//! conflict could be accepted once the winning record has expired.
//! See docs/DECISIONS/0301-bundle-acceptance.md.
//!
//! - `checkpoint`: creating and installing snapshots of the state.
//! - `fill`: loading the content of a version.

mod checkpoint;
mod fill;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use base::ids::{BundleSequence, Offset};

use crate::content::{Content, Entries};
use crate::hash::Hash;
use crate::keys::{self, Operators};
use crate::record::{
    OperatorChange, Payload, RECORD_MAX_BYTES, Record, SignedHeader, content_operators,
};
use crate::verdict::{RecordError, Verdict};

/// Number of past versions kept to find the winner of a conflict.
const MAX_HISTORY: usize = 256;

/// Section and name of each changed entry.
pub type ChangedEntries = BTreeSet<(String, String)>;

/// Evaluates records in log order.
#[derive(Debug, Clone)]
pub struct Acceptor {
    /// Operators from the settings, who may sign the first version.
    trust: Operators,
    /// Header of the active version.
    head: Option<Head>,
    /// Content of the active version.
    content: Content,
    /// Operators who may sign the next version.
    operators: Operators,
    /// Versions that changed the set of operators, oldest first.
    chain: Vec<OperatorChange>,
    /// Offset of the next record to process.
    next_offset: Offset,
    /// First offset after a gap of missed records; `None` without a gap.
    gap_start: Option<Offset>,
    /// Recently active versions, newest last.
    history: VecDeque<PastVersion>,
    /// Buffered parts of content by content digest, oldest set first.
    parts: VecDeque<(Hash, BTreeMap<u32, Entries>)>,
    /// Offset and version of the newest checkpoint.
    newest_checkpoint: Option<(Offset, BundleSequence)>,
    /// Entries changed since the last [`Self::take_changed`]; `None` if all
    /// may have changed.
    changed: Option<ChangedEntries>,
}

/// Header of the active version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Head {
    /// The signed header.
    pub signed: SignedHeader,
    /// Offset of the record that was accepted.
    pub accepted_offset: Offset,
}

impl Head {
    /// The version's sequence number.
    #[must_use]
    pub fn sequence(&self) -> BundleSequence {
        self.signed.header.sequence
    }
}

/// A version that is or was active.
#[derive(Debug, Clone)]
struct PastVersion {
    sequence: BundleSequence,
    id: Hash,
    parent: Hash,
    operator: String,
}

impl Acceptor {
    /// Creates an empty acceptor. The operators in `trust` may sign the first
    /// version.
    #[must_use]
    pub fn new(trust: Operators) -> Self {
        Self {
            operators: trust.clone(),
            trust,
            head: None,
            content: Content::default(),
            chain: Vec::new(),
            next_offset: Offset(0),
            gap_start: None,
            history: VecDeque::new(),
            parts: VecDeque::new(),
            newest_checkpoint: None,
            changed: None,
        }
    }

    /// Header of the active version, if any.
    #[must_use]
    pub fn head(&self) -> Option<&Head> {
        self.head.as_ref()
    }

    /// Sequence number of the active version; 0 if there is none.
    #[must_use]
    pub fn sequence(&self) -> BundleSequence {
        self.head.as_ref().map_or(BundleSequence(0), Head::sequence)
    }

    /// Content of the active version.
    #[must_use]
    pub fn content(&self) -> &Content {
        &self.content
    }

    /// Returns and resets the entries changed since the previous call; `None`
    /// if all may have changed.
    pub fn take_changed(&mut self) -> Option<ChangedEntries> {
        self.changed.replace(ChangedEntries::new())
    }

    /// Operators who may sign the next version.
    #[must_use]
    pub fn operators(&self) -> &Operators {
        &self.operators
    }

    /// Offset of the next record to read.
    #[must_use]
    pub fn next_offset(&self) -> Offset {
        self.next_offset
    }

    /// Whether every record before [`Self::next_offset`] was processed.
    #[must_use]
    pub fn is_contiguous(&self) -> bool {
        self.gap_start.is_none()
    }

    /// Offset and version of the newest checkpoint that was read.
    #[must_use]
    pub fn newest_checkpoint(&self) -> Option<(Offset, BundleSequence)> {
        self.newest_checkpoint
    }

    /// Evaluates the record at `offset`. After [`Verdict::Adopted`] the next
    /// offset may be lower than before; continue from [`Self::next_offset`].
    pub fn apply(&mut self, offset: Offset, bytes: &[u8]) -> Verdict {
        if offset < self.next_offset {
            return Verdict::Duplicate;
        }
        self.skip_expired(offset);
        self.next_offset = Offset(offset.0 + 1);

        if bytes.len() > RECORD_MAX_BYTES {
            return Verdict::Refused(RecordError::TooLarge);
        }
        match serde_json::from_slice(bytes) {
            Ok(Record::Change { .. }) if self.gap_start.is_some() => Verdict::NotEvaluated,
            Ok(Record::Change { signed, payload }) => self.apply_change(offset, signed, payload),
            Ok(Record::Checkpoint(checkpoint)) => self.apply_checkpoint(offset, checkpoint),
            Ok(Record::Part {
                digest,
                index,
                entries,
            }) => self.buffer_part(digest, index, entries),
            Err(_) => Verdict::Refused(RecordError::Unreadable),
        }
    }

    /// Records that everything before `first` has expired from the log.
    pub fn skip_expired(&mut self, first: Offset) {
        if first > self.next_offset {
            self.gap_start = Some(first);
            self.next_offset = first;
        }
    }

    /// Skips a gap, keeps the active version and continues at `first`.
    ///
    /// Intended for a reader that has a version while neither the log nor any
    /// peer has a checkpoint that closes the gap, for example after an outage
    /// longer than the retention. Without it no reader would ever evaluate a
    /// change again. If two such readers diverge, their checkpoints resolve
    /// it: the higher version wins, then the lower accepted offset.
    pub fn skip_gap(&mut self, first: Offset) {
        if self.head.is_some() && self.gap_start.take().is_some() {
            self.next_offset = first;
        }
    }

    /// Evaluates a change that a peer accepted at `accepted_offset`, before it
    /// was read from the log.
    pub fn apply_from_peer(&mut self, accepted_offset: Offset, bytes: &[u8]) -> Verdict {
        match serde_json::from_slice(bytes) {
            Ok(Record::Change { signed, payload }) if bytes.len() <= RECORD_MAX_BYTES => {
                self.apply_change(accepted_offset, signed, payload)
            }
            _ => Verdict::Refused(RecordError::Unreadable),
        }
    }

    /// Records that a peer with the same state has processed the log up to and
    /// including `processed`.
    pub fn mark_processed(&mut self, processed: Offset) {
        if processed.0 + 1 > self.next_offset.0 {
            self.next_offset = Offset(processed.0 + 1);
            self.gap_start = None;
        }
    }

    /// Evaluates a change.
    fn apply_change(&mut self, offset: Offset, signed: SignedHeader, payload: Payload) -> Verdict {
        if let Err(e) = signed.verify(&self.operators) {
            return Verdict::Refused(key_error(e));
        }
        let header = &signed.header;
        let id = signed.id();
        let (sequence, parent) = match &self.head {
            Some(head) => (head.sequence(), head.signed.id()),
            None => (BundleSequence(0), Hash::default()),
        };
        if header.sequence <= sequence {
            return self.late_verdict(&signed, id);
        }
        if header.sequence.0 != sequence.0 + 1 || header.parent != parent {
            return Verdict::Refused(RecordError::WrongParent);
        }
        if let Err(error) = self.set_content(header.digest, &header.operators, payload) {
            return Verdict::Refused(error);
        }
        let sequence = header.sequence;
        self.set_head(Head {
            signed,
            accepted_offset: offset,
        });
        Verdict::Accepted(sequence)
    }

    /// Evaluates a change whose sequence number is already used.
    fn late_verdict(&self, signed: &SignedHeader, id: Hash) -> Verdict {
        let header = &signed.header;
        let past = self.history.iter().find(|p| p.sequence == header.sequence);
        match past {
            Some(past) if past.id == id => Verdict::Refused(RecordError::Replayed),
            Some(past) if past.parent == header.parent => Verdict::Conflict {
                winner: past.sequence,
                operator: past.operator.clone(),
            },
            Some(_) => Verdict::Refused(RecordError::WrongParent),
            None => Verdict::Refused(RecordError::Replayed),
        }
    }

    /// Activates a version whose content is already loaded.
    fn set_head(&mut self, head: Head) {
        let operators = content_operators(&self.content);
        if operators != self.operators {
            self.chain.push(OperatorChange {
                signed: head.signed.clone(),
                operators: operators.clone(),
            });
            self.operators = operators;
        }

        let header = &head.signed.header;
        let past = PastVersion {
            sequence: header.sequence,
            id: head.signed.id(),
            parent: header.parent,
            operator: header.operator.clone(),
        };
        self.history.retain(|p| p.sequence < past.sequence);
        self.history.push_back(past);
        if self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
        self.head = Some(head);
    }
}

fn key_error(error: keys::Error) -> RecordError {
    match error {
        keys::Error::UnknownOperator => RecordError::UnknownOperator,
        keys::Error::BadKey | keys::Error::BadSignature => RecordError::BadSignature,
    }
}

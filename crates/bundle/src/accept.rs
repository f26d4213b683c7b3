//! Which version of the bundle is in force: one function over the records in
//! the log's order, the same in the operators' tool and in every daemon.
//!
//! A reader that has judged every record up to an offset holds the same state
//! as every other such reader. A checkpoint is that state, written down with
//! its offset. So a reader that missed records (a fresh one, or one that was
//! away for longer than the log's retention) judges nothing until it finds a
//! checkpoint that leaves no gap: a late duplicate of a record that lost
//! could win otherwise, once the winner has expired.
//! See docs/DECISIONS/0301-bundle-acceptance.md.
//!
//! - `checkpoint`: writing the state down and taking it over.
//! - `fill`: the content of a version.

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

/// How many versions are remembered, to tell who beat a record.
const HISTORY: usize = 256;

/// Entries that changed, as section and name.
pub type ChangedEntries = BTreeSet<(String, String)>;

/// Judges records in the log's order.
#[derive(Debug, Clone)]
pub struct Acceptor {
    /// Who may sign the first version, from the settings.
    trust: Operators,
    /// The version in force.
    head: Option<Head>,
    /// The content of the version in force.
    content: Content,
    /// Who may sign the next version.
    operators: Operators,
    /// The versions that changed who may sign, oldest first.
    chain: Vec<OperatorChange>,
    /// The offset to judge next.
    next_offset: Offset,
    /// Where reading went on after records were missed, while it matters.
    gap_start: Option<Offset>,
    /// The versions in force lately, newest last.
    history: VecDeque<PastVersion>,
    /// Parts of larger content by its digest, oldest set first.
    parts: VecDeque<(Hash, BTreeMap<u32, Entries>)>,
    /// The newest checkpoint: where it stands and what it holds.
    newest_checkpoint: Option<(Offset, BundleSequence)>,
    /// Entries that changed since [`Self::take_changed`]; none when all may
    /// have.
    changed: Option<ChangedEntries>,
}

/// The version in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Head {
    /// Its signed header.
    pub signed: SignedHeader,
    /// Where it was accepted.
    pub accepted_offset: Offset,
}

impl Head {
    /// Its number.
    #[must_use]
    pub fn sequence(&self) -> BundleSequence {
        self.signed.header.sequence
    }
}

/// A version that is or was in force.
#[derive(Debug, Clone)]
struct PastVersion {
    sequence: BundleSequence,
    id: Hash,
    parent: Hash,
    operator: String,
}

impl Acceptor {
    /// Makes a reader that has judged nothing; `trust` may sign the first
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

    /// The version in force, if any.
    #[must_use]
    pub fn head(&self) -> Option<&Head> {
        self.head.as_ref()
    }

    /// The number of the version in force; 0 when there is none.
    #[must_use]
    pub fn sequence(&self) -> BundleSequence {
        self.head.as_ref().map_or(BundleSequence(0), Head::sequence)
    }

    /// The content of the version in force.
    #[must_use]
    pub fn content(&self) -> &Content {
        &self.content
    }

    /// The entries that changed since this was last asked; none when all may
    /// have.
    pub fn take_changed(&mut self) -> Option<ChangedEntries> {
        self.changed.replace(ChangedEntries::new())
    }

    /// Who may sign the next version.
    #[must_use]
    pub fn operators(&self) -> &Operators {
        &self.operators
    }

    /// The offset to read next.
    #[must_use]
    pub fn next_offset(&self) -> Offset {
        self.next_offset
    }

    /// Whether every record up to [`Self::next`] was judged.
    #[must_use]
    pub fn is_contiguous(&self) -> bool {
        self.gap_start.is_none()
    }

    /// The newest checkpoint that was read: its offset and its version.
    #[must_use]
    pub fn newest_checkpoint(&self) -> Option<(Offset, BundleSequence)> {
        self.newest_checkpoint
    }

    /// Judges the record at `offset`. After [`Verdict::Adopted`] the reader
    /// may have to go back: it reads on from [`Self::next`].
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

    /// Notes that the log has nothing before `first` any more.
    pub fn skip_expired(&mut self, first: Offset) {
        if first > self.next_offset {
            self.gap_start = Some(first);
            self.next_offset = first;
        }
    }

    /// Goes on from a gap with the version in force, judging from `first` on.
    ///
    /// For a reader that holds a version and finds that neither the log nor
    /// any peer has a checkpoint without a gap, as after an outage longer
    /// than the retention. Without it no reader would ever judge again. If
    /// two such readers disagree, their checkpoints settle it: the higher
    /// version wins, and of equal ones the one accepted earlier.
    pub fn skip_gap(&mut self, first: Offset) {
        if self.head.is_some() && self.gap_start.take().is_some() {
            self.next_offset = first;
        }
    }

    /// Judges a change that a peer accepted at `at`, ahead of the log.
    pub fn apply_from_peer(&mut self, at: Offset, bytes: &[u8]) -> Verdict {
        match serde_json::from_slice(bytes) {
            Ok(Record::Change { signed, payload }) if bytes.len() <= RECORD_MAX_BYTES => {
                self.apply_change(at, signed, payload)
            }
            _ => Verdict::Refused(RecordError::Unreadable),
        }
    }

    /// Notes that a peer in the same state has judged the log up to `judged`.
    pub fn mark_processed(&mut self, processed: Offset) {
        if processed.0 + 1 > self.next_offset.0 {
            self.next_offset = Offset(processed.0 + 1);
            self.gap_start = None;
        }
    }

    /// Judges a change.
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
        if let Err(fault) = self.set_content(header.digest, &header.operators, payload) {
            return Verdict::Refused(fault);
        }
        let sequence = header.sequence;
        self.set_head(Head {
            signed,
            accepted_offset: offset,
        });
        Verdict::Accepted(sequence)
    }

    /// Judges a change whose place is taken.
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

    /// Makes a version the one in force; its content is already in place.
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
        if self.history.len() > HISTORY {
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

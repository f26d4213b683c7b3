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
use crate::record::{Link, Payload, RECORD_LIMIT, Record, Signed, operators_of};
use crate::verdict::{Fault, Verdict};

/// How many versions are remembered, to tell who beat a record.
const HISTORY: usize = 256;

/// Entries that changed, as section and name.
pub type Touched = BTreeSet<(String, String)>;

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
    chain: Vec<Link>,
    /// The offset to judge next.
    next: Offset,
    /// Where reading went on after records were missed, while it matters.
    gap: Option<Offset>,
    /// The versions in force lately, newest last.
    history: VecDeque<Past>,
    /// Parts of larger content by its digest, oldest set first.
    parts: VecDeque<(Hash, BTreeMap<u32, Entries>)>,
    /// The newest checkpoint: where it stands and what it holds.
    newest: Option<(Offset, BundleSequence)>,
    /// Entries that changed since [`Self::take_touched`]; none when all may
    /// have.
    touched: Option<Touched>,
}

/// The version in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Head {
    /// Its signed header.
    pub signed: Signed,
    /// Where it was accepted.
    pub at: Offset,
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
struct Past {
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
            next: Offset(0),
            gap: None,
            history: VecDeque::new(),
            parts: VecDeque::new(),
            newest: None,
            touched: None,
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
    pub fn take_touched(&mut self) -> Option<Touched> {
        self.touched.replace(Touched::new())
    }

    /// Who may sign the next version.
    #[must_use]
    pub fn operators(&self) -> &Operators {
        &self.operators
    }

    /// The offset to read next.
    #[must_use]
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Whether every record up to [`Self::next`] was judged.
    #[must_use]
    pub fn anchored(&self) -> bool {
        self.gap.is_none()
    }

    /// The newest checkpoint that was read: its offset and its version.
    #[must_use]
    pub fn newest(&self) -> Option<(Offset, BundleSequence)> {
        self.newest
    }

    /// Judges the record at `offset`. After [`Verdict::Adopted`] the reader
    /// may have to go back: it reads on from [`Self::next`].
    pub fn apply(&mut self, offset: Offset, bytes: &[u8]) -> Verdict {
        if offset < self.next {
            return Verdict::Repeated;
        }
        self.expired(offset);
        self.next = Offset(offset.0 + 1);

        if bytes.len() > RECORD_LIMIT {
            return Verdict::Refused(Fault::TooLarge);
        }
        match serde_json::from_slice(bytes) {
            Ok(Record::Change { .. }) if self.gap.is_some() => Verdict::Unjudged,
            Ok(Record::Change { signed, payload }) => self.change(offset, signed, payload),
            Ok(Record::Checkpoint(checkpoint)) => self.checkpoint(offset, checkpoint),
            Ok(Record::Part {
                digest,
                index,
                entries,
            }) => self.keep(digest, index, entries),
            Err(_) => Verdict::Refused(Fault::Unreadable),
        }
    }

    /// Notes that the log has nothing before `first` any more.
    pub fn expired(&mut self, first: Offset) {
        if first > self.next {
            self.gap = Some(first);
            self.next = first;
        }
    }

    /// Goes on from a gap with the version in force, judging from `first` on.
    ///
    /// For a reader that holds a version and finds that neither the log nor
    /// any peer has a checkpoint without a gap, as after an outage longer
    /// than the retention. Without it no reader would ever judge again. If
    /// two such readers disagree, their checkpoints settle it: the higher
    /// version wins, and of equal ones the one accepted earlier.
    pub fn resume(&mut self, first: Offset) {
        if self.head.is_some() && self.gap.take().is_some() {
            self.next = first;
        }
    }

    /// Judges a change that a peer accepted at `at`, ahead of the log.
    pub fn accept_early(&mut self, at: Offset, bytes: &[u8]) -> Verdict {
        match serde_json::from_slice(bytes) {
            Ok(Record::Change { signed, payload }) if bytes.len() <= RECORD_LIMIT => {
                self.change(at, signed, payload)
            }
            _ => Verdict::Refused(Fault::Unreadable),
        }
    }

    /// Notes that a peer in the same state has judged the log up to `judged`.
    pub fn judged(&mut self, judged: Offset) {
        if judged.0 + 1 > self.next.0 {
            self.next = Offset(judged.0 + 1);
            self.gap = None;
        }
    }

    /// Judges a change.
    fn change(&mut self, offset: Offset, signed: Signed, payload: Payload) -> Verdict {
        if let Err(e) = signed.verify(&self.operators) {
            return Verdict::Refused(fault(e));
        }
        let header = &signed.header;
        let id = signed.id();
        let (sequence, parent) = match &self.head {
            Some(head) => (head.sequence(), head.signed.id()),
            None => (BundleSequence(0), Hash::default()),
        };
        if header.sequence <= sequence {
            return self.late(&signed, id);
        }
        if header.sequence.0 != sequence.0 + 1 || header.parent != parent {
            return Verdict::Refused(Fault::WrongParent);
        }
        if let Err(fault) = self.fill(header.digest, &header.operators, payload) {
            return Verdict::Refused(fault);
        }
        let sequence = header.sequence;
        self.advance(Head { signed, at: offset });
        Verdict::Accepted(sequence)
    }

    /// Judges a change whose place is taken.
    fn late(&self, signed: &Signed, id: Hash) -> Verdict {
        let header = &signed.header;
        let past = self.history.iter().find(|p| p.sequence == header.sequence);
        match past {
            Some(past) if past.id == id => Verdict::Refused(Fault::Replayed),
            Some(past) if past.parent == header.parent => Verdict::Beaten {
                by: past.sequence,
                operator: past.operator.clone(),
            },
            Some(_) => Verdict::Refused(Fault::WrongParent),
            None => Verdict::Refused(Fault::Replayed),
        }
    }

    /// Makes a version the one in force; its content is already in place.
    fn advance(&mut self, head: Head) {
        let operators = operators_of(&self.content);
        if operators != self.operators {
            self.chain.push(Link {
                signed: head.signed.clone(),
                operators: operators.clone(),
            });
            self.operators = operators;
        }

        let header = &head.signed.header;
        let past = Past {
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

fn fault(error: keys::Error) -> Fault {
    match error {
        keys::Error::UnknownOperator => Fault::UnknownOperator,
        keys::Error::BadKey | keys::Error::BadSignature => Fault::BadSignature,
    }
}

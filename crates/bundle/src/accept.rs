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

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use base::ids::{Offset, Sequence};

use crate::content::{Content, Entries, Patch};
use crate::hash::Hash;
use crate::keys::{self, Operators};
use crate::record::{
    Checkpoint, Link, Payload, RECORD_LIMIT, Record, Signed, operators_hash, operators_of, parts,
};
use crate::verdict::{Fault, Verdict};

/// How many versions are remembered, to tell who beat a record.
const HISTORY: usize = 256;

/// How many unfinished sets of parts are kept.
const PART_SETS: usize = 4;

/// Most parts in a set, which bounds what one set can take of the memory.
const PARTS: u32 = 128;

/// Room for a record's other fields beside a part's entries.
const PART_LIMIT: usize = RECORD_LIMIT - (4 << 10);

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
    newest: Option<(Offset, Sequence)>,
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
    pub fn sequence(&self) -> Sequence {
        self.signed.header.sequence
    }
}

/// A version that is or was in force.
#[derive(Debug, Clone)]
struct Past {
    sequence: Sequence,
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
    pub fn sequence(&self) -> Sequence {
        self.head.as_ref().map_or(Sequence(0), Head::sequence)
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
    pub fn newest(&self) -> Option<(Offset, Sequence)> {
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
            None => (Sequence(0), Hash::default()),
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

    /// Judges a checkpoint.
    fn checkpoint(&mut self, offset: Offset, checkpoint: Checkpoint) -> Verdict {
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

    /// Keeps a part for the record that needs it.
    fn keep(&mut self, digest: Hash, index: u32, entries: Entries) -> Verdict {
        if index >= PARTS {
            return Verdict::Refused(Fault::BadContent);
        }
        if digest == self.content.digest() {
            return Verdict::Kept;
        }
        if let Some((_, set)) = self.parts.iter_mut().find(|(d, _)| *d == digest) {
            set.insert(index, entries);
            return Verdict::Kept;
        }
        // Sets whose last record never came must not pile up.
        if self.parts.len() == PART_SETS {
            self.parts.pop_front();
        }
        let set = BTreeMap::from([(index, entries)]);
        self.parts.push_back((digest, set));
        Verdict::Kept
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

    /// Takes over content if it has the signed digest, else leaves all as it
    /// was.
    fn fill(&mut self, digest: Hash, operators: &Hash, payload: Payload) -> Result<(), Fault> {
        let fits = |content: &Content| {
            content.digest() == digest && operators_hash(&operators_of(content)) == *operators
        };
        let content = match payload {
            Payload::Delta(patch) => {
                let undo = self.content.apply(&patch);
                if fits(&self.content) {
                    self.touch(&patch);
                    return Ok(());
                }
                self.content.apply(&undo);
                return Err(Fault::BadContent);
            }
            Payload::Parts(_) if self.content.digest() == digest => return Ok(()),
            Payload::Parts(count) => self.join(digest, count).ok_or(Fault::BadContent)?,
            Payload::Whole(entries) => Content::new(&entries),
        };
        if !fits(&content) {
            return Err(Fault::BadContent);
        }
        self.content = content;
        self.touched = None;
        Ok(())
    }

    /// Remembers which entries a patch changed.
    fn touch(&mut self, patch: &Patch) {
        let Some(touched) = &mut self.touched else {
            return;
        };
        for (section, named) in patch {
            let entries = named.keys().map(|name| (section.clone(), name.clone()));
            touched.extend(entries);
        }
    }

    /// Joins the parts of larger content, if all are there.
    fn join(&mut self, digest: Hash, count: u32) -> Option<Content> {
        let at = self.parts.iter().position(|(d, _)| *d == digest)?;
        let (_, set) = &self.parts[at];
        let last = set.keys().next_back().copied();
        if set.len() != count as usize || last != count.checked_sub(1) {
            return None;
        }
        let (_, set) = self.parts.remove(at)?;

        let mut whole = Entries::new();
        for entries in set.into_values() {
            for (section, named) in entries {
                whole.entry(section).or_default().extend(named);
            }
        }
        Some(Content::new(&whole))
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

fn fault(error: keys::Error) -> Fault {
    match error {
        keys::Error::UnknownOperator => Fault::UnknownOperator,
        keys::Error::BadKey | keys::Error::BadSignature => Fault::BadSignature,
    }
}

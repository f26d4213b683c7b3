//! The bundle in force, as the rest of a daemon reads it.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

use base::ids::{BundleSequence, Offset};
use bundle::accept::ChangedEntries;
use bundle::content;
use bundle::{Acceptor, Bundle, Content, Hash, IndexedBundle, Operators, Verdict};
use bytes::Bytes;
use spdlog::{error, info};
use tokio::sync::Notify;

use crate::transfer::Transfer;

/// Bytes of recent changes that are kept for daemons that are behind.
const TAIL_LIMIT: usize = 1 << 20;

/// What one daemon holds of the bundle's stream.
pub struct BundleState {
    acceptor: RefCell<Acceptor>,
    /// What requests go by; those in progress keep the one they began with.
    active: RefCell<Option<Rc<ActiveVersion>>>,
    /// Changes accepted lately, each with its offset, oldest first.
    recent_changes: RefCell<VecDeque<Change>>,
    /// The version that was last made, or could not be made, to go by.
    last_tried: Cell<Option<Hash>>,
    /// Whether the version in force is the last one that was tried, so that
    /// a change of it leads to the next.
    incremental: Cell<bool>,
    /// Whether the log's last call was answered.
    log_reachable: Cell<bool>,
    changed: Notify,
}

/// A version of the bundle that requests go by.
#[derive(Debug, Clone)]
pub struct ActiveVersion {
    /// Its number.
    pub sequence: BundleSequence,
    /// What it declares.
    pub bundle: Rc<IndexedBundle>,
}

/// A change as it stands in the log.
struct Change {
    sequence: BundleSequence,
    accepted_offset: Offset,
    body: String,
}

impl BundleState {
    /// Holds nothing yet; `trust` may sign the first version.
    #[must_use]
    pub fn new(trust: Operators) -> Rc<Self> {
        Rc::new(Self {
            acceptor: RefCell::new(Acceptor::new(trust)),
            active: RefCell::default(),
            recent_changes: RefCell::default(),
            last_tried: Cell::new(None),
            incremental: Cell::new(false),
            log_reachable: Cell::new(false),
            changed: Notify::new(),
        })
    }

    /// Holds one bundle for ever, without a log, for tests and trials.
    #[must_use]
    pub fn fixed(bundle: Bundle) -> Rc<Self> {
        let held = Self::new(Operators::new());
        *held.active.borrow_mut() = Some(Rc::new(ActiveVersion {
            sequence: BundleSequence(0),
            bundle: Rc::new(IndexedBundle::new(bundle)),
        }));
        held
    }

    /// The version in force, if any.
    #[must_use]
    pub fn active_version(&self) -> Option<Rc<ActiveVersion>> {
        self.active.borrow().clone()
    }

    /// The bundle in force, if any.
    #[must_use]
    pub fn bundle(&self) -> Option<Rc<IndexedBundle>> {
        let current = self.active.borrow();
        current.as_ref().map(|c| Rc::clone(&c.bundle))
    }

    /// The number of the version in force; 0 when there is none.
    #[must_use]
    pub fn sequence(&self) -> BundleSequence {
        let current = self.active.borrow();
        current.as_ref().map_or(BundleSequence(0), |c| c.sequence)
    }

    /// Whether the log answered its last call.
    #[must_use]
    pub fn log_reachable(&self) -> bool {
        self.log_reachable.get()
    }

    /// Waits until a version is in force.
    pub async fn wait_ready(&self) {
        loop {
            let changed = self.changed.notified();
            if self.active.borrow().is_some() {
                return;
            }
            changed.await;
        }
    }

    /// Whether a peer that goes by `sequence` knows a later version. One
    /// that was accepted and not understood here counts as known, since
    /// waiting for it would not help.
    #[must_use]
    pub fn is_behind(&self, sequence: BundleSequence) -> bool {
        sequence > self.sequence() && sequence > self.acceptor.borrow().sequence()
    }

    /// Waits until this daemon is no longer behind `sequence`.
    pub async fn wait_for_version(&self, sequence: BundleSequence) {
        loop {
            let changed = self.changed.notified();
            if !self.is_behind(sequence) {
                return;
            }
            changed.await;
        }
    }

    /// What a daemon at version `since` needs to get to the one in force;
    /// `None` when there is nothing newer here.
    #[must_use]
    pub fn transfer_since(&self, since: BundleSequence) -> Option<Bytes> {
        if since >= self.sequence() {
            return None;
        }
        let acceptor = self.acceptor.borrow();
        let processed = Offset(acceptor.next_offset().0.checked_sub(1)?);
        let tail = self.recent_changes.borrow();
        let start = tail.iter().position(|c| c.sequence.0 == since.0 + 1);

        let transfer = match start {
            Some(start) => Transfer::Changes {
                changes: tail
                    .range(start..)
                    .map(|c| (c.accepted_offset, c.body.clone()))
                    .collect(),
                processed,
            },
            None => Transfer::Checkpoint(Box::new(acceptor.snapshot()?)),
        };
        Some(transfer.bytes())
    }

    /// Takes over a checkpoint that is known to hold, for measurements.
    pub fn load_checkpoint(&self, checkpoint: bundle::Checkpoint) -> bool {
        let adopted = self.with_acceptor(|a| a.adopt(checkpoint));
        adopted.is_ok_and(|adopted| adopted && self.activate_head())
    }

    /// Judges one record and puts what it leads to in force, for
    /// measurements.
    pub fn apply_and_activate(&self, offset: Offset, body: &str) -> bool {
        self.apply_record(offset, body);
        self.activate_head()
    }

    /// Lets the acceptor work on something and returns what it made of it.
    /// Nothing becomes the version in force before [`Self::settle`].
    pub(crate) fn with_acceptor<T>(&self, work: impl FnOnce(&mut Acceptor) -> T) -> T {
        work(&mut self.acceptor.borrow_mut())
    }

    /// Judges one record of the log.
    pub(crate) fn apply_record(&self, offset: Offset, body: &str) -> Verdict {
        let verdict = self.with_acceptor(|a| a.apply(offset, body.as_bytes()));
        self.record_change(&verdict, offset, body);
        verdict
    }

    /// Judges a change that a peer has read from the log.
    pub(crate) fn apply_from_peer(&self, offset: Offset, body: &str) -> Verdict {
        let verdict = self.with_acceptor(|a| a.apply_from_peer(offset, body.as_bytes()));
        self.record_change(&verdict, offset, body);
        verdict
    }

    pub(crate) fn set_reachable(&self, reachable: bool) {
        if self.log_reachable.replace(reachable) != reachable {
            info!("log reachable", kv: { reachable = reachable });
        }
        metrics::gauge!("pimentocart_log_reachable").set(f64::from(u8::from(reachable)));
    }

    /// Puts the accepted version in force, if it is a new one that this
    /// build understands.
    ///
    /// Acceptance does not ask whether this build understands the content:
    /// daemons of two builds would otherwise accept different versions. One
    /// that does not understand a version goes on with the one before.
    pub(crate) fn activate_head(&self) -> bool {
        let mut acceptor = self.acceptor.borrow_mut();
        let Some(head) = acceptor.head().cloned() else {
            return false;
        };
        let (sequence, id) = (head.sequence(), head.signed.id());
        if self.last_tried.replace(Some(id)) == Some(id) {
            return false;
        }

        let touched = acceptor.take_changed().filter(|_| self.incremental.get());
        let made = self.build_index(acceptor.content(), touched.as_ref());
        self.incremental.set(made.is_ok());
        match made {
            Ok(bundle) => {
                let bundle = Rc::new(bundle);
                *self.active.borrow_mut() = Some(Rc::new(ActiveVersion { sequence, bundle }));
            }
            Err(e) => {
                error!("bundle not activated: content not supported by this build", kv: { sequence = sequence.0, error = e.to_string().as_str() });
                return false;
            }
        }
        info!("bundle in force", kv: { sequence = sequence.0, operator = head.signed.header.operator.as_str() });
        metrics::gauge!("pimentocart_bundle_sequence").set(sequence.0 as f64);
        self.changed.notify_waiters();
        true
    }

    fn record_change(&self, verdict: &Verdict, accepted_offset: Offset, body: &str) {
        let mut tail = self.recent_changes.borrow_mut();
        match verdict {
            Verdict::Accepted(sequence) => tail.push_back(Change {
                sequence: *sequence,
                accepted_offset,
                body: body.to_owned(),
            }),
            // A version came without the change that led to it.
            Verdict::Adopted(_) => tail.clear(),
            _ => return,
        }
        let mut size: usize = tail.iter().map(|c| c.body.len()).sum();
        while size > TAIL_LIMIT {
            let Some(old) = tail.pop_front() else { return };
            size -= old.body.len();
        }
    }

    /// Makes what requests go by: from the version in force if only the
    /// `touched` entries differ, else anew.
    fn build_index(
        &self,
        content: &Content,
        touched: Option<&ChangedEntries>,
    ) -> Result<IndexedBundle, content::Error> {
        let current = self.active.borrow();
        if let (Some(current), Some(touched)) = (current.as_ref(), touched) {
            let mut next = IndexedBundle::clone(&current.bundle);
            next.update(content, touched)?;
            return Ok(next);
        }
        content.to_bundle().map(IndexedBundle::new)
    }

    /// Forgets the changes kept for others, after a version came without the
    /// change that led to it.
    pub(crate) fn clear_changes(&self) {
        self.recent_changes.borrow_mut().clear();
    }
}

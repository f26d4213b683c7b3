//! The active bundle of a daemon.

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

/// Maximum size in bytes of the recent changes kept for outdated peers.
const RECENT_MAX_BYTES: usize = 1 << 20;

/// A daemon's replica of the bundle.
pub struct BundleState {
    acceptor: RefCell<Acceptor>,
    /// Active version for new requests. Requests in progress keep the version
    /// with which they started.
    active: RefCell<Option<Rc<ActiveVersion>>>,
    /// Recently accepted changes with their offsets, oldest first.
    recent_changes: RefCell<VecDeque<Change>>,
    /// The last version for which activation was attempted.
    last_tried: Cell<Option<Hash>>,
    /// Whether the last attempt succeeded, so that the next version can be
    /// derived from the active one.
    incremental: Cell<bool>,
    /// Whether the last log call succeeded.
    log_reachable: Cell<bool>,
    changed: Notify,
}

/// A bundle version that requests use.
#[derive(Debug, Clone)]
pub struct ActiveVersion {
    /// Sequence number of the version.
    pub sequence: BundleSequence,
    /// The bundle with its token index.
    pub bundle: Rc<IndexedBundle>,
}

/// An accepted change as read from the log.
struct Change {
    sequence: BundleSequence,
    accepted_offset: Offset,
    body: String,
}

impl BundleState {
    /// Creates an empty state; the operators in `trust` may sign the first
    /// version.
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

    /// Creates a state with a fixed bundle and no log, for tests and benchmarks.
    #[must_use]
    pub fn fixed(bundle: Bundle) -> Rc<Self> {
        let state = Self::new(Operators::new());
        *state.active.borrow_mut() = Some(Rc::new(ActiveVersion {
            sequence: BundleSequence(0),
            bundle: Rc::new(IndexedBundle::new(bundle)),
        }));
        state
    }

    /// The active version, if any.
    #[must_use]
    pub fn active_version(&self) -> Option<Rc<ActiveVersion>> {
        self.active.borrow().clone()
    }

    /// The active bundle, if any.
    #[must_use]
    pub fn bundle(&self) -> Option<Rc<IndexedBundle>> {
        let current = self.active.borrow();
        current.as_ref().map(|c| Rc::clone(&c.bundle))
    }

    /// Sequence number of the active version; 0 if there is none.
    #[must_use]
    pub fn sequence(&self) -> BundleSequence {
        let current = self.active.borrow();
        current.as_ref().map_or(BundleSequence(0), |c| c.sequence)
    }

    /// Whether the last log call succeeded.
    #[must_use]
    pub fn log_reachable(&self) -> bool {
        self.log_reachable.get()
    }

    /// Waits until a version is active.
    pub async fn wait_ready(&self) {
        loop {
            let changed = self.changed.notified();
            if self.active.borrow().is_some() {
                return;
            }
            changed.await;
        }
    }

    /// Whether a peer whose active version is `sequence` has a later version
    /// than this daemon. A version that was accepted but that this build cannot
    /// parse counts as known, since waiting for it would not help.
    #[must_use]
    pub fn is_behind(&self, sequence: BundleSequence) -> bool {
        sequence > self.sequence() && sequence > self.acceptor.borrow().sequence()
    }

    /// Waits until this daemon is no longer behind version `sequence`.
    pub async fn wait_for_version(&self, sequence: BundleSequence) {
        loop {
            let changed = self.changed.notified();
            if !self.is_behind(sequence) {
                return;
            }
            changed.await;
        }
    }

    /// Returns a transfer that updates a daemon from version `since` to the
    /// active one; `None` if there is no newer version.
    #[must_use]
    pub fn transfer_since(&self, since: BundleSequence) -> Option<Bytes> {
        if since >= self.sequence() {
            return None;
        }
        let acceptor = self.acceptor.borrow();
        let processed = Offset(acceptor.next_offset().0.checked_sub(1)?);
        let recent = self.recent_changes.borrow();
        let start = recent.iter().position(|c| c.sequence.0 == since.0 + 1);

        let transfer = match start {
            Some(start) => Transfer::Changes {
                changes: recent
                    .range(start..)
                    .map(|c| (c.accepted_offset, c.body.clone()))
                    .collect(),
                processed,
            },
            None => Transfer::Checkpoint(Box::new(acceptor.snapshot()?)),
        };
        Some(transfer.bytes())
    }

    /// Installs and activates a checkpoint, for benchmarks.
    pub fn load_checkpoint(&self, checkpoint: bundle::Checkpoint) -> bool {
        let adopted = self.with_acceptor(|a| a.adopt(checkpoint));
        adopted.is_ok_and(|adopted| adopted && self.activate_head())
    }

    /// Evaluates one record and activates the resulting version, for
    /// benchmarks.
    pub fn apply_and_activate(&self, offset: Offset, body: &str) -> bool {
        self.apply_record(offset, body);
        self.activate_head()
    }

    /// Calls `work` with the acceptor. Changes only become active with
    /// [`Self::activate_head`].
    pub(crate) fn with_acceptor<T>(&self, work: impl FnOnce(&mut Acceptor) -> T) -> T {
        work(&mut self.acceptor.borrow_mut())
    }

    /// Evaluates one record of the log.
    pub(crate) fn apply_record(&self, offset: Offset, body: &str) -> Verdict {
        let verdict = self.with_acceptor(|a| a.apply(offset, body.as_bytes()));
        self.record_change(&verdict, offset, body);
        verdict
    }

    /// Evaluates a change received from a peer.
    pub(crate) fn apply_from_peer(&self, offset: Offset, body: &str) -> Verdict {
        let verdict = self.with_acceptor(|a| a.apply_from_peer(offset, body.as_bytes()));
        self.record_change(&verdict, offset, body);
        verdict
    }

    pub(crate) fn set_log_reachable(&self, reachable: bool) {
        if self.log_reachable.replace(reachable) != reachable {
            info!("log reachability changed", kv: { reachable = reachable });
        }
        metrics::gauge!("pimentocart_log_reachable").set(f64::from(u8::from(reachable)));
    }

    /// Activates the accepted version if it is new and this build can parse it.
    /// Returns whether a version was activated.
    ///
    /// Acceptance does not depend on parsing the content, because daemons of
    /// different builds would otherwise accept different versions. A daemon
    /// that cannot parse a version keeps the previous one.
    pub(crate) fn activate_head(&self) -> bool {
        let mut acceptor = self.acceptor.borrow_mut();
        let Some(head) = acceptor.head().cloned() else {
            return false;
        };
        let (sequence, id) = (head.sequence(), head.signed.id());
        if self.last_tried.replace(Some(id)) == Some(id) {
            return false;
        }

        let changed = acceptor.take_changed().filter(|_| self.incremental.get());
        let built = self.build_index(acceptor.content(), changed.as_ref());
        self.incremental.set(built.is_ok());
        match built {
            Ok(bundle) => {
                let bundle = Rc::new(bundle);
                *self.active.borrow_mut() = Some(Rc::new(ActiveVersion { sequence, bundle }));
            }
            Err(e) => {
                error!("bundle version cannot be parsed; keeping the previous one", kv: { sequence = sequence.0, error = e.to_string().as_str() });
                return false;
            }
        }
        info!("bundle version activated", kv: { sequence = sequence.0, operator = head.signed.header.operator.as_str() });
        metrics::gauge!("pimentocart_bundle_sequence").set(sequence.0 as f64);
        self.changed.notify_waiters();
        true
    }

    fn record_change(&self, verdict: &Verdict, accepted_offset: Offset, body: &str) {
        let mut recent = self.recent_changes.borrow_mut();
        match verdict {
            Verdict::Accepted(sequence) => recent.push_back(Change {
                sequence: *sequence,
                accepted_offset,
                body: body.to_owned(),
            }),
            // The version was installed without the change that led to it.
            Verdict::Adopted(_) => recent.clear(),
            _ => return,
        }
        let mut size: usize = recent.iter().map(|c| c.body.len()).sum();
        while size > RECENT_MAX_BYTES {
            let Some(old) = recent.pop_front() else {
                return;
            };
            size -= old.body.len();
        }
    }

    /// Builds the indexed bundle: from the active version if the `changed`
    /// entries are known, otherwise from the full content.
    fn build_index(
        &self,
        content: &Content,
        changed: Option<&ChangedEntries>,
    ) -> Result<IndexedBundle, content::Error> {
        let current = self.active.borrow();
        if let (Some(current), Some(changed)) = (current.as_ref(), changed) {
            let mut next = IndexedBundle::clone(&current.bundle);
            next.update(content, changed)?;
            return Ok(next);
        }
        content.to_bundle().map(IndexedBundle::new)
    }

    /// Removes the changes kept for peers, after a version was installed without
    /// the change that led to it.
    pub(crate) fn clear_changes(&self) {
        self.recent_changes.borrow_mut().clear();
    }
}

//! The bundle in force, as the rest of a daemon reads it.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

use base::ids::{BundleSequence, Offset};
use bundle::accept::Touched;
use bundle::content;
use bundle::{Acceptor, Bundle, Content, Hash, Lookup, Operators, Verdict};
use bytes::Bytes;
use spdlog::{error, info};
use tokio::sync::Notify;

use crate::transfer::Transfer;

/// Bytes of recent changes that are kept for daemons that are behind.
const TAIL_LIMIT: usize = 1 << 20;

/// What one daemon holds of the bundle's stream.
pub struct Held {
    acceptor: RefCell<Acceptor>,
    /// What requests go by; those in progress keep the one they began with.
    current: RefCell<Option<Rc<InForce>>>,
    /// Changes accepted lately, each with its offset, oldest first.
    tail: RefCell<VecDeque<Change>>,
    /// The version that was last made, or could not be made, to go by.
    tried: Cell<Option<Hash>>,
    /// Whether the version in force is the last one that was tried, so that
    /// a change of it leads to the next.
    exact: Cell<bool>,
    /// Whether the log's last call was answered.
    reachable: Cell<bool>,
    changed: Notify,
}

/// A version of the bundle that requests go by.
#[derive(Debug, Clone)]
pub struct InForce {
    /// Its number.
    pub sequence: BundleSequence,
    /// What it declares.
    pub bundle: Rc<Lookup>,
}

/// A change as it stands in the log.
struct Change {
    sequence: BundleSequence,
    at: Offset,
    body: String,
}

impl Held {
    /// Holds nothing yet; `trust` may sign the first version.
    #[must_use]
    pub fn new(trust: Operators) -> Rc<Self> {
        Rc::new(Self {
            acceptor: RefCell::new(Acceptor::new(trust)),
            current: RefCell::default(),
            tail: RefCell::default(),
            tried: Cell::new(None),
            exact: Cell::new(false),
            reachable: Cell::new(false),
            changed: Notify::new(),
        })
    }

    /// Holds one bundle for ever, without a log, for tests and trials.
    #[must_use]
    pub fn fixed(bundle: Bundle) -> Rc<Self> {
        let held = Self::new(Operators::new());
        *held.current.borrow_mut() = Some(Rc::new(InForce {
            sequence: BundleSequence(0),
            bundle: Rc::new(Lookup::new(bundle)),
        }));
        held
    }

    /// The version in force, if any.
    #[must_use]
    pub fn in_force(&self) -> Option<Rc<InForce>> {
        self.current.borrow().clone()
    }

    /// The bundle in force, if any.
    #[must_use]
    pub fn bundle(&self) -> Option<Rc<Lookup>> {
        let current = self.current.borrow();
        current.as_ref().map(|c| Rc::clone(&c.bundle))
    }

    /// The number of the version in force; 0 when there is none.
    #[must_use]
    pub fn sequence(&self) -> BundleSequence {
        let current = self.current.borrow();
        current.as_ref().map_or(BundleSequence(0), |c| c.sequence)
    }

    /// Whether the log answered its last call.
    #[must_use]
    pub fn reachable(&self) -> bool {
        self.reachable.get()
    }

    /// Waits until a version is in force.
    pub async fn ready(&self) {
        loop {
            let changed = self.changed.notified();
            if self.current.borrow().is_some() {
                return;
            }
            changed.await;
        }
    }

    /// Whether a peer that goes by `sequence` knows a later version. One
    /// that was accepted and not understood here counts as known, since
    /// waiting for it would not help.
    #[must_use]
    pub fn behind(&self, sequence: BundleSequence) -> bool {
        sequence > self.sequence() && sequence > self.acceptor.borrow().sequence()
    }

    /// Waits until this daemon is no longer behind `sequence`.
    pub async fn reached(&self, sequence: BundleSequence) {
        loop {
            let changed = self.changed.notified();
            if !self.behind(sequence) {
                return;
            }
            changed.await;
        }
    }

    /// What a daemon at version `since` needs to get to the one in force;
    /// `None` when there is nothing newer here.
    #[must_use]
    pub fn transfer(&self, since: BundleSequence) -> Option<Bytes> {
        if since >= self.sequence() {
            return None;
        }
        let acceptor = self.acceptor.borrow();
        let judged = Offset(acceptor.next().0.checked_sub(1)?);
        let tail = self.tail.borrow();
        let start = tail.iter().position(|c| c.sequence.0 == since.0 + 1);

        let transfer = match start {
            Some(start) => Transfer::Changes {
                changes: tail
                    .range(start..)
                    .map(|c| (c.at, c.body.clone()))
                    .collect(),
                judged,
            },
            None => Transfer::Checkpoint(Box::new(acceptor.snapshot()?)),
        };
        Some(transfer.bytes())
    }

    /// Takes over a checkpoint that is known to hold, for measurements.
    pub fn load(&self, checkpoint: bundle::Checkpoint) -> bool {
        let adopted = self.with(|a| a.adopt(checkpoint));
        adopted.is_ok_and(|adopted| adopted && self.settle())
    }

    /// Judges one record and puts what it leads to in force, for
    /// measurements.
    pub fn step(&self, at: Offset, body: &str) -> bool {
        self.judge(at, body);
        self.settle()
    }

    /// Lets the acceptor work on something and returns what it made of it.
    /// Nothing becomes the version in force before [`Self::settle`].
    pub(crate) fn with<T>(&self, work: impl FnOnce(&mut Acceptor) -> T) -> T {
        work(&mut self.acceptor.borrow_mut())
    }

    /// Judges one record of the log.
    pub(crate) fn judge(&self, at: Offset, body: &str) -> Verdict {
        let verdict = self.with(|a| a.apply(at, body.as_bytes()));
        self.remember(&verdict, at, body);
        verdict
    }

    /// Judges a change that a peer has read from the log.
    pub(crate) fn judge_early(&self, at: Offset, body: &str) -> Verdict {
        let verdict = self.with(|a| a.accept_early(at, body.as_bytes()));
        self.remember(&verdict, at, body);
        verdict
    }

    pub(crate) fn set_reachable(&self, reachable: bool) {
        if self.reachable.replace(reachable) != reachable {
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
    pub(crate) fn settle(&self) -> bool {
        let mut acceptor = self.acceptor.borrow_mut();
        let Some(head) = acceptor.head().cloned() else {
            return false;
        };
        let (sequence, id) = (head.sequence(), head.signed.id());
        if self.tried.replace(Some(id)) == Some(id) {
            return false;
        }

        let touched = acceptor.take_touched().filter(|_| self.exact.get());
        let made = self.make(acceptor.content(), touched.as_ref());
        self.exact.set(made.is_ok());
        match made {
            Ok(bundle) => {
                let bundle = Rc::new(bundle);
                *self.current.borrow_mut() = Some(Rc::new(InForce { sequence, bundle }));
            }
            Err(e) => {
                error!("bundle not understood", kv: { sequence = sequence.0, error = e.to_string().as_str() });
                return false;
            }
        }
        info!("bundle in force", kv: { sequence = sequence.0, operator = head.signed.header.operator.as_str() });
        metrics::gauge!("pimentocart_bundle_sequence").set(sequence.0 as f64);
        self.changed.notify_waiters();
        true
    }

    fn remember(&self, verdict: &Verdict, at: Offset, body: &str) {
        let mut tail = self.tail.borrow_mut();
        match verdict {
            Verdict::Accepted(sequence) => tail.push_back(Change {
                sequence: *sequence,
                at,
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
    fn make(&self, content: &Content, touched: Option<&Touched>) -> Result<Lookup, content::Error> {
        let current = self.current.borrow();
        if let (Some(current), Some(touched)) = (current.as_ref(), touched) {
            let mut next = Lookup::clone(&current.bundle);
            next.update(content, touched)?;
            return Ok(next);
        }
        content.bundle().map(Lookup::new)
    }

    /// Forgets the changes kept for others, after a version came without the
    /// change that led to it.
    pub(crate) fn forget_tail(&self) {
        self.tail.borrow_mut().clear();
    }
}

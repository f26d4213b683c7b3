//! Requests as the queue holds them.

use std::rc::Rc;
use std::time::{Duration, Instant};

use base::ids::{RequestId, Tier};
use base::reason::Refusal;

use super::ranks::Bucket;
use crate::estimate::Shape;

/// A request as the queue sees it.
#[derive(Debug, Clone)]
pub struct Ask {
    /// The request.
    pub ticket: RequestId,
    /// Its class.
    pub class: Rc<str>,
    /// Its workspace, for the fair share.
    pub workspace: Rc<str>,
    /// The workspace's weight.
    pub weight: u32,
    /// Its tier.
    pub tier: Tier,
    /// When the first piece is due.
    pub first_due: Instant,
    /// When the whole answer is due.
    pub whole_due: Instant,
    /// Size of the prompt, in tokens.
    pub prompt: u32,
    /// Most tokens that the answer may have.
    pub tokens: u32,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// How often it was preempted before.
    pub preempted: u32,
}

impl Ask {
    /// The request, as far as it decides what the request will take.
    #[must_use]
    pub fn shape(&self) -> Shape<'_> {
        Shape {
            class: &self.class,
            workspace: &self.workspace,
            prompt: self.prompt,
            tokens: self.tokens,
        }
    }
}

/// What became of an offered request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Offered {
    /// It waits.
    Queued,
    /// It is refused and did not run.
    Refused(Verdict),
}

/// Why a request is refused, and when asking again may help.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Verdict {
    /// Why.
    pub reason: Refusal,
    /// When asking again here may help.
    pub after: Duration,
}

/// The place of a waiting request in the order of deadlines; equal deadlines
/// go by arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Key {
    /// What the order goes by.
    pub(super) due: Instant,
    /// Grows by one with each request offered.
    pub(super) seq: u64,
}

/// A waiting request.
#[derive(Debug)]
pub(super) struct Item {
    pub(super) ask: Ask,
    pub(super) key: Key,
    /// The tier that it is queued in.
    pub(super) tier: Tier,
    /// The flow that it is queued in.
    pub(super) flow: Rc<str>,
    /// Slot time that it is expected to take, in microseconds.
    pub(super) cost: u64,
    /// Latest start with which the targets can be met.
    pub(super) latest: Instant,
    /// Admitted against the estimate, so that its class is seen at all.
    pub(super) probe: bool,
    /// Where its deadline is counted.
    pub(super) bucket: Bucket,
}

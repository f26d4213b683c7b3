//! Requests as the queue holds them.

use std::rc::Rc;
use std::time::{Duration, Instant};

use base::ids::{RequestId, Tier};
use base::reason::Refusal;

use super::deadline_counts::Bucket;
use crate::estimate::CostFactors;

/// A request as the queue sees it.
#[derive(Debug, Clone)]
pub struct QueueRequest {
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
    pub first_deadline: Instant,
    /// When the whole answer is due.
    pub answer_deadline: Instant,
    /// Size of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Most tokens that the answer may have.
    pub max_tokens: u32,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// How often it was preempted before.
    pub preemptions: u32,
}

impl QueueRequest {
    /// The request, as far as it decides what the request will take.
    #[must_use]
    pub fn cost_factors(&self) -> CostFactors<'_> {
        CostFactors {
            class: &self.class,
            workspace: &self.workspace,
            prompt_tokens: self.prompt_tokens,
            max_tokens: self.max_tokens,
        }
    }
}

/// What became of an offered request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It waits.
    Queued,
    /// It is refused and did not run.
    Refused(Rejection),
}

/// Why a request is refused, and when asking again may help.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rejection {
    /// Why.
    pub reason: Refusal,
    /// When asking again here may help.
    pub retry_after: Duration,
}

/// The place of a waiting request in the order of deadlines; equal deadlines
/// go by arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct DeadlineKey {
    /// What the order goes by.
    pub(super) deadline: Instant,
    /// Grows by one with each request offered.
    pub(super) seq: u64,
}

/// A waiting request.
#[derive(Debug)]
pub(super) struct QueuedRequest {
    pub(super) request: QueueRequest,
    pub(super) key: DeadlineKey,
    /// The tier that it is queued in.
    pub(super) tier: Tier,
    /// The flow that it is queued in.
    pub(super) flow: Rc<str>,
    /// Slot time that it is expected to take, in microseconds.
    pub(super) cost_us: u64,
    /// Latest start with which the targets can be met.
    pub(super) latest_start: Instant,
    /// Admitted against the estimate, so that its class is seen at all.
    pub(super) probe: bool,
    /// Where its deadline is counted.
    pub(super) bucket: Bucket,
}

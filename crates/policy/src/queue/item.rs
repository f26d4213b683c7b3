//! Queued requests and the outcome of offering one.

use std::rc::Rc;
use std::time::{Duration, Instant};

use base::ids::{RequestId, Tier};
use base::reason::Refusal;

use super::deadline_counts::Bucket;
use crate::estimate::CostFactors;

/// A request for a slot.
#[derive(Debug, Clone)]
pub struct QueueRequest {
    /// The request's ticket.
    pub ticket: RequestId,
    /// Its class.
    pub class: Rc<str>,
    /// Its workspace, the unit of fair queueing.
    pub workspace: Rc<str>,
    /// The workspace's weight in the fair share.
    pub weight: u32,
    /// Its tier; 0 is the highest.
    pub tier: Tier,
    /// Deadline of the first piece.
    pub first_deadline: Instant,
    /// Deadline of the complete answer.
    pub answer_deadline: Instant,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Maximum length of the answer, in tokens.
    pub max_tokens: u32,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Number of earlier preemptions.
    pub preemptions: u32,
}

impl QueueRequest {
    /// The properties that predict the request's service time.
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

/// The outcome of offering a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It was queued.
    Queued,
    /// It was refused and did not run.
    Refused(Rejection),
}

/// Why a request was refused, and when to retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rejection {
    /// The reason.
    pub reason: Refusal,
    /// Time after which a retry at this server may succeed.
    pub retry_after: Duration,
}

/// Sort key of a waiting request: by deadline, then by arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct DeadlineKey {
    /// The deadline; the arrival time under the FIFO policy.
    pub(super) deadline: Instant,
    /// Sequence number, in order of arrival.
    pub(super) seq: u64,
}

/// A waiting request.
#[derive(Debug)]
pub(super) struct QueuedRequest {
    pub(super) request: QueueRequest,
    pub(super) key: DeadlineKey,
    /// The tier that it is queued in.
    pub(super) tier: Tier,
    /// The flow (workspace) that it is queued in.
    pub(super) flow: Rc<str>,
    /// Expected slot time, in microseconds.
    pub(super) cost_us: u64,
    /// Latest start at which the targets can still be met.
    pub(super) latest_start: Instant,
    /// Admitted despite the estimate, to get a new measurement of its class.
    pub(super) probe: bool,
    /// The bucket in which its deadline is counted.
    pub(super) bucket: Bucket,
}

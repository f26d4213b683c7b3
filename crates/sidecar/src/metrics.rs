//! What a sidecar counts; see docs/operators/bursts.md. Labels are tier and
//! reason only, as names of classes and workspaces are without bound.

use base::ids::Tier;
use base::reason::Refusal;
use metrics::{counter, gauge};
use policy::queue::QueueStatus;

use crate::orders::ReconcileOutcome;
use crate::run::StreamFault;
use crate::state::DrainOutcome;

/// Requests that the queue refused.
const REFUSALS: &str = "pimentocart_queue_refusals_total";

/// Requests that started.
const STARTS: &str = "pimentocart_queue_starts_total";

/// Requests that started by the guaranteed share.
const GUARANTEED: &str = "pimentocart_queue_guaranteed_total";

/// Runs stopped for a higher tier.
const PREEMPTIONS: &str = "pimentocart_queue_preemptions_total";

/// Holds that ran out before a start came.
const LAPSES: &str = "pimentocart_queue_lapses_total";

/// Runs stopped because their entry is gone, by tier.
const ABANDONED: &str = "pimentocart_queue_abandoned_total";

/// Counts a refusal.
pub(crate) fn refused(tier: Tier, reason: Refusal) {
    counter!(REFUSALS, "tier" => tier.to_string(), "reason" => reason.as_str()).increment(1);
}

/// Counts a start.
pub(crate) fn started(tier: Tier, guaranteed: bool) {
    counter!(STARTS, "tier" => tier.to_string()).increment(1);
    if guaranteed {
        counter!(GUARANTEED, "tier" => tier.to_string()).increment(1);
    }
}

/// Counts a run stopped for a higher tier.
pub(crate) fn preempted(tier: Tier) {
    counter!(PREEMPTIONS, "tier" => tier.to_string()).increment(1);
}

/// Counts a hold that ran out.
pub(crate) fn lapsed(tier: Tier) {
    counter!(LAPSES, "tier" => tier.to_string()).increment(1);
}

/// Counts a run stopped because its entry is gone.
pub(crate) fn abandoned(tier: Tier) {
    counter!(ABANDONED, "tier" => tier.to_string()).increment(1);
}

/// Shows how the queue stands; `kept` is the number of slots kept free.
pub(crate) fn queue_status(status: &QueueStatus, reserved: usize) {
    gauge!("pimentocart_queue_waiting").set(status.waiting as f64);
    gauge!("pimentocart_queue_busy").set(status.busy as f64);
    gauge!("pimentocart_queue_wait_seconds").set(status.wait_us as f64 / 1e6);
    gauge!("pimentocart_queue_headroom").set(reserved as f64);
}

/// Counts a drain.
pub(crate) fn drained(drained: DrainOutcome) {
    let outcome = match drained {
        DrainOutcome::Completed => "whole",
        DrainOutcome::TimedOut => "cut_off",
    };
    counter!("pimentocart_drains_total", "outcome" => outcome).increment(1);
}

/// Counts an attempt to resume an engine's stream, by its cause.
pub(crate) fn resume_attempt(fault: StreamFault) {
    counter!("pimentocart_engine_resumes_total", "cause" => fault.as_str()).increment(1);
}

/// Counts a token that came a second time and was dropped.
pub(crate) fn duplicate_token() {
    counter!("pimentocart_engine_duplicates_total").increment(1);
}

/// Counts a time at which the backend server could not be reached any more.
pub(crate) fn backend_failure() {
    counter!("pimentocart_backend_failures_total").increment(1);
}

/// Counts a round of orders by what it came to.
pub(crate) fn reconciled(round: ReconcileOutcome) {
    counter!("pimentocart_orders_total", "outcome" => round.as_str()).increment(1);
}

/// Counts a wait for the weight store's permit.
pub(crate) fn permit_wait() {
    counter!("pimentocart_weight_waits_total").increment(1);
}

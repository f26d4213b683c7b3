//! The sidecar's metrics; see docs/operators/bursts.md. No label holds a class
//! or workspace, since the number of these names is unbounded.

use base::ids::Tier;
use base::reason::Refusal;
use metrics::{counter, gauge};
use policy::queue::QueueStatus;

use crate::orders::ReconcileOutcome;
use crate::run::StreamFault;
use crate::state::DrainOutcome;

/// Requests that were refused, by tier and reason.
const REFUSALS: &str = "pimentocart_queue_refusals_total";

/// Requests that started, by tier.
const STARTS: &str = "pimentocart_queue_starts_total";

/// Requests that started on the guaranteed share, by tier.
const GUARANTEED: &str = "pimentocart_queue_guaranteed_total";

/// Runs that were preempted for a higher tier, by tier.
const PREEMPTIONS: &str = "pimentocart_queue_preemptions_total";

/// Holds and leases that expired before the request started, by tier.
const EXPIRATIONS: &str = "pimentocart_queue_lapses_total";

/// Runs that were stopped because their entry is gone, by tier.
const ABANDONED: &str = "pimentocart_queue_abandoned_total";

/// Counts a refused request.
pub(crate) fn refused(tier: Tier, reason: Refusal) {
    counter!(REFUSALS, "tier" => tier.to_string(), "reason" => reason.as_str()).increment(1);
}

/// Counts a started request.
pub(crate) fn started(tier: Tier, guaranteed: bool) {
    counter!(STARTS, "tier" => tier.to_string()).increment(1);
    if guaranteed {
        counter!(GUARANTEED, "tier" => tier.to_string()).increment(1);
    }
}

/// Counts a preempted run.
pub(crate) fn preempted(tier: Tier) {
    counter!(PREEMPTIONS, "tier" => tier.to_string()).increment(1);
}

/// Counts a hold or lease that expired before the request started.
pub(crate) fn expired(tier: Tier) {
    counter!(EXPIRATIONS, "tier" => tier.to_string()).increment(1);
}

/// Counts a run that was stopped because its entry is gone.
pub(crate) fn abandoned(tier: Tier) {
    counter!(ABANDONED, "tier" => tier.to_string()).increment(1);
}

/// Sets the gauges of the queue; `reserved` is the number of slots kept free.
pub(crate) fn queue_status(status: &QueueStatus, reserved: usize) {
    gauge!("pimentocart_queue_waiting").set(status.waiting as f64);
    gauge!("pimentocart_queue_busy").set(status.busy as f64);
    gauge!("pimentocart_queue_wait_seconds").set(status.wait_us as f64 / 1e6);
    gauge!("pimentocart_queue_headroom").set(reserved as f64);
}

/// Counts a drain by its outcome.
pub(crate) fn drained(drain: DrainOutcome) {
    let outcome = match drain {
        DrainOutcome::Completed => "whole",
        DrainOutcome::TimedOut => "cut_off",
    };
    counter!("pimentocart_drains_total", "outcome" => outcome).increment(1);
}

/// Counts an attempt to resume an engine's stream, by its cause.
pub(crate) fn resume_attempt(fault: StreamFault) {
    counter!("pimentocart_engine_resumes_total", "cause" => fault.as_str()).increment(1);
}

/// Counts a duplicate token that was dropped.
pub(crate) fn duplicate_token() {
    counter!("pimentocart_engine_duplicates_total").increment(1);
}

/// Counts a transition of the backend server to unreachable.
pub(crate) fn backend_failure() {
    counter!("pimentocart_backend_failures_total").increment(1);
}

/// Counts a reconciliation of the engine by its outcome.
pub(crate) fn reconciled(outcome: ReconcileOutcome) {
    counter!("pimentocart_orders_total", "outcome" => outcome.as_str()).increment(1);
}

/// Counts a wait for a weight store permit.
pub(crate) fn permit_wait() {
    counter!("pimentocart_weight_waits_total").increment(1);
}

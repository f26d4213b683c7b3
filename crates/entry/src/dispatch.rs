//! Reserves a slot for a request, starts it there, and retries at another
//! server where that is allowed. See docs/DECISIONS/0202-retries.md.

use std::rc::Rc;
use std::time::Duration;

use base::ids::RequestId;
use base::reason::{Executed, Refusal, RetryReason};
use policy::placement::{PlacementRequest, ServerIndex};
use policy::retry::{FailedAttempt, RetryDecision};
use spdlog::debug;

use crate::error::RequestError;
use crate::request::Request;
use crate::reserve::{Rejection, Round};
use crate::start::{Run, StartStatus};
use crate::state::State;
use crate::{counters, idempotency};

/// The `Retry-After` of a refusal when no sidecar gave an estimate.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Maximum number of times that the fan-out doubles; it doubles after each failed
/// round of reservations. A reservation is cheap, and after two refusals a request
/// has little time left.
const MAX_FAN_OUT_DOUBLINGS: u32 = 2;

/// Number of retries of a call that are not charged to the budget after a server or
/// this entry was slow. They at most triple the reservations when all expire; with
/// one, 2 of 9 runs of the demo's rolling restart on a starved core used up the
/// budget.
const FREE_RETRIES: u32 = 2;

/// A request that was started at a sidecar.
pub struct Granted {
    /// The run at the sidecar.
    pub run: Run,
    /// The attempts that led to it.
    pub attempts: Attempts,
}

/// The attempts of one request so far.
#[derive(Debug, Default)]
pub struct Attempts {
    /// Sidecars that failed or refused the request; they are not asked again.
    excluded: Vec<ServerIndex>,
    /// Those of them that were only slow. They are asked again once no other
    /// is left.
    slow: Vec<ServerIndex>,
    /// Number of retries that were not charged to the budget because a server
    /// was slow.
    free_retries: u32,
    /// Number of reservation rounds that yielded no slot.
    rounds: u32,
    /// Whether an earlier run was started. The deadline of the first token no
    /// longer applies then to an answer that is delivered whole.
    started: bool,
    /// Whether any attempt ran, as far as is known.
    ran: Option<Executed>,
}

impl Attempts {
    /// Records whether an attempt ran or may have run.
    pub fn record(&mut self, ran: Executed) {
        if ran != Executed::No && self.ran != Some(Executed::Partial) {
            self.ran = Some(ran);
        }
    }

    /// Excludes a sidecar, for good or until no other is left.
    fn exclude(&mut self, server: ServerIndex, cause: RetryReason) {
        self.excluded.push(server);
        if was_slow(cause) {
            self.slow.push(server);
        }
    }

    /// Whether the request can be placed at another server than `server` now.
    #[must_use]
    pub fn has_other(&self, state: &State, request: &Request, server: ServerIndex) -> bool {
        let mut excluded = self.excluded.clone();
        excluded.push(server);
        let placement = state.placement.borrow();
        placement.has_usable(state.clock.now(), &request.target, &excluded)
    }

    /// Merges the error of the last attempt with what earlier attempts ran. A
    /// request that was preempted or lost at one server and then refused by the
    /// next did run, and the caller must not be told that it did not.
    #[must_use]
    pub fn final_error(&self, error: RequestError) -> RequestError {
        let ran = match error.ran {
            Executed::No => self.ran.unwrap_or(Executed::No),
            ran => ran,
        };
        RequestError { ran, ..error }
    }
}

/// A failed attempt, with the error for the caller in case it is not retried.
pub struct AttemptFailure {
    /// The cause of the failure and whether the request may have run.
    pub attempt: FailedAttempt,
    /// The error to return if there is no retry.
    pub error: RequestError,
}

/// Reserves a slot and starts the request there.
///
/// # Errors
///
/// Returns the error for the caller when the request could not be started.
pub async fn grant(state: &Rc<State>, request: &Request) -> Result<Granted, RequestError> {
    let mut attempts = Attempts::default();
    match place(state, request, &mut attempts, None).await {
        Ok(run) => Ok(Granted { run, attempts }),
        Err(error) => Err(attempts.final_error(error)),
    }
}

/// Starts the request again after its run at `server` failed.
///
/// # Errors
///
/// Returns the error for the caller when the request must not or cannot be
/// retried.
pub async fn retry(
    state: &Rc<State>,
    request: &Request,
    mut attempts: Attempts,
    server: ServerIndex,
    failure: AttemptFailure,
) -> Result<Granted, RequestError> {
    attempts.excluded.push(server);
    attempts.started = true;
    attempts.record(failure.attempt.ran);
    match place(state, request, &mut attempts, Some(failure)).await {
        Ok(run) => Ok(Granted { run, attempts }),
        Err(error) => Err(attempts.final_error(error)),
    }
}

async fn place(
    state: &Rc<State>,
    request: &Request,
    attempts: &mut Attempts,
    mut failure: Option<AttemptFailure>,
) -> Result<Run, RequestError> {
    let mut ticket = request.ticket;
    loop {
        let mut chosen = choose(state, request, attempts);
        let none_left = chosen.is_empty();
        if none_left && !attempts.slow.is_empty() {
            let slow = std::mem::take(&mut attempts.slow);
            attempts.excluded.retain(|server| !slow.contains(server));
            chosen = choose(state, request, attempts);
        }
        if let Some(last) = failure.take() {
            log_failure(request, &last);
            if chosen.is_empty() {
                return Err(last.error);
            }
            let pause = none_left.then(|| backoff_left(state, &chosen));
            check_retry(state, request, attempts, last, pause)?;
            if let Some(pause) = pause {
                tokio::time::sleep(pause).await;
            }
            // Each attempt gets its own ticket, because the previous one is
            // cancelled at every sidecar that was asked.
            ticket = RequestId::random();
        } else if chosen.is_empty() {
            return Err(no_server());
        }

        let ttft_budget = attempts.started.then(|| {
            let left = time_left(state, request, attempts);
            left.saturating_sub(time_needed(state, request, attempts))
        });
        let round = Round::new(state, request, ticket, &chosen);
        let run = match round.run(ttft_budget).await {
            Ok(run) => run,
            Err(rejections) => {
                // A sidecar without a rejection was removed meanwhile.
                for server in chosen {
                    let rejection = rejections.iter().find(|r| r.index == server);
                    let cause = rejection.map_or(RetryReason::Unreachable, |r| r.cause);
                    attempts.exclude(server, cause);
                }
                attempts.rounds += 1;
                failure = Some(round_failure(&rejections));
                continue;
            }
        };
        // Nothing below waits before the start is sent, so the claim is
        // checked here.
        if !request.may_start(state.clock.now()) {
            return Err(idempotency::claim_expired());
        }
        let has_other = attempts.has_other(state, request, run.server.index);
        match run.start(request, has_other).await {
            StartStatus::Running => {
                let share = state.shares().retry_ratio;
                state.retry_budget.borrow_mut().earn(&request.class, share);
                counters::count_grant(request.class_spec.tier);
                return Ok(run);
            }
            status => {
                let last = start_failure(status);
                attempts.exclude(run.server.index, last.attempt.cause);
                attempts.record(last.attempt.ran);
                failure = Some(last);
            }
        }
    }
}

fn choose(state: &State, request: &Request, attempts: &Attempts) -> Vec<ServerIndex> {
    let placement_request = PlacementRequest {
        target: &request.target,
        prefix_hash: request.prefix_hash,
        excluded: &attempts.excluded,
        fan_out: state.settings.fan_out << attempts.rounds.min(MAX_FAN_OUT_DOUBLINGS),
    };
    let now = state.clock.now();
    state.placement.borrow_mut().choose(now, &placement_request)
}

/// Time until one of the servers can be connected to. A call that only they can
/// serve would otherwise fail at once, and all calls of a service with it.
fn backoff_left(state: &State, servers: &[ServerIndex]) -> Duration {
    let servers = servers.iter().filter_map(|index| state.server(*index));
    let left = servers.map(|server| server.peer.backoff_left()).min();
    left.unwrap_or_default()
}

/// Whether a sidecar may well grant the request if it is asked again: it or the
/// entry was slow for a moment, or it just restarted. The request did not run there.
fn was_slow(cause: RetryReason) -> bool {
    match cause {
        RetryReason::Silent | RetryReason::ReservationExpired | RetryReason::SidecarRestarted => {
            true
        }
        RetryReason::Unreachable
        | RetryReason::Refused
        | RetryReason::BackendFailed
        | RetryReason::Unknown
        | RetryReason::Draining
        | RetryReason::Preempted => false,
    }
}

fn log_failure(request: &Request, failure: &AttemptFailure) {
    let ticket = request.ticket.to_string();
    debug!("attempt failed", kv: { ticket = ticket.as_str(), cause = failure.attempt.cause.as_str(), reason = failure.error.reason.as_str() });
}

/// Checks whether a failed attempt may be retried; otherwise returns the error
/// for the caller. `pause` is given if only servers that were slow before can be
/// asked, and is the delay before that.
fn check_retry(
    state: &State,
    request: &Request,
    attempts: &mut Attempts,
    failure: AttemptFailure,
    pause: Option<Duration>,
) -> Result<(), RequestError> {
    let AttemptFailure { attempt, error } = failure;
    let left = time_left(state, request, attempts);
    let needed = time_needed(state, request, attempts);
    let needed = needed + pause.unwrap_or_default();
    if attempt.decide(request.repeatable, left, needed) != RetryDecision::Again {
        return Err(error);
    }

    // A pause of one process makes all of its reservations expire at once, more
    // than the budget covers.
    let expired = attempt.cause == RetryReason::ReservationExpired;
    let free = (expired || pause.is_some()) && attempts.free_retries < FREE_RETRIES;
    attempts.free_retries += u32::from(free);

    // These retries do not count against the budget: a draining sidecar is not
    // asked again and a request is preempted at most once, so neither cause can
    // amplify the load.
    let exempt = matches!(
        attempt.cause,
        RetryReason::Draining | RetryReason::Preempted
    );
    if !(exempt || free || state.retry_budget.borrow_mut().take(&request.class)) {
        return Err(match error.reason {
            Refusal::NoServer => RequestError {
                reason: Refusal::RetryBudget,
                ..error
            },
            _ => error,
        });
    }
    base::telemetry::count_retry(attempt.cause);
    Ok(())
}

/// Time until the deadline of the first token, or until the deadline of the
/// whole answer if a run was lost and the answer is not streamed.
fn time_left(state: &State, request: &Request, attempts: &Attempts) -> Duration {
    let now = state.clock.now();
    let waited = now.saturating_duration_since(request.arrived);
    let targets = &request.class_spec.targets;
    if attempts.started && !request.stream {
        return targets.full_answer.0.saturating_sub(waited);
    }
    targets.first_token.0.saturating_sub(waited)
}

/// Estimated time that another attempt needs to meet that deadline.
fn time_needed(state: &State, request: &Request, attempts: &Attempts) -> Duration {
    let now = state.clock.now();
    let median_latency = state
        .placement
        .borrow_mut()
        .median_pace(now, &request.target);
    if attempts.started && !request.stream {
        let lengths = state.answer_lengths.borrow();
        return median_latency
            .completion_time(lengths.expected_tokens(&request.class, request.max_tokens));
    }
    median_latency.first_token
}

fn no_server() -> RequestError {
    RequestError::not_run(Refusal::NoServer, "no backend server can take it")
        .with_retry_after(DEFAULT_RETRY_AFTER)
}

/// The failure of a round in which no sidecar granted a slot. A refusal with a
/// reason takes precedence over other rejections.
fn round_failure(rejections: &[Rejection]) -> AttemptFailure {
    let rejection = rejections
        .iter()
        .filter(|r| r.cause == RetryReason::Refused)
        .find(|r| r.refusal.is_some())
        .or(rejections.first());
    let cause = rejection.map_or(RetryReason::Unreachable, |r| r.cause);
    let after = rejections.iter().filter_map(|r| r.retry_after).min();

    let reason = rejection.and_then(|r| r.refusal);
    let error = match reason {
        None | Some(Refusal::Draining) => no_server(),
        Some(reason) => RequestError::not_run(reason, "no backend server can take it in time"),
    };
    AttemptFailure {
        attempt: FailedAttempt {
            cause,
            ran: Executed::No,
            delivered: false,
        },
        error: error.with_retry_after(after.unwrap_or(DEFAULT_RETRY_AFTER)),
    }
}

/// The failure of a start after which the request is not, or may not be,
/// running.
fn start_failure(status: StartStatus) -> AttemptFailure {
    let (cause, ran, error) = match status {
        StartStatus::NotRun(cause) => (cause, Executed::No, no_server()),
        StartStatus::Running | StartStatus::Unknown => {
            (RetryReason::Unknown, Executed::Unknown, outcome_unknown())
        }
    };
    AttemptFailure {
        attempt: FailedAttempt {
            cause,
            ran,
            delivered: false,
        },
        error,
    }
}

/// The error when it is unknown whether the request ran.
pub(crate) fn outcome_unknown() -> RequestError {
    RequestError {
        reason: Refusal::OutcomeUnknown,
        ran: Executed::Unknown,
        retry_after: None,
        hint: "the backend server's host became unreachable".to_owned(),
    }
}

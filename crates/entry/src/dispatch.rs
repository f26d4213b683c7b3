//! Getting a request to run, again at another server if need be. See
//! docs/DECISIONS/0202-retries.md.

use std::rc::Rc;
use std::time::Duration;

use base::ids::RequestId;
use base::reason::{Executed, Refusal, RetryReason};
use policy::placement::{PlacementRequest, ServerIndex};
use policy::retry::{FailedAttempt, RetryDecision};

use crate::error::RequestError;
use crate::request::Request;
use crate::reserve::{Rejection, Round};
use crate::start::{Run, StartStatus};
use crate::state::State;
use crate::{counters, idempotency};

/// When to come back if no sidecar said.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Rounds of reservations that each ask twice as many sidecars as the last.
/// Asking costs little, and a request that was refused twice has little time.
const ROUNDS_WIDER: u32 = 2;

/// A request that runs at a sidecar.
pub struct Granted {
    /// Its run.
    pub run: Run,
    /// The tries so far.
    pub attempts: Attempts,
}

/// The tries of one request so far.
#[derive(Debug, Default)]
pub struct Attempts {
    /// Sidecars that failed or refused it.
    excluded: Vec<ServerIndex>,
    /// Rounds of reservations that gave no slot.
    rounds: u32,
    /// Whether any answer was begun; its first token is late by then.
    started: bool,
    /// Whether any of them ran, as far as known.
    ran: Option<Executed>,
}

impl Attempts {
    /// Notes that a try ran or may have run.
    pub fn record(&mut self, ran: Executed) {
        if ran != Executed::No && self.ran != Some(Executed::Partial) {
            self.ran = Some(ran);
        }
    }

    /// What the caller is told after the last try. A request that was stopped
    /// or lost at one server and then refused by the next did run: its caller
    /// would otherwise hear "not run" while its tokens were made.
    #[must_use]
    pub fn final_error(&self, error: RequestError) -> RequestError {
        let ran = match error.ran {
            Executed::No => self.ran.unwrap_or(Executed::No),
            ran => ran,
        };
        RequestError { ran, ..error }
    }
}

/// A try that came to nothing, and what its caller is told if it is the last.
pub struct AttemptFailure {
    /// What is known about it.
    pub attempt: FailedAttempt,
    /// The refusal.
    pub error: RequestError,
}

/// Gets a slot and starts the request there.
///
/// # Errors
///
/// Returns the refusal to answer with when the request could not be started.
pub async fn grant(state: &Rc<State>, request: &Request) -> Result<Granted, RequestError> {
    let mut attempts = Attempts::default();
    match place(state, request, &mut attempts, None).await {
        Ok(run) => Ok(Granted { run, attempts }),
        Err(error) => Err(attempts.final_error(error)),
    }
}

/// Gets the request to run again after its run at `server` failed.
///
/// # Errors
///
/// Returns the refusal to answer with when it must not or cannot run again.
pub async fn retry(
    state: &Rc<State>,
    request: &Request,
    mut attempts: Attempts,
    server: ServerIndex,
    failed: AttemptFailure,
) -> Result<Granted, RequestError> {
    attempts.excluded.push(server);
    attempts.started = true;
    attempts.record(failed.attempt.ran);
    match place(state, request, &mut attempts, Some(failed)).await {
        Ok(run) => Ok(Granted { run, attempts }),
        Err(error) => Err(attempts.final_error(error)),
    }
}

async fn place(
    state: &Rc<State>,
    request: &Request,
    attempts: &mut Attempts,
    mut failed: Option<AttemptFailure>,
) -> Result<Run, RequestError> {
    let mut ticket = request.ticket;
    loop {
        let chosen = choose(state, request, attempts);
        if let Some(last) = failed.take() {
            check_retry(state, request, attempts, last, chosen.is_empty())?;
            // The last try's ticket is cancelled wherever it was.
            ticket = RequestId::random();
        } else if chosen.is_empty() {
            return Err(no_server());
        }

        let left = attempts.started.then(|| {
            let left = time_left(state, request, attempts);
            left.saturating_sub(time_needed(state, request, attempts))
        });
        let round = Round::new(state, request, ticket, &chosen);
        let run = match round.run(left).await {
            Ok(run) => run,
            Err(rejections) => {
                attempts.excluded.extend(&chosen);
                attempts.rounds += 1;
                failed = Some(round_failure(&rejections));
                continue;
            }
        };
        // The last wait before the start is over.
        if !request.may_start(state.clock.now()) {
            return Err(idempotency::claim_expired());
        }
        match run.start(request).await {
            StartStatus::Running => {
                let share = state.shares().retries;
                state.retry_budget.borrow_mut().earn(&request.class, share);
                counters::count_grant(request.class_spec.tier);
                return Ok(run);
            }
            outcome => {
                attempts.excluded.push(run.server.index);
                let last = start_failure(outcome);
                attempts.record(last.attempt.ran);
                failed = Some(last);
            }
        }
    }
}

fn choose(state: &State, request: &Request, attempts: &Attempts) -> Vec<ServerIndex> {
    let want = PlacementRequest {
        target: &request.target,
        prefix_hash: request.prefix_hash,
        excluded: &attempts.excluded,
        fan_out: state.settings.fan_out << attempts.rounds.min(ROUNDS_WIDER),
    };
    let now = state.clock.now();
    state.placement.borrow_mut().choose(now, &want)
}

/// Whether to try again; an error is the caller's answer.
fn check_retry(
    state: &State,
    request: &Request,
    attempts: &Attempts,
    failed: AttemptFailure,
    alone: bool,
) -> Result<(), RequestError> {
    let AttemptFailure { attempt, error } = failed;
    let left = time_left(state, request, attempts);
    let need = time_needed(state, request, attempts);
    if alone || attempt.decide(request.repeatable, left, need) != RetryDecision::Again {
        return Err(error);
    }

    // A draining sidecar is not asked again, and a request is preempted once
    // at the most, so neither kind of retry can multiply.
    let free = matches!(
        attempt.cause,
        RetryReason::Draining | RetryReason::Preempted
    );
    if !free && !state.retry_budget.borrow_mut().take(&request.class) {
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

/// Time until the first piece is due; once an answer was begun and lost, only
/// the end counts.
fn time_left(state: &State, request: &Request, attempts: &Attempts) -> Duration {
    let now = state.clock.now();
    let waited = now.saturating_duration_since(request.arrived);
    let targets = &request.class_spec.targets;
    if attempts.started && !request.stream {
        return targets.whole.0.saturating_sub(waited);
    }
    targets.first_token.0.saturating_sub(waited)
}

/// What another try takes at least, until the piece that is due.
fn time_needed(state: &State, request: &Request, attempts: &Attempts) -> Duration {
    let now = state.clock.now();
    let usual = state
        .placement
        .borrow_mut()
        .median_pace(now, &request.target);
    if attempts.started && !request.stream {
        let lengths = state.answer_lengths.borrow();
        return usual.completion_time(lengths.expected_tokens(&request.class, request.max_tokens));
    }
    usual.first_token
}

fn no_server() -> RequestError {
    RequestError::not_run(Refusal::NoServer, "no backend server can take it")
        .with_retry_after(RETRY_AFTER)
}

/// A round in which no sidecar gave a slot. The refusal that tells the caller
/// most stands for all.
fn round_failure(rejections: &[Rejection]) -> AttemptFailure {
    let telling = rejections
        .iter()
        .filter(|r| r.cause == RetryReason::Refused)
        .find(|r| r.refusal.is_some())
        .or(rejections.first());
    let cause = telling.map_or(RetryReason::Unreachable, |r| r.cause);
    let after = rejections.iter().filter_map(|r| r.retry_after).min();

    let reason = telling.and_then(|r| r.refusal);
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
        error: error.with_retry_after(after.unwrap_or(RETRY_AFTER)),
    }
}

/// A start after which the request does not run, or may not.
fn start_failure(outcome: StartStatus) -> AttemptFailure {
    let (cause, ran, error) = match outcome {
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

/// The answer when nobody can tell whether the request ran.
pub(crate) fn outcome_unknown() -> RequestError {
    RequestError {
        reason: Refusal::OutcomeUnknown,
        ran: Executed::Unknown,
        retry_after: None,
        hint: "the backend server's host became unreachable".to_owned(),
    }
}

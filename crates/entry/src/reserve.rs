//! Reserves a slot at several sidecars at once and takes the one with the
//! earliest expected completion. See docs/DECISIONS/0002-late-binding.md.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use base::ids::{Incarnation, RequestId};
use base::reason::{Refusal, RetryReason};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use policy::load::TokenLatency;
use policy::offer::{self, Offer, RequestSize};
use policy::placement::ServerIndex;
use spdlog::debug;
use tokio::time::Instant;
use wire::peer::Error;
use wire::{ReserveOutcome, ReserveRequest};

use crate::counters;
use crate::request::Request;
use crate::start::Run;
use crate::state::{Server, State};

/// Number of times that one reservation is resent over a new connection. The
/// first failure may be due to the connection alone; a second one is attributed
/// to the sidecar.
const MAX_REDIALS: u32 = 1;

/// Why a sidecar did not grant a slot.
#[derive(Debug, Clone, Copy)]
pub struct Rejection {
    /// The sidecar.
    pub index: ServerIndex,
    /// The reason recorded for a retry at another sidecar.
    pub cause: RetryReason,
    /// The sidecar's reason, if it replied.
    pub refusal: Option<Refusal>,
    /// Delay after which the sidecar may accept the request.
    pub retry_after: Option<Duration>,
}

/// One round of reservations for one ticket.
pub struct Round<'a> {
    state: &'a Rc<State>,
    request: &'a Request,
    ticket: RequestId,
    size: RequestSize,
    median_latency: TokenLatency,
    reservations: Vec<Reservation>,
}

/// A reservation at one sidecar. It is cancelled if dropped while open. When the
/// caller disconnects or another sidecar is chosen, the slot would otherwise
/// stay unused until its lease expires.
struct Reservation {
    state: Rc<State>,
    server: Rc<Server>,
    ticket: RequestId,
    /// Whether the sidecar may hold or queue the ticket.
    open: Cell<bool>,
    /// The sidecar's last estimate of the queueing time.
    wait: Cell<Option<Duration>>,
}

/// A slot that a sidecar holds for the ticket.
#[derive(Clone, Copy)]
struct HeldSlot {
    reservation: usize,
    offer: Offer,
    incarnation: Incarnation,
}

impl<'a> Round<'a> {
    /// Prepares reservations at the `chosen` sidecars.
    pub fn new(
        state: &'a Rc<State>,
        request: &'a Request,
        ticket: RequestId,
        chosen: &[ServerIndex],
    ) -> Self {
        let now = state.clock.now();
        let lengths = state.answer_lengths.borrow();
        let servers = chosen.iter().filter_map(|i| state.server(*i));
        Self {
            state,
            request,
            ticket,
            size: RequestSize {
                prompt_tokens: request.prompt_tokens,
                answer_tokens: lengths.expected_tokens(&request.class, request.max_tokens),
            },
            median_latency: state
                .placement
                .borrow_mut()
                .median_pace(now, &request.target),
            reservations: servers
                .map(|server| Reservation {
                    state: Rc::clone(state),
                    server,
                    ticket,
                    open: Cell::new(false),
                    wait: Cell::new(None),
                })
                .collect(),
        }
    }

    /// Reserves at all chosen sidecars until one slot is taken. `ttft_budget`, if
    /// given, replaces the request's own time budget until the first token.
    ///
    /// # Errors
    ///
    /// Returns why each sidecar granted none.
    pub async fn run(mut self, ttft_budget: Option<Duration>) -> Result<Run, Vec<Rejection>> {
        let (held, rejections) = self.best_slot(ttft_budget).await;
        let Some(held) = held else {
            return Err(rejections);
        };
        let winner = self.reservations.swap_remove(held.reservation);
        winner.open.set(false);
        Ok(Run::new(
            Rc::clone(self.state),
            Rc::clone(&winner.server),
            self.ticket,
            held.incarnation,
        ))
    }

    /// Waits for the best slot, or until all sidecars have rejected the request.
    async fn best_slot(&self, ttft_budget: Option<Duration>) -> (Option<HeldSlot>, Vec<Rejection>) {
        let mut rejections = Vec::new();
        let mut held: Option<HeldSlot> = None;
        let mut until = None;
        let pending = (0..self.reservations.len())
            .map(|i| async move { (i, self.reserve_at(i, ttft_budget).await) });
        let mut pending: FuturesUnordered<_> = pending.collect();

        loop {
            let next = match until {
                None => pending.next().await,
                Some(until) => match tokio::time::timeout_at(until, pending.next()).await {
                    Ok(next) => next,
                    Err(_) => {
                        counters::count_grace_period(false);
                        return (held, rejections);
                    }
                },
            };
            match next {
                None => return (held, rejections),
                Some((_, Err(rejection))) => rejections.push(rejection),
                Some((reservation, Ok((offer, incarnation)))) => {
                    let new = HeldSlot {
                        reservation,
                        offer,
                        incarnation,
                    };
                    if held.is_some() {
                        counters::count_grace_period(true);
                    }
                    held = Some(held.map_or(new, |old| self.earlier_finish(old, new)));
                }
            }

            // Each reply may change how long it is worth waiting for a better
            // slot.
            let Some(best) = held else {
                continue;
            };
            let grace = self.grace_period(best, &rejections);
            if grace.is_zero() {
                return (held, rejections);
            }
            let deadline = Instant::now() + grace;
            until = Some(until.map_or(deadline, |u: Instant| u.min(deadline)));
        }
    }

    /// Returns the slot with the earlier expected completion.
    fn earlier_finish(&self, old: HeldSlot, new: HeldSlot) -> HeldSlot {
        let completion =
            |held: &HeldSlot| held.offer.completion_time(self.size, self.median_latency);
        if completion(&new) < completion(&old) {
            new
        } else {
            old
        }
    }

    /// How long to hold the best slot while waiting for a better one.
    fn grace_period(&self, best: HeldSlot, rejections: &[Rejection]) -> Duration {
        let limit = self.state.settings.routing.grace_period.0;
        let others = self
            .reservations
            .iter()
            .enumerate()
            .filter_map(|(i, reservation)| {
                let rejected = rejections
                    .iter()
                    .any(|r| r.index == reservation.server.index);
                (i != best.reservation && !rejected)
                    .then(|| reservation.expected_offer())
                    .flatten()
            });
        offer::grace_period(best.offer, others, self.size, self.median_latency, limit)
    }

    /// Repeats the reservation at one sidecar until it holds a slot or rejects
    /// the request.
    async fn reserve_at(
        &self,
        reservation: usize,
        ttft_budget: Option<Duration>,
    ) -> Result<(Offer, Incarnation), Rejection> {
        let reservation = &self.reservations[reservation];
        let mut redials = 0;
        // The first reservation is not a long poll. It returns the estimate
        // immediately, and an unresponsive connection is detected after the reply
        // margin alone.
        let mut hold = Duration::ZERO;
        loop {
            let message = self.reserve_message(hold, ttft_budget);
            reservation.open.set(true);
            let result = reservation
                .server
                .peer
                .reserve(self.state.call_header(), message)
                .await;
            let reply = match self.state.record_result(&reservation.server, result) {
                Ok(reply) => reply,
                Err(e) => {
                    debug!("slot reservation failed", kv: { error = e.to_string().as_str() });
                    let cause = retry_reason(&e);
                    if redials >= MAX_REDIALS || e.never_sent() {
                        reservation.open.set(!e.never_sent());
                        return Err(reservation.rejection(cause));
                    }
                    redials += 1;
                    base::telemetry::count_retry(cause);
                    continue;
                }
            };

            match reply.body {
                ReserveOutcome::Ready {
                    ttft_us,
                    token_us,
                    cached_tokens,
                    ..
                } => {
                    let offer = reservation.offer(ttft_us, token_us, cached_tokens);
                    return Ok((offer, reply.incarnation));
                }
                ReserveOutcome::AlreadyStarted => {
                    return Ok((reservation.offer(0, 0, 0), reply.incarnation));
                }
                ReserveOutcome::Waiting { estimate_us } => {
                    reservation
                        .wait
                        .set(Some(Duration::from_micros(estimate_us)));
                    hold = self.state.settings.routing.poll_hold.0;
                }
                ReserveOutcome::Refused {
                    reason,
                    retry_after_ms,
                } => {
                    reservation.open.set(false);
                    return Err(reservation.refused(reason, retry_after_ms));
                }
            }
        }
    }

    fn reserve_message(&self, hold: Duration, ttft_budget: Option<Duration>) -> ReserveRequest {
        let mut message = self.request.reserve_request(self.state.clock.now(), hold);
        message.ticket = self.ticket;
        if let Some(left) = ttft_budget {
            message.ttft_budget_us = u64::try_from(left.as_micros()).unwrap_or(u64::MAX);
        }
        message
    }
}

impl Reservation {
    fn rejection(&self, cause: RetryReason) -> Rejection {
        Rejection {
            index: self.server.index,
            cause,
            refusal: None,
            retry_after: None,
        }
    }

    fn refused(&self, reason: Refusal, retry_after_ms: u32) -> Rejection {
        let cause = match reason {
            // A sidecar whose backend server is unreachable rejects every new
            // request, like a draining one.
            Refusal::Draining | Refusal::BackendFailed => RetryReason::Draining,
            _ => RetryReason::Refused,
        };
        let after = Duration::from_millis(u64::from(retry_after_ms));
        Rejection {
            refusal: Some(reason),
            retry_after: Some(after).filter(|after| !after.is_zero()),
            ..self.rejection(cause)
        }
    }

    /// The offer for a held slot, with the token latency that the sidecar
    /// estimated for this request or, if it gave none, that of its load report.
    fn offer(&self, first_us: u32, token_us: u32, cached_tokens: u32) -> Offer {
        let us = |us: u32| Duration::from_micros(u64::from(us));
        let reported = TokenLatency {
            first_token: us(first_us),
            per_token: us(token_us),
        };
        let load = self.state.placement.borrow().load(self.server.index);
        Offer {
            wait: Duration::ZERO,
            latency: if reported.is_measured() {
                reported
            } else {
                load.latency
            },
            cached_tokens,
        }
    }

    /// The offer expected from a sidecar that has not replied with a slot yet;
    /// `None` if its wait is unknown.
    fn expected_offer(&self) -> Option<Offer> {
        let load = self.state.placement.borrow().load(self.server.index);
        let reported = self.wait.get().filter(|wait| !wait.is_zero());
        let wait = match load.full() {
            // Without an estimate, the wait at a full server has no bound.
            true => reported.or(Some(load.wait).filter(|wait| !wait.is_zero()))?,
            false => Duration::ZERO,
        };
        Some(Offer {
            wait,
            latency: load.latency,
            cached_tokens: 0,
        })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if !self.open.get() {
            return;
        }
        counters::count_cancelled_hedge();
        let (state, server, ticket) =
            (Rc::clone(&self.state), Rc::clone(&self.server), self.ticket);
        actix_rt::spawn(async move {
            // If the cancel fails, the slot is freed when its lease expires.
            let result = server.peer.cancel(state.call_header(), ticket).await;
            let _ = state.record_result(&server, result);
        });
    }
}

/// The retry reason for a failed call.
pub(crate) fn retry_reason(error: &Error) -> RetryReason {
    match error {
        Error::Dial { .. } if !error.timed_out() => RetryReason::Unreachable,
        Error::Dial { .. } | Error::Call { .. } | Error::Silent { .. } => RetryReason::Silent,
    }
}

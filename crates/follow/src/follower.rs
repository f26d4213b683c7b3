//! The actor that reads the bundle stream and appends checkpoints.

use std::rc::Rc;
use std::time::{Duration, Instant};

use actix::{Actor, ActorFutureExt, AsyncContext, Context, Handler, Message, WrapFuture};
use base::clock::Clock;
use base::ids::{BundleSequence, Offset};
use bundle::{RecordError, Verdict};
use bytes::Bytes;
use clients::log::{Error, LogClient, Page};
use spdlog::{debug, info, warn};

use crate::settings::Settings;
use crate::state::BundleState;
use crate::{STREAM, transfer};

/// Maximum number of records per read.
const PAGE_RECORDS: usize = 500;

/// Initial backoff after a failed read.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);

/// A gap is skipped if no checkpoint closes it within this multiple of the
/// maximum checkpoint delay, which gives every daemon time to append one.
const GAP_DELAYS: u32 = 3;

/// Reads the bundle stream for one daemon. It is the only writer of the
/// daemon's [`BundleState`].
pub struct Follower {
    log: LogClient,
    settings: Settings,
    state: Rc<BundleState>,
    clock: Rc<dyn Clock>,
    /// Pause after the next failure.
    backoff: Duration,
    /// Whether the log was read to its end since the start.
    caught_up: bool,
    /// Time at which the newest checkpoint was appended, or the active version
    /// if there is none, in ms of the log's clock.
    checkpoint_ms: u64,
    /// Time at which the active version was appended, in ms of the log's clock.
    head_ms: u64,
    /// When to append a checkpoint, unless another daemon appends one first.
    checkpoint_due: Option<Instant>,
    /// Whether a checkpoint in the log lacks the active version.
    checkpoint_stale: bool,
    /// When to skip a gap that no checkpoint has closed.
    gap_deadline: Option<Instant>,
}

/// Message with a transfer from a peer; see [`BundleState::transfer_since`].
#[derive(Debug, Message)]
#[rtype(result = "Result<BundleSequence, transfer::Error>")]
pub struct ApplyTransfer(pub Bytes);

impl Follower {
    /// Creates a follower that updates `state`.
    #[must_use]
    pub fn new(settings: Settings, state: Rc<BundleState>, clock: Rc<dyn Clock>) -> Self {
        Self {
            log: LogClient::new(settings.log),
            settings,
            state,
            clock,
            backoff: FIRST_BACKOFF,
            caught_up: false,
            checkpoint_ms: 0,
            head_ms: 0,
            checkpoint_due: None,
            checkpoint_stale: false,
            gap_deadline: None,
        }
    }

    /// Starts a read; its completion starts the next one.
    fn read(&mut self, ctx: &mut Context<Self>) {
        let log = self.log.clone();
        let from = self.state.with_acceptor(|a| a.next_offset());
        let wait = self.poll_wait();
        let read = async move { log.read(STREAM, from, PAGE_RECORDS, wait).await };
        let then = read.into_actor(self).map(|page, actor, ctx| match page {
            Ok(page) => actor.apply_page(&page, ctx),
            Err(e) => actor.back_off(&e, ctx),
        });
        ctx.spawn(then);
    }

    /// Long-poll timeout of the next read, which ends at the next deadline.
    fn poll_wait(&self) -> Duration {
        let now = self.clock.now();
        let deadline = [self.checkpoint_due, self.gap_deadline]
            .into_iter()
            .flatten()
            .min();
        let left = deadline.map(|at| at.saturating_duration_since(now));
        left.map_or(self.settings.poll_timeout.0, |l| {
            l.min(self.settings.poll_timeout.0)
        })
    }

    /// Retries a failed read after an exponential backoff with jitter, which
    /// limits the load on the log and the daemon during an outage.
    fn back_off(&mut self, error: &Error, ctx: &mut Context<Self>) {
        debug!("log read failed", kv: { error = error.to_string().as_str() });
        self.state.set_log_reachable(false);
        let pause = self.backoff.mul_f64(rand::random_range(0.5..1.0));
        self.backoff = (self.backoff * 2).min(self.settings.max_backoff.0);
        ctx.run_later(pause, Self::read);
    }

    /// Evaluates the records of a page.
    fn apply_page(&mut self, page: &Page, ctx: &mut Context<Self>) {
        self.state.set_log_reachable(true);
        self.backoff = FIRST_BACKOFF;
        self.state
            .with_acceptor(|a| a.skip_expired(page.first_offset));
        for entry in &page.records {
            let verdict = self.state.apply_record(entry.offset, &entry.body);
            self.record_verdict(&verdict, entry.time_ms);
            // Reading continues at the offset after the last one that the
            // checkpoint's writer had processed, which may be lower.
            if matches!(verdict, Verdict::Adopted(_)) {
                break;
            }
        }

        // Before the end is reached for the first time, a later record may
        // replace the version found so far.
        let next = self.state.with_acceptor(|a| a.next_offset());
        if next >= page.end_offset {
            self.caught_up = true;
        }
        if self.caught_up && self.state.activate_head() {
            self.record_lag();
        }
        if next >= page.end_offset {
            self.skip_open_gap(page);
            self.plan_checkpoint(page);
        }
        if self.checkpoint_due.is_some_and(|at| at <= self.clock.now()) {
            return self.append_checkpoint(ctx);
        }
        self.read(ctx);
    }

    /// Counts and logs a verdict and updates the checkpoint times.
    fn record_verdict(&mut self, verdict: &Verdict, time_ms: u64) {
        metrics::counter!("pimentocart_bundle_records_total", "verdict" => verdict.as_str())
            .increment(1);
        match verdict {
            Verdict::Accepted(sequence) => {
                info!("bundle version accepted", kv: { sequence = sequence.0 });
                self.head_ms = time_ms;
                if self
                    .state
                    .with_acceptor(|a| a.newest_checkpoint())
                    .is_none()
                {
                    self.checkpoint_ms = time_ms;
                }
                self.checkpoint_stale = false;
            }
            Verdict::Adopted(sequence) => {
                info!("bundle version installed from checkpoint", kv: { sequence = sequence.0 });
                self.head_ms = time_ms;
                self.checkpoint_ms = time_ms;
                self.checkpoint_stale = false;
            }
            Verdict::Known => {
                self.checkpoint_ms = time_ms;
                self.checkpoint_stale = false;
            }
            Verdict::StaleCheckpoint => self.checkpoint_stale = true,
            // Expected when an append is retried after its reply was lost.
            Verdict::Refused(RecordError::Replayed) => debug!("replayed bundle record ignored"),
            Verdict::Conflict { .. } | Verdict::Refused(_) => {
                warn!("bundle record refused", kv: { verdict = verdict.as_str() });
            }
            Verdict::PartBuffered | Verdict::NotEvaluated | Verdict::Duplicate => {}
        }
    }

    /// Records the delay between the append and the activation of a version.
    fn record_lag(&self) {
        let lag = self.clock.wall_ms().saturating_sub(self.head_ms);
        let seconds = Duration::from_millis(lag).as_secs_f64();
        metrics::histogram!("pimentocart_bundle_in_force_seconds").record(seconds);
    }

    /// Skips a gap that no checkpoint has closed before the deadline.
    fn skip_open_gap(&mut self, page: &Page) {
        let has_open_gap = self
            .state
            .with_acceptor(|a| !a.is_contiguous() && a.head().is_some());
        if !has_open_gap {
            self.gap_deadline = None;
            return;
        }
        let now = self.clock.now();
        let gap_deadline = *self
            .gap_deadline
            .get_or_insert_with(|| now + self.settings.checkpoint_delay.0 * GAP_DELAYS);
        if gap_deadline <= now {
            warn!("gap in bundle stream skipped", kv: { first = page.first_offset.0 });
            self.state.with_acceptor(|a| a.skip_gap(page.first_offset));
            self.checkpoint_stale = true;
            self.gap_deadline = None;
        }
    }

    /// Decides whether the log needs a checkpoint, and when to append it.
    ///
    /// There is no leader. Each daemon waits for a random delay, and a
    /// checkpoint from another daemon in the meantime cancels its own.
    fn plan_checkpoint(&mut self, page: &Page) {
        let (usable, newest) = self.state.with_acceptor(|a| {
            (
                a.is_contiguous() && a.head().is_some(),
                a.newest_checkpoint(),
            )
        });
        let retained =
            newest.is_some_and(|(at, _)| at >= page.first_offset) || page.first_offset == Offset(0);
        let age = page.now_ms.saturating_sub(self.checkpoint_ms);
        let outdated = page.retention_ms > 0 && age > page.retention_ms / 2;
        let needed = usable && (self.checkpoint_stale || outdated || !retained);

        if !needed {
            self.checkpoint_due = None;
        } else if self.checkpoint_due.is_none() {
            let delay = self.settings.checkpoint_delay.0.mul_f64(rand::random());
            self.checkpoint_due = Some(self.clock.now() + delay);
        }
    }

    /// Appends a checkpoint and continues to read.
    fn append_checkpoint(&mut self, ctx: &mut Context<Self>) {
        self.checkpoint_due = None;
        let records = self.state.with_acceptor(|a| a.checkpoint_records());
        let log = self.log.clone();
        let append = async move {
            for record in records {
                let id = format!("checkpoint-{}", uuid::Uuid::new_v4());
                let body = String::from_utf8(record.bytes()).unwrap_or_default();
                log.append(STREAM, &id, &body).await?;
            }
            Ok::<(), Error>(())
        };
        let then = append.into_actor(self).map(|done, actor, ctx| {
            let outcome = if done.is_ok() { "ok" } else { "failed" };
            metrics::counter!("pimentocart_log_appends_total", "stream" => STREAM, "outcome" => outcome).increment(1);
            actor.read(ctx);
        });
        ctx.spawn(then);
    }
}

impl Actor for Follower {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        // Registers all labels at the start, so that rates over them are always
        // defined.
        for verdict in Verdict::LABELS {
            metrics::counter!("pimentocart_bundle_records_total", "verdict" => verdict).absolute(0);
        }
        self.read(ctx);
    }
}

impl Handler<ApplyTransfer> for Follower {
    type Result = Result<BundleSequence, transfer::Error>;

    fn handle(
        &mut self,
        ApplyTransfer(bytes): ApplyTransfer,
        _: &mut Self::Context,
    ) -> Self::Result {
        let applied = self.state.apply_transfer(&bytes);
        let outcome = if applied.is_ok() { "ok" } else { "refused" };
        metrics::counter!("pimentocart_bundle_transfers_total", "outcome" => outcome).increment(1);
        if let Err(e) = &applied {
            warn!("bundle transfer refused", kv: { error = e.to_string().as_str() });
        }
        applied
    }
}

//! The actor that follows the log and appends checkpoints.

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

/// Most records in one read.
const PAGE: usize = 500;

/// The first pause after a failed read.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);

/// A gap that nobody's checkpoint closes is passed over after this many of
/// the longest delays, so that every daemon had its turn to append one.
const GAP_DELAYS: u32 = 3;

/// Follows the bundle's stream for one daemon. It alone changes what the
/// daemon holds.
pub struct Follower {
    log: LogClient,
    settings: Settings,
    held: Rc<BundleState>,
    clock: Rc<dyn Clock>,
    /// The pause after the next failure.
    backoff: Duration,
    /// Whether the log was read to its end since the start.
    caught_up: bool,
    /// When the newest checkpoint, or the version in force, was appended, in
    /// the log's milliseconds.
    checkpoint_ms: u64,
    /// When the version in force was appended, in the log's milliseconds.
    head_ms: u64,
    /// When to append a checkpoint, unless another daemon was first.
    checkpoint_due: Option<Instant>,
    /// Whether a checkpoint in the log misses the version in force.
    checkpoint_stale: bool,
    /// When to pass over a gap that nobody closes.
    gap_deadline: Option<Instant>,
}

/// Hands the follower what a peer sent; see [`BundleState::transfer_since`].
#[derive(Debug, Message)]
#[rtype(result = "Result<BundleSequence, transfer::Error>")]
pub struct ApplyTransfer(pub Bytes);

impl Follower {
    /// Makes a follower that fills `held`.
    #[must_use]
    pub fn new(settings: Settings, held: Rc<BundleState>, clock: Rc<dyn Clock>) -> Self {
        Self {
            log: LogClient::new(settings.log),
            settings,
            held,
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

    /// Starts one read; its answer starts the next.
    fn read(&mut self, ctx: &mut Context<Self>) {
        let log = self.log.clone();
        let from = self.held.with_acceptor(|a| a.next_offset());
        let wait = self.wait();
        let read = async move { log.read(STREAM, from, PAGE, wait).await };
        let then = read.into_actor(self).map(|page, actor, ctx| match page {
            Ok(page) => actor.take_page(&page, ctx),
            Err(e) => actor.back_off(&e, ctx),
        });
        ctx.spawn(then);
    }

    /// How long the next read may be held: not past what is due.
    fn wait(&self) -> Duration {
        let now = self.clock.now();
        let due = [self.checkpoint_due, self.gap_deadline]
            .into_iter()
            .flatten()
            .min();
        let left = due.map(|at| at.saturating_duration_since(now));
        left.map_or(self.settings.poll_timeout.0, |l| {
            l.min(self.settings.poll_timeout.0)
        })
    }

    /// Pauses after a failed read, longer each time, so that an outage costs
    /// the log and the daemon little.
    fn back_off(&mut self, error: &Error, ctx: &mut Context<Self>) {
        debug!("log read failed", kv: { error = error.to_string().as_str() });
        self.held.set_reachable(false);
        let pause = self.backoff.mul_f64(rand::random_range(0.5..1.0));
        self.backoff = (self.backoff * 2).min(self.settings.max_backoff.0);
        ctx.run_later(pause, Self::read);
    }

    /// Judges what was read.
    fn take_page(&mut self, page: &Page, ctx: &mut Context<Self>) {
        self.held.set_reachable(true);
        self.backoff = FIRST_BACKOFF;
        self.held
            .with_acceptor(|a| a.skip_expired(page.first_offset));
        for entry in &page.records {
            let verdict = self.held.apply_record(entry.offset, &entry.body);
            self.record_verdict(&verdict, entry.time_ms);
            // The reader has to go back to what the checkpoint's writer had
            // judged; the rest of the page is read again.
            if matches!(verdict, Verdict::Adopted(_)) {
                break;
            }
        }

        // Before the end is read for the first time, a later record may beat
        // what was found so far.
        let next = self.held.with_acceptor(|a| a.next_offset());
        if next >= page.end_offset {
            self.caught_up = true;
        }
        if self.caught_up && self.held.activate_head() {
            self.report_lag();
        }
        if next >= page.end_offset {
            self.close_gap(page);
            self.plan_checkpoint(page);
        }
        if self.checkpoint_due.is_some_and(|at| at <= self.clock.now()) {
            return self.append_checkpoint(ctx);
        }
        self.read(ctx);
    }

    /// Counts and logs what became of a record.
    fn record_verdict(&mut self, verdict: &Verdict, time_ms: u64) {
        metrics::counter!("pimentocart_bundle_records_total", "verdict" => verdict.as_str())
            .increment(1);
        match verdict {
            Verdict::Accepted(sequence) => {
                info!("bundle accepted", kv: { sequence = sequence.0 });
                self.head_ms = time_ms;
                if self.held.with_acceptor(|a| a.newest_checkpoint()).is_none() {
                    self.checkpoint_ms = time_ms;
                }
                self.checkpoint_stale = false;
            }
            Verdict::Adopted(sequence) => {
                info!("bundle adopted from a checkpoint", kv: { sequence = sequence.0 });
                self.head_ms = time_ms;
                self.checkpoint_ms = time_ms;
                self.checkpoint_stale = false;
            }
            Verdict::Known => {
                self.checkpoint_ms = time_ms;
                self.checkpoint_stale = false;
            }
            Verdict::StaleCheckpoint => self.checkpoint_stale = true,
            // Ordinary: an append whose reply was lost, tried again.
            Verdict::Refused(RecordError::Replayed) => debug!("bundle record replayed"),
            Verdict::Conflict { .. } | Verdict::Refused(_) => {
                warn!("bundle record refused", kv: { verdict = verdict.as_str() });
            }
            Verdict::PartBuffered | Verdict::NotEvaluated | Verdict::Duplicate => {}
        }
    }

    /// Tells how long the version in force took to get here.
    fn report_lag(&self) {
        let lag = self.clock.wall_ms().saturating_sub(self.head_ms);
        let seconds = Duration::from_millis(lag).as_secs_f64();
        metrics::histogram!("pimentocart_bundle_in_force_seconds").record(seconds);
    }

    /// Passes over a gap that nobody's checkpoint closes.
    fn close_gap(&mut self, page: &Page) {
        let stuck = self
            .held
            .with_acceptor(|a| !a.is_contiguous() && a.head().is_some());
        if !stuck {
            self.gap_deadline = None;
            return;
        }
        let now = self.clock.now();
        let pass = *self
            .gap_deadline
            .get_or_insert_with(|| now + self.settings.checkpoint_delay.0 * GAP_DELAYS);
        if pass <= now {
            warn!("gap in the bundle stream skipped", kv: { first = page.first_offset.0 });
            self.held.with_acceptor(|a| a.skip_gap(page.first_offset));
            self.checkpoint_stale = true;
            self.gap_deadline = None;
        }
    }

    /// Decides whether the log needs a checkpoint, and when to append it.
    ///
    /// No daemon leads. Each waits a random time; the first one's record
    /// tells the others that theirs is no longer needed.
    fn plan_checkpoint(&mut self, page: &Page) {
        let (usable, newest) = self.held.with_acceptor(|a| {
            (
                a.is_contiguous() && a.head().is_some(),
                a.newest_checkpoint(),
            )
        });
        let retained =
            newest.is_some_and(|(at, _)| at >= page.first_offset) || page.first_offset == Offset(0);
        let age = page.now_ms.saturating_sub(self.checkpoint_ms);
        let old = page.retention_ms > 0 && age > page.retention_ms / 2;
        let needed = usable && (self.checkpoint_stale || old || !retained);

        if !needed {
            self.checkpoint_due = None;
        } else if self.checkpoint_due.is_none() {
            let delay = self.settings.checkpoint_delay.0.mul_f64(rand::random());
            self.checkpoint_due = Some(self.clock.now() + delay);
        }
    }

    /// Appends a checkpoint and reads on.
    fn append_checkpoint(&mut self, ctx: &mut Context<Self>) {
        self.checkpoint_due = None;
        let records = self.held.with_acceptor(|a| a.checkpoint_records());
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
            metrics::counter!("pimentocart_log_appends_total", "stream" => STREAM, "outcome" => outcome)
                .increment(1);
            actor.read(ctx);
        });
        ctx.spawn(then);
    }
}

impl Actor for Follower {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        // Every label is there from the start, so that a rate over it is
        // never of nothing.
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
        let taken = self.held.apply_transfer(&bytes);
        let outcome = if taken.is_ok() { "ok" } else { "refused" };
        metrics::counter!("pimentocart_bundle_transfers_total", "outcome" => outcome).increment(1);
        if let Err(e) = &taken {
            warn!("bundle transfer from a peer refused", kv: { error = e.to_string().as_str() });
        }
        taken
    }
}

//! The actor that follows the log and appends checkpoints.

use std::rc::Rc;
use std::time::{Duration, Instant};

use actix::{Actor, ActorFutureExt, AsyncContext, Context, Handler, Message, WrapFuture};
use base::clock::Clock;
use base::ids::{BundleSequence, Offset};
use bundle::{Fault, Verdict};
use bytes::Bytes;
use clients::log::{Error, LogClient, Page};
use spdlog::{debug, info, warn};

use crate::held::Held;
use crate::settings::Settings;
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
    held: Rc<Held>,
    clock: Rc<dyn Clock>,
    /// The pause after the next failure.
    backoff: Duration,
    /// Whether the log was read to its end since the start.
    caught_up: bool,
    /// When the newest checkpoint, or the version in force, was appended, in
    /// the log's milliseconds.
    covered_ms: u64,
    /// When the version in force was appended, in the log's milliseconds.
    head_ms: u64,
    /// When to append a checkpoint, unless another daemon was first.
    due: Option<Instant>,
    /// Whether a checkpoint in the log misses the version in force.
    contradicted: bool,
    /// When to pass over a gap that nobody closes.
    pass: Option<Instant>,
}

/// Hands the follower what a peer sent; see [`Held::transfer`].
#[derive(Debug, Message)]
#[rtype(result = "Result<BundleSequence, transfer::Error>")]
pub struct Take(pub Bytes);

impl Follower {
    /// Makes a follower that fills `held`.
    #[must_use]
    pub fn new(settings: Settings, held: Rc<Held>, clock: Rc<dyn Clock>) -> Self {
        Self {
            log: LogClient::new(settings.log),
            settings,
            held,
            clock,
            backoff: FIRST_BACKOFF,
            caught_up: false,
            covered_ms: 0,
            head_ms: 0,
            due: None,
            contradicted: false,
            pass: None,
        }
    }

    /// Starts one read; its answer starts the next.
    fn read(&mut self, ctx: &mut Context<Self>) {
        let log = self.log.clone();
        let from = self.held.with(|a| a.next());
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
        let due = [self.due, self.pass].into_iter().flatten().min();
        let left = due.map(|at| at.saturating_duration_since(now));
        left.map_or(self.settings.wait.0, |l| l.min(self.settings.wait.0))
    }

    /// Pauses after a failed read, longer each time, so that an outage costs
    /// the log and the daemon little.
    fn back_off(&mut self, error: &Error, ctx: &mut Context<Self>) {
        debug!("log read failed", kv: { error = error.to_string().as_str() });
        self.held.set_reachable(false);
        let pause = self.backoff.mul_f64(rand::random_range(0.5..1.0));
        self.backoff = (self.backoff * 2).min(self.settings.backoff.0);
        ctx.run_later(pause, Self::read);
    }

    /// Judges what was read.
    fn take_page(&mut self, page: &Page, ctx: &mut Context<Self>) {
        self.held.set_reachable(true);
        self.backoff = FIRST_BACKOFF;
        self.held.with(|a| a.expired(page.first_offset));
        for entry in &page.records {
            let verdict = self.held.judge(entry.offset, &entry.body);
            self.note(&verdict, entry.time_ms);
            // The reader has to go back to what the checkpoint's writer had
            // judged; the rest of the page is read again.
            if matches!(verdict, Verdict::Adopted(_)) {
                break;
            }
        }

        // Before the end is read for the first time, a later record may beat
        // what was found so far.
        let next = self.held.with(|a| a.next());
        if next >= page.end_offset {
            self.caught_up = true;
        }
        if self.caught_up && self.held.settle() {
            self.report_lag();
        }
        if next >= page.end_offset {
            self.close_gap(page);
            self.plan_checkpoint(page);
        }
        if self.due.is_some_and(|at| at <= self.clock.now()) {
            return self.append_checkpoint(ctx);
        }
        self.read(ctx);
    }

    /// Counts and logs what became of a record.
    fn note(&mut self, verdict: &Verdict, time_ms: u64) {
        metrics::counter!("pimentocart_bundle_records_total", "verdict" => verdict.as_str())
            .increment(1);
        match verdict {
            Verdict::Accepted(sequence) => {
                info!("bundle accepted", kv: { sequence = sequence.0 });
                self.head_ms = time_ms;
                if self.held.with(|a| a.newest()).is_none() {
                    self.covered_ms = time_ms;
                }
                self.contradicted = false;
            }
            Verdict::Adopted(sequence) => {
                info!("bundle adopted", kv: { sequence = sequence.0 });
                self.head_ms = time_ms;
                self.covered_ms = time_ms;
                self.contradicted = false;
            }
            Verdict::Known => {
                self.covered_ms = time_ms;
                self.contradicted = false;
            }
            Verdict::Behind => self.contradicted = true,
            // Ordinary: an append whose reply was lost, tried again.
            Verdict::Refused(Fault::Replayed) => debug!("bundle record replayed"),
            Verdict::Beaten { .. } | Verdict::Refused(_) => {
                warn!("bundle record refused", kv: { verdict = verdict.as_str() });
            }
            Verdict::Kept | Verdict::Unjudged | Verdict::Repeated => {}
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
        let stuck = self.held.with(|a| !a.anchored() && a.head().is_some());
        if !stuck {
            self.pass = None;
            return;
        }
        let now = self.clock.now();
        let pass = *self
            .pass
            .get_or_insert_with(|| now + self.settings.delay.0 * GAP_DELAYS);
        if pass <= now {
            warn!("bundle stream has a gap", kv: { first = page.first_offset.0 });
            self.held.with(|a| a.resume(page.first_offset));
            self.contradicted = true;
            self.pass = None;
        }
    }

    /// Decides whether the log needs a checkpoint, and when to append it.
    ///
    /// No daemon leads. Each waits a random time; the first one's record
    /// tells the others that theirs is no longer needed.
    fn plan_checkpoint(&mut self, page: &Page) {
        let (usable, newest) = self
            .held
            .with(|a| (a.anchored() && a.head().is_some(), a.newest()));
        let retained =
            newest.is_some_and(|(at, _)| at >= page.first_offset) || page.first_offset == Offset(0);
        let age = page.now_ms.saturating_sub(self.covered_ms);
        let old = page.retention_ms > 0 && age > page.retention_ms / 2;
        let needed = usable && (self.contradicted || old || !retained);

        if !needed {
            self.due = None;
        } else if self.due.is_none() {
            let delay = self.settings.delay.0.mul_f64(rand::random());
            self.due = Some(self.clock.now() + delay);
        }
    }

    /// Appends a checkpoint and reads on.
    fn append_checkpoint(&mut self, ctx: &mut Context<Self>) {
        self.due = None;
        let records = self.held.with(|a| a.checkpoint_records());
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

impl Handler<Take> for Follower {
    type Result = Result<BundleSequence, transfer::Error>;

    fn handle(&mut self, Take(bytes): Take, _: &mut Self::Context) -> Self::Result {
        let taken = self.held.take(&bytes);
        let outcome = if taken.is_ok() { "ok" } else { "refused" };
        metrics::counter!("pimentocart_bundle_transfers_total", "outcome" => outcome).increment(1);
        if let Err(e) = &taken {
            warn!("transfer refused", kv: { error = e.to_string().as_str() });
        }
        taken
    }
}

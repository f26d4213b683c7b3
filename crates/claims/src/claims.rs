//! Appending claims in batches and learning who won.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::clock::Clock;
use base::ids::{Offset, RequestId};
use base::reason::Refusal;
use base::settings::HumanDuration;
use bundle::Hash;
use clients::log::{Error, LogClient};
use spdlog::debug;
use tokio::sync::{Notify, oneshot};

use crate::STREAM;
use crate::claim::Claim;
use crate::record::{CallOutcome, ClaimEnd, ClaimRequest, Record, TicketText};
use crate::table::{ClaimTable, KeyOwner};

/// Most records in one read.
const PAGE: usize = 500;

/// Most claims in one record, which keeps it far below the log's limit.
const BATCH: usize = 200;

/// How long an end may wait for a claim to travel with.
const END_DELAY: Duration = Duration::from_millis(250);

/// How often the table is kept up to date while there is nothing to append,
/// so that a later claim finds little to read.
const IDLE_READ: Duration = Duration::from_secs(5);

/// The pause after a failed call of the log.
const PAUSE: Duration = Duration::from_millis(200);

/// Ends that wait for the log at the most. What is dropped stays owned until
/// it lapses, which is safe.
const ENDS: usize = 10_000;

/// Time before a claim lapses in which its call may no longer begin, for the
/// way to the backend server.
const MARGIN: Duration = Duration::from_secs(5);

/// When to ask again about a call that goes on elsewhere.
const IN_PROGRESS: Duration = Duration::from_secs(2);

/// Longest time that a call waits for its claim.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);

/// What the operators set.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Where the platform's log listens.
    pub log: SocketAddr,
    /// The entry's name.
    pub entry_name: String,
    /// How long a key is owned.
    pub claim_window: HumanDuration,
    /// Least time between two appends; claims that come meanwhile share one.
    pub append_interval: HumanDuration,
}

/// Claims keys for one entry.
pub struct Claims {
    log: LogClient,
    settings: Settings,
    clock: Rc<dyn Clock>,
    table: RefCell<ClaimTable>,
    pending: RefCell<Vec<PendingClaim>>,
    ends: RefCell<Vec<ClaimEnd>>,
    /// Whether the log was read to its end since the last failure.
    caught_up: Cell<bool>,
    wake: Notify,
}

/// Why a key was not claimed. The call has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimDenied {
    /// Why.
    pub reason: Refusal,
    /// What is known of the call that owns the key.
    pub outcome: Option<CallOutcome>,
    /// When the key will be free, if that is known.
    pub retry_after: Option<Duration>,
}

/// A claim that waits for the log.
struct PendingClaim {
    claimed: ClaimRequest,
    /// When the wait began, before the claim can have been appended.
    queued_at: Instant,
    reply: oneshot::Sender<Result<Claim, ClaimDenied>>,
}

impl Claims {
    /// Starts to follow and to append claims.
    #[must_use]
    pub fn start(settings: Settings, clock: Rc<dyn Clock>) -> Rc<Self> {
        let window_ms = u64::try_from(settings.claim_window.0.as_millis()).unwrap_or(u64::MAX);
        let claims = Rc::new(Self {
            log: LogClient::new(settings.log),
            settings,
            clock,
            table: RefCell::new(ClaimTable::new(window_ms)),
            pending: RefCell::default(),
            ends: RefCell::default(),
            caught_up: Cell::new(false),
            wake: Notify::new(),
        });
        actix_rt::spawn(run(Rc::clone(&claims)));
        claims
    }

    /// Claims a workspace's key for a call that asks for what `body` hashes.
    ///
    /// # Errors
    ///
    /// Returns [`ClaimDenied`] when the key is not this call's. The call has not
    /// run then.
    pub async fn claim(
        &self,
        workspace: &str,
        key: &str,
        body: Hash,
        ticket: RequestId,
    ) -> Result<Claim, ClaimDenied> {
        let key = key_hash(workspace, key);
        // Known to be taken already: no need to append. The owner may have
        // released the key since this entry last read the log.
        if let Some(denied) = self.known_denial(&key, body) {
            if denied.outcome.is_some() || self.read(None).await.is_err() {
                return Err(denied);
            }
            if let Some(denied) = self.known_denial(&key, body) {
                return Err(denied);
            }
        }

        let (reply, answer) = oneshot::channel();
        self.pending.borrow_mut().push(PendingClaim {
            claimed: ClaimRequest {
                key,
                body,
                ticket: TicketText(ticket),
            },
            queued_at: self.clock.now(),
            reply,
        });
        self.wake.notify_one();
        match tokio::time::timeout(CLAIM_TIMEOUT, answer).await {
            Ok(Ok(outcome)) => outcome,
            // The claim may be appended yet; nobody takes it up, so it is
            // released then.
            Ok(Err(_)) | Err(_) => Err(log_unavailable()),
        }
    }

    /// Tells how a call with a key ended.
    pub(crate) fn finish(&self, key: Hash, ticket: RequestId, outcome: CallOutcome) {
        let mut ends = self.ends.borrow_mut();
        if ends.len() < ENDS {
            ends.push(ClaimEnd {
                key,
                ticket: TicketText(ticket),
                outcome,
            });
        }
        drop(ends);
        self.wake.notify_one();
    }

    /// Whether a key is known to be owned by another call.
    fn known_denial(&self, key: &Hash, body: Hash) -> Option<ClaimDenied> {
        // Claims lapse by the log's clock alone. By this host's clock, were
        // it ahead, a key would seem free here while its call still runs.
        let table = self.table.borrow();
        table.owner(key).map(|owner| self.denial(owner, body))
    }

    fn denial(&self, owner: &KeyOwner, body: Hash) -> ClaimDenied {
        if owner.body != body {
            return ClaimDenied {
                reason: Refusal::KeyReused,
                outcome: None,
                retry_after: None,
            };
        }
        // More may be known soon of a call that goes on; one that ended keeps
        // its key until the claim lapses.
        let left = owner.expires_ms.saturating_sub(self.clock.wall_ms());
        let after = match owner.outcome {
            None => IN_PROGRESS,
            Some(_) => Duration::from_millis(left),
        };
        ClaimDenied {
            reason: Refusal::KeyInUse,
            outcome: owner.outcome,
            retry_after: Some(after),
        }
    }

    /// Reads the log to `to`, or to its end.
    async fn read(&self, to: Option<Offset>) -> Result<(), Error> {
        loop {
            let from = self.table.borrow().next_offset();
            if to.is_some_and(|to| from > to) {
                return Ok(());
            }
            let page = self.log.read(STREAM, from, PAGE, Duration::ZERO).await?;
            let mut table = self.table.borrow_mut();
            table.skip_expired(page.first_offset);
            table.limit_window(page.retention_ms);
            for entry in &page.records {
                table.apply(entry.offset, entry.time_ms, &entry.body);
            }
            table.expire_claims(page.now_ms);
            if table.next_offset() >= page.end_offset {
                return Ok(());
            }
        }
    }

    /// Appends one batch and answers those who wait for it.
    async fn flush(self: &Rc<Self>) {
        let mut batch = take(&mut self.pending.borrow_mut());
        let ends = take(&mut self.ends.borrow_mut());
        // Nobody waits for these any more.
        batch.retain(|p| !p.reply.is_closed());
        if batch.is_empty() && ends.is_empty() {
            return;
        }

        let record = Record {
            entry: self.settings.entry_name.clone(),
            ends,
            claims: batch.iter().map(|p| p.claimed.clone()).collect(),
        };
        match self.append(&record).await {
            Ok(()) => self.resolve(batch),
            Err(e) => {
                debug!("appending idempotency claims to the log failed", kv: { error = e.to_string().as_str() });
                self.caught_up.set(false);
                self.deny_batch(batch, record.ends);
            }
        }
    }

    async fn append(&self, record: &Record) -> Result<(), Error> {
        let id = uuid::Uuid::new_v4().simple().to_string();
        let body = serde_json::to_string(record).unwrap_or_default();
        let appended = self.log.append(STREAM, &id, &body).await;
        let outcome = if appended.is_ok() { "ok" } else { "failed" };
        metrics::counter!("pimentocart_log_appends_total", "stream" => STREAM, "outcome" => outcome)
            .increment(1);
        // What stands before the claims decides who owns the keys.
        self.read(Some(appended?)).await
    }

    /// Tells those who wait whether the key is theirs.
    fn resolve(self: &Rc<Self>, batch: Vec<PendingClaim>) {
        for PendingClaim {
            claimed,
            queued_at,
            reply,
        } in batch
        {
            let ticket = claimed.ticket.0;
            let table = self.table.borrow();
            let window = table.window();
            let start_deadline = queued_at + window.saturating_sub(MARGIN.min(window / 4));
            let outcome = match table.owner(&claimed.key) {
                Some(owner) if owner.ticket == ticket => Ok(Claim::new(
                    Rc::clone(self),
                    claimed.key,
                    ticket,
                    start_deadline,
                )),
                Some(owner) => Err(self.denial(owner, claimed.body)),
                // Lapsed while the log was slow.
                None => Err(log_unavailable()),
            };
            drop(table);
            let label = outcome.as_ref().err().map_or("won", |d| d.reason.as_str());
            metrics::counter!("pimentocart_claims_total", "outcome" => label).increment(1);
            // Dropped by the caller, a claim releases its key by itself.
            let _ = reply.send(outcome);
        }
    }

    /// Refuses those who wait. Their claims may stand in the log all the
    /// same, so they are released once it answers again.
    fn deny_batch(&self, batch: Vec<PendingClaim>, ends: Vec<ClaimEnd>) {
        let mut kept = self.ends.borrow_mut();
        kept.extend(ends);
        for PendingClaim { claimed, reply, .. } in batch {
            kept.push(ClaimEnd {
                key: claimed.key,
                ticket: claimed.ticket,
                outcome: CallOutcome::NotRun,
            });
            metrics::counter!("pimentocart_claims_total", "outcome" => Refusal::LogUnavailable.as_str())
                .increment(1);
            let _ = reply.send(Err(log_unavailable()));
        }
        kept.truncate(ENDS);
    }
}

/// The hash that stands for a workspace's key.
#[must_use]
pub fn key_hash(workspace: &str, key: &str) -> Hash {
    Hash::of(&[workspace.as_bytes(), key.as_bytes()])
}

fn log_unavailable() -> ClaimDenied {
    ClaimDenied {
        reason: Refusal::LogUnavailable,
        outcome: None,
        retry_after: Some(Duration::from_secs(1)),
    }
}

/// Up to a batch's worth from the front.
fn take<T>(from: &mut Vec<T>) -> Vec<T> {
    let rest = from.split_off(from.len().min(BATCH));
    std::mem::replace(from, rest)
}

/// Serves one entry's claims for as long as anybody holds them.
async fn run(claims: Rc<Claims>) {
    let mut last = claims.clock.now();
    loop {
        claims.wait().await;
        if Rc::strong_count(&claims) == 1 {
            return;
        }
        if !claims.caught_up.get() && claims.read(None).await.is_err() {
            let batch = std::mem::take(&mut *claims.pending.borrow_mut());
            claims.deny_batch(batch, Vec::new());
            tokio::time::sleep(PAUSE).await;
            continue;
        }
        claims.caught_up.set(true);

        // Claims that come while the last append is young share the next.
        let since = claims.clock.now().saturating_duration_since(last);
        tokio::time::sleep(claims.settings.append_interval.0.saturating_sub(since)).await;
        last = claims.clock.now();
        claims.flush().await;
    }
}

impl Claims {
    /// Waits until there is something to append or it is time to read.
    async fn wait(&self) {
        let idle = tokio::time::Instant::now() + IDLE_READ;
        let mut ends_due = None;
        loop {
            let woken = self.wake.notified();
            if !self.pending.borrow().is_empty() {
                return;
            }
            if !self.ends.borrow().is_empty() {
                ends_due.get_or_insert(tokio::time::Instant::now() + END_DELAY);
            }
            let until = ends_due.unwrap_or(idle);
            if tokio::time::timeout_at(until, woken).await.is_err() {
                if ends_due.is_none() {
                    self.caught_up.set(false);
                }
                return;
            }
        }
    }
}

//! Appends claims in batches and determines which of them own their keys.

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

/// Maximum number of records per read.
const PAGE_RECORDS: usize = 500;

/// Maximum number of claims, and of ends, in one record, which keeps its size
/// far below the log's limit.
const MAX_BATCH: usize = 200;

/// Maximum time that an end waits to be appended together with a claim.
const END_DELAY: Duration = Duration::from_millis(250);

/// Interval of reads while there is nothing to append, so that the next claim
/// has little to catch up on.
const IDLE_INTERVAL: Duration = Duration::from_secs(5);

/// Pause after a failed log call.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Maximum number of queued ends. The key of a dropped end stays owned until
/// the claim expires, which is safe.
const MAX_ENDS: usize = 10_000;

/// Time before the expiry of a claim during which its call may no longer
/// start, to cover the delivery to the backend server.
const START_MARGIN: Duration = Duration::from_secs(5);

/// Retry delay for a call that is in progress elsewhere.
const IN_PROGRESS_RETRY: Duration = Duration::from_secs(2);

/// Maximum time that a call waits for its claim.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);

/// Settings of [`Claims`].
#[derive(Debug, Clone)]
pub struct Settings {
    /// Address of the platform's log.
    pub log: SocketAddr,
    /// Name of the entry.
    pub entry_name: String,
    /// How long a claim owns its key.
    pub claim_window: HumanDuration,
    /// Minimum time between appends; claims made in between share a record.
    pub append_interval: HumanDuration,
}

/// Claims idempotency keys for one entry.
pub struct Claims {
    log: LogClient,
    settings: Settings,
    clock: Rc<dyn Clock>,
    table: RefCell<ClaimTable>,
    pending: RefCell<Vec<PendingClaim>>,
    ends: RefCell<Vec<ClaimEnd>>,
    /// Whether the log was read to its end since the last failure or idle
    /// interval.
    caught_up: Cell<bool>,
    wake: Notify,
}

/// The key could not be claimed. The call was not executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimDenied {
    /// Reason for the refusal.
    pub reason: Refusal,
    /// Outcome of the call that owns the key, if known.
    pub outcome: Option<CallOutcome>,
    /// When to retry, if known.
    pub retry_after: Option<Duration>,
}

/// A claim that is waiting for the log.
struct PendingClaim {
    request: ClaimRequest,
    /// Time at which it was queued, which is before it can be appended.
    queued_at: Instant,
    reply: oneshot::Sender<Result<Claim, ClaimDenied>>,
}

impl Claims {
    /// Starts the task that reads and appends claims.
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

    /// Claims a workspace's key for a call; `body` is the hash of its request
    /// body.
    ///
    /// # Errors
    ///
    /// Returns [`ClaimDenied`] if another call owns the key or the log is
    /// unavailable. The call was not executed.
    pub async fn claim(
        &self,
        workspace: &str,
        key: &str,
        body: Hash,
        ticket: RequestId,
    ) -> Result<Claim, ClaimDenied> {
        let key = key_hash(workspace, key);
        // If the key is known to be owned, nothing is appended. The log is read
        // once more because the owner may have released the key since.
        if let Some(denied) = self.known_denial(&key, body) {
            if denied.outcome.is_some() || self.read_log(None).await.is_err() {
                return Err(denied);
            }
            if let Some(denied) = self.known_denial(&key, body) {
                return Err(denied);
            }
        }

        let (reply, answer) = oneshot::channel();
        self.pending.borrow_mut().push(PendingClaim {
            request: ClaimRequest {
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
            // The claim may still be appended. It is then released because its
            // receiver is gone.
            Ok(Err(_)) | Err(_) => Err(log_unavailable()),
        }
    }

    /// Queues the outcome of a call for the next append.
    pub(crate) fn finish(&self, key: Hash, ticket: RequestId, outcome: CallOutcome) {
        let mut ends = self.ends.borrow_mut();
        if ends.len() < MAX_ENDS {
            ends.push(ClaimEnd {
                key,
                ticket: TicketText(ticket),
                outcome,
            });
        }
        drop(ends);
        self.wake.notify_one();
    }

    /// The denial for a key that is known to be owned by another call.
    fn known_denial(&self, key: &Hash, body: Hash) -> Option<ClaimDenied> {
        // Claims expire on the log's clock only. If this host's clock were
        // ahead, a key would appear free here while its call still runs.
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
        // A call in progress may end soon. A call that ended keeps its key until
        // the claim expires.
        let remaining_ms = owner.expires_ms.saturating_sub(self.clock.wall_ms());
        let retry_after = match owner.outcome {
            None => IN_PROGRESS_RETRY,
            Some(_) => Duration::from_millis(remaining_ms),
        };
        ClaimDenied {
            reason: Refusal::KeyInUse,
            outcome: owner.outcome,
            retry_after: Some(retry_after),
        }
    }

    /// Reads the log up to and including `to`, or to its end.
    async fn read_log(&self, to: Option<Offset>) -> Result<(), Error> {
        loop {
            let from = self.table.borrow().next_offset();
            if to.is_some_and(|to| from > to) {
                return Ok(());
            }
            let page = self
                .log
                .read(STREAM, from, PAGE_RECORDS, Duration::ZERO)
                .await?;
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

    /// Appends one batch and replies to its waiting calls.
    async fn flush(self: &Rc<Self>) {
        let mut batch = take_batch(&mut self.pending.borrow_mut());
        let ends = take_batch(&mut self.ends.borrow_mut());
        // Drops claims whose callers have stopped waiting.
        batch.retain(|p| !p.reply.is_closed());
        if batch.is_empty() && ends.is_empty() {
            return;
        }

        let record = Record {
            entry: self.settings.entry_name.clone(),
            ends,
            claims: batch.iter().map(|p| p.request.clone()).collect(),
        };
        match self.append(&record).await {
            Ok(()) => self.resolve(batch),
            Err(e) => {
                debug!("claim append failed", kv: { error = e.to_string().as_str() });
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
        // The records before this one decide which claims own their keys.
        self.read_log(Some(appended?)).await
    }

    /// Replies to the waiting calls of an appended batch.
    fn resolve(self: &Rc<Self>, batch: Vec<PendingClaim>) {
        for PendingClaim {
            request,
            queued_at,
            reply,
        } in batch
        {
            let ticket = request.ticket.0;
            let table = self.table.borrow();
            let window = table.window();
            let start_deadline = queued_at + window.saturating_sub(START_MARGIN.min(window / 4));
            let outcome = match table.owner(&request.key) {
                Some(owner) if owner.ticket == ticket => Ok(Claim::new(
                    Rc::clone(self),
                    request.key,
                    ticket,
                    start_deadline,
                )),
                Some(owner) => Err(self.denial(owner, request.body)),
                // The claim expired while the log was slow.
                None => Err(log_unavailable()),
            };
            drop(table);
            let label = outcome.as_ref().err().map_or("won", |d| d.reason.as_str());
            metrics::counter!("pimentocart_claims_total", "outcome" => label).increment(1);
            // If the receiver is gone, the claim is dropped and releases its
            // key.
            let _ = reply.send(outcome);
        }
    }

    /// Denies the waiting calls and queues the release of their claims, which
    /// may have been appended nevertheless.
    fn deny_batch(&self, batch: Vec<PendingClaim>, ends: Vec<ClaimEnd>) {
        let mut queued_ends = self.ends.borrow_mut();
        queued_ends.extend(ends);
        for PendingClaim { request, reply, .. } in batch {
            queued_ends.push(ClaimEnd {
                key: request.key,
                ticket: request.ticket,
                outcome: CallOutcome::NotRun,
            });
            metrics::counter!("pimentocart_claims_total", "outcome" => Refusal::LogUnavailable.as_str())
                .increment(1);
            let _ = reply.send(Err(log_unavailable()));
        }
        queued_ends.truncate(MAX_ENDS);
    }
}

/// Hash that identifies a workspace's key.
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

/// Takes up to [`MAX_BATCH`] items from the front.
fn take_batch<T>(from: &mut Vec<T>) -> Vec<T> {
    let rest = from.split_off(from.len().min(MAX_BATCH));
    std::mem::replace(from, rest)
}

/// Reads and appends claims until the last other reference is dropped.
async fn run(claims: Rc<Claims>) {
    let mut last_append = claims.clock.now();
    loop {
        claims.wait_for_work().await;
        if Rc::strong_count(&claims) == 1 {
            return;
        }
        if !claims.caught_up.get() && claims.read_log(None).await.is_err() {
            let batch = std::mem::take(&mut *claims.pending.borrow_mut());
            claims.deny_batch(batch, Vec::new());
            tokio::time::sleep(RETRY_PAUSE).await;
            continue;
        }
        claims.caught_up.set(true);

        // Claims made within the interval after an append share the next one.
        let since = claims.clock.now().saturating_duration_since(last_append);
        tokio::time::sleep(claims.settings.append_interval.0.saturating_sub(since)).await;
        last_append = claims.clock.now();
        claims.flush().await;
    }
}

impl Claims {
    /// Waits until there is something to append or the idle interval is over.
    async fn wait_for_work(&self) {
        let idle = tokio::time::Instant::now() + IDLE_INTERVAL;
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

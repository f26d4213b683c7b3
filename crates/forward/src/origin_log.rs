//! Writes to the store which software versions began streams, and reads them at the start.
//! `policy::origin_log` decides which entries do so, and when.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::stop::StopSignal;
use policy::origin_log::{LogGroup, LogRole, OriginBatch, StoredOrigin, WriteQueue};
use policy::origins::OriginRecord;
use spdlog::{info, warn};
use tokio::sync::Notify;

use crate::follow::retry_delay;
use crate::platform::{OriginLog, SourceError};
use crate::state::{State, zone_hash};

/// Longest wait of a call for the log, at an entry that has just started.
const LOAD_TIMEOUT: Duration = Duration::from_millis(150);

/// Interval at which a starting entry checks whether it knows the others.
const SETTLE_INTERVAL: Duration = Duration::from_millis(20);

/// Interval at which an entry checks what it has to do for the log.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Interval of the same check while the store does not answer.
const OUTAGE_INTERVAL: Duration = Duration::from_millis(200);

/// Pages of the log that an entry reads at most.
const MAX_PAGES: usize = 64;

/// The state of an entry's part in the log.
#[derive(Debug, Default)]
pub struct LogState {
    queue: RefCell<WriteQueue>,
    /// Notified when there is something to write.
    queued: Notify,
    /// Whether the log is to be read and has not been.
    loading: Cell<bool>,
    /// Notified when that ends.
    loaded: Notify,
}

impl LogState {
    /// Number of streams that this entry has written.
    #[must_use]
    pub fn stored_count(&self) -> u64 {
        self.queue.borrow().stored_count()
    }

    /// Whether streams may be in the log that this entry has not read yet.
    pub(crate) fn is_loading(&self) -> bool {
        self.loading.get()
    }

    /// Queues streams to be written.
    pub fn push(&self, wall_ms: u64, records: &[OriginRecord]) {
        let mut queue = self.queue.borrow_mut();
        for record in records {
            queue.push(wall_ms, record);
        }
        drop(queue);
        self.queued.notify_one();
    }

    /// Waits until the log has been read, for a short time and until `deadline` at most.
    pub(crate) async fn wait_until_loaded(&self, now: Instant, deadline: Instant) {
        let loaded = async {
            while self.is_loading() {
                self.loaded.notified().await;
            }
        };
        let left = deadline.saturating_duration_since(now);
        // After the timeout the call goes on with what is known.
        let _ = tokio::time::timeout(LOAD_TIMEOUT.min(left), loaded).await;
        // Other calls may wait too.
        self.loaded.notify_one();
    }

    fn finish_loading(&self) {
        self.loading.set(false);
        self.loaded.notify_one();
    }
}

/// What this entry does for the log.
pub(crate) fn role(state: &State) -> LogRole {
    let roster = state.roster.borrow();
    let zone = zone_hash(&state.settings.zone);
    LogRole::of(&LogGroup {
        own: state.settings.gossip,
        members: &roster.common_members(),
        zone: roster.uses_relays().then_some(zone),
        counts: roster.count(),
        partitions: state.settings.store_parts,
    })
}

/// Reads the log once this entry knows the others, if it is one of those that do, until
/// `end`.
pub async fn load<L: OriginLog>(state: Rc<State>, log: L, end: StopSignal) {
    let own = &state.origins.log;
    own.loading.set(true);
    let mut loaded = None;
    let mut failures = 0;
    while !end.is_triggered() {
        if !state.discovery.borrow().is_settled(state.clock.now()) {
            tokio::time::sleep(SETTLE_INTERVAL).await;
            continue;
        }
        let role = role(&state);
        if !role.reads || loaded == Some(role.partition) {
            own.finish_loading();
            tokio::time::sleep(CHECK_INTERVAL).await;
            continue;
        }
        if state.tables.is_store_lost() {
            own.finish_loading();
            tokio::time::sleep(OUTAGE_INTERVAL).await;
            continue;
        }
        match read_all(&log, &role).await {
            Ok(streams) => {
                insert(&state, &role, &streams);
                (loaded, failures) = (Some(role.partition), 0);
            }
            Err(e) => {
                failures += 1;
                if failures == 1 {
                    warn!("reading the origins of streams failed; retrying", kv: {
                        cause = e.to_string().as_str()
                    });
                }
                own.finish_loading();
                tokio::time::sleep(retry_delay(failures)).await;
            }
        }
    }
}

/// Reads the newest record of each stream.
async fn read_all<L: OriginLog>(
    log: &L,
    role: &LogRole,
) -> Result<HashMap<u64, StoredOrigin>, SourceError> {
    let mut streams = HashMap::new();
    let mut from = None;
    for _ in 0..MAX_PAGES {
        let page = log.read(role.partition, from).await?;
        let own_zone = |b: &&OriginBatch| role.zone.is_none_or(|zone| zone == b.zone);
        for batch in page.batches.iter().filter(own_zone) {
            streams.extend(batch.streams.iter().map(|s| (s.stream, *s)));
        }
        if page.next >= page.end {
            return Ok(streams);
        }
        from = Some(page.next);
    }
    warn!("log of stream origins not read to its end", kv: { pages = MAX_PAGES });
    Ok(streams)
}

/// Adds streams from the log to those that this entry knows.
fn insert(state: &State, role: &LogRole, streams: &HashMap<u64, StoredOrigin>) {
    let (now, wall_ms) = (state.clock.now(), state.clock.wall_ms());
    let valid = streams.values().filter_map(|s| s.to_record(wall_ms));
    let known = state.origins.insert_missing(now, valid);
    info!("log of stream origins read", kv: {
        partition = role.partition, streams = streams.len(), known
    });
}

/// Writes queued streams to the log, and removes what has expired from it, until `end`.
pub async fn write<L: OriginLog>(state: Rc<State>, log: L, end: StopSignal) {
    let own = &state.origins.log;
    let mut failures = 0;
    let mut written_at: Option<tokio::time::Instant> = None;
    while !end.is_triggered() {
        trim(&state, &log).await;
        if own.queue.borrow().is_empty() {
            // The queue is checked again after a timeout as well as a notification.
            let _ = tokio::time::timeout(CHECK_INTERVAL, own.queued.notified()).await;
            continue;
        }
        let role = role(&state);
        let mut interval = role.write_interval(state.settings.store_writes_per_s);
        if failures > 0 {
            interval = interval.max(retry_delay(failures));
        }
        if let Some(at) = written_at {
            tokio::time::sleep_until(at + interval).await;
        }
        written_at = Some(tokio::time::Instant::now());
        let streams = own.queue.borrow_mut().next_batch(state.clock.wall_ms());
        if streams.is_empty() {
            continue;
        }
        let zone = zone_hash(&state.settings.zone);
        let batch = OriginBatch { zone, streams };
        let written = log.append(role.partition, &batch).await;
        let outcome = if written.is_ok() { "written" } else { "failed" };
        metrics::counter!("pimentocart_origin_writes_total", "outcome" => outcome).increment(1);
        let mut queue = own.queue.borrow_mut();
        match written {
            Ok(end) => {
                failures = 0;
                queue.stored(state.clock.wall_ms(), role.partition, &batch.streams, end);
            }
            Err(e) => {
                failures += 1;
                queue.put_back(&batch.streams);
                if failures == 1 {
                    warn!("writing the origins of streams failed; retrying", kv: {
                        count = batch.streams.len(), cause = e.to_string().as_str()
                    });
                }
            }
        }
        metrics::gauge!("pimentocart_origins_stored").set(queue.stored_count() as f64);
        metrics::gauge!("pimentocart_origins_dropped").set(queue.dropped_count() as f64);
    }
}

/// Removes the records that this entry wrote from the log once all of them have expired.
async fn trim<L: OriginLog>(state: &State, log: &L) {
    let trim = state
        .origins
        .log
        .queue
        .borrow_mut()
        .take_trim(state.clock.wall_ms());
    let Some((partition, before)) = trim else {
        return;
    };
    if let Err(e) = log.trim(partition, before).await {
        // The next trim removes them too, or the store does at its own age limit.
        warn!("trimming the origins of streams failed", kv: { cause = e.to_string().as_str() });
    }
}

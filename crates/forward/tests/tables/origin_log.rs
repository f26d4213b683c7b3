//! The log of stream origins in the store, also while the store fails.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::clock::{Clock, SystemClock};
use base::stop::StopSignal;
use forward::origin_log;
use forward::platform::{OriginLog, OriginPage, SourceError};
use forward::settings::Settings;
use forward::state::State;
use policy::origin_log::{OriginBatch, StoredOrigin};
use policy::origins::{Origin, OriginRecord};
use rstest::rstest;

use crate::common::{NoCallsDialect, wait_until};

/// Batches in a page of the log.
const PAGE: usize = 3;

/// Shortest interval between two writes.
const WRITE_INTERVAL: Duration = Duration::from_millis(20);

/// The log in a store that all entries share.
#[derive(Clone, Default)]
struct Log(Rc<Inner>);

#[derive(Default)]
struct Inner {
    batches: RefCell<Vec<OriginBatch>>,
    unavailable: Cell<bool>,
    /// Number of calls that were refused.
    refused: Cell<u32>,
    /// Whether reads fail as after a restore of the store, until they begin anew.
    restored: Cell<bool>,
    /// Number of reads.
    reads: Cell<u32>,
}

impl Log {
    fn check(&self) -> Result<(), SourceError> {
        if !self.0.unavailable.get() {
            return Ok(());
        }
        self.0.refused.set(self.0.refused.get() + 1);
        let (step, peer) = ("log", "store".to_owned());
        let cause = "status 429".to_owned();
        Err(SourceError::Unavailable { step, peer, cause })
    }

    /// Adds a batch that another entry wrote.
    fn add(&self, streams: std::ops::Range<u64>, expires_ms: u64) {
        let streams = streams.map(|stream| StoredOrigin {
            stream,
            origin: record(stream).origin,
            expires_ms,
        });
        self.0.batches.borrow_mut().push(OriginBatch {
            zone: 1,
            streams: streams.collect(),
        });
    }
}

impl OriginLog for Log {
    async fn append(&self, _partition: u32, batch: &OriginBatch) -> Result<u64, SourceError> {
        tokio::time::sleep(Duration::from_millis(4)).await;
        self.check()?;
        let mut batches = self.0.batches.borrow_mut();
        batches.push(batch.clone());
        Ok(batches.len() as u64)
    }

    async fn read(&self, _partition: u32, from: Option<u64>) -> Result<OriginPage, SourceError> {
        tokio::time::sleep(Duration::from_millis(4)).await;
        self.check()?;
        self.0.reads.set(self.0.reads.get() + 1);
        if from.is_some() && self.0.restored.take() {
            let (step, peer) = ("log", "store".to_owned());
            return Err(SourceError::Rewound { step, peer });
        }
        let batches = self.0.batches.borrow();
        let from = usize::try_from(from.unwrap_or(0)).expect("short");
        let page: Vec<OriginBatch> = batches.iter().skip(from).take(PAGE).cloned().collect();
        Ok(OriginPage {
            next: (from + page.len()) as u64,
            end: batches.len() as u64,
            batches: page,
        })
    }

    async fn trim(&self, _partition: u32, _before: u64) -> Result<(), SourceError> {
        Ok(())
    }
}

fn record(stream: u64) -> OriginRecord {
    OriginRecord {
        stream,
        origin: Origin {
            service: 7,
            version: 1,
        },
        ttl: Duration::from_secs(20),
    }
}

/// Starts an entry on `log`.
fn start_entry(log: &Log) -> Rc<State> {
    let any = "127.0.0.1:1";
    let text = serde_json::json!({
        "name": "entry", "zone": "a", "listen": any, "ready": any, "ready_path": "/ready",
        "gossip": any, "store": any, "grace_s": 8.0, "repeat_ratio": 0.2,
        "repeat_window_s": 10.0,
    });
    let settings: Settings = serde_json::from_value(text).expect("settings");
    let state = State::new(settings, Rc::new(NoCallsDialect), Rc::new(SystemClock));
    let (loads, writes) = (Rc::clone(&state), Rc::clone(&state));
    actix_rt::spawn(origin_log::load(loads, log.clone(), StopSignal::new()));
    actix_rt::spawn(origin_log::write(writes, log.clone(), StopSignal::new()));
    state
}

/// Guards against an entry that knows no streams since the store did not answer, or was
/// restored, while the entry started.
#[rstest]
#[case::available(false, false)]
#[case::away_at_start(true, false)]
#[case::restored_while_read(false, true)]
#[actix_rt::test]
async fn log_read_at_start(#[case] away: bool, #[case] restored: bool) {
    let log = Log::default();
    let now_ms = SystemClock.wall_ms();
    for batch in 0..8 {
        log.add(batch * 10..batch * 10 + 10, now_ms + 20_000);
    }
    log.add(100..150, now_ms - 60_000);
    log.0.unavailable.set(away);
    log.0.restored.set(restored);
    let entry = start_entry(&log);
    if away {
        wait_until("a refusal", || log.0.refused.get() > 1).await;
        assert_eq!(entry.origins.count(), 0);
        log.0.unavailable.set(false);
    }
    wait_until("all valid streams are known", || {
        entry.origins.count() == 80
    })
    .await;
}

/// Guards against reading the log again and again, at a price each time.
#[actix_rt::test]
async fn log_read_once() {
    let log = Log::default();
    log.add(0..10, SystemClock.wall_ms() + 20_000);
    let entry = start_entry(&log);
    wait_until("the streams are known", || entry.origins.count() == 10).await;
    entry.origins.log.push(SystemClock.wall_ms(), &[record(11)]);
    wait_until("it is stored", || entry.origins.log.stored_count() == 1).await;
    assert_eq!(log.0.reads.get(), 1);
}

/// Guards against streams that are lost since the store refused a write, and against more
/// calls while it does.
#[actix_rt::test]
async fn written_after_refusals() {
    let log = Log::default();
    log.0.unavailable.set(true);
    let (entry, began) = (start_entry(&log), Instant::now());
    for stream in 0..50 {
        entry
            .origins
            .log
            .push(SystemClock.wall_ms(), &[record(stream)]);
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let calls = u128::from(log.0.refused.get());
    // Reads of the log are refused as well.
    let most = 2 * (began.elapsed().as_millis() / WRITE_INTERVAL.as_millis() + 1);
    assert!(calls > 1 && calls <= most, "{calls} calls");
    log.0.unavailable.set(false);
    wait_until("all are stored", || entry.origins.log.stored_count() == 50).await;
    let batches = log.0.batches.borrow();
    let streams = batches.iter().flat_map(|b| &b.streams).map(|s| s.stream);
    assert!(streams.eq(0..50));
}

/// Guards against a write for each stream, which would take the store's writes from all
/// other users.
#[actix_rt::test]
async fn streams_written_in_batches() {
    let log = Log::default();
    let (entry, began) = (start_entry(&log), Instant::now());
    for stream in 0..100 {
        entry
            .origins
            .log
            .push(SystemClock.wall_ms(), &[record(stream)]);
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    wait_until("all are stored", || entry.origins.log.stored_count() == 100).await;
    let writes = log.0.batches.borrow().len() as u128;
    let most = began.elapsed().as_millis() / WRITE_INTERVAL.as_millis() + 1;
    assert!(writes <= most, "{writes} writes, at most {most}");
}

//! Measures the chunks per second that one entry relays, and its share of a core.
//! A sidecar generates a chunk every 20 ms for each stream; callers read the
//! chunks as server-sent events. Run it with `cargo bench -p entry --bench relay`.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use base::ids::{BundleSequence, Incarnation, RequestId};
use base::stop::StopSignal;
use bundle::Bundle;
use bytes::Bytes;
use futures_util::StreamExt;
use serde_json::json;
use tarpc::context::Context;
use tokio::net::TcpListener;
use wire::{
    CallHeader, CancelOutcome, Chunk, PullOutcome, PullRequest, Reply, ReserveOutcome,
    ReserveRequest, ServerLoad, Sidecar, StartOutcome, StartRequest,
};

/// Time between two chunks of one stream.
const CHUNK_INTERVAL: Duration = Duration::from_millis(20);

/// Warm-up time in which all streams start.
const WARM_UP: Duration = Duration::from_secs(2);

/// Length of the measurement.
const WINDOW: Duration = Duration::from_secs(3);

/// Number of threads that read answers.
const READERS: usize = 3;

/// The bearer token of the only workspace.
const TOKEN: &str = "token";

fn main() {
    base::logging::init(base::logging::Level::Warn);
    println!("streams  offered/s  relayed/s  entry's share of a core  us/chunk");
    for streams in streams() {
        measure(streams);
    }
}

/// Counters that the threads share.
#[derive(Default)]
struct Counts {
    /// Chunks that callers received.
    chunks: AtomicU64,
    /// Processor time of the entry's thread, in nanoseconds.
    entry_ns: AtomicU64,
}

fn measure(streams: usize) {
    let (sidecar, entry) = (free_addr(), free_addr());
    let counts = Arc::new(Counts::default());
    let stop = StopSignal::new();

    let thread_stop = stop.clone();
    let sidecar_thread = thread::spawn(move || {
        actix_rt::System::new().block_on(async move {
            let listener = TcpListener::bind(sidecar).await.unwrap();
            wire::serve::serve(listener, ChunkSidecar::default(), thread_stop).await;
        });
    });
    let (entry_counts, thread_stop) = (Arc::clone(&counts), stop.clone());
    let entry_thread = thread::spawn(move || run_entry(entry, sidecar, &entry_counts, thread_stop));
    thread::sleep(Duration::from_millis(300));

    let readers: Vec<_> = (0..READERS)
        .map(|i| {
            let (counts, stop) = (Arc::clone(&counts), stop.clone());
            let share = streams / READERS + usize::from(i < streams % READERS);
            thread::spawn(move || read_streams(entry, share, &counts, &stop))
        })
        .collect();

    thread::sleep(WARM_UP);
    let before = sample(&counts);
    thread::sleep(WINDOW);
    let after = sample(&counts);
    stop.trigger();
    for reader in readers {
        reader.join().unwrap();
    }
    // The threads of the entry and the sidecar are detached; they end after their
    // streams.
    drop((sidecar_thread, entry_thread));

    let chunks = (after.0 - before.0) as f64;
    let cpu_seconds = (after.1 - before.1) as f64 / 1e9;
    let offered = streams as f64 / CHUNK_INTERVAL.as_secs_f64();
    println!(
        "{streams:7} {offered:10.0} {:9.0} {:24.3} {:9.2}",
        chunks / WINDOW.as_secs_f64(),
        cpu_seconds / WINDOW.as_secs_f64(),
        cpu_seconds * 1e6 / chunks
    );
}

fn sample(counts: &Counts) -> (u64, u64) {
    (
        counts.chunks.load(Ordering::Relaxed),
        counts.entry_ns.load(Ordering::Relaxed),
    )
}

fn free_addr() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

fn run_entry(listen: SocketAddr, sidecar: SocketAddr, counts: &Arc<Counts>, stop: StopSignal) {
    let settings = json!({
        "name": "entry", "zone": "a", "listen": listen,
        "sidecars": [{"name": "sidecar", "addr": sidecar, "zone": "a", "serves": "model"}],
    });
    let class = json!({
        "tier": 0, "model": "model",
        "targets": {"first_token": "10s", "token_gap": "1s", "whole": "60s"},
    });
    let bundle = json!({
        "classes": {"class": class},
        "workspaces": {"w": {"tokens": [bundle::token_hash(TOKEN)], "classes": ["class"]}},
        "models": {"model": {}}, "operators": {},
    });
    let settings = serde_json::from_value(settings).unwrap();
    let bundle: Bundle = serde_json::from_value(bundle).unwrap();
    let counts = Arc::clone(counts);
    actix_rt::System::new().block_on(async move {
        actix_rt::spawn(async move {
            loop {
                counts.entry_ns.store(thread_ns(), Ordering::Relaxed);
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        });
        entry::run(settings, Some(bundle), stop).await.unwrap();
    });
}

/// Processor time of the calling thread, in nanoseconds.
fn thread_ns() -> u64 {
    let stat = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap();
    stat.split(' ').next().unwrap().parse().unwrap()
}

fn read_streams(entry: SocketAddr, streams: usize, counts: &Arc<Counts>, stop: &StopSignal) {
    let body = json!({"model": "class", "stream": true, "messages": [{"role": "user", "content": "hello"}]}).to_string();
    actix_rt::System::new().block_on(async {
        let connector = awc::Connector::new().limit(0);
        let http = awc::Client::builder()
            .connector(connector)
            .timeout(Duration::from_secs(20))
            .finish();
        for _ in 0..streams {
            let call = http
                .post(format!("http://{entry}/v1/chat/completions"))
                .insert_header(("authorization", format!("Bearer {TOKEN}")))
                .send_body(body.clone());
            let counts = Arc::clone(counts);
            actix_rt::spawn(async move {
                let mut answer = call.await.unwrap();
                assert!(answer.status().is_success(), "{:?}", answer.body().await);
                while let Some(Ok(bytes)) = answer.next().await {
                    let events = bytes.windows(6).filter(|w| w == b"data: ").count();
                    counts.chunks.fetch_add(events as u64, Ordering::Relaxed);
                }
            });
            // Spreads the starts of the streams over the chunk interval.
            tokio::time::sleep(CHUNK_INTERVAL / 200).await;
        }
        stop.wait().await;
    });
}

/// A sidecar that generates a chunk per interval for each started ticket.
#[derive(Clone, Default)]
struct ChunkSidecar {
    started: Rc<RefCell<HashMap<RequestId, Instant>>>,
}

fn reply<T>(body: T) -> Reply<T> {
    Reply {
        sequence: BundleSequence(0),
        incarnation: Incarnation(1),
        load: ServerLoad {
            slots: 10_000,
            ..ServerLoad::default()
        },
        body,
    }
}

impl Sidecar for ChunkSidecar {
    async fn reserve(self, _: Context, _: CallHeader, _: ReserveRequest) -> Reply<ReserveOutcome> {
        reply(ReserveOutcome::Ready {
            lease_ms: 250,
            ttft_us: 0,
            token_us: 0,
            cached_tokens: 0,
        })
    }

    async fn start(self, _: Context, _: CallHeader, request: StartRequest) -> Reply<StartOutcome> {
        let mut started = self.started.borrow_mut();
        started.insert(request.ticket, Instant::now());
        reply(StartOutcome::Running)
    }

    async fn pull(self, _: Context, _: CallHeader, request: PullRequest) -> Reply<PullOutcome> {
        let started_at = self.started.borrow().get(&request.ticket).copied();
        let Some(started_at) = started_at else {
            return reply(PullOutcome::Unknown);
        };
        let due = started_at + CHUNK_INTERVAL * (request.from + 1);
        tokio::time::sleep_until(due.into()).await;
        let generated = (started_at.elapsed().as_micros() / CHUNK_INTERVAL.as_micros()) as u32;
        let chunk = Chunk {
            tokens: 1,
            data: Bytes::from_static(b" token"),
        };
        reply(PullOutcome::Chunks {
            first: request.from,
            chunks: vec![chunk; generated.saturating_sub(request.from) as usize],
            end: None,
        })
    }

    async fn cancel(self, _: Context, _: CallHeader, ticket: RequestId) -> Reply<CancelOutcome> {
        self.started.borrow_mut().remove(&ticket);
        reply(CancelOutcome::Started)
    }

    async fn fetch_bundle(self, _: Context, _: CallHeader) -> Reply<Option<Bytes>> {
        reply(None)
    }

    async fn offer_bundle(self, _: Context, _: CallHeader, _: Bytes) -> Reply<bool> {
        reply(false)
    }
}

/// The numbers of streams to measure, from the command line or the defaults.
fn streams() -> Vec<usize> {
    let arguments: Vec<usize> = std::env::args().filter_map(|a| a.parse().ok()).collect();
    if arguments.is_empty() {
        return vec![100, 500, 1000, 2000, 3000];
    }
    arguments
}

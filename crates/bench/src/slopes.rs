//! Measures how the router's cost grows with the number of requests, chunks,
//! open streams, peers and workspaces, each at three sizes or more.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};
use std::time::{Duration, Instant};

use base::ids::{BundleSequence, RequestId};
use base::settings::HumanDuration;
use bundle::IndexedBundle;
use serde::{Deserialize, Serialize};
use wire::{Peer, Timeouts};

use crate::closed_loop::{self, Route};
use crate::fit::{Line, Point};
use crate::resources;
use crate::testbed::{self, Testbed, TestbedConfig};

/// How long resource use of open streams and idle peers is sampled.
const SAMPLE_TIME: Duration = Duration::from_secs(4);

/// Time for new connections to become idle before sampling starts.
const SETTLE_TIME: Duration = Duration::from_millis(1500);

/// Concurrent requests.
const CONCURRENCY: u64 = 32;

/// Fitted lines by name. The name gives the unit of the cost and the item that
/// it is measured per, as in `entry_us_by_request`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Slopes {
    /// Lines by name.
    pub lines: BTreeMap<String, Line>,
}

/// Resources that a testbed has used: CPU time of the daemons in microseconds,
/// and bytes between entry and sidecars.
#[derive(Debug, Clone, Copy)]
struct Usage {
    entry_us: f64,
    sidecar_us: f64,
    link_bytes: f64,
}

impl Usage {
    fn sample(testbed: &Testbed) -> Self {
        Self {
            entry_us: resources::cpu_time("entry").as_secs_f64() * 1e6,
            sidecar_us: resources::cpu_time("sidecar").as_secs_f64() * 1e6,
            link_bytes: testbed.traffic.get().forwarded_bytes.total() as f64,
        }
    }

    fn since(self, before: Self) -> Self {
        Self {
            entry_us: self.entry_us - before.entry_us,
            sidecar_us: self.sidecar_us - before.sidecar_us,
            link_bytes: self.link_bytes - before.link_bytes,
        }
    }
}

/// Measured points by the name of their line.
#[derive(Default)]
struct Points(BTreeMap<String, Vec<Point>>);

impl Points {
    fn add(&mut self, name: &str, size: u64, cost: f64) {
        let size = size as f64;
        let points = self.0.entry(name.to_owned()).or_default();
        points.push(Point { size, cost });
    }

    fn add_usage(&mut self, by: &str, size: u64, usage: Usage, seconds: f64) {
        self.add(&format!("entry_us_by_{by}"), size, usage.entry_us / seconds);
        self.add(
            &format!("sidecar_us_by_{by}"),
            size,
            usage.sidecar_us / seconds,
        );
        self.add(
            &format!("link_bytes_by_{by}"),
            size,
            usage.link_bytes / seconds,
        );
    }
}

/// Measures all slopes.
///
/// # Errors
///
/// Returns a description of the request or conversion that failed.
pub fn measure() -> Result<Slopes, String> {
    let mut points = Points::default();
    // The measurement that needs little memory comes first: memory that another
    // one has freed would be reused and not be counted.
    peers(&mut points)?;
    requests(&mut points);
    pieces(&mut points);
    streams(&mut points)?;
    workspaces(&mut points)?;
    let lines = points.0.iter();
    let lines = lines.map(|(name, points)| (name.clone(), Line::fit(points)));
    Ok(Slopes {
        lines: lines.collect(),
    })
}

fn start_fast(engines: u8) -> Testbed {
    let config = TestbedConfig {
        engines,
        slots: 16,
        step: HumanDuration::default(),
    };
    config.start()
}

/// Measures the cost of requests with an answer of one token.
fn requests(points: &mut Points) {
    let testbed = start_fast(4);
    let _ = closed_loop::send_requests(testbed.entry, 500, CONCURRENCY, 1);
    for count in [1000, 2000, 4000, 8000] {
        let before = Usage::sample(&testbed);
        let _ = closed_loop::send_requests(testbed.entry, count, CONCURRENCY, 1);
        let usage = Usage::sample(&testbed).since(before);
        points.add_usage("request", count, usage, 1.0);
    }
    testbed.stop();
}

/// Measures the cost of the chunks of streamed answers.
fn pieces(points: &mut Points) {
    let config = TestbedConfig {
        engines: 4,
        slots: 16,
        step: HumanDuration::ms(3),
    };
    let testbed = config.start();
    let _ = closed_loop::send_requests(testbed.entry, 64, CONCURRENCY, 50);
    for answer in [50, 100, 200, 400] {
        let before = Usage::sample(&testbed);
        let totals = closed_loop::send_requests(testbed.entry, 64, CONCURRENCY, answer);
        let usage = Usage::sample(&testbed).since(before);
        points.add_usage("piece", totals.tokens, usage, 1.0);
    }
    testbed.stop();
}

/// Measures the cost of open streams that wait for their next chunk.
fn streams(points: &mut Points) -> Result<(), String> {
    for count in [250, 500, 1000] {
        let testbed = start_slow();
        let seconds = SAMPLE_TIME.as_secs_f64();
        actix_rt::System::new().block_on(async {
            // Both sets of streams stay open together: memory freed by one
            // would be reused by the other and not be counted.
            let direct = hold_streams(&testbed, count, Route::Direct(testbed.engines[0])).await?;
            let routed = hold_streams(&testbed, count, Route::Entry(testbed.entry)).await?;
            let bytes = routed.bytes - direct.bytes;
            points.add("state_bytes_by_open_stream", count, bytes);
            points.add_usage("open_stream_second", count, routed.usage, seconds);
            Ok::<_, String>(())
        })?;
        testbed.stop();
    }
    Ok(())
}

/// Starts a testbed whose engine generates a token every 2.5 seconds.
fn start_slow() -> Testbed {
    let config = TestbedConfig {
        engines: 1,
        slots: 4096,
        step: HumanDuration::ms(2500),
    };
    config.start()
}

/// Cost of streams while no data passes. They stay open until this value is
/// dropped.
struct OpenStreams<S> {
    bytes: f64,
    usage: Usage,
    _streams: Vec<S>,
}

async fn hold_streams(
    testbed: &Testbed,
    count: u64,
    route: Route,
) -> Result<OpenStreams<impl futures_util::Stream + use<>>, String> {
    let before = resources::resident_bytes();
    let http = load::caller::http_client();
    let opening = (0..count).map(|number| {
        let http = http.clone();
        actix_rt::spawn(async move { route.open_stream(&http, number, 10_000).await })
    });
    let opening: Vec<_> = opening.collect();
    let mut streams = Vec::new();
    for stream in opening {
        let (_, stream) = stream.await.map_err(|e| e.to_string())??;
        streams.push(stream);
    }

    tokio::time::sleep(SETTLE_TIME).await;
    let start = Usage::sample(testbed);
    tokio::time::sleep(SAMPLE_TIME).await;
    Ok(OpenStreams {
        bytes: resources::resident_bytes() as f64 - before as f64,
        usage: Usage::sample(testbed).since(start),
        _streams: streams,
    })
}

/// Measures the cost of idle connections to sidecars, counting both ends of
/// each connection together.
fn peers(points: &mut Points) -> Result<(), String> {
    let testbed = start_fast(1);
    actix_rt::System::new().block_on(async {
        let before = resources::resident_bytes();
        let call_header = wire::CallHeader {
            sequence: BundleSequence::default(),
        };
        let mut peers = Vec::new();
        for count in [200, 400, 800, 1600] {
            while peers.len() < count {
                let peer = Peer::new(testbed.proxy, Timeouts::default());
                let sent = peer.cancel(call_header, RequestId::random()).await;
                sent.map_err(|e| e.to_string())?;
                peers.push(peer);
            }
            tokio::time::sleep(SETTLE_TIME).await;
            let bytes = resources::resident_bytes() as f64 - before as f64;
            let count = count as u64;
            points.add("connection_bytes_by_peer", count, bytes);

            let start = Usage::sample(&testbed);
            tokio::time::sleep(SAMPLE_TIME).await;
            let usage = Usage::sample(&testbed).since(start);
            points.add_usage("peer_second", count, usage, SAMPLE_TIME.as_secs_f64());
        }
        Ok::<_, String>(())
    })?;
    testbed.stop();
    Ok(())
}

/// Measures the cost of workspaces in the bundle, which is also the cost of a
/// change that carries the whole bundle.
fn workspaces(points: &mut Points) -> Result<(), String> {
    let mut retained = Vec::new();
    for count in [5_000, 10_000, 20_000, 46_000] {
        let bundle = testbed::bundle(count);
        let json = serde_json::to_vec(&bundle).map_err(|e| e.to_string())?;
        let size = count as u64;
        points.add("bundle_bytes_by_workspace", size, json.len() as f64);

        let started = Instant::now();
        let parsed: bundle::Bundle = serde_json::from_slice(&json).map_err(|e| e.to_string())?;
        let parse_time = started.elapsed();
        let before = resources::resident_bytes();
        let index = IndexedBundle::new(parsed);
        let change_time = parse_time + (started.elapsed() - parse_time);
        points.add(
            "bundle_change_us_by_workspace",
            size,
            change_time.as_secs_f64() * 1e6,
        );
        drop(bundle);
        drop(json);

        let copy = index.clone();
        let bytes = resources::resident_bytes() as f64 - before as f64;
        points.add("lookup_bytes_by_workspace", size, bytes);
        retained.push((index, copy));
    }
    Ok(())
}

impl Display for Slopes {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<34} {:>12} {:>10} {:>14} {:>7}",
            "slope", "per one", "error", "at zero", "r2"
        )?;
        for (name, line) in &self.lines {
            writeln!(
                f,
                "{name:<34} {:>12.3} {:>10.3} {:>14.1} {:>7.4}",
                line.slope, line.std_error, line.intercept, line.r2
            )?;
        }
        Ok(())
    }
}

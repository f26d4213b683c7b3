//! Overhead of a call through the router, compared with calling the engine
//! directly.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use base::settings::HumanDuration;
use futures_util::StreamExt;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::closed_loop::{self, Route};
use crate::resources;
use crate::testbed::{Testbed, TestbedConfig};

/// Requests by each route in the latency measurement.
const LATENCY_REQUESTS: u64 = 3000;

/// Requests in the measurements of requests and of chunks per second.
const THROUGHPUT_REQUESTS: u64 = 20_000;
const STREAMS: u64 = 640;

/// Tokens of each answer in the measurement of chunks per second.
const ANSWER_TOKENS: u32 = 1000;

/// Concurrent requests in the throughput measurements.
const CONCURRENCY: u64 = 64;

/// Results of the overhead benchmark.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Overhead {
    /// Time to the first token when the engine is called directly, in
    /// microseconds.
    pub direct_us: Percentiles,
    /// Time to the first token through the router, in microseconds.
    pub routed_us: Percentiles,
    /// Requests per second through one entry.
    pub requests: Rate,
    /// Streamed chunks per second through one entry.
    pub pieces: Rate,
    /// Resident memory of the whole process while idle, in bytes.
    pub idle_bytes: u64,
}

/// Percentiles of a latency, in microseconds.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Percentiles {
    /// The median.
    pub p50: u64,
    /// The 99th percentile.
    pub p99: u64,
}

/// A throughput and its CPU cost.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Rate {
    /// Items per second of wall time.
    pub per_second: f64,
    /// Items per second of the entry's CPU time: the throughput that one core
    /// could sustain.
    pub per_core: f64,
    /// CPU time of the entry for each item, in microseconds.
    pub entry_us: f64,
    /// CPU time of all sidecars for each item, in microseconds.
    pub sidecar_us: f64,
    /// Requests without a complete answer.
    pub failed: u64,
}

/// Runs all measurements on a fresh testbed.
///
/// # Errors
///
/// Returns a description of the request that failed.
pub fn measure() -> Result<Overhead, String> {
    let config = TestbedConfig {
        engines: 4,
        slots: 16,
        step: HumanDuration::default(),
    };
    let testbed = config.start();
    let idle_bytes = resources::resident_bytes();
    let (direct_us, routed_us) = measure_latency(&testbed)?;
    let requests = measure_rate(&testbed, THROUGHPUT_REQUESTS, 1, |t| t.whole);
    let pieces = measure_rate(&testbed, STREAMS, ANSWER_TOKENS, |t| t.tokens);
    testbed.stop();
    Ok(Overhead {
        direct_us,
        routed_us,
        requests,
        pieces,
        idle_bytes,
    })
}

/// Measures the time to the first token by both routes. The routes alternate
/// so that other load on the machine affects both equally.
fn measure_latency(testbed: &Testbed) -> Result<(Percentiles, Percentiles), String> {
    let routes = [
        Route::Direct(testbed.engines[0]),
        Route::Entry(testbed.entry),
    ];
    let mut times = [histogram()?, histogram()?];
    actix_rt::System::new().block_on(async {
        let http = load::caller::http_client();
        for number in 0..LATENCY_REQUESTS {
            for (route, times) in routes.iter().zip(&mut times) {
                let (first, rest) = route.open_stream(&http, number, 2).await?;
                times.saturating_record(micros(first));
                rest.for_each(|_| async {}).await;
            }
        }
        Ok::<_, String>(())
    })?;
    Ok((Percentiles::of(&times[0]), Percentiles::of(&times[1])))
}

/// Measures throughput with [`CONCURRENCY`] requests in flight; `items`
/// selects what is counted.
fn measure_rate(
    testbed: &Testbed,
    count: u64,
    answer: u32,
    items: impl Fn(&closed_loop::Totals) -> u64,
) -> Rate {
    let (entry, sidecar) = (resources::cpu_time("entry"), resources::cpu_time("sidecar"));
    let totals = closed_loop::send_requests(testbed.entry, count, CONCURRENCY, answer);
    let entry = resources::cpu_time("entry") - entry;
    let sidecar = resources::cpu_time("sidecar") - sidecar;

    let items = items(&totals).max(1) as f64;
    Rate {
        per_second: items / totals.elapsed.as_secs_f64(),
        per_core: items / entry.as_secs_f64(),
        entry_us: entry.as_secs_f64() * 1e6 / items,
        sidecar_us: sidecar.as_secs_f64() * 1e6 / items,
        failed: totals.failed,
    }
}

impl Percentiles {
    fn of(histogram: &Histogram<u64>) -> Self {
        Self {
            p50: histogram.value_at_quantile(0.50),
            p99: histogram.value_at_quantile(0.99),
        }
    }
}

fn histogram() -> Result<Histogram<u64>, String> {
    Histogram::new_with_bounds(1, 60_000_000, 3).map_err(|e| e.to_string())
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

impl Display for Overhead {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let (direct, routed) = (self.direct_us, self.routed_us);
        writeln!(
            f,
            "first token: direct p50={}us p99={}us, routed p50={}us p99={}us, added p50={}us p99={}us",
            direct.p50,
            direct.p99,
            routed.p50,
            routed.p99,
            routed.p50.saturating_sub(direct.p50),
            routed.p99.saturating_sub(direct.p99)
        )?;
        for (name, rate) in [("requests", self.requests), ("pieces", self.pieces)] {
            writeln!(
                f,
                "{name}: {:.0} a second, {:.0} a core-second of the entry, {:.2}us entry, {:.2}us sidecar, failed={}",
                rate.per_second, rate.per_core, rate.entry_us, rate.sidecar_us, rate.failed
            )?;
        }
        write!(
            f,
            "memory idle, whole process with 4 engines: {} KiB",
            self.idle_bytes / 1024
        )
    }
}

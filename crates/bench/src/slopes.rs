//! How the router's cost grows: by request, piece, open stream, peer and
//! workspace, each from at least three sizes.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};
use std::time::{Duration, Instant};

use base::ids::{BundleSequence, RequestId};
use base::settings::HumanDuration;
use bundle::IndexedBundle;
use serde::{Deserialize, Serialize};
use wire::{Peer, Timeouts};

use crate::callers::{self, Way};
use crate::cost;
use crate::fit::{Line, Point};
use crate::site::{self, Layout, Site};

/// How long open streams and idle peers are watched.
const WATCH: Duration = Duration::from_secs(4);

/// How long what was just set up is left alone first.
const SETTLE: Duration = Duration::from_millis(1500);

/// Requests open at once.
const OPEN: u64 = 32;

/// All slopes by name; the name tells the unit and by what it grows.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Slopes {
    /// The lines by name.
    pub lines: BTreeMap<String, Line>,
}

/// What a site has cost so far.
#[derive(Debug, Clone, Copy)]
struct Spent {
    entry_us: f64,
    sidecar_us: f64,
    link_bytes: f64,
}

impl Spent {
    fn of(site: &Site) -> Self {
        Self {
            entry_us: cost::cpu("entry").as_secs_f64() * 1e6,
            sidecar_us: cost::cpu("sidecar").as_secs_f64() * 1e6,
            link_bytes: site.traffic.get().forwarded_bytes.total() as f64,
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

/// Points by the name of their line.
#[derive(Default)]
struct Points(BTreeMap<String, Vec<Point>>);

impl Points {
    fn add(&mut self, name: &str, size: u64, cost: f64) {
        let size = size as f64;
        let points = self.0.entry(name.to_owned()).or_default();
        points.push(Point { size, cost });
    }

    fn add_spent(&mut self, by: &str, size: u64, spent: Spent, seconds: f64) {
        self.add(&format!("entry_us_by_{by}"), size, spent.entry_us / seconds);
        self.add(
            &format!("sidecar_us_by_{by}"),
            size,
            spent.sidecar_us / seconds,
        );
        self.add(
            &format!("link_bytes_by_{by}"),
            size,
            spent.link_bytes / seconds,
        );
    }
}

/// Measures all slopes.
///
/// # Errors
///
/// Returns what went wrong, in words.
pub fn measure() -> Result<Slopes, String> {
    let mut points = Points::default();
    // First what needs little memory: what others gave back would be used
    // again and go uncounted.
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

fn fast(engines: u8) -> Site {
    let layout = Layout {
        engines,
        slots: 16,
        step: HumanDuration::default(),
    };
    layout.start()
}

/// Cost of requests with an answer of one token.
fn requests(points: &mut Points) {
    let site = fast(4);
    let _ = callers::send(site.entry, 500, OPEN, 1);
    for count in [1000, 2000, 4000, 8000] {
        let before = Spent::of(&site);
        let _ = callers::send(site.entry, count, OPEN, 1);
        let spent = Spent::of(&site).since(before);
        points.add_spent("request", count, spent, 1.0);
    }
    site.end();
}

/// Cost of the pieces of answers.
fn pieces(points: &mut Points) {
    let layout = Layout {
        engines: 4,
        slots: 16,
        step: HumanDuration::ms(3),
    };
    let site = layout.start();
    let _ = callers::send(site.entry, 64, OPEN, 50);
    for answer in [50, 100, 200, 400] {
        let before = Spent::of(&site);
        let tally = callers::send(site.entry, 64, OPEN, answer);
        let spent = Spent::of(&site).since(before);
        points.add_spent("piece", tally.tokens, spent, 1.0);
    }
    site.end();
}

/// Cost of streams that are open and wait for their next piece.
fn streams(points: &mut Points) -> Result<(), String> {
    for count in [250, 500, 1000] {
        let site = slow();
        let seconds = WATCH.as_secs_f64();
        actix_rt::System::new().block_on(async {
            // Both kinds stay open together: memory that one had given back
            // would be used again by the other and go uncounted.
            let direct = hold(&site, count, Way::Direct(site.engines[0])).await?;
            let routed = hold(&site, count, Way::Entry(site.entry)).await?;
            let bytes = routed.bytes - direct.bytes;
            points.add("state_bytes_by_open_stream", count, bytes);
            points.add_spent("open_stream_second", count, routed.spent, seconds);
            Ok::<_, String>(())
        })?;
        site.end();
    }
    Ok(())
}

/// A site whose engine makes a token every few seconds.
fn slow() -> Site {
    let layout = Layout {
        engines: 1,
        slots: 4096,
        step: HumanDuration::ms(2500),
    };
    layout.start()
}

/// What open streams cost while nothing passes. They stay open for as long as
/// this lives.
struct Held<S> {
    bytes: f64,
    spent: Spent,
    _open: Vec<S>,
}

async fn hold(
    site: &Site,
    count: u64,
    way: Way,
) -> Result<Held<impl futures_util::Stream + use<>>, String> {
    let before = cost::memory();
    let http = load::caller::http_client();
    let opening = (0..count).map(|number| {
        let http = http.clone();
        actix_rt::spawn(async move { way.open(&http, number, 10_000).await })
    });
    let opening: Vec<_> = opening.collect();
    let mut open = Vec::new();
    for stream in opening {
        let (_, stream) = stream.await.map_err(|e| e.to_string())??;
        open.push(stream);
    }

    tokio::time::sleep(SETTLE).await;
    let start = Spent::of(site);
    tokio::time::sleep(WATCH).await;
    Ok(Held {
        bytes: cost::memory() as f64 - before as f64,
        spent: Spent::of(site).since(start),
        _open: open,
    })
}

/// Cost of connections to sidecars on which nothing passes, both ends of each
/// counted together.
fn peers(points: &mut Points) -> Result<(), String> {
    let site = fast(1);
    actix_rt::System::new().block_on(async {
        let before = cost::memory();
        let stamp = wire::CallHeader {
            sequence: BundleSequence::default(),
        };
        let mut open = Vec::new();
        for count in [200, 400, 800, 1600] {
            while open.len() < count {
                let peer = Peer::new(site.link, Timeouts::default());
                let sent = peer.cancel(stamp, RequestId::random()).await;
                sent.map_err(|e| e.to_string())?;
                open.push(peer);
            }
            tokio::time::sleep(SETTLE).await;
            let bytes = cost::memory() as f64 - before as f64;
            let count = count as u64;
            points.add("connection_bytes_by_peer", count, bytes);

            let start = Spent::of(&site);
            tokio::time::sleep(WATCH).await;
            let spent = Spent::of(&site).since(start);
            points.add_spent("peer_second", count, spent, WATCH.as_secs_f64());
        }
        Ok::<_, String>(())
    })?;
    site.end();
    Ok(())
}

/// Cost of workspaces in the bundle, and so of a change that carries it whole.
fn workspaces(points: &mut Points) -> Result<(), String> {
    let mut kept = Vec::new();
    for count in [5_000, 10_000, 20_000, 46_000] {
        let bundle = site::bundle(count);
        let json = serde_json::to_vec(&bundle).map_err(|e| e.to_string())?;
        let size = count as u64;
        points.add("bundle_bytes_by_workspace", size, json.len() as f64);

        let began = Instant::now();
        let parsed: bundle::Bundle = serde_json::from_slice(&json).map_err(|e| e.to_string())?;
        let parse = began.elapsed();
        let before = cost::memory();
        let lookup = IndexedBundle::new(parsed);
        let took = parse + (began.elapsed() - parse);
        points.add(
            "bundle_change_us_by_workspace",
            size,
            took.as_secs_f64() * 1e6,
        );
        drop(bundle);
        drop(json);

        let copy = lookup.clone();
        let bytes = cost::memory() as f64 - before as f64;
        points.add("lookup_bytes_by_workspace", size, bytes);
        kept.push((lookup, copy));
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
                line.slope, line.error, line.base, line.r2
            )?;
        }
        Ok(())
    }
}

//! Extrapolates the measured slopes to the target deployment size. Produces
//! the tables of docs/CAPACITY.md.

use std::fmt::Write as _;

use crate::fit::Line;
use crate::slopes::Slopes;

/// Size of the deployment that the router is designed for.
mod scale {
    /// Entries.
    pub(super) const ENTRIES: f64 = 1_500.0;
    /// Backend servers, each with a sidecar.
    pub(super) const SIDECARS: f64 = 10_000.0;
    /// Requests per second at the peak.
    pub(super) const REQUESTS: f64 = 50_000.0;
    /// Tokens per second at the peak.
    pub(super) const TOKENS: f64 = 14_000_000.0;
    /// Time between tokens, in seconds.
    pub(super) const GAP: f64 = 0.043;
    /// Workspaces.
    pub(super) const WORKSPACES: f64 = 46_000.0;
    /// Models that each entry routes to at any time.
    pub(super) const MODELS: f64 = 12.0;
    /// Configuration changes per day.
    pub(super) const CHANGES: f64 = 27_000.0;
    /// Sidecars of each model that an entry keeps a connection to.
    pub(super) const SUBSET: f64 = 8.0;
}

/// Limits on what a daemon may use for control traffic.
mod budget {
    /// Share of one CPU core.
    pub(super) const CORE: f64 = 0.041;
    /// Memory, in bytes.
    pub(super) const BYTES: f64 = 128.0 * 1024.0 * 1024.0;
    /// Traffic, in bytes per second.
    pub(super) const TRAFFIC: f64 = 8.0 * 1024.0;
}

/// Seconds in a day.
const DAY: f64 = 86_400.0;

/// Microseconds in a second.
const MICROS: f64 = 1e6;

/// Load of one daemon at the peak.
struct DaemonLoad {
    name: &'static str,
    prefix: &'static str,
    requests: f64,
    pieces: f64,
    streams: f64,
    peers: f64,
}

/// Computes the tables, as Markdown.
///
/// # Errors
///
/// Names the line that is missing from the slopes.
pub fn tables(slopes: &Slopes) -> Result<String, String> {
    let mut out = String::new();
    for load in [entry(), sidecar()] {
        // Writing to memory cannot fail.
        let _ = write!(out, "{}", table(&load, slopes)?);
    }
    let _ = write!(out, "{}", changes(slopes)?);
    Ok(out)
}

fn entry() -> DaemonLoad {
    let share = 1.0 / scale::ENTRIES;
    DaemonLoad {
        name: "entry",
        prefix: "entry",
        requests: scale::REQUESTS * share,
        pieces: scale::TOKENS * share,
        streams: scale::TOKENS * scale::GAP * share,
        peers: scale::MODELS * scale::SUBSET,
    }
}

fn sidecar() -> DaemonLoad {
    let share = 1.0 / scale::SIDECARS;
    DaemonLoad {
        name: "sidecar",
        prefix: "sidecar",
        requests: scale::REQUESTS * share,
        pieces: scale::TOKENS * share,
        streams: scale::TOKENS * scale::GAP * share,
        peers: scale::ENTRIES * scale::MODELS * scale::SUBSET * share,
    }
}

fn table(load: &DaemonLoad, slopes: &Slopes) -> Result<String, String> {
    let unit_cost = |name: &str| slope(slopes, name);
    let cpu = |by: &str| unit_cost(&format!("{}_us_by_{by}", load.prefix));
    let link = |by: &str| unit_cost(&format!("link_bytes_by_{by}"));
    let idle = intercept(slopes, &format!("{}_us_by_peer_second", load.prefix))?;
    let rows = [
        ("the process itself, idle", 1.0, idle, 0.0, 0.0),
        (
            "requests a second",
            load.requests,
            cpu("request")?,
            link("request")?,
            0.0,
        ),
        (
            "pieces a second",
            load.pieces,
            cpu("piece")?,
            link("piece")?,
            0.0,
        ),
        (
            "open streams",
            load.streams,
            cpu("open_stream_second")?,
            link("open_stream_second")?,
            unit_cost("state_bytes_by_open_stream")?,
        ),
        (
            "peers",
            load.peers,
            cpu("peer_second")?,
            link("peer_second")?,
            unit_cost("connection_bytes_by_peer")?,
        ),
    ];

    let mut out = format!(
        "### {}\n\n| what | how many | us each a second | share of a core | bytes/s | state, MB |\n|---|---|---|---|---|---|\n",
        load.name
    );
    let (mut cores, mut traffic, mut state_bytes) = (0.0, 0.0, 0.0);
    for (name, count, us, bytes, state_each) in rows {
        let (us, bytes, state_each) = (us.max(0.0), bytes.max(0.0), state_each.max(0.0));
        cores += count * us / MICROS;
        traffic += count * bytes;
        state_bytes += count * state_each;
        let _ = writeln!(
            out,
            "| {name} | {count:.1} | {us:.2} | {:.4} | {:.0} | {:.2} |",
            count * us / MICROS,
            count * bytes,
            count * state_each / 1e6
        );
    }
    let index_bytes = unit_cost("lookup_bytes_by_workspace")? * scale::WORKSPACES;
    let _ = writeln!(
        out,
        "| workspaces | {:.0} | | | | {:.2} |",
        scale::WORKSPACES,
        index_bytes / 1e6
    );
    let _ = writeln!(
        out,
        "| all | | | {cores:.4} | {traffic:.0} | {:.2} |\n",
        (state_bytes + index_bytes) / 1e6
    );

    let control = (idle.max(0.0) + load.peers * cpu("peer_second")?.max(0.0)) / MICROS;
    let bytes = load.peers * link("peer_second")?.max(0.0);
    let _ = writeln!(
        out,
        "Control alone, without the changes below: {} of a core, {} bytes/s, {} MB of state.\n",
        with_budget(control, budget::CORE),
        with_budget(bytes, budget::TRAFFIC),
        with_budget((state_bytes + index_bytes) / 1e6, budget::BYTES / 1e6)
    );
    Ok(out)
}

/// Cost of bundle changes for each daemon.
fn changes(slopes: &Slopes) -> Result<String, String> {
    let rate = scale::CHANGES / DAY;
    let bytes = slope(slopes, "bundle_bytes_by_workspace")?;
    let us = slope(slopes, "bundle_change_us_by_workspace")?;
    let rows = [
        ("the whole bundle", scale::WORKSPACES),
        ("one workspace", 1.0),
    ];
    let mut out = String::from(
        "### changes of the bundle, each daemon\n\n| a change carries | bytes | bytes/s | share of a core |\n|---|---|---|---|\n",
    );
    for (name, count) in rows {
        let _ = writeln!(
            out,
            "| {name} | {:.0} | {} | {} |",
            bytes * count,
            with_budget(bytes * count * rate, budget::TRAFFIC),
            with_budget(us * count * rate / MICROS, budget::CORE)
        );
    }
    let _ = writeln!(out, "\n{rate:.4} changes a second.");
    Ok(out)
}

/// Formats a figure with its budget, and marks it when it exceeds the budget.
fn with_budget(value: f64, budget: f64) -> String {
    let mark = if value > budget { ", BREAKS" } else { "" };
    format!("{value:.4} (budget {budget:.3}{mark})")
}

fn slope(slopes: &Slopes, name: &str) -> Result<f64, String> {
    line(slopes, name).map(|l| l.slope)
}

fn intercept(slopes: &Slopes, name: &str) -> Result<f64, String> {
    line(slopes, name).map(|l| l.intercept)
}

fn line<'a>(slopes: &'a Slopes, name: &str) -> Result<&'a Line, String> {
    let found = slopes.lines.get(name);
    found.ok_or_else(|| format!("step=capacity: no line {name:?} among the slopes"))
}

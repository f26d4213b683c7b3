//! The measured slopes multiplied to the size to design for; the tables of
//! docs/CAPACITY.md come from here.

use std::fmt::Write as _;

use crate::fit::Line;
use crate::slopes::Slopes;

/// The size to design for.
mod size {
    /// Entries.
    pub(super) const ENTRIES: f64 = 1_500.0;
    /// Backend servers, each with a sidecar.
    pub(super) const SIDECARS: f64 = 10_000.0;
    /// Requests a second at the peak.
    pub(super) const REQUESTS: f64 = 50_000.0;
    /// Tokens a second at the peak.
    pub(super) const TOKENS: f64 = 14_000_000.0;
    /// Time between tokens, in seconds.
    pub(super) const GAP: f64 = 0.043;
    /// Workspaces.
    pub(super) const WORKSPACES: f64 = 46_000.0;
    /// Models in steady use.
    pub(super) const MODELS: f64 = 12.0;
    /// Changes of configuration a day.
    pub(super) const CHANGES: f64 = 27_000.0;
    /// Sidecars of one model that an entry keeps a connection to.
    pub(super) const SUBSET: f64 = 8.0;
}

/// What a daemon may spend for control.
mod budget {
    /// Share of a core.
    pub(super) const CORE: f64 = 0.041;
    /// Memory, in bytes.
    pub(super) const BYTES: f64 = 128.0 * 1024.0 * 1024.0;
    /// Traffic, in bytes a second.
    pub(super) const TRAFFIC: f64 = 8.0 * 1024.0;
}

/// Seconds in a day.
const DAY: f64 = 86_400.0;

/// Microseconds in a second.
const MICROS: f64 = 1e6;

/// What one daemon handles at the peak.
struct Share {
    name: &'static str,
    prefix: &'static str,
    requests: f64,
    pieces: f64,
    open: f64,
    peers: f64,
}

/// Works out the tables, as Markdown.
///
/// # Errors
///
/// Names the line that the slopes do not have.
pub fn tables(slopes: &Slopes) -> Result<String, String> {
    let mut out = String::new();
    for share in [entry(), sidecar()] {
        // Writing to memory cannot fail.
        let _ = write!(out, "{}", table(&share, slopes)?);
    }
    let _ = write!(out, "{}", changes(slopes)?);
    Ok(out)
}

fn entry() -> Share {
    let share = 1.0 / size::ENTRIES;
    Share {
        name: "entry",
        prefix: "entry",
        requests: size::REQUESTS * share,
        pieces: size::TOKENS * share,
        open: size::TOKENS * size::GAP * share,
        peers: size::MODELS * size::SUBSET,
    }
}

fn sidecar() -> Share {
    let share = 1.0 / size::SIDECARS;
    Share {
        name: "sidecar",
        prefix: "sidecar",
        requests: size::REQUESTS * share,
        pieces: size::TOKENS * share,
        open: size::TOKENS * size::GAP * share,
        peers: size::ENTRIES * size::MODELS * size::SUBSET * share,
    }
}

fn table(share: &Share, slopes: &Slopes) -> Result<String, String> {
    let per_one = |name: &str| slope(slopes, name);
    let cpu = |by: &str| per_one(&format!("{}_us_by_{by}", share.prefix));
    let link = |by: &str| per_one(&format!("link_bytes_by_{by}"));
    let idle = base(slopes, &format!("{}_us_by_peer_second", share.prefix))?;
    let rows = [
        ("the process itself, idle", 1.0, idle, 0.0, 0.0),
        (
            "requests a second",
            share.requests,
            cpu("request")?,
            link("request")?,
            0.0,
        ),
        (
            "pieces a second",
            share.pieces,
            cpu("piece")?,
            link("piece")?,
            0.0,
        ),
        (
            "open streams",
            share.open,
            cpu("open_stream_second")?,
            link("open_stream_second")?,
            per_one("state_bytes_by_open_stream")?,
        ),
        (
            "peers",
            share.peers,
            cpu("peer_second")?,
            link("peer_second")?,
            per_one("connection_bytes_by_peer")?,
        ),
    ];

    let mut out = format!(
        "### {}\n\n| what | how many | us each a second | share of a core | bytes/s | state, MB |\n|---|---|---|---|---|---|\n",
        share.name
    );
    let (mut cores, mut traffic, mut state) = (0.0, 0.0, 0.0);
    for (name, count, us, bytes, held) in rows {
        let (us, bytes, held) = (us.max(0.0), bytes.max(0.0), held.max(0.0));
        cores += count * us / MICROS;
        traffic += count * bytes;
        state += count * held;
        let _ = writeln!(
            out,
            "| {name} | {count:.1} | {us:.2} | {:.4} | {:.0} | {:.2} |",
            count * us / MICROS,
            count * bytes,
            count * held / 1e6
        );
    }
    let lookup = per_one("lookup_bytes_by_workspace")? * size::WORKSPACES;
    let _ = writeln!(
        out,
        "| workspaces | {:.0} | | | | {:.2} |",
        size::WORKSPACES,
        lookup / 1e6
    );
    let _ = writeln!(
        out,
        "| all | | | {cores:.4} | {traffic:.0} | {:.2} |\n",
        (state + lookup) / 1e6
    );

    let control = (idle.max(0.0) + share.peers * cpu("peer_second")?.max(0.0)) / MICROS;
    let bytes = share.peers * link("peer_second")?.max(0.0);
    let _ = writeln!(
        out,
        "Control alone, without the changes below: {} of a core, {} bytes/s, {} MB of state.\n",
        against(control, budget::CORE),
        against(bytes, budget::TRAFFIC),
        against((state + lookup) / 1e6, budget::BYTES / 1e6)
    );
    Ok(out)
}

/// What changes of the bundle cost each daemon.
fn changes(slopes: &Slopes) -> Result<String, String> {
    let rate = size::CHANGES / DAY;
    let bytes = slope(slopes, "bundle_bytes_by_workspace")?;
    let us = slope(slopes, "bundle_change_us_by_workspace")?;
    let rows = [
        ("the whole bundle", size::WORKSPACES),
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
            against(bytes * count * rate, budget::TRAFFIC),
            against(us * count * rate / MICROS, budget::CORE)
        );
    }
    let _ = writeln!(out, "\n{rate:.4} changes a second.");
    Ok(out)
}

/// A figure beside its budget.
fn against(value: f64, budget: f64) -> String {
    let mark = if value > budget { ", BREAKS" } else { "" };
    format!("{value:.4} (budget {budget:.3}{mark})")
}

fn slope(slopes: &Slopes, name: &str) -> Result<f64, String> {
    line(slopes, name).map(|l| l.slope)
}

fn base(slopes: &Slopes, name: &str) -> Result<f64, String> {
    line(slopes, name).map(|l| l.base)
}

fn line<'a>(slopes: &'a Slopes, name: &str) -> Result<&'a Line, String> {
    let found = slopes.lines.get(name);
    found.ok_or_else(|| format!("step=capacity: no line {name:?} among the slopes"))
}

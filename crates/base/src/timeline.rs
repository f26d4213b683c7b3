//! The events of one request, collected from the logs of several daemons.
//!
//! The result has the log lines with the request's id, and those that the same
//! daemons logged in the meantime about the store and the servers involved.
//! The latter tell on which state the daemons based their decisions.

use std::collections::BTreeSet;

/// How long before the request's first line other lines are included, in
/// milliseconds. A daemon's view of a server is at most seconds old.
const LOOKBACK_MS: u64 = 5_000;

/// Events that change a daemon's view of the system, apart from those about
/// servers.
const STATE_EVENTS: [&str; 7] = [
    "store lost",
    "store regained",
    "catalog in force",
    "entry drains",
    "entry started",
    "settings read",
    "log lines left out",
];

/// One log line.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct LogLine {
    /// The time of the event, in milliseconds since the Unix epoch.
    pub time: u64,
    /// The name of the daemon that logged the line, or else of its log.
    pub daemon: String,
    /// The text of the line, starting with `time=`.
    pub text: String,
}

impl LogLine {
    /// Parses a line. A word before `time=` is taken as the daemon's name, else
    /// `daemon` is used. Returns `None` when the line has no valid time.
    #[must_use]
    pub fn parse(daemon: &str, raw: &str) -> Option<Self> {
        let at = raw.find("time=")?;
        let (prefix, text) = raw.split_at(at);
        let time = find_value(text, "time")?.parse().ok()?;
        let name_prefix = prefix.split_whitespace().last();
        Some(Self {
            time,
            daemon: name_prefix.unwrap_or(daemon).to_owned(),
            text: text.trim_end().to_owned(),
        })
    }

    /// The value of a key, or `None` when the line does not have it.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&str> {
        find_value(&self.text, key)
    }
}

/// The lines relevant to the request `id`, ordered by time.
#[must_use]
pub fn request_timeline(id: &str, lines: &[LogLine]) -> Vec<LogLine> {
    let own_lines: Vec<&LogLine> = lines.iter().filter(|l| l.get("id") == Some(id)).collect();
    let Some(first) = own_lines.iter().map(|l| l.time).min() else {
        return Vec::new();
    };
    let last = own_lines.iter().map(|l| l.time).max().unwrap_or(first);
    let keys = ["server", "from", "at"];
    let servers: BTreeSet<&str> = own_lines
        .iter()
        .flat_map(|l| keys.iter().filter_map(|k| l.get(k)))
        .collect();
    let daemons: BTreeSet<&str> = own_lines.iter().map(|l| l.daemon.as_str()).collect();

    let relevant = |l: &&LogLine| {
        if l.get("id") == Some(id) {
            return true;
        }
        let event = l.get("event").unwrap_or("");
        let names_server = l.get("server").is_some_and(|s| servers.contains(s));
        let changes_state =
            STATE_EVENTS.contains(&event) || names_server && event.starts_with("server ");
        let in_window = (first.saturating_sub(LOOKBACK_MS)..=last).contains(&l.time);
        changes_state && in_window && l.get("id").is_none() && daemons.contains(l.daemon.as_str())
    };
    let mut timeline: Vec<LogLine> = lines.iter().filter(relevant).cloned().collect();
    // The sort is stable: lines of one daemon keep their order within a
    // millisecond.
    timeline.sort_by_key(|l| l.time);
    timeline
}

/// Finds the value of `key` in a line of key=value pairs, without quotes around
/// it.
fn find_value<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let mut rest = text;
    while let Some((name, after)) = rest.split_once('=') {
        let name = name.trim_start();
        let (value, next) = match after.strip_prefix('"') {
            Some(quoted) => split_quoted(quoted)?,
            None => after.split_once(' ').unwrap_or((after, "")),
        };
        if name == key {
            return Some(value);
        }
        rest = next;
    }
    None
}

/// Splits the text at the first quote that is not escaped.
fn split_quoted(text: &str) -> Option<(&str, &str)> {
    let mut escaped = false;
    for (at, c) in text.char_indices() {
        match c {
            '"' if !escaped => return Some((&text[..at], &text[at + 1..])),
            _ => escaped = c == '\\' && !escaped,
        }
    }
    None
}

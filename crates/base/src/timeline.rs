//! The story of one request, from the logs of several daemons.
//!
//! Lines that name the request come first; then what the same daemons logged
//! meanwhile about the servers that the request met and about the store, which
//! is what they believed when they decided.

use std::collections::BTreeSet;

/// How long before the request's first line other lines may matter, in
/// milliseconds: what a daemon believes of a server is seconds old at most.
const BEFORE_MS: u64 = 5_000;

/// Events that say what a daemon believes, beside those about servers.
const BELIEFS: [&str; 7] = [
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
    /// When it was logged, in milliseconds since the Unix epoch.
    pub time: u64,
    /// The daemon that logged it, as far as the log says.
    pub daemon: String,
    /// The line from its time on.
    pub text: String,
}

impl LogLine {
    /// Reads a line; `daemon` says whose log it is unless a name stands
    /// before the line's time.
    #[must_use]
    pub fn parse(daemon: &str, raw: &str) -> Option<Self> {
        let at = raw.find("time=")?;
        let (before, text) = raw.split_at(at);
        let time = value(text, "time")?.parse().ok()?;
        let named = before.split_whitespace().last();
        Some(Self {
            time,
            daemon: named.unwrap_or(daemon).to_owned(),
            text: text.trim_end().to_owned(),
        })
    }

    /// The value of a key; none when the line does not have it.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&str> {
        value(&self.text, key)
    }
}

/// The lines that tell what became of the request `id`, in order of time.
#[must_use]
pub fn request_timeline(id: &str, lines: &[LogLine]) -> Vec<LogLine> {
    let own: Vec<&LogLine> = lines.iter().filter(|l| l.get("id") == Some(id)).collect();
    let Some(first) = own.iter().map(|l| l.time).min() else {
        return Vec::new();
    };
    let last = own.iter().map(|l| l.time).max().unwrap_or(first);
    let keys = ["server", "from", "at"];
    let servers: BTreeSet<&str> = own
        .iter()
        .flat_map(|l| keys.iter().filter_map(|k| l.get(k)))
        .collect();
    let daemons: BTreeSet<&str> = own.iter().map(|l| l.daemon.as_str()).collect();

    let matters = |l: &&LogLine| {
        if l.get("id") == Some(id) {
            return true;
        }
        let event = l.get("event").unwrap_or("");
        let about = l.get("server").is_some_and(|s| servers.contains(s));
        let belief = BELIEFS.contains(&event) || about && event.starts_with("server ");
        let near = (first.saturating_sub(BEFORE_MS)..=last).contains(&l.time);
        belief && near && l.get("id").is_none() && daemons.contains(l.daemon.as_str())
    };
    let mut story: Vec<LogLine> = lines.iter().filter(matters).cloned().collect();
    // Lines of one daemon stay in its order within a millisecond.
    story.sort_by_key(|l| l.time);
    story
}

/// The value of `key` in a line of key=value pairs; a quoted one without its
/// quotes.
fn value<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let mut rest = text;
    while let Some((name, after)) = rest.split_once('=') {
        let name = name.trim_start();
        let (value, next) = match after.strip_prefix('"') {
            Some(quoted) => quoted_end(quoted)?,
            None => after.split_once(' ').unwrap_or((after, "")),
        };
        if name == key {
            return Some(value);
        }
        rest = next;
    }
    None
}

/// Cuts a quoted value off, at the first quote that is not escaped.
fn quoted_end(text: &str) -> Option<(&str, &str)> {
    let mut escaped = false;
    for (at, c) in text.char_indices() {
        match c {
            '"' if !escaped => return Some((&text[..at], &text[at + 1..])),
            _ => escaped = c == '\\' && !escaped,
        }
    }
    None
}

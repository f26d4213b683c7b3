//! Golden files of sessions over loopback sockets.
//!
//! Each file under `sessions/` starts daemons and stand-ins, sends requests of
//! callers and operators, and contains the answers, with random identifiers
//! written as `<id>` and counters in alphabetical order. Update them with
//! `UPDATE_GOLDENFILES=1 cargo test -p demo --test whole`.

use std::error::Error;
use std::fmt::Write as _;
use std::path::PathBuf;
use std::time::Duration;

use crate::common::SmallFleet;
use rstest::rstest;

/// Timeout for an answer.
const TIMEOUT: Duration = Duration::from_secs(30);

/// The counters that sessions print.
const PRINTED_COUNTERS: [&str; 3] = [
    "pimentocart_grants_total",
    "pimentocart_refusals_total",
    "pimentocart_retries_total",
];

/// Number of slots of the session's engine, and its step time in milliseconds.
const SLOTS: usize = 8;
const STEP_MS: u64 = 1;

#[rstest]
fn session_golden(#[files("tests/sessions/*")] path: PathBuf) {
    goldenscript::run(&mut Session::default(), path)
        .expect("the session differs from its golden file");
}

/// A session's commands.
#[derive(Debug, goldenscript::Command)]
enum Command {
    /// Starts a fleet of one engine, one plain service, their sidecars and
    /// an entry.
    Start,
    /// Sends one call and prints its answer.
    Send {
        method: String,
        path: String,
        #[arg(key)]
        token: Option<String>,
        #[arg(key)]
        class: Option<String>,
        #[arg(key)]
        repeat: Option<String>,
        #[arg(key)]
        key: Option<String>,
        #[arg(key)]
        body: Option<String>,
        /// Size in bytes of a body of repeated `x`, used in place of `body`.
        #[arg(key)]
        bytes: Option<usize>,
    },
    /// Prints how often the stand-ins ran the request with a mark.
    Seen(String),
    /// Prints the entry's counters of grants, refusals and retries.
    Counters,
    /// Prints the answer to a path at the entry's operators' address.
    Ask(String),
}

/// A session and, once started, its daemons.
#[derive(Default)]
struct Session {
    fleet: Option<SmallFleet>,
}

impl goldenscript::Runner for Session {
    type Command = Command;

    fn run(
        &mut self,
        command: &Command,
        _: &goldenscript::Context,
    ) -> Result<String, Box<dyn Error>> {
        if let Command::Start = command {
            self.fleet = Some(SmallFleet::start(SLOTS, STEP_MS));
            return Ok(String::new());
        }
        let fleet = self.fleet.as_ref().ok_or("start the fleet first")?;
        match command {
            Command::Start => Ok(String::new()),
            Command::Send { .. } => send(fleet, command),
            Command::Seen(mark) => {
                let seen = fleet.ledger.counts(mark);
                Ok(format!(
                    "runs={} ended={} tokens={}\n",
                    seen.runs, seen.completed_runs, seen.output_tokens
                ))
            }
            Command::Counters => {
                let text = fleet.ask_entry("/metrics")?;
                let shown = |l: &str| PRINTED_COUNTERS.iter().any(|name| l.starts_with(name));
                let counted = |l: &&str| shown(l) && !l.ends_with(" 0");
                let mut lines: Vec<_> = text.lines().filter(counted).collect();
                lines.sort_unstable();
                Ok(lines.iter().fold(String::new(), |out, l| out + l + "\n"))
            }
            Command::Ask(path) => fleet.ask_entry(path),
        }
    }

    fn end_script(&mut self) -> Result<(), Box<dyn Error>> {
        if let Some(fleet) = &mut self.fleet {
            fleet.stop();
        }
        Ok(())
    }
}

/// Sends one call and formats its answer.
fn send(fleet: &SmallFleet, command: &Command) -> Result<String, Box<dyn Error>> {
    let Command::Send {
        method,
        path,
        token,
        class,
        repeat,
        key,
        body,
        bytes,
    } = command
    else {
        return Err("not a call".into());
    };
    let url = format!("http://{}{path}", fleet.entry());
    let body = match bytes {
        Some(count) => "x".repeat(*count),
        None => body.clone().unwrap_or_default(),
    };
    actix_rt::System::new().block_on(async {
        let http = awc::Client::builder().timeout(TIMEOUT).finish();
        let mut request = http
            .request(method.parse()?, url)
            .content_type("application/json");
        if let Some(token) = token {
            request = request.bearer_auth(token);
        }
        let headers = [
            ("x-request-class", class),
            ("x-no-repeat", repeat),
            ("idempotency-key", key),
        ];
        for (name, value) in headers {
            if let Some(value) = value {
                request = request.insert_header((name, value.as_str()));
            }
        }
        let mut response = request.send_body(body).await.map_err(|e| e.to_string())?;
        let mut out = format!("{}\n", response.status().as_u16());
        for name in ["content-type", "retry-after"] {
            if let Some(value) = response.headers().get(name) {
                writeln!(out, "{name}: {}", value.to_str()?)?;
            }
        }
        let text = response.body().await?;
        out.push_str(&normalize(std::str::from_utf8(&text)?));
        Ok(out)
    })
}

/// Replaces random identifiers by `<id>` and drops empty lines.
fn normalize(text: &str) -> String {
    let mut out = String::new();
    for line in text.lines().filter(|l| !l.is_empty()) {
        let mut rest = line;
        while let Some(at) = rest.find(r#""id":""#) {
            let (before, after) = rest.split_at(at + 6);
            out.push_str(before);
            out.push_str("<id>");
            rest = after.split_once('"').map_or("", |(_, r)| r);
            out.push('"');
        }
        out.push_str(rest);
        out.push('\n');
    }
    out
}

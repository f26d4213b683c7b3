//! Golden files of whole sessions over real loopback sockets.
//!
//! Each file under `sessions/` starts daemons and stand-ins, sends what a
//! caller or an operator would send, and holds what came back, with random
//! identities written as `<id>` and counters in alphabetical order. Refresh them by
//! `UPDATE_GOLDENFILES=1 cargo test -p demo --test sessions`.

use std::error::Error;
use std::fmt::Write as _;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread;
use std::time::Duration;

use base::logging::Level;
use base::settings::{self, Span};
use base::stop::Stop;
use bundle::Bundle;
use demo::host::Host;
use entry::settings::Known;
use rstest::rstest;
use sidecar::settings::Backend;
use standin::Ledger;

/// Numbers the sessions of this process, for addresses of their own.
static SESSIONS: AtomicU8 = AtomicU8::new(1);

/// How often a daemon is waited for until it listens, and the pause between.
const TRIES: u32 = 500;
const PAUSE: Duration = Duration::from_millis(20);

/// Port on which every daemon listens, each on an address of its own.
const PORT: u16 = 7100;
const OPERATORS_PORT: u16 = 7101;

/// The bundle of all sessions. The token of workspace `alpha` is `alpha`,
/// that of `beta` is `beta`.
const BUNDLE: &str = include_str!("sessions.bundle.json");

#[rstest]
fn session_golden(#[files("tests/sessions/*")] path: PathBuf) {
    goldenscript::run(&mut Session::default(), path).expect("the session differs");
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
        /// Bytes of the letter x in place of a body.
        #[arg(key)]
        bytes: Option<usize>,
    },
    /// Prints what the stand-ins saw of a mark.
    Seen(String),
    /// Prints the counters of the entry that are not zero.
    Counters,
    /// Prints an answer of the entry's operators' address.
    Ask(String),
}

/// One session with its daemons.
#[derive(Default)]
struct Session {
    net: [u8; 2],
    ledger: Ledger,
    stop: Stop,
    hosts: Vec<Host>,
}

impl goldenscript::Runner for Session {
    type Command = Command;

    fn run(
        &mut self,
        command: &Command,
        _: &goldenscript::Context,
    ) -> Result<String, Box<dyn Error>> {
        match command {
            Command::Start => {
                base::logging::init(Level::Off);
                self.start()
            }
            Command::Send { .. } => self.send(command),
            Command::Seen(mark) => {
                let seen = self.ledger.seen(mark);
                Ok(format!(
                    "runs={} ended={} tokens={}\n",
                    seen.runs, seen.ended, seen.tokens
                ))
            }
            Command::Counters => {
                let text = self.ask("/metrics")?;
                let counted = |l: &&str| !l.is_empty() && !l.starts_with('#') && !l.ends_with(" 0");
                let mut lines: Vec<_> = text.lines().filter(counted).collect();
                lines.sort_unstable();
                Ok(lines.iter().fold(String::new(), |out, l| out + l + "\n"))
            }
            Command::Ask(path) => self.ask(path),
        }
    }

    fn end_script(&mut self) -> Result<(), Box<dyn Error>> {
        self.stop.ask();
        self.hosts.drain(..).for_each(Host::join);
        Ok(())
    }
}

impl Session {
    fn addr(&self, role: u8) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.net[0], self.net[1], role);
        SocketAddr::new(IpAddr::V4(ip), PORT)
    }

    fn operators(&self) -> SocketAddr {
        SocketAddr::new(self.addr(1).ip(), OPERATORS_PORT)
    }

    /// Starts everything and waits until it listens.
    fn start(&mut self) -> Result<String, Box<dyn Error>> {
        let [_, _, a, b] = std::process::id().to_be_bytes();
        let number = SESSIONS.fetch_add(1, Ordering::Relaxed);
        self.net = [a.wrapping_mul(31).wrapping_add(b).max(1), number];

        let bundle: Bundle = settings::parse("sessions.bundle.json", BUNDLE)?;
        let (engine, plain, entry) = (self.engine(), self.plain(), self.entry());
        let (ledger, stop) = (self.ledger.clone(), self.stop.clone());
        self.hosts.push(Host::start("engine", move || {
            standin::engine::run(engine, ledger, stop)
        }));
        let (ledger, stop) = (self.ledger.clone(), self.stop.clone());
        self.hosts.push(Host::start("plain", move || {
            standin::plain::run(plain, ledger, stop)
        }));
        for role in [2, 3] {
            let (settings, stop) = (self.sidecar(role), self.stop.clone());
            self.hosts
                .push(Host::start("sidecar", move || sidecar::run(settings, stop)));
        }
        let stop = self.stop.clone();
        self.hosts.push(Host::start("entry", move || {
            entry::run(entry, bundle, stop)
        }));

        for addr in (1..=5)
            .map(|role| self.addr(role))
            .chain([self.operators()])
        {
            wait_until_listening(addr)?;
        }
        Ok(String::new())
    }

    fn engine(&self) -> standin::engine::Settings {
        let text = format!(r#"{{ "listen": "{}", "step": "1ms" }}"#, self.addr(4));
        settings::parse("engine", &text).expect("the settings are sound")
    }

    fn plain(&self) -> standin::plain::Settings {
        let text = format!(r#"{{ "listen": "{}" }}"#, self.addr(5));
        settings::parse("plain", &text).expect("the settings are sound")
    }

    fn sidecar(&self, role: u8) -> sidecar::Settings {
        let addr = self.addr(role + 2);
        let backend = match role {
            2 => Backend::Engine { addr, slots: 8 },
            _ => Backend::Plain {
                addr,
                slots: 8,
                timeout: Span::secs(5),
            },
        };
        let backend = serde_json::to_value(backend).expect("a backend is JSON");
        let text = format!(
            r#"{{ "name": "s", "zone": "z", "listen": "{}", "log_level": "off", "backend": {backend} }}"#,
            self.addr(role)
        );
        settings::parse("sidecar", &text).expect("the settings are sound")
    }

    fn entry(&self) -> entry::Settings {
        let known = |role, serves: &str| Known {
            name: format!("s{role}"),
            addr: self.addr(role),
            zone: "z".to_owned(),
            serves: serves.to_owned(),
        };
        let sidecars = [known(2, "small"), known(3, "letters")];
        let sidecars = serde_json::to_value(sidecars).expect("sidecars are JSON");
        let text = format!(
            r#"{{ "name": "e", "zone": "z", "listen": "{}", "operators": "{}", "seed": 1,
                "body_limit": 4096, "log_level": "off", "drain": {{ "linger": "0ms" }},
                "sidecars": {sidecars} }}"#,
            self.addr(1),
            self.operators()
        );
        settings::parse("entry", &text).expect("the settings are sound")
    }

    fn send(&self, command: &Command) -> Result<String, Box<dyn Error>> {
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
        let url = format!("http://{}{path}", self.addr(1));
        let body = match bytes {
            Some(count) => "x".repeat(*count),
            None => body.clone().unwrap_or_default(),
        };
        actix_rt::System::new().block_on(async {
            let http = awc::Client::builder()
                .timeout(Duration::from_secs(30))
                .finish();
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
            out.push_str(&plain(std::str::from_utf8(&text)?));
            Ok(out)
        })
    }

    fn ask(&self, path: &str) -> Result<String, Box<dyn Error>> {
        let url = format!("http://{}{path}", self.operators());
        actix_rt::System::new().block_on(async {
            let mut response = awc::Client::new()
                .get(url)
                .send()
                .await
                .map_err(|e| e.to_string())?;
            Ok(String::from_utf8(response.body().await?.to_vec())?)
        })
    }
}

fn wait_until_listening(addr: SocketAddr) -> Result<(), Box<dyn Error>> {
    for _ in 0..TRIES {
        if std::net::TcpStream::connect(addr).is_ok() {
            return Ok(());
        }
        thread::sleep(PAUSE);
    }
    Err(format!("nothing listens at {addr}").into())
}

/// Writes random identities as `<id>` and drops empty lines.
fn plain(text: &str) -> String {
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

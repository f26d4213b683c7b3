//! Sidecars with their production queues and tickets, and simulated engines
//! that generate one token for each running request in every step.

use std::collections::BTreeMap;
use std::error::Error;
use std::fmt::Write as _;
use std::pin::pin;
use std::rc::Rc;
use std::task::{Context, Waker};
use std::time::Duration;

use base::clock::ManualClock;
use base::ids::{Incarnation, RequestId, Tier};
use base::reason::{Executed, Refusal};
use base::settings::HumanDuration;
use bytes::Bytes;
use serde_json::json;
use sidecar::Settings;
use sidecar::state::{Request, State};
use wire::{
    BackendRequest, Chunk, PullOutcome, ReserveOutcome, ReserveRequest, ResponseEnd, StartOutcome,
    StartRequest,
};

use crate::CommandOutput;
use crate::command::Args;

/// Resolution of the simulated time.
const TICK: Duration = Duration::from_millis(5);

/// Duration for which one reserve or pull holds its request, in milliseconds.
const POLL_MS: u32 = 250;

/// The sidecars and calls of a scenario.
#[derive(Default)]
pub(crate) struct Fleet {
    servers: BTreeMap<String, Server>,
    calls: Vec<Call>,
    events: String,
}

/// A sidecar and its engine.
struct Server {
    state: Rc<State>,
    settings: Settings,
    /// Duration of one decoding step of its engine.
    step: Duration,
    /// The incarnation before the last restart.
    previous: Option<Incarnation>,
    runs: Vec<Run>,
}

/// A request that an engine runs.
struct Run {
    entry: Rc<Request>,
    call: usize,
    /// Tokens still to generate.
    remaining: u32,
    generated: u32,
    /// Time of the next token, on the manual clock.
    next_token: Duration,
}

/// A request of a caller, and its state at the entry.
struct Call {
    name: String,
    request: ReserveRequest,
    length: u32,
    arrives: Duration,
    /// Target of the first token, from the arrival on.
    first_target: Duration,
    /// Target of the complete answer, from the arrival on.
    total_target: Duration,
    /// The candidate sidecars, at which the entry reserves a slot.
    servers: Vec<String>,
    /// Whether the entry starts the request as soon as a sidecar holds a slot.
    auto_start: bool,
    /// Whether the entry still reserves and pulls; false after it crashed.
    entry_alive: bool,
    /// Whether changes of its status are printed.
    verbose: bool,
    status: CallStatus,
}

/// Status of a call as its caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum CallStatus {
    NotArrived,
    Waiting,
    Running,
    Complete,
    Refused(Refusal),
    Interrupted(Refusal),
}

impl Fleet {
    pub(crate) fn run(&mut self, clock: &ManualClock, args: &Args) -> CommandOutput {
        match args.name.as_str() {
            "sidecar" => self.sidecar(clock, args),
            "call" => self.call(clock, args),
            "start" => self.start_call(args),
            "cancel" => self.cancel(args),
            "drain" => self.drain(args),
            "restart" => self.restart(clock, args),
            "vanish" => self.vanish(args),
            "pull" => self.pull_chunks(args),
            "load" => self.load(args),
            _ => self.tally(args),
        }
    }

    /// Advances the clock; returns the status changes of verbose calls.
    pub(crate) fn advance(&mut self, clock: &ManualClock, step: Duration) -> String {
        let end = clock.elapsed() + step;
        while clock.elapsed() < end {
            clock.advance(TICK.min(end - clock.elapsed()));
            for server in self.servers.values() {
                server.state.sweep();
            }
            self.run_engines(clock.elapsed());
            self.poll_calls(clock);
        }
        std::mem::take(&mut self.events)
    }

    /// Adds a sidecar: `sidecar a slots=2 step=5ms limit=10 policy=full
    /// guaranteed=0.05 preempt=true`.
    fn sidecar(&mut self, clock: &ManualClock, args: &Args) -> CommandOutput {
        let name = args.at(0)?.to_owned();
        let policy = args.named("policy").unwrap_or("full");
        let settings: Settings = serde_json::from_value(json!({
            "name": name, "zone": "z", "listen": "127.0.0.1:1",
            "backend": { "engine": { "addr": "127.0.0.1:1", "slots": args.named_or("slots", 1)? } },
            "queue": {
                "limit": args.named_or("limit", 1000)?,
                "policy": policy,
                "guaranteed": args.named_or("guaranteed", 0.05)?,
                "preempt": args.named_or("preempt", true)?,
                "headroom": args.named_or("headroom", 0.5)?,
            },
        }))?;
        let server = Server {
            state: State::new(settings.clone(), Rc::new(clock.clone())),
            settings,
            step: args.named_or("step", HumanDuration::ms(10))?.0,
            previous: None,
            runs: Vec::new(),
        };
        self.servers.insert(name, server);
        Ok(String::new())
    }

    /// Adds calls: `call a,b NAME tier=0 class=c workspace=w first=1s
    /// whole=20s prompt=10 length=20 repeatable=true count=1 every=0ms
    /// auto=true`.
    fn call(&mut self, clock: &ManualClock, args: &Args) -> CommandOutput {
        let servers: Vec<String> = args.at(0)?.split(',').map(str::to_owned).collect();
        let count: u32 = args.named_or("count", 1)?;
        let every = args.named_or("every", HumanDuration::ms(0))?.0;
        let tier: u8 = args.named_or("tier", 0)?;
        for i in 0..count {
            let name = match count {
                1 => args.at(1)?.to_owned(),
                _ => format!("{}-{i}", args.at(1)?),
            };
            let ticket = RequestId(self.calls.len() as u128 + 1);
            let first_target = args.named_or("first", HumanDuration::secs(10))?.0;
            let total_target = args.named_or("whole", HumanDuration::secs(60))?.0;
            self.calls.push(Call {
                request: ReserveRequest {
                    ticket,
                    class: args.named("class").unwrap_or("class").to_owned(),
                    workspace: args.named("workspace").unwrap_or("workspace").to_owned(),
                    weight: args.named_or("weight", 1)?,
                    tier: Tier(tier),
                    ttft_budget_us: 0,
                    total_budget_us: 0,
                    prompt_tokens: args.named_or("prompt", 10)?,
                    max_tokens: 4096,
                    prefix_hash: 0,
                    repeatable: args.named_or("repeatable", true)?,
                    preemptions: 0,
                    wait_ms: POLL_MS,
                },
                name,
                length: args.named_or("length", 20)?,
                arrives: clock.elapsed() + every * i,
                first_target,
                total_target,
                servers: servers.clone(),
                auto_start: args.named_or("auto", true)?,
                entry_alive: true,
                verbose: count == 1,
                status: CallStatus::NotArrived,
            });
        }
        self.poll_calls(clock);
        Ok(std::mem::take(&mut self.events))
    }

    /// Starts a call explicitly, for the current or the previous incarnation of
    /// the sidecar: `start a NAME life=now|earlier`.
    fn start_call(&mut self, args: &Args) -> CommandOutput {
        let call = self.find_call(args.at(1)?)?;
        let server = self.servers.get(args.at(0)?).ok_or("unknown sidecar")?;
        let incarnation = match args.named("life") {
            Some("earlier") => server.previous.ok_or("the sidecar has not restarted")?,
            _ => server.state.incarnation,
        };
        let started = start(&server.state, self.calls[call].request.ticket, incarnation);
        if started == StartOutcome::Running {
            self.record_start(args.at(0)?, call, Duration::ZERO);
        }
        Ok(format!("{started:?}\n"))
    }

    /// Cancels a call at a sidecar: `cancel a NAME`.
    fn cancel(&mut self, args: &Args) -> CommandOutput {
        let call = self.find_call(args.at(1)?)?;
        let ticket = self.calls[call].request.ticket;
        self.calls[call].entry_alive = false;
        let server = self.servers.get(args.at(0)?).ok_or("unknown sidecar")?;
        Ok(format!("{:?}\n", server.state.cancel(ticket)))
    }

    /// Starts the drain of a sidecar: `drain a`.
    fn drain(&mut self, args: &Args) -> CommandOutput {
        let server = self.servers.get(args.at(0)?).ok_or("unknown sidecar")?;
        let drain = pin!(server.state.drain(Duration::from_secs(60)));
        // The first poll closes the queue; later polls only wait for running
        // requests.
        let _ = drain.poll(&mut Context::from_waker(Waker::noop()));
        Ok(String::new())
    }

    /// Replaces a sidecar by its next incarnation, without a drain: `restart a`.
    fn restart(&mut self, clock: &ManualClock, args: &Args) -> CommandOutput {
        let server = self.servers.get_mut(args.at(0)?).ok_or("unknown sidecar")?;
        server.previous = Some(server.state.incarnation);
        server.state = State::new(server.settings.clone(), Rc::new(clock.clone()));
        server.runs.clear();
        Ok(String::new())
    }

    /// The entry of a call crashes: `vanish NAME`.
    fn vanish(&mut self, args: &Args) -> CommandOutput {
        let call = self.find_call(args.at(0)?)?;
        self.calls[call].entry_alive = false;
        Ok(String::new())
    }

    /// Pulls chunks explicitly: `pull a NAME from=0`.
    fn pull_chunks(&mut self, args: &Args) -> CommandOutput {
        let call = self.find_call(args.at(1)?)?;
        let server = self.servers.get(args.at(0)?).ok_or("unknown sidecar")?;
        let Some(entry) = server.state.find(self.calls[call].request.ticket) else {
            return Ok("unknown\n".to_owned());
        };
        match server.state.pull(&entry, args.named_or("from", 0)?) {
            PullOutcome::Unknown => Ok("unknown\n".to_owned()),
            PullOutcome::Chunks { first, chunks, end } => {
                let end = match end {
                    Some(ResponseEnd::Complete { chunk_count, .. }) => {
                        format!("whole with {chunk_count}")
                    }
                    Some(ResponseEnd::Interrupted { reason, ran }) => {
                        format!("broken/{reason}/{ran}")
                    }
                    None => "more to come".to_owned(),
                };
                Ok(format!("from {first}: {} pieces, {end}\n", chunks.len()))
            }
        }
    }

    /// Prints the load of a sidecar: `load a`.
    fn load(&mut self, args: &Args) -> CommandOutput {
        let server = self.servers.get(args.at(0)?).ok_or("unknown sidecar")?;
        let load = server.state.load();
        let draining = if load.draining { " draining" } else { "" };
        Ok(format!(
            "busy={} of {} waiting={}{draining}\n",
            load.running, load.slots, load.waiting
        ))
    }

    /// Counts the calls with a name prefix by status: `tally NAME...`.
    fn tally(&mut self, args: &Args) -> CommandOutput {
        let mut out = String::new();
        for name in args.positional() {
            let mut counts: BTreeMap<String, u32> = BTreeMap::new();
            for call in self.calls.iter().filter(|c| c.name.starts_with(name)) {
                *counts.entry(format_status(call.status)).or_default() += 1;
            }
            let counts: Vec<_> = counts
                .iter()
                .map(|(status, n)| format!("{status}={n}"))
                .collect();
            writeln!(out, "{name}: {}", counts.join(" "))?;
        }
        Ok(out)
    }

    fn find_call(&self, name: &str) -> Result<usize, Box<dyn Error>> {
        let found = self.calls.iter().position(|c| c.name == name);
        found.ok_or_else(|| format!("unknown call {name:?}").into())
    }

    /// Has the engines generate all tokens that are due.
    fn run_engines(&mut self, now: Duration) {
        let mut ended = Vec::new();
        for server in self.servers.values_mut() {
            let (state, step) = (&server.state, server.step);
            server.runs.retain_mut(|run| {
                while run.next_token <= now && run.remaining > 0 && !run.entry.stop.is_triggered() {
                    let data = Bytes::from_static(b"word ");
                    state.push_chunk(&run.entry, Chunk { tokens: 1, data });
                    run.remaining -= 1;
                    run.generated += 1;
                    run.next_token += step;
                }
                let end = match (run.remaining, run.entry.stop.is_triggered()) {
                    (_, true) => state.stopped_end(&run.entry),
                    (0, _) => ResponseEnd::Complete {
                        chunk_count: run.generated,
                        status: 200,
                        finish_reason: "stop".to_owned(),
                        cached_tokens: 0,
                    },
                    _ => return true,
                };
                ended.push((run.call, end.clone()));
                state.finish(&run.entry, end);
                false
            });
        }
        for (call, end) in ended {
            let status = match end {
                ResponseEnd::Complete { .. } => CallStatus::Complete,
                ResponseEnd::Interrupted { reason, .. } => CallStatus::Interrupted(reason),
            };
            self.set_status(now, call, status);
        }
    }

    /// Has the entries reserve, start and pull their calls.
    fn poll_calls(&mut self, clock: &ManualClock) {
        let now = clock.elapsed();
        for i in 0..self.calls.len() {
            let call = &mut self.calls[i];
            if !call.entry_alive || call.arrives > now {
                continue;
            }
            match call.status {
                CallStatus::NotArrived | CallStatus::Waiting => self.reserve(now, i),
                CallStatus::Running => self.pull(i),
                _ => {}
            }
        }
    }

    /// Reserves at each candidate sidecar; starts the call at the first one that
    /// is ready.
    fn reserve(&mut self, now: Duration, i: usize) {
        let call = &mut self.calls[i];
        let waited = now - call.arrives;
        let left = |target: Duration| target.saturating_sub(waited).as_micros() as u64;
        call.request.ttft_budget_us = left(call.first_target);
        call.request.total_budget_us = left(call.total_target);

        let (request, names) = (call.request.clone(), call.servers.clone());
        let mut refused = None;
        let mut pending = false;
        for name in &names {
            let state = Rc::clone(&self.servers[name].state);
            match state.reserve(&request).1 {
                ReserveOutcome::Ready { .. } if self.calls[i].auto_start => {
                    if start(&state, request.ticket, state.incarnation) == StartOutcome::Running {
                        self.record_start(name, i, now);
                        self.cancel_others(i, name);
                        return;
                    }
                }
                ReserveOutcome::Refused { reason, .. } => refused = Some(reason),
                _ => pending = true,
            }
        }
        let status = match refused.filter(|_| !pending) {
            Some(reason) => CallStatus::Refused(reason),
            None => CallStatus::Waiting,
        };
        self.set_status(now, i, status);
    }

    fn record_start(&mut self, name: &str, call: usize, now: Duration) {
        let (ticket, length) = (self.calls[call].request.ticket, self.calls[call].length);
        let Some(server) = self.servers.get_mut(name) else {
            return;
        };
        let Some(entry) = server.state.find(ticket) else {
            return;
        };
        if server.runs.iter().any(|run| run.call == call) {
            return;
        }
        let next_token = now + server.step;
        server.runs.push(Run {
            entry,
            call,
            remaining: length,
            generated: 0,
            next_token,
        });
        if self.calls[call].verbose {
            let _ = writeln!(
                self.events,
                "{} {} runs at {name}",
                format_time(now),
                self.calls[call].name
            );
        }
        self.calls[call].status = CallStatus::Running;
    }

    fn cancel_others(&mut self, call: usize, winner: &str) {
        let ticket = self.calls[call].request.ticket;
        for name in self.calls[call].servers.iter().filter(|n| *n != winner) {
            self.servers[name].state.cancel(ticket);
        }
    }

    fn pull(&mut self, i: usize) {
        let ticket = self.calls[i].request.ticket;
        for name in &self.calls[i].servers {
            let state = &self.servers[name].state;
            let Some(entry) = state.find(ticket) else {
                continue;
            };
            state.renew_lease(&entry, POLL_MS);
            let made = state.chunk_count(&entry);
            let _: PullOutcome = state.pull(&entry, made);
        }
    }

    fn set_status(&mut self, now: Duration, i: usize, status: CallStatus) {
        let call = &mut self.calls[i];
        if call.verbose && call.status != status {
            let _ = writeln!(
                self.events,
                "{} {} {}",
                format_time(now),
                call.name,
                format_status(status)
            );
        }
        call.status = status;
    }
}

fn start(state: &Rc<State>, ticket: RequestId, incarnation: Incarnation) -> StartOutcome {
    let work = BackendRequest::Completion {
        body: Bytes::new(),
        chat: true,
    };
    state.start(StartRequest {
        ticket,
        incarnation,
        work,
    })
}

fn format_status(status: CallStatus) -> String {
    match status {
        CallStatus::NotArrived => "coming".to_owned(),
        CallStatus::Waiting => "waits".to_owned(),
        CallStatus::Running => "runs".to_owned(),
        CallStatus::Complete => "whole".to_owned(),
        CallStatus::Refused(reason) => format!("refused/{reason}/{}", Executed::No),
        CallStatus::Interrupted(reason) => format!("broken/{reason}"),
    }
}

fn format_time(now: Duration) -> String {
    format!("{:>6.3}s", now.as_secs_f64())
}

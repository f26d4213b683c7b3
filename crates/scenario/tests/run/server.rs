//! Sidecars with their real queues and tickets, before small engines that
//! make a token for each running request every step.

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

use crate::Said;
use crate::words::Words;

/// How finely time passes.
const TICK: Duration = Duration::from_millis(5);

/// How long one reserve or pull is held, in milliseconds.
const POLL_MS: u32 = 250;

/// The sidecars and the calls of a scenario.
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
    /// Time of one step of its engine.
    step: Duration,
    /// The life before the last restart.
    earlier: Option<Incarnation>,
    runs: Vec<Run>,
}

/// A request that runs at an engine.
struct Run {
    entry: Rc<Request>,
    call: usize,
    /// Tokens still to make.
    left: u32,
    made: u32,
    /// When the next token is made, on the manual clock.
    next: Duration,
}

/// A caller's request, with its entry's part.
struct Call {
    name: String,
    ask: ReserveRequest,
    length: u32,
    arrives: Duration,
    /// When its targets were set, so that time left can be counted down.
    first: Duration,
    whole: Duration,
    /// The sidecars that are asked for a slot.
    servers: Vec<String>,
    /// Whether a slot is started as soon as it is held.
    auto: bool,
    /// Whether its entry asks and pulls.
    alive: bool,
    loud: bool,
    stand: Stand,
}

/// Where a call stands for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Stand {
    Coming,
    Waiting,
    Running,
    Whole,
    Refused(Refusal),
    Broken(Refusal),
}

impl Fleet {
    pub(crate) fn run(&mut self, clock: &ManualClock, words: &Words) -> Said {
        match words.name.as_str() {
            "sidecar" => self.sidecar(clock, words),
            "call" => self.call(clock, words),
            "start" => self.start_by_hand(words),
            "cancel" => self.cancel(words),
            "drain" => self.drain(words),
            "restart" => self.restart(clock, words),
            "vanish" => self.vanish(words),
            "pull" => self.pull_by_hand(words),
            "load" => self.load(words),
            _ => self.tally(words),
        }
    }

    /// Lets time pass; says what happened to the loud calls.
    pub(crate) fn pass(&mut self, clock: &ManualClock, step: Duration) -> String {
        let end = clock.elapsed() + step;
        while clock.elapsed() < end {
            clock.advance(TICK.min(end - clock.elapsed()));
            for server in self.servers.values() {
                server.state.sweep();
            }
            self.work(clock.elapsed());
            self.ask(clock);
        }
        std::mem::take(&mut self.events)
    }

    /// Adds a sidecar: `sidecar a slots=2 step=5ms limit=10 policy=full
    /// guaranteed=0.05 preempt=true`.
    fn sidecar(&mut self, clock: &ManualClock, words: &Words) -> Said {
        let name = words.at(0)?.to_owned();
        let policy = words.key("policy").unwrap_or("full");
        let settings: Settings = serde_json::from_value(json!({
            "name": name, "zone": "z", "listen": "127.0.0.1:1",
            "backend": { "engine": { "addr": "127.0.0.1:1", "slots": words.get("slots", 1)? } },
            "queue": {
                "limit": words.get("limit", 1000)?,
                "policy": policy,
                "guaranteed": words.get("guaranteed", 0.05)?,
                "preempt": words.get("preempt", true)?,
                "headroom": words.get("headroom", 0.5)?,
            },
        }))?;
        let server = Server {
            state: State::new(settings.clone(), Rc::new(clock.clone())),
            settings,
            step: words.get("step", HumanDuration::ms(10))?.0,
            earlier: None,
            runs: Vec::new(),
        };
        self.servers.insert(name, server);
        Ok(String::new())
    }

    /// Makes calls: `call a,b NAME tier=0 class=c workspace=w first=1s
    /// whole=20s prompt=10 length=20 repeatable=true count=1 every=0ms
    /// auto=true`.
    fn call(&mut self, clock: &ManualClock, words: &Words) -> Said {
        let servers: Vec<String> = words.at(0)?.split(',').map(str::to_owned).collect();
        let count: u32 = words.get("count", 1)?;
        let every = words.get("every", HumanDuration::ms(0))?.0;
        let tier: u8 = words.get("tier", 0)?;
        for i in 0..count {
            let name = match count {
                1 => words.at(1)?.to_owned(),
                _ => format!("{}-{i}", words.at(1)?),
            };
            let ticket = RequestId(self.calls.len() as u128 + 1);
            let first = words.get("first", HumanDuration::secs(10))?.0;
            let whole = words.get("whole", HumanDuration::secs(60))?.0;
            self.calls.push(Call {
                ask: ReserveRequest {
                    ticket,
                    class: words.key("class").unwrap_or("class").to_owned(),
                    workspace: words.key("workspace").unwrap_or("workspace").to_owned(),
                    weight: words.get("weight", 1)?,
                    tier: Tier(tier),
                    ttft_budget_us: 0,
                    total_budget_us: 0,
                    prompt_tokens: words.get("prompt", 10)?,
                    max_tokens: 4096,
                    prefix_hash: 0,
                    repeatable: words.get("repeatable", true)?,
                    preemptions: 0,
                    wait_ms: POLL_MS,
                },
                name,
                length: words.get("length", 20)?,
                arrives: clock.elapsed() + every * i,
                first,
                whole,
                servers: servers.clone(),
                auto: words.get("auto", true)?,
                alive: true,
                loud: count == 1,
                stand: Stand::Coming,
            });
        }
        self.ask(clock);
        Ok(std::mem::take(&mut self.events))
    }

    /// Starts a call by hand: `start a NAME life=now|earlier`.
    fn start_by_hand(&mut self, words: &Words) -> Said {
        let call = self.find(words.at(1)?)?;
        let server = self.servers.get(words.at(0)?).ok_or("no such sidecar")?;
        let life = match words.key("life") {
            Some("earlier") => server.earlier.ok_or("it has had one life only")?,
            _ => server.state.incarnation,
        };
        let started = start(&server.state, self.calls[call].ask.ticket, life);
        if started == StartOutcome::Running {
            self.begin(words.at(0)?, call, Duration::ZERO);
        }
        Ok(format!("{started:?}\n"))
    }

    /// Cancels a call at a sidecar: `cancel a NAME`.
    fn cancel(&mut self, words: &Words) -> Said {
        let call = self.find(words.at(1)?)?;
        let ticket = self.calls[call].ask.ticket;
        self.calls[call].alive = false;
        let server = self.servers.get(words.at(0)?).ok_or("no such sidecar")?;
        Ok(format!("{:?}\n", server.state.cancel(ticket)))
    }

    /// Tells a sidecar to stop: `drain a`.
    fn drain(&mut self, words: &Words) -> Said {
        let server = self.servers.get(words.at(0)?).ok_or("no such sidecar")?;
        let drain = pin!(server.state.drain(Duration::from_secs(60)));
        // The first turn closes the queue; the rest waits for its end.
        let _ = drain.poll(&mut Context::from_waker(Waker::noop()));
        Ok(String::new())
    }

    /// Ends a sidecar's life at once and begins the next: `restart a`.
    fn restart(&mut self, clock: &ManualClock, words: &Words) -> Said {
        let server = self
            .servers
            .get_mut(words.at(0)?)
            .ok_or("no such sidecar")?;
        server.earlier = Some(server.state.incarnation);
        server.state = State::new(server.settings.clone(), Rc::new(clock.clone()));
        server.runs.clear();
        Ok(String::new())
    }

    /// The entry of a call crashes: `vanish NAME`.
    fn vanish(&mut self, words: &Words) -> Said {
        let call = self.find(words.at(0)?)?;
        self.calls[call].alive = false;
        Ok(String::new())
    }

    /// Pulls pieces by hand: `pull a NAME from=0`.
    fn pull_by_hand(&mut self, words: &Words) -> Said {
        let call = self.find(words.at(1)?)?;
        let server = self.servers.get(words.at(0)?).ok_or("no such sidecar")?;
        let Some(entry) = server.state.find(self.calls[call].ask.ticket) else {
            return Ok("unknown\n".to_owned());
        };
        match server.state.pull(&entry, words.get("from", 0)?) {
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

    /// Says how a sidecar stands: `load a`.
    fn load(&mut self, words: &Words) -> Said {
        let server = self.servers.get(words.at(0)?).ok_or("no such sidecar")?;
        let load = server.state.load();
        let draining = if load.draining { " draining" } else { "" };
        Ok(format!(
            "busy={} of {} waiting={}{draining}\n",
            load.running, load.slots, load.waiting
        ))
    }

    /// Counts how the calls whose names begin alike stand: `tally NAME...`.
    fn tally(&mut self, words: &Words) -> Said {
        let mut out = String::new();
        for name in words.plain() {
            let mut counts: BTreeMap<String, u32> = BTreeMap::new();
            for call in self.calls.iter().filter(|c| c.name.starts_with(name)) {
                *counts.entry(shown(call.stand)).or_default() += 1;
            }
            let counts: Vec<_> = counts
                .iter()
                .map(|(stand, n)| format!("{stand}={n}"))
                .collect();
            writeln!(out, "{name}: {}", counts.join(" "))?;
        }
        Ok(out)
    }

    fn find(&self, name: &str) -> Result<usize, Box<dyn Error>> {
        let found = self.calls.iter().position(|c| c.name == name);
        found.ok_or_else(|| format!("no call {name:?}").into())
    }

    /// Has the engines make what is due.
    fn work(&mut self, now: Duration) {
        let mut ended = Vec::new();
        for server in self.servers.values_mut() {
            let (state, step) = (&server.state, server.step);
            server.runs.retain_mut(|run| {
                while run.next <= now && run.left > 0 && !run.entry.stop.is_triggered() {
                    let data = Bytes::from_static(b"word ");
                    state.push_chunk(&run.entry, Chunk { tokens: 1, data });
                    run.left -= 1;
                    run.made += 1;
                    run.next += step;
                }
                let end = match (run.left, run.entry.stop.is_triggered()) {
                    (_, true) => state.stopped_end(&run.entry),
                    (0, _) => ResponseEnd::Complete {
                        chunk_count: run.made,
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
            let stand = match end {
                ResponseEnd::Complete { .. } => Stand::Whole,
                ResponseEnd::Interrupted { reason, .. } => Stand::Broken(reason),
            };
            self.set(now, call, stand);
        }
    }

    /// Has the calls' entries ask, start and pull.
    fn ask(&mut self, clock: &ManualClock) {
        let now = clock.elapsed();
        for i in 0..self.calls.len() {
            let call = &mut self.calls[i];
            if !call.alive || call.arrives > now {
                continue;
            }
            match call.stand {
                Stand::Coming | Stand::Waiting => self.reserve(now, i),
                Stand::Running => self.pull(i),
                _ => {}
            }
        }
    }

    /// Asks each of a call's sidecars; the first that is ready gets it.
    fn reserve(&mut self, now: Duration, i: usize) {
        let call = &mut self.calls[i];
        let waited = now - call.arrives;
        let left = |target: Duration| target.saturating_sub(waited).as_micros() as u64;
        call.ask.ttft_budget_us = left(call.first);
        call.ask.total_budget_us = left(call.whole);

        let (ask, names) = (call.ask.clone(), call.servers.clone());
        let mut refused = None;
        let mut open = false;
        for name in &names {
            let state = Rc::clone(&self.servers[name].state);
            match state.reserve(&ask).1 {
                ReserveOutcome::Ready { .. } if self.calls[i].auto => {
                    if start(&state, ask.ticket, state.incarnation) == StartOutcome::Running {
                        self.begin(name, i, now);
                        self.cancel_others(i, name);
                        return;
                    }
                }
                ReserveOutcome::Refused { reason, .. } => refused = Some(reason),
                _ => open = true,
            }
        }
        let stand = match refused.filter(|_| !open) {
            Some(reason) => Stand::Refused(reason),
            None => Stand::Waiting,
        };
        self.set(now, i, stand);
    }

    fn begin(&mut self, name: &str, call: usize, now: Duration) {
        let (ticket, length) = (self.calls[call].ask.ticket, self.calls[call].length);
        let Some(server) = self.servers.get_mut(name) else {
            return;
        };
        let Some(entry) = server.state.find(ticket) else {
            return;
        };
        if server.runs.iter().any(|run| run.call == call) {
            return;
        }
        let next = now + server.step;
        server.runs.push(Run {
            entry,
            call,
            left: length,
            made: 0,
            next,
        });
        if self.calls[call].loud {
            let _ = writeln!(
                self.events,
                "{} {} runs at {name}",
                shown_time(now),
                self.calls[call].name
            );
        }
        self.calls[call].stand = Stand::Running;
    }

    fn cancel_others(&mut self, call: usize, won: &str) {
        let ticket = self.calls[call].ask.ticket;
        for name in self.calls[call].servers.iter().filter(|n| *n != won) {
            self.servers[name].state.cancel(ticket);
        }
    }

    fn pull(&mut self, i: usize) {
        let ticket = self.calls[i].ask.ticket;
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

    fn set(&mut self, now: Duration, i: usize, stand: Stand) {
        let call = &mut self.calls[i];
        if call.loud && call.stand != stand {
            let _ = writeln!(
                self.events,
                "{} {} {}",
                shown_time(now),
                call.name,
                shown(stand)
            );
        }
        call.stand = stand;
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

fn shown(stand: Stand) -> String {
    match stand {
        Stand::Coming => "coming".to_owned(),
        Stand::Waiting => "waits".to_owned(),
        Stand::Running => "runs".to_owned(),
        Stand::Whole => "whole".to_owned(),
        Stand::Refused(reason) => format!("refused/{reason}/{}", Executed::No),
        Stand::Broken(reason) => format!("broken/{reason}"),
    }
}

fn shown_time(now: Duration) -> String {
    format!("{:>6.3}s", now.as_secs_f64())
}

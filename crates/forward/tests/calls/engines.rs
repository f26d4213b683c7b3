//! Scripted engines that keep runs, copies and handles by the protocol for moves: a run is
//! copied while it continues, stopped with its last copy, and continued once by its handle.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use forward::platform::{CopyRequest, EngineControl, EngineError};
use policy::moves::CopyOutcome;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

use crate::common::header;

/// Events of each stream.
pub(crate) const EVENTS: u64 = 6;

/// Events that a run sends before it waits until it is stopped or released.
const FIRST_EVENTS: u64 = 2;

/// What an engine does with a call that copies a run, in place of what the protocol says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Script {
    /// Acts by the protocol.
    Obey,
    /// Acts by the protocol, but answers only after [`Engines::release_copies`].
    Hold,
    /// Refuses, since the destination has no room. A last call stops the run first.
    Refuse,
    /// Does nothing and gives no answer.
    Lose,
    /// Acts by the protocol, but the answer is lost.
    LoseAnswer,
    /// Stops the run and dies.
    Die,
    /// Stops the run, but its connection stays open, as after a loss of power.
    Freeze,
}

/// How the stream of a continued run ends.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum StreamEnd {
    /// With its last chunk.
    #[default]
    LastChunk,
    /// With its connection; it has no chunks.
    Closed,
    /// Without its last chunk.
    BetweenEvents,
    /// In the middle of an event.
    InsideEvent,
    /// Never; its connection stays open.
    Silence,
    /// In the middle of the head.
    InsideHead,
}

/// A call to copy a run, as it arrived.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct CopyCall {
    pub(crate) id: String,
    pub(crate) from: SocketAddr,
    pub(crate) to: SocketAddr,
    pub(crate) last: bool,
}

/// Engines, by the address that they listen on.
#[derive(Clone, Default)]
pub(crate) struct Engines(Rc<World>);

#[derive(Default)]
struct World {
    /// Engines that have died.
    dead: RefCell<Vec<SocketAddr>>,
    /// Engines that announce in their responses that they leave.
    announcing: RefCell<Vec<SocketAddr>>,
    /// Engines that refuse continuations.
    full: RefCell<Vec<SocketAddr>>,
    /// Runs by request ID.
    runs: RefCell<HashMap<String, Run>>,
    /// Copies by handle.
    copies: RefCell<HashMap<String, Copy>>,
    scripts: RefCell<VecDeque<Script>>,
    calls: RefCell<Vec<CopyCall>>,
    freed: RefCell<Vec<String>>,
    /// Continuations: the engine, the handle, the last event, whether it was accepted.
    continuations: RefCell<Vec<(SocketAddr, String, u64, bool)>>,
    /// Copy calls in progress, and the most at a time for one source and one destination.
    in_progress: RefCell<Vec<(SocketAddr, SocketAddr)>>,
    most: Cell<(usize, usize)>,
    released_copies: Cell<bool>,
    /// How continued streams end.
    end: Cell<StreamEnd>,
    /// Engines in the order in which they began to listen.
    listening: RefCell<Vec<SocketAddr>>,
    /// Whether another incarnation than the listed one answers for each engine.
    replaced: Cell<bool>,
    changed: Notify,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RunState {
    Waiting,
    Released,
    Stopped,
    Frozen,
    /// Its connection is closed, and the engine works on.
    Lost,
}

#[derive(Debug)]
struct Run {
    engine: SocketAddr,
    state: RunState,
    /// Engines that work on it now, and the most at a time.
    at_work: usize,
    most_at_work: usize,
    /// Times that it was started from the beginning.
    starts: usize,
}

#[derive(Debug)]
struct Copy {
    source: SocketAddr,
    destination: SocketAddr,
    stopped: bool,
    used: bool,
}

impl Engines {
    /// Starts another engine.
    pub(crate) async fn listen(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let addr = listener.local_addr().expect("an address");
        let engines = self.clone();
        self.0.listening.borrow_mut().push(addr);
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                if !engines.is_dead(addr) {
                    actix_rt::spawn(engines.clone().serve(addr, stream));
                }
            }
        });
        addr
    }

    /// Sets how continued streams end, and whether their engines are replaced at that time.
    pub(crate) fn end_continuations(&self, end: StreamEnd, replaced: bool) {
        self.0.end.set(end);
        self.0.replaced.set(replaced);
    }

    /// Answers with the ID of the incarnation that runs at `engine`.
    async fn answer_health(&self, engine: SocketAddr, stream: &mut TcpStream) {
        let at = self.0.listening.borrow().iter().position(|e| *e == engine);
        let id = match self.0.replaced.get() {
            true => "another".to_owned(),
            false => format!("e{}", at.expect("an engine")),
        };
        let answer = format!(
            "HTTP/1.1 200 OK\r\ninstance: {id}\r\nconnection: close\r\n\
             Content-Length: 0\r\n\r\n"
        );
        let _ = stream.write_all(answer.as_bytes()).await;
    }

    /// Sets what the next copy calls do; later ones act by the protocol.
    pub(crate) fn script(&self, scripts: &[Script]) {
        self.0.scripts.borrow_mut().extend(scripts);
    }

    /// Makes an engine refuse all continuations.
    pub(crate) fn refuse_continuations(&self, engine: SocketAddr) {
        self.0.full.borrow_mut().push(engine);
    }

    /// Makes an engine announce in its next responses that it leaves.
    pub(crate) fn announce_leaving(&self, engine: SocketAddr) {
        self.0.announcing.borrow_mut().push(engine);
    }

    /// Lets the copy calls that are held continue.
    pub(crate) fn release_copies(&self) {
        self.0.released_copies.set(true);
        self.0.changed.notify_waiters();
    }

    /// Lets a run send its remaining events.
    pub(crate) fn release_run(&self, id: &str) {
        self.set_state(id, RunState::Released);
    }

    /// Breaks a run's connection inside an event, as when its engine crashes.
    pub(crate) fn break_run(&self, id: &str) {
        self.set_state(id, RunState::Stopped);
    }

    /// Closes a run's connection, while the engine works on until the run is stopped.
    pub(crate) fn lose_answer(&self, id: &str) {
        self.set_state(id, RunState::Lost);
    }

    pub(crate) fn calls(&self) -> Vec<CopyCall> {
        self.0.calls.borrow().clone()
    }

    pub(crate) fn freed(&self) -> Vec<String> {
        self.0.freed.borrow().clone()
    }

    /// Continuations as engine, handle, last event and whether it was accepted.
    pub(crate) fn continuations(&self) -> Vec<(SocketAddr, String, u64, bool)> {
        self.0.continuations.borrow().clone()
    }

    /// The most copy calls that were in progress for one source, and for one destination.
    pub(crate) fn most_copies(&self) -> (usize, usize) {
        self.0.most.get()
    }

    /// The engine that ran a request last.
    pub(crate) fn engine_of(&self, id: &str) -> SocketAddr {
        self.0.runs.borrow()[id].engine
    }

    /// Whether no engine works on any run.
    pub(crate) fn is_idle(&self) -> bool {
        self.0.runs.borrow().values().all(|r| r.at_work == 0)
    }

    /// Checks that each run was started once and never by two engines at a time.
    pub(crate) fn assert_single_runs(&self) {
        for (id, run) in &*self.0.runs.borrow() {
            assert_eq!((run.starts, run.most_at_work), (1, 1), "run {id}");
        }
    }

    /// Waits until `condition` holds; the test fails if it never does.
    pub(crate) async fn wait_until(&self, condition: impl Fn(&Self) -> bool) {
        for _ in 0..2000 {
            if condition(self) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        panic!("condition not met; calls: {:?}", self.calls());
    }

    fn is_dead(&self, engine: SocketAddr) -> bool {
        self.0.dead.borrow().contains(&engine)
    }

    fn set_state(&self, id: &str, state: RunState) {
        if let Some(run) = self.0.runs.borrow_mut().get_mut(id) {
            run.state = state;
        }
        self.0.changed.notify_waiters();
    }

    /// Serves one connection; a run's stream is its last response.
    async fn serve(self, engine: SocketAddr, mut stream: TcpStream) {
        let mut request = Vec::new();
        while !request.ends_with(b"body") {
            let mut part = [0; 4096];
            match stream.read(&mut part).await {
                Ok(length) if length > 0 => request.extend_from_slice(&part[..length]),
                _ => return,
            }
            if request.starts_with(b"GET /health ") {
                self.answer_health(engine, &mut stream).await;
                return;
            }
        }
        let request = String::from_utf8_lossy(&request).into_owned();
        let id = header(&request, "call-id").expect("an ID");
        let first = match header(&request, "kv-from") {
            None => {
                self.start_run(&id, engine);
                let last = header(&request, "last-event");
                last.map_or(1, |l| l.parse::<u64>().expect("a number") + 1)
            }
            Some(from) => {
                let last = header(&request, "last-event").expect("a number");
                let last = last.parse().expect("a number");
                if !self.continue_run(&id, engine, &from, last) {
                    let refusal = format!(
                        "HTTP/1.1 503 Full\r\ncall-id: {id}\r\nnot-run: 1\r\n\
                         connection: close\r\nContent-Length: 0\r\n\r\n"
                    );
                    let _ = stream.write_all(refusal.as_bytes()).await;
                    return;
                }
                last + 1
            }
        };
        let continued = first > 1;
        let sent = self.send_events(&id, &mut stream, first, continued).await;
        // A run whose answer is lost goes on until a copy call stops it.
        let lost = |e: &std::io::Error| e.kind() == std::io::ErrorKind::ConnectionAborted;
        if !sent.as_ref().is_err_and(lost)
            && let Some(run) = self.0.runs.borrow_mut().get_mut(&id)
        {
            run.at_work -= 1;
        }
        self.0.changed.notify_waiters();
        if sent.is_err() {
            return;
        }
        // The connection of a frozen run stays open until the other side closes it.
        let frozen = self.0.runs.borrow()[&id].state == RunState::Frozen;
        let silent = continued && self.0.end.get() == StreamEnd::Silence;
        if frozen && !continued || silent {
            let _ = stream.read(&mut [0; 64]).await;
        }
    }

    fn start_run(&self, id: &str, engine: SocketAddr) {
        let mut runs = self.0.runs.borrow_mut();
        let run = runs.entry(id.to_owned()).or_insert(Run {
            engine,
            state: RunState::Waiting,
            at_work: 0,
            most_at_work: 0,
            starts: 0,
        });
        run.engine = engine;
        run.starts += 1;
        run.at_work += 1;
        run.most_at_work = run.most_at_work.max(run.at_work);
    }

    /// Whether `engine` continues a run by the handle in `from`.
    fn continue_run(&self, id: &str, engine: SocketAddr, from: &str, last: u64) -> bool {
        let (source, handle) = from.split_once('/').expect("an address and a handle");
        let mut copies = self.0.copies.borrow_mut();
        let full = self.0.full.borrow().contains(&engine);
        let copy = copies.get_mut(handle).filter(|c| {
            let here = c.destination == engine || (c.source == engine && c.stopped);
            c.source.to_string() == source && here && !c.used && !full
        });
        let accepted = copy.is_some();
        if let Some(copy) = copy {
            copy.used = true;
            let mut runs = self.0.runs.borrow_mut();
            let run = runs.get_mut(id).expect("a run");
            run.engine = engine;
            run.at_work += 1;
            run.most_at_work = run.most_at_work.max(run.at_work);
        }
        let call = (engine, handle.to_owned(), last, accepted);
        self.0.continuations.borrow_mut().push(call);
        accepted
    }

    /// Sends a run's events from `first` on. A run that is not a continuation waits after
    /// its first events. One that is stopped then sends one more event and the beginning of
    /// the next one, and ends without the stream's end.
    async fn send_events(
        &self,
        id: &str,
        stream: &mut TcpStream,
        first: u64,
        continued: bool,
    ) -> std::io::Result<()> {
        let engine = self.engine_of(id);
        let leaving = match self.0.announcing.borrow().contains(&engine) {
            true => "leaving: 1\r\n",
            false => "",
        };
        let end = match continued {
            true => self.0.end.get(),
            false => StreamEnd::LastChunk,
        };
        let framing = match end {
            StreamEnd::Closed => "",
            _ => "Transfer-Encoding: chunked\r\n",
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: {first}\r\n\
             {leaving}connection: close\r\n{framing}\r\n"
        );
        if end == StreamEnd::InsideHead {
            return stream.write_all(&head.as_bytes()[..30]).await;
        }
        stream.write_all(head.as_bytes()).await?;
        if end == StreamEnd::Closed {
            return stream.write_all(events(first, EVENTS).as_bytes()).await;
        }
        let pause = match continued {
            true => EVENTS,
            false => FIRST_EVENTS,
        };
        send_chunk(stream, &events(first, pause)).await?;
        if !continued {
            let stopped = loop {
                let changed = self.0.changed.notified();
                let state = self.0.runs.borrow()[id].state;
                match state {
                    RunState::Waiting => {}
                    RunState::Released => break false,
                    RunState::Stopped | RunState::Frozen => break true,
                    RunState::Lost => return Err(std::io::ErrorKind::ConnectionAborted.into()),
                }
                let mut byte = [0];
                let left = std::pin::pin!(stream.read(&mut byte));
                let changed = std::pin::pin!(changed);
                if let futures_util::future::Either::Right(_) =
                    futures_util::future::select(changed, left).await
                {
                    return Err(std::io::ErrorKind::ConnectionReset.into());
                }
            };
            if stopped {
                let next = pause + 1;
                send_chunk(stream, &events(next, next)).await?;
                return send_chunk(stream, &format!("id: {}\nda", next + 1)).await;
            }
            send_chunk(stream, &events(pause + 1, EVENTS)).await?;
        }
        match end {
            StreamEnd::BetweenEvents | StreamEnd::Silence => Ok(()),
            StreamEnd::InsideEvent => send_chunk(stream, "id: 9\nda").await,
            _ => stream.write_all(b"0\r\n\r\n").await,
        }
    }

    /// Carries out a call that copies a run.
    fn copy(&self, engine: SocketAddr, request: &CopyRequest<'_>) -> CopyOutcome {
        let working = |r: &Run| r.engine == engine && r.at_work > 0;
        if !self.0.runs.borrow().get(request.id).is_some_and(working) {
            return CopyOutcome::NoRun;
        }
        if request.last {
            if let Some(run) = self.0.runs.borrow_mut().get_mut(request.id)
                && run.state == RunState::Lost
            {
                run.at_work -= 1;
            }
            self.set_state(request.id, RunState::Stopped);
        }
        let mut copies = self.0.copies.borrow_mut();
        let handle = format!("h-{}-{}", request.id, request.to.port());
        let copy = copies.entry(handle.clone()).or_insert(Copy {
            source: engine,
            destination: request.to,
            stopped: false,
            used: false,
        });
        copy.stopped |= request.last;
        CopyOutcome::Copied {
            handle,
            events: FIRST_EVENTS,
        }
    }

    /// Counts the copy calls in progress.
    fn count_copies(&self) {
        let calls = self.0.in_progress.borrow();
        let most = |key: fn(&(SocketAddr, SocketAddr)) -> SocketAddr| {
            let count = |c| calls.iter().filter(|other| key(other) == key(c)).count();
            calls.iter().map(count).max().unwrap_or_default()
        };
        let (source, destination) = self.0.most.get();
        let most = (source.max(most(|c| c.0)), destination.max(most(|c| c.1)));
        self.0.most.set(most);
    }
}

impl EngineControl for Engines {
    async fn copy_run(&self, engine: SocketAddr, request: &CopyRequest<'_>) -> CopyOutcome {
        self.0.calls.borrow_mut().push(CopyCall {
            id: request.id.to_owned(),
            from: engine,
            to: request.to,
            last: request.last,
        });
        let script = self.0.scripts.borrow_mut().pop_front();
        let ends = (engine, request.to);
        self.0.in_progress.borrow_mut().push(ends);
        self.count_copies();
        let outcome = match script.unwrap_or(Script::Obey) {
            Script::Obey | Script::Hold => self.copy(engine, request),
            Script::Refuse if request.last => match self.copy(engine, request) {
                CopyOutcome::Copied { handle, .. } => CopyOutcome::Refused {
                    handle: Some(handle),
                },
                other => other,
            },
            Script::Refuse => CopyOutcome::Refused { handle: None },
            Script::Lose => CopyOutcome::NoAnswer("lost".to_owned()),
            Script::LoseAnswer => {
                self.copy(engine, request);
                CopyOutcome::NoAnswer("lost".to_owned())
            }
            Script::Die => {
                self.copy(engine, request);
                self.0.dead.borrow_mut().push(engine);
                CopyOutcome::NoAnswer("died".to_owned())
            }
            Script::Freeze => {
                let outcome = self.copy(engine, request);
                self.set_state(request.id, RunState::Frozen);
                outcome
            }
        };
        while script == Some(Script::Hold) && !self.0.released_copies.get() {
            self.0.changed.notified().await;
        }
        let mut calls = self.0.in_progress.borrow_mut();
        if let Some(at) = calls.iter().position(|c| *c == ends) {
            calls.remove(at);
        }
        outcome
    }

    async fn drop_copy(&self, _engine: SocketAddr, handle: &str) -> Result<(), EngineError> {
        self.0.freed.borrow_mut().push(handle.to_owned());
        Ok(())
    }
}

/// The events from number `first` to `last`.
pub(crate) fn events(first: u64, last: u64) -> String {
    let event = |n| format!("id: {n}\ndata: {n}\n\n");
    (first..=last).map(event).collect()
}

async fn send_chunk(stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
    let chunk = format!("{:x}\r\n{text}\r\n", text.len());
    stream.write_all(chunk.as_bytes()).await
}

//! Answering the entries.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base::clock::Clock;
use base::stop::StopSignal;
use policy::grants::incarnations::{IncarnationStatus, Incarnations};
use policy::grants::{CallId, EngineReport, GrantController, GrantDecision, GrantRequest};
use spdlog::{info, warn};
use tokio::net::UdpSocket;
use wire::grants::{self, RequestKind};

/// How often waiting calls are looked at when no message comes: pauses of
/// streams end by themselves.
const TICK: Duration = Duration::from_millis(5);

/// How often is looked for waiting calls while there are none, and histograms
/// are tidied up.
const REST: Duration = Duration::from_millis(50);

/// The pause after a socket's failure.
const RETRY: Duration = Duration::from_millis(20);

/// The sidecar's side of the conversation with the entries.
pub struct GrantResponder {
    socket: UdpSocket,
    clock: Rc<dyn Clock>,
    inner: RefCell<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    grants: GrantController,
    /// The life of the engine that the grants are for.
    lives: Incarnations,
    /// Who asked for each waiting call.
    askers: HashMap<CallId, Asker>,
    /// Whether the engine does not answer; nothing can be fetched from it.
    dark: bool,
}

/// Who asked for a waiting call.
#[derive(Debug)]
struct Asker {
    addr: SocketAddr,
    /// The caller's identity of the call, for logs.
    name: String,
    /// The engine's life that is meant.
    server: String,
}

impl GrantResponder {
    /// Makes a responder that answers on `socket`.
    #[must_use]
    pub fn new(socket: UdpSocket, clock: Rc<dyn Clock>) -> Rc<Self> {
        Rc::new(Self {
            socket,
            clock,
            inner: RefCell::default(),
        })
    }

    /// Takes messages of entries for as long as the process lives.
    pub async fn listen(self: Rc<Self>) {
        let mut buffer = vec![0; grants::MAX_DATAGRAM_BYTES];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((length, from)) => self.take(&buffer[..length], from),
                Err(e) => {
                    // An entry that is gone shows up here; the others' next
                    // messages come all the same.
                    metrics::counter!("pimentocart_grant_errors_total").increment(1);
                    if e.kind() != std::io::ErrorKind::ConnectionRefused {
                        warn!("socket failed", kv: { cause = e.to_string().as_str() });
                        tokio::time::sleep(RETRY).await;
                    }
                }
            }
        }
    }

    /// Looks at the waiting calls until `end`.
    pub async fn poll_waiting(self: Rc<Self>, end: StopSignal) {
        while !end.is_triggered() {
            let waits = !self.inner.borrow().askers.is_empty();
            tokio::time::sleep(if waits { TICK } else { REST }).await;
            if waits {
                self.let_in();
            }
        }
    }

    /// Whether no call is known.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.inner.borrow().grants.counts() == (0, 0, 0)
    }

    /// Takes over what the engine says.
    pub fn update_report(&self, report: EngineReport) {
        let now = self.clock.now();
        let mut inner = self.inner.borrow_mut();
        inner.grants.update_report(now, report);
        inner.dark = false;
        drop(inner);
        self.let_in();
    }

    /// Notes that the engine did not answer.
    pub fn mark_unreachable(&self) {
        self.inner.borrow_mut().dark = true;
    }

    /// Lets all waiting calls go to the engine, since nobody will order them
    /// any more; returns how many there were.
    pub async fn grant_all(&self) -> usize {
        let askers = std::mem::take(&mut self.inner.borrow_mut().askers);
        for (id, asker) in &askers {
            self.send(asker.addr, *id, grants::Verdict::Granted, 0, false);
        }
        askers.len()
    }

    fn take(&self, bytes: &[u8], from: SocketAddr) {
        let ask: grants::GrantRequest = match grants::decode(bytes) {
            Ok(ask) => ask,
            Err(e) => {
                warn!("message not understood", kv: {
                    peer = from.to_string().as_str(), cause = e.to_string().as_str()
                });
                return;
            }
        };
        let now = self.clock.now();
        let id = CallId {
            incarnation: ask.incarnation,
            number: ask.call_number,
        };
        match ask.kind {
            RequestKind::Admission(want) => self.want(id, want, from),
            RequestKind::Lookup(look) => self.look(id, &look, from),
            RequestKind::Utilization => self.busy(id, from),
            RequestKind::Fetching(source) => {
                self.inner.borrow_mut().grants.record_fetch(id, source)
            }
            RequestKind::ServerGone { server, started_ms } => self.gone(&server, started_ms),
            RequestKind::FirstEvent => self.inner.borrow_mut().grants.record_first_event(now, id),
            RequestKind::Ended { pause_ms } => {
                let mut inner = self.inner.borrow_mut();
                let pause = Duration::from_millis(u64::from(pause_ms));
                inner.grants.call_ended(now, id, pause);
                inner.askers.remove(&id);
            }
        }
        self.let_in();
    }

    fn want(&self, id: CallId, want: grants::AdmissionRequest, from: SocketAddr) {
        let now = self.clock.now();
        let mut inner = self.inner.borrow_mut();
        let meant = inner.lives.resolve(&want.server, want.started_ms);
        let over = match meant {
            IncarnationStatus::Gone => Some(("gone", grants::Verdict::ServerGone)),
            IncarnationStatus::Leaving => Some(("leaving", grants::Verdict::Leaving)),
            IncarnationStatus::Current | IncarnationStatus::New => None,
        };
        if let Some((word, verdict)) = over {
            drop(inner);
            metrics::counter!("pimentocart_grants_total", "verdict" => word).increment(1);
            self.send(from, id, verdict, 0, false);
            return;
        }
        if !inner.grants.observe_incarnation(want.started_ms) {
            // An entry whose list is old means the engine that this one
            // replaces. Taken for the newest, it would have the books cleared
            // with each of its calls.
            drop(inner);
            let verdict = grants::Verdict::Refused(want.timeout_ms);
            self.send(from, id, verdict, 0, false);
            return;
        }
        if meant == IncarnationStatus::New {
            info!("engine known", kv: { server = want.server.as_str() });
            // Another life of the engine has read nothing yet.
            inner.grants.reset_engine();
        }
        let ms = |ms: u32| Duration::from_millis(u64::from(ms));
        let ask = GrantRequest {
            id,
            parts: want.prompt_parts,
            ttft_limit: ms(want.first_event_ms),
            time_left: ms(want.timeout_ms),
            max_gap: want.max_gap_ms.map(ms),
            slots: want.slots,
            rank: want.priority,
            is_home: want.is_home,
            forced: want.forced,
            fetchable: want.remote_tokens,
            copy_time: want.copy_ns.map(|ns| Duration::from_nanos(u64::from(ns))),
        };
        let tokens = inner.grants.missing_tokens(&ask.parts);
        let held = inner.held(&ask.parts);
        let fetch = inner.grants.fetch_pays();
        let verdict = inner.grants.request(now, ask);
        let (waiting, flying, running) = inner.grants.counts();
        let beliefs = inner.grants.estimates();
        let (word, expected) = match verdict {
            GrantDecision::Granted => ("granted", Duration::ZERO),
            GrantDecision::Queued(expected) => ("queued", expected),
            GrantDecision::Refused(expected) => ("refused", expected),
        };
        metrics::counter!("pimentocart_grants_total", "verdict" => word).increment(1);
        // A call in the queue asks again and again.
        let known = inner.askers.contains_key(&id);
        if !known {
            info!("call judged", kv: {
            id = want.request_id.as_str(),
            verdict = word,
            expected_ms = millis(expected),
            allowed_ms = want.first_event_ms, home = want.is_home, tokens, held, source = want.remote_tokens,
            waiting, flying, running, pace_ns = beliefs.pace_ns, fetch_ns = beliefs.fetch_ns,
            base_us = beliefs.base_us, window = beliefs.window, gap_percent = beliefs.gap_percent
            });
        }
        if word == "queued" {
            let asker = Asker {
                addr: from,
                name: want.request_id,
                server: want.server,
            };
            inner.askers.insert(id, asker);
        }
        drop(inner);
        let verdict = match verdict {
            GrantDecision::Granted => grants::Verdict::Granted,
            GrantDecision::Queued(expected) => grants::Verdict::Queued(millis(expected)),
            GrantDecision::Refused(expected) => grants::Verdict::Refused(millis(expected)),
        };
        self.send(from, id, verdict, held, fetch);
    }

    /// Notes that a life of the engine has ended.
    fn gone(&self, server: &str, born: Option<u64>) {
        let mut inner = self.inner.borrow_mut();
        if inner.lives.mark_refused(server, born) {
            info!("engine gone", kv: { server });
            inner.grants.engine_stopped();
        }
        // Let in one after the other, each would be refused by the engine.
        self.send_away(&mut inner, server, grants::Verdict::ServerGone);
    }

    /// The life of the engine that is known.
    #[must_use]
    pub fn incarnation(&self) -> Option<String> {
        self.inner.borrow().lives.current().map(str::to_owned)
    }

    /// Notes that life `server` of the engine says that it leaves.
    pub fn mark_leaving(&self, server: &str) {
        let mut inner = self.inner.borrow_mut();
        if inner.lives.mark_leaving(server) {
            info!("engine leaves", kv: { server });
            self.send_away(&mut inner, server, grants::Verdict::Leaving);
        }
    }

    /// Answers all calls that wait for a life of the engine.
    fn send_away(&self, inner: &mut Inner, server: &str, verdict: grants::Verdict) {
        let now = self.clock.now();
        let meant: Vec<CallId> = {
            let askers = inner.askers.iter();
            let meant = askers.filter(|(_, asker)| asker.server == server);
            meant.map(|(id, _)| *id).collect()
        };
        for id in meant {
            inner.grants.call_ended(now, id, Duration::ZERO);
            if let Some(asker) = inner.askers.remove(&id) {
                self.send(asker.addr, id, verdict, 0, false);
            }
        }
    }

    /// Says how much of a prompt the engine holds.
    fn look(&self, id: CallId, look: &grants::PrefixLookup, from: SocketAddr) {
        let inner = self.inner.borrow();
        let held = match inner.lives.is_current(&look.server) {
            true => inner.held(&look.prompt_parts),
            false => 0,
        };
        self.send(from, id, grants::Verdict::Acknowledged, held, false);
    }

    /// Says how busy the engine is.
    fn busy(&self, id: CallId, from: SocketAddr) {
        let busy = self.inner.borrow().grants.utilization(self.clock.now());
        let verdict = grants::Verdict::Utilization((busy * 1e3) as u32);
        self.send(from, id, verdict, 0, false);
    }

    /// Tells the entries of calls that are let in by now.
    fn let_in(&self) {
        let now = self.clock.now();
        let mut inner = self.inner.borrow_mut();
        let fetch = inner.grants.fetch_pays();
        for (id, held) in inner.grants.grant_waiting(now) {
            let Some(asker) = inner.askers.remove(&id) else {
                continue;
            };
            info!("call let in", kv: { id = asker.name.as_str(), held });
            self.send(asker.addr, id, grants::Verdict::Granted, held, fetch);
        }
    }

    fn send(
        &self,
        to: SocketAddr,
        id: CallId,
        verdict: grants::Verdict,
        cached_tokens: u32,
        prefer_fetch: bool,
    ) {
        let bytes = grants::encode(&grants::GrantResponse {
            call_number: id.number,
            verdict,
            cached_tokens,
            prefer_fetch,
        });
        // One that cannot be sent is like one that is lost: it is asked again.
        let _ = self.socket.try_send_to(&bytes, to);
    }
}

impl Inner {
    /// Tokens from the prompt's start that others may fetch here.
    fn held(&self, parts: &[(u64, u32)]) -> u32 {
        if self.dark {
            0
        } else {
            self.grants.held_tokens(parts)
        }
    }
}

fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}

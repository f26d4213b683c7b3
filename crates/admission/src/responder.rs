//! Answers the admission requests of entries over UDP: keeps the waiting calls,
//! passes every request to the [`GrantController`] and sends its decisions.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::clock::Clock;
use base::logging::limiter::LineLimiter;
use base::stop::StopSignal;
use policy::grants::availability::EngineAvailability;
use policy::grants::incarnations::{IncarnationStatus, Incarnations};
use policy::grants::{CallId, EngineReport, GrantController, GrantDecision, GrantRequest};
use spdlog::{info, warn};
use tokio::net::UdpSocket;
use wire::grants::{self, RequestKind};

/// How often waiting calls are checked when no datagram arrives. Capacity also
/// becomes free with time alone, when the pauses of running streams end.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// How often the loop checks for waiting calls while there are none.
const IDLE_INTERVAL: Duration = Duration::from_millis(50);

/// The delay after a socket error.
const ERROR_DELAY: Duration = Duration::from_millis(20);

/// Answers the grant requests that entries send to the sidecar of one engine.
pub struct GrantResponder {
    socket: UdpSocket,
    clock: Rc<dyn Clock>,
    state: RefCell<State>,
    /// What the answers say about the engine.
    engine: Cell<EngineFacts>,
    /// Limits lines about datagrams that could not be decoded.
    undecoded: LineLimiter,
}

/// What answers say about the engine.
#[derive(Debug, Clone, Copy, Default)]
struct EngineFacts {
    /// Typical time between two events, in microseconds; 0 if unknown.
    event_us: u32,
    /// KV cache tokens that no call holds or will need; 0 if unknown.
    free_tokens: u32,
}

#[derive(Debug, Default)]
struct State {
    grants: GrantController,
    /// The current and the ended incarnations of the engine.
    incarnations: Incarnations,
    /// Whether the engine takes calls.
    availability: EngineAvailability,
    /// The calls that wait for a grant.
    waiting_calls: HashMap<CallId, WaitingCall>,
    /// Whether the engine's last report failed. Nothing can be fetched from an
    /// engine that does not respond.
    unreachable: bool,
}

/// A call that waits for a grant.
#[derive(Debug)]
struct WaitingCall {
    /// Address of the entry that the grant is sent to.
    addr: SocketAddr,
    /// The request id given by the caller, for logs.
    request_id: String,
    /// Id of the engine incarnation that the call is for.
    server: String,
    /// When it was queued.
    since: Instant,
    rank: u8,
    /// Whether it must be admitted.
    forced: bool,
}

impl GrantResponder {
    /// Creates a responder that answers on `socket`.
    #[must_use]
    pub fn new(socket: UdpSocket, clock: Rc<dyn Clock>) -> Rc<Self> {
        Self::with_grants(socket, clock, GrantController::default())
    }

    /// Creates a responder that answers on `socket` with the decisions of
    /// `grants`.
    #[must_use]
    pub fn with_grants(
        socket: UdpSocket,
        clock: Rc<dyn Clock>,
        grants: GrantController,
    ) -> Rc<Self> {
        let state = State {
            grants,
            ..State::default()
        };
        Rc::new(Self {
            socket,
            clock,
            state: RefCell::new(state),
            engine: Cell::default(),
            undecoded: LineLimiter::default(),
        })
    }

    /// From now on admits prompts and streams by the pauses that streams have
    /// to expect.
    pub fn enable_paces(&self) {
        self.state.borrow_mut().grants.enable_paces();
    }

    /// Receives and handles datagrams; never returns.
    pub async fn listen(self: Rc<Self>) {
        let mut buffer = vec![0; grants::MAX_DATAGRAM_BYTES];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((length, from)) => self.handle_datagram(&buffer[..length], from),
                Err(e) => {
                    // The port of an entry that has ended shows up as a refused
                    // connection; datagrams of other entries still arrive.
                    metrics::counter!("pimentocart_grant_errors_total").increment(1);
                    if e.kind() != std::io::ErrorKind::ConnectionRefused {
                        warn!("grant socket failed; retrying", kv: { cause = e.to_string().as_str() });
                        tokio::time::sleep(ERROR_DELAY).await;
                    }
                }
            }
        }
    }

    /// Grants waiting calls as capacity becomes free, until `end`.
    pub async fn poll_waiting(self: Rc<Self>, end: StopSignal) {
        while !end.is_triggered() {
            let has_waiting = !self.state.borrow().waiting_calls.is_empty();
            tokio::time::sleep(if has_waiting {
                POLL_INTERVAL
            } else {
                IDLE_INTERVAL
            })
            .await;
            if has_waiting {
                self.grant_waiting();
            }
        }
    }

    /// Whether no call is waiting, granted or running.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.state.borrow().grants.counts() == (0, 0, 0)
    }

    /// Applies a report of the engine.
    pub fn update_report(&self, report: EngineReport) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        state.grants.update_report(now, report);
        state.unreachable = false;
        drop(state);
        self.grant_waiting();
    }

    /// Records that the engine's report failed.
    pub fn mark_unreachable(&self) {
        self.state.borrow_mut().unreachable = true;
    }

    /// Grants all waiting calls and returns their number. Used on shutdown, after
    /// which no sidecar schedules them any more.
    pub async fn grant_all(&self) -> usize {
        let waiting_calls = std::mem::take(&mut self.state.borrow_mut().waiting_calls);
        for (id, call) in &waiting_calls {
            self.send(call.addr, *id, grants::Verdict::Granted, 0, false);
        }
        waiting_calls.len()
    }

    fn handle_datagram(&self, bytes: &[u8], from: SocketAddr) {
        let request: grants::GrantRequest = match grants::decode(bytes) {
            Ok(request) => request,
            Err(e) => {
                metrics::counter!("pimentocart_grant_errors_total").increment(1);
                if let Some(unlogged) = self.undecoded.record(self.clock.now()) {
                    warn!("undecodable datagram ignored", kv: {
                        peer = from.to_string().as_str(), cause = e.to_string().as_str(),
                        unlogged = unlogged
                    });
                }
                return;
            }
        };
        let now = self.clock.now();
        let id = CallId {
            incarnation: request.incarnation,
            number: request.call_number,
        };
        match request.kind {
            RequestKind::Admission(admission) => self.handle_admission(id, admission, from),
            RequestKind::Lookup(lookup) => self.handle_lookup(id, &lookup, from),
            RequestKind::Utilization => self.handle_utilization(id, from),
            RequestKind::Fetching(source) => {
                self.state.borrow_mut().grants.record_fetch(id, source)
            }
            RequestKind::ServerGone { server, started_ms } => {
                self.handle_server_gone(&server, started_ms)
            }
            RequestKind::FirstEvent => {
                let mut state = self.state.borrow_mut();
                state.availability.call_started();
                state.grants.record_first_event(now, id);
            }
            RequestKind::Rejected => self.handle_rejected(now),
            RequestKind::Ended { pause_ms, event_us } => {
                let mut state = self.state.borrow_mut();
                let event = Duration::from_micros(u64::from(event_us));
                state.grants.record_event_time(now, event);
                let pause = Duration::from_millis(u64::from(pause_ms));
                if let Some(call) = state.waiting_calls.remove(&id) {
                    log_withdrawn(&state.grants, now, &call);
                }
                state.grants.call_ended(now, id, pause);
            }
        }
        self.grant_waiting();
    }

    fn handle_admission(&self, id: CallId, admission: grants::AdmissionRequest, from: SocketAddr) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let incarnation = state
            .incarnations
            .resolve(&admission.server, admission.started_ms);
        let rejection = match incarnation {
            IncarnationStatus::Gone => Some(("gone", grants::Verdict::ServerGone)),
            IncarnationStatus::Leaving => Some(("leaving", grants::Verdict::Leaving)),
            IncarnationStatus::Current => {
                let left = state.availability.closed_for(now);
                left.map(|left| ("closed", grants::Verdict::Closed(millis(left))))
            }
            IncarnationStatus::New => None,
        };
        if let Some((label, verdict)) = rejection {
            drop(state);
            metrics::counter!("pimentocart_grants_total", "verdict" => label).increment(1);
            self.send(from, id, verdict, 0, false);
            return;
        }
        if !state.grants.observe_incarnation(admission.started_ms) {
            // An entry with an outdated server list names the engine that this
            // one has replaced. If that counted as a new incarnation, each of
            // its calls would reset the state kept for the running engine.
            drop(state);
            let verdict = grants::Verdict::Refused(admission.timeout_ms);
            self.send(from, id, verdict, 0, false);
            return;
        }
        if incarnation == IncarnationStatus::New {
            info!("new engine incarnation", kv: { server = admission.server.as_str() });
            // A new incarnation has an empty KV cache.
            state.grants.reset_engine();
            state.availability = EngineAvailability::default();
        }
        let from_ms = |ms: u32| Duration::from_millis(u64::from(ms));
        let request = GrantRequest {
            id,
            parts: admission.prompt_parts,
            ttft_limit: from_ms(admission.first_event_ms),
            time_left: from_ms(admission.timeout_ms),
            max_gap: admission.max_gap_ms.map(from_ms),
            slots: admission.slots,
            rank: admission.priority,
            is_home: admission.is_home,
            forced: admission.forced,
            fetchable: admission.remote_tokens,
            copy_time: admission
                .copy_ns
                .map(|ns| Duration::from_nanos(u64::from(ns))),
            workspace: admission.workspace,
            output_tokens: admission.output_tokens,
        };
        let tokens = state.grants.missing_tokens(&request.parts);
        let held = state.cached_prefix(&request.parts);
        let prefer_fetch = state.grants.fetch_pays();
        let level = state.grants.share_level(request.workspace, request.rank);
        let decision = state.grants.request(now, request);
        self.refuse_displaced(&mut state);
        self.update_facts(&state, now);
        let (waiting, flying, running) = state.grants.counts();
        let estimates = state.grants.estimates();
        let (label, expected) = match decision {
            GrantDecision::Granted => ("granted", Duration::ZERO),
            GrantDecision::Queued(expected) => ("queued", expected),
            GrantDecision::Refused(expected) => ("refused", expected),
        };
        metrics::counter!("pimentocart_grants_total", "verdict" => label).increment(1);
        // The request of a queued call is repeated; only the first one is logged.
        let already_waiting = state.waiting_calls.contains_key(&id);
        if !already_waiting {
            if level > 0 && label == "queued" {
                metrics::counter!("pimentocart_share_put_back_total").increment(1);
            }
            info!("admission decided", kv: {
            id = admission.request_id.as_str(),
            verdict = label,
            expected_ms = millis(expected),
            allowed_ms = admission.first_event_ms, home = admission.is_home, tokens, held, source = admission.remote_tokens,
            waiting, flying, running, pace_ns = estimates.pace_ns, fetch_ns = estimates.fetch_ns,
            base_us = estimates.base_us, window = estimates.window, gap_percent = estimates.gap_percent,
            stream_gap_ms = millis(state.grants.expected_gap(now)),
            workspace = workspace_label(admission.workspace).as_str(), share_level = level,
            rank = admission.priority, forced = admission.forced
            });
        }
        if label == "queued" {
            let call = WaitingCall {
                addr: from,
                request_id: admission.request_id,
                server: admission.server,
                since: now,
                rank: admission.priority,
                forced: admission.forced,
            };
            state.waiting_calls.entry(id).or_insert(call);
        }
        drop(state);
        let verdict = match decision {
            GrantDecision::Granted => grants::Verdict::Granted,
            GrantDecision::Queued(expected) => grants::Verdict::Queued(millis(expected)),
            GrantDecision::Refused(expected) => grants::Verdict::Refused(millis(expected)),
        };
        self.send(from, id, verdict, held, prefer_fetch);
    }

    /// Refuses the queued calls that would miss their limit behind calls of
    /// workspaces with a smaller share. None of them has been granted, so none
    /// has run.
    fn refuse_displaced(&self, state: &mut State) {
        for (id, expected) in state.grants.take_displaced() {
            let Some(call) = state.waiting_calls.remove(&id) else {
                continue;
            };
            metrics::counter!("pimentocart_share_displaced_total").increment(1);
            info!("waiting call displaced", kv: {
                id = call.request_id.as_str(), expected_ms = millis(expected)
            });
            let verdict = grants::Verdict::Refused(millis(expected));
            self.send(call.addr, id, verdict, 0, false);
        }
    }

    /// Records that the engine did not take an admitted call. Calls that wait for
    /// an engine that is closed go to others.
    fn handle_rejected(&self, now: Instant) {
        let mut state = self.state.borrow_mut();
        if !state.availability.call_rejected(now) {
            return;
        }
        let left = state.availability.closed_for(now).unwrap_or_default();
        warn!("engine takes no calls", kv: { closed_ms = millis(left) });
        let waiting: Vec<CallId> = state.waiting_calls.keys().copied().collect();
        self.reject_calls(&mut state, waiting, grants::Verdict::Closed(millis(left)));
    }

    /// Records that an incarnation of the engine has ended.
    fn handle_server_gone(&self, server: &str, started_ms: Option<u64>) {
        let mut state = self.state.borrow_mut();
        if state.incarnations.mark_refused(server, started_ms) {
            info!("engine incarnation ended", kv: { server });
            state.grants.engine_stopped();
        }
        // The engine would refuse each of these calls if it was granted later.
        self.reject_waiting(&mut state, server, grants::Verdict::ServerGone);
    }

    /// Id of the engine's current incarnation, if known.
    #[must_use]
    pub fn incarnation(&self) -> Option<String> {
        self.state
            .borrow()
            .incarnations
            .current()
            .map(str::to_owned)
    }

    /// Records that incarnation `server` of the engine is shutting down and
    /// accepts no new calls.
    pub fn mark_leaving(&self, server: &str) {
        let mut state = self.state.borrow_mut();
        if state.incarnations.mark_leaving(server) {
            info!("engine is shutting down", kv: { server });
            self.reject_waiting(&mut state, server, grants::Verdict::Leaving);
        }
    }

    /// Answers all calls that wait for incarnation `server` with `verdict`.
    fn reject_waiting(&self, state: &mut State, server: &str, verdict: grants::Verdict) {
        let rejected: Vec<CallId> = {
            let waiting_calls = state.waiting_calls.iter();
            let same_server = waiting_calls.filter(|(_, call)| call.server == server);
            same_server.map(|(id, _)| *id).collect()
        };
        self.reject_calls(state, rejected, verdict);
    }

    /// Answers calls that wait with `verdict`.
    fn reject_calls(&self, state: &mut State, calls: Vec<CallId>, verdict: grants::Verdict) {
        let now = self.clock.now();
        for id in calls {
            state.grants.call_ended(now, id, Duration::ZERO);
            if let Some(call) = state.waiting_calls.remove(&id) {
                self.send(call.addr, id, verdict, 0, false);
            }
        }
    }

    /// Answers how many tokens of a prompt the engine holds in its KV cache.
    fn handle_lookup(&self, id: CallId, lookup: &grants::PrefixLookup, from: SocketAddr) {
        let state = self.state.borrow();
        let held = match state.incarnations.is_current(&lookup.server) {
            true => state.cached_prefix(&lookup.prompt_parts),
            false => 0,
        };
        self.send(from, id, grants::Verdict::Acknowledged, held, false);
    }

    /// Answers with the utilization of the engine, in thousandths.
    fn handle_utilization(&self, id: CallId, from: SocketAddr) {
        let utilization = self.state.borrow().grants.utilization(self.clock.now());
        let verdict = grants::Verdict::Utilization((utilization * 1e3) as u32);
        self.send(from, id, verdict, 0, false);
    }

    /// Grants the waiting calls that the engine has capacity for now.
    fn grant_waiting(&self) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let prefer_fetch = state.grants.fetch_pays();
        for (id, expected) in state.grants.refuse_waiting(now) {
            let Some(call) = state.waiting_calls.remove(&id) else {
                continue;
            };
            info!("waiting call refused", kv: { id = call.request_id.as_str(), why = "streams" });
            metrics::counter!("pimentocart_grants_total", "verdict" => "refused").increment(1);
            let verdict = grants::Verdict::Refused(millis(expected));
            self.send(call.addr, id, verdict, 0, false);
        }
        for (id, held) in state.grants.grant_waiting(now) {
            let Some(call) = state.waiting_calls.remove(&id) else {
                continue;
            };
            self.update_facts(&state, now);
            info!("waiting call granted", kv: { id = call.request_id.as_str(), held });
            self.send(call.addr, id, grants::Verdict::Granted, held, prefer_fetch);
        }
    }

    /// Updates what the answers say about the engine.
    fn update_facts(&self, state: &State, now: Instant) {
        let free = state.grants.free_tokens(now).unwrap_or(0);
        let event = state.grants.event_time(now).unwrap_or_default();
        self.engine.set(EngineFacts {
            event_us: u32::try_from(event.as_micros()).unwrap_or(u32::MAX),
            free_tokens: u32::try_from(free).unwrap_or(u32::MAX),
        });
    }

    fn send(
        &self,
        to: SocketAddr,
        id: CallId,
        verdict: grants::Verdict,
        cached_tokens: u32,
        prefer_fetch: bool,
    ) {
        let engine = self.engine.get();
        let bytes = grants::encode(&grants::GrantResponse {
            call_number: id.number,
            verdict,
            cached_tokens,
            prefer_fetch,
            event_us: engine.event_us,
            free_tokens: engine.free_tokens,
        });
        // A response that cannot be sent counts as lost: the entry repeats its
        // request.
        let _ = self.socket.try_send_to(&bytes, to);
    }
}

impl State {
    /// Number of tokens from the prompt's start that other engines can fetch
    /// from this one.
    fn cached_prefix(&self, parts: &[(u64, u32)]) -> u32 {
        if self.unreachable {
            0
        } else {
            self.grants.held_tokens(parts)
        }
    }
}

/// Logs that an entry no longer waits for a queued call.
fn log_withdrawn(grants: &GrantController, now: Instant, call: &WaitingCall) {
    let (waiting, flying, running) = grants.counts();
    info!("waiting call withdrawn", kv: {
        id = call.request_id.as_str(),
        rank = call.rank,
        forced = call.forced,
        waited_ms = millis(now.saturating_duration_since(call.since)),
        waiting, flying, running
    });
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

/// The hash of a workspace's name as in the logs of entries; `-` without one.
fn workspace_label(workspace: Option<u64>) -> String {
    workspace.map_or_else(|| "-".to_owned(), |hash| format!("{hash:016x}"))
}

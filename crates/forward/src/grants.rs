//! Asks the sidecar next to an engine whether a call may be sent to the engine now.
//!
//! A sidecar that does not respond, because it or its link has failed, must not block
//! calls: the entry uses its own estimate until the sidecar responds again.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::ids::Incarnation;
use base::logging::limiter::LineLimiter;
use base::stop::StopSignal;
use base::task::supervise;
use policy::balance::ServerRecord;
use policy::engine_search::EngineWaits;
use policy::paces::PaceTable;
use spdlog::{info, warn};
use tokio::net::UdpSocket;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use wire::grants::{self, AdmissionRequest, GrantResponse, PrefixLookup, RequestKind, Verdict};

/// Time to wait for an answer before the request is sent again. An answer takes a
/// millisecond or two each way, plus processor time on a small host.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(20);

/// Time to wait for the next answer once the sidecar has queued the call.
const QUEUED_TIMEOUT: Duration = Duration::from_millis(100);

/// Timeout of a prefix lookup, which is sent only once: the prefill of a prompt
/// costs little more than a second attempt.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(10);

/// Timeout of a utilization request. No caller waits for the answer.
const UTILIZATION_TIMEOUT: Duration = Duration::from_millis(200);

/// Unanswered requests after which a sidecar counts as not responding.
const MAX_ATTEMPTS: u32 = 3;

/// Initial time for which a sidecar that did not respond gets no admission requests.
/// It doubles with each failure. A call whose requests are not answered loses 60 ms.
const INITIAL_BACKOFF: Duration = Duration::from_secs(1);

/// Maximum time for which a sidecar that did not respond gets no admission requests.
const MAX_BACKOFF: Duration = Duration::from_secs(8);

/// How long a report of an engine's free KV cache is used. Streams end within
/// seconds, and with them the memory that they hold.
const FREE_TOKENS_TTL: Duration = Duration::from_secs(2);

/// Delay after a failure to receive from the socket.
const SOCKET_RETRY_DELAY: Duration = Duration::from_millis(20);

/// An entry's connection to the sidecars of all engines.
#[derive(Debug)]
pub struct SidecarClient {
    socket: UdpSocket,
    /// The port on which each sidecar listens on its engine's host.
    port: u16,
    incarnation: u64,
    next_number: Cell<u32>,
    /// Calls and lookups that wait for an answer, by number.
    pending: RefCell<HashMap<u32, UnboundedSender<GrantResponse>>>,
    /// Sidecars that did not respond, by host.
    backoffs: RefCell<HashMap<IpAddr, Backoff>>,
    /// Free KV cache of engines in tokens, with the time of the report, by host.
    free_tokens: RefCell<HashMap<IpAddr, (Instant, u32)>>,
    /// The paces of engines that their sidecars have stated.
    pub(crate) paces: RefCell<PaceTable>,
    /// Expected times to the first event that sidecars have stated.
    pub(crate) waits: RefCell<EngineWaits>,
}

#[derive(Debug, Clone, Copy)]
struct Backoff {
    failures: u32,
    ends_at: Instant,
}

/// A sidecar's decision about a call.
#[derive(Debug)]
pub enum AdmissionDecision {
    /// The call may be sent.
    Granted(Grant, CachedPrefix),
    /// The call waits at the engine.
    Queued(Box<QueuedCall>),
    /// The call may not be sent; its first event would take this long.
    Refused(Duration, CachedPrefix),
    /// The addressed incarnation of the engine has ended.
    ServerGone,
    /// The engine is draining and accepts no new calls.
    Leaving,
    /// The engine was removed from the list or replaced while the call waited there.
    Unlisted,
    /// The engine takes no calls for this time.
    Closed(Duration),
    /// The sidecar did not respond.
    NoResponse,
}

/// A call that waits for admission at one engine. Dropping it gives up its place.
#[derive(Debug)]
pub struct QueuedCall {
    server: ServerRecord,
    grant: Grant,
    request: AdmissionRequest,
    answers: UnboundedReceiver<GrantResponse>,
    /// The time to its first event that the sidecar named.
    expected: Duration,
    /// Requests sent since the last answer.
    unanswered: u32,
}

/// The state of a queued call after a wait.
#[derive(Debug)]
pub enum QueueOutcome {
    /// It is still queued.
    Waiting(Box<QueuedCall>),
    /// The sidecar has decided, or does not respond any more.
    Decided(AdmissionDecision),
}

impl QueuedCall {
    /// The engine at which the call waits.
    #[must_use]
    pub fn server(&self) -> &ServerRecord {
        &self.server
    }

    /// The time to its first event that the sidecar named when it was queued.
    #[must_use]
    pub fn expected(&self) -> Duration {
        self.expected
    }

    /// Whether the engine has to admit the call.
    #[must_use]
    pub fn is_forced(&self) -> bool {
        self.request.forced
    }

    /// Waits for the decision for [`QUEUED_TIMEOUT`], then repeats the request:
    /// the decision may have been lost, and a sidecar that restarts has lost its
    /// queue.
    pub async fn wait(mut self: Box<Self>, now: Instant) -> QueueOutcome {
        let period_end = tokio::time::Instant::now() + QUEUED_TIMEOUT;
        loop {
            match tokio::time::timeout_at(period_end, self.answers.recv()).await {
                Ok(Some(answer)) if is_queued(&answer) => self.unanswered = 0,
                Ok(Some(answer)) => {
                    let sidecars = Rc::clone(&self.grant.sidecars);
                    let decision = sidecars.decide(now, &self.server, self.grant, answer);
                    return QueueOutcome::Decided(decision);
                }
                Ok(None) => return QueueOutcome::Decided(AdmissionDecision::NoResponse),
                Err(_) => break,
            }
        }
        if self.unanswered >= MAX_ATTEMPTS {
            let host = self.server.addr.ip();
            self.grant.sidecars.start_backoff(now, host);
            return QueueOutcome::Decided(AdmissionDecision::NoResponse);
        }
        self.unanswered += 1;
        let repeated = RequestKind::Admission(self.request.clone());
        let Grant { to, number, .. } = self.grant;
        self.grant.sidecars.send(to, number, repeated);
        QueueOutcome::Waiting(self)
    }
}

/// The cached prefix of a call's prompt at an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CachedPrefix {
    /// Tokens from the start of the prompt.
    pub tokens: u32,
    /// Whether the engine should fetch the remaining tokens from another engine
    /// instead of computing them by prefill.
    pub prefer_fetch: bool,
}

/// The permission to send one call to one engine. Dropping it tells the sidecar
/// that the call has ended or will not be sent.
#[derive(Debug)]
pub struct Grant {
    sidecars: Rc<SidecarClient>,
    to: SocketAddr,
    number: u32,
    /// The longest gap between two events of the call's stream.
    max_gap: Cell<Duration>,
    /// The first gaps between two events.
    gaps: RefCell<Vec<Duration>>,
}

/// Gaps of a stream from which its typical time between events is taken; a
/// stream has some dozens.
const MAX_GAPS: usize = 64;

/// Part of a stream's gaps that are shorter than the typical one. Prefill beside
/// the stream lengthens the others and says nothing about the engine's pace: an
/// engine would look slow because it gets prompts.
const TYPICAL_GAP_QUANTILE: f64 = 0.25;

impl Grant {
    /// Tells the sidecar that the call has received its first event.
    pub fn report_first_event(&self) {
        self.sidecars
            .send(self.to, self.number, RequestKind::FirstEvent);
    }

    /// Tells the sidecar that the engine fetches the first `remote_tokens` tokens of
    /// the call's prompt from the cache of another engine.
    pub fn report_fetch(&self, remote_tokens: u32) {
        self.sidecars
            .send(self.to, self.number, RequestKind::Fetching(remote_tokens));
    }

    /// Tells the sidecar that the engine has refused the call because the
    /// incarnation `server` has ended.
    pub fn report_gone(&self, server: &ServerRecord) {
        let gone = RequestKind::ServerGone {
            server: server.id.to_string(),
            started_ms: server.started_ms,
        };
        self.sidecars.send(self.to, self.number, gone);
    }

    /// Tells the sidecar that the engine has rejected the call, or could not be
    /// reached.
    pub fn report_rejected(&self) {
        self.sidecars
            .send(self.to, self.number, RequestKind::Rejected);
    }

    /// Records the gap between two events of the call's stream.
    pub fn record_gap(&self, gap: Duration) {
        self.max_gap.set(self.max_gap.get().max(gap));
        let mut gaps = self.gaps.borrow_mut();
        if gaps.len() < MAX_GAPS {
            gaps.push(gap);
        }
    }

    /// The typical time between two events of the call's stream; zero if it had
    /// fewer than two.
    fn typical_gap(&self) -> Duration {
        let mut gaps = self.gaps.borrow_mut();
        if gaps.is_empty() {
            return Duration::ZERO;
        }
        let rank = (gaps.len() as f64 * TYPICAL_GAP_QUANTILE) as usize;
        let (_, gap, _) = gaps.select_nth_unstable(rank);
        *gap
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        self.sidecars.pending.borrow_mut().remove(&self.number);
        let max_gap = self.max_gap.get().as_millis();
        let pause_ms = u32::try_from(max_gap).unwrap_or(u32::MAX);
        let event_us = self.typical_gap().as_micros();
        let ended = RequestKind::Ended {
            pause_ms,
            event_us: u32::try_from(event_us).unwrap_or(u32::MAX),
        };
        self.sidecars.send(self.to, self.number, ended);
    }
}

/// Removes a request from the pending ones once it is answered or nobody waits for the
/// answer any more. Without it, each caller that disconnects while it waits would leak
/// an entry of the map.
struct PendingRequest<'a> {
    sidecars: &'a SidecarClient,
    number: u32,
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        self.sidecars.pending.borrow_mut().remove(&self.number);
    }
}

impl SidecarClient {
    /// Creates a client that asks on `socket` the sidecars that listen on `port`.
    #[must_use]
    pub fn new(socket: UdpSocket, port: u16) -> Rc<Self> {
        let sidecars = Rc::new(Self {
            socket,
            port,
            incarnation: Incarnation::random().0,
            next_number: Cell::new(0),
            pending: RefCell::default(),
            backoffs: RefCell::default(),
            free_tokens: RefCell::default(),
            paces: RefCell::default(),
            waits: RefCell::default(),
        });
        let own = Rc::clone(&sidecars);
        supervise("receive grants", StopSignal::new(), move || {
            Rc::clone(&own).receive()
        });
        sidecars
    }

    /// Asks the sidecar next to `server` to admit a call.
    pub async fn request_admission(
        self: &Rc<Self>,
        now: Instant,
        server: &ServerRecord,
        request: AdmissionRequest,
    ) -> AdmissionDecision {
        let host = server.addr.ip();
        if self
            .backoffs
            .borrow()
            .get(&host)
            .is_some_and(|b| now < b.ends_at)
        {
            return AdmissionDecision::NoResponse;
        }
        let (number, mut answers) = self.register_request();
        // Dropping the grant also tells the sidecar if the caller disconnects while
        // it waits for the decision.
        let grant = Grant {
            sidecars: Rc::clone(self),
            to: SocketAddr::new(host, self.port),
            number,
            max_gap: Cell::default(),
            gaps: RefCell::default(),
        };
        let Some(answer) = self.await_answer(&grant, &request, &mut answers).await else {
            self.start_backoff(now, host);
            return AdmissionDecision::NoResponse;
        };
        self.backoffs.borrow_mut().remove(&host);
        self.record_wait(now, server, &request, &answer);
        if is_queued(&answer) {
            self.record_facts(now, server, &answer);
            return AdmissionDecision::Queued(Box::new(QueuedCall {
                server: server.clone(),
                grant,
                request,
                answers,
                expected: stated_wait(&answer),
                unanswered: 0,
            }));
        }
        self.decide(now, server, grant, answer)
    }

    /// The decision in an answer that is final.
    fn decide(
        &self,
        now: Instant,
        server: &ServerRecord,
        grant: Grant,
        answer: GrantResponse,
    ) -> AdmissionDecision {
        self.record_facts(now, server, &answer);
        let cached = CachedPrefix {
            tokens: answer.cached_tokens,
            prefer_fetch: answer.prefer_fetch,
        };
        match answer.verdict {
            Verdict::Granted => AdmissionDecision::Granted(grant, cached),
            Verdict::Refused(ms) => {
                AdmissionDecision::Refused(Duration::from_millis(u64::from(ms)), cached)
            }
            Verdict::ServerGone => AdmissionDecision::ServerGone,
            Verdict::Leaving => AdmissionDecision::Leaving,
            Verdict::Closed(ms) => AdmissionDecision::Closed(Duration::from_millis(u64::from(ms))),
            Verdict::Queued(_) | Verdict::Acknowledged | Verdict::Utilization(_) => {
                AdmissionDecision::NoResponse
            }
        }
    }

    /// Records how long calls of a rank take at an engine, as its sidecar says.
    fn record_wait(
        &self,
        now: Instant,
        server: &ServerRecord,
        request: &AdmissionRequest,
        answer: &GrantResponse,
    ) {
        let is_known = match answer.verdict {
            // An engine that has to admit a call does so whatever it takes.
            Verdict::Granted => !request.forced && request.max_gap_ms.is_none(),
            Verdict::Queued(_) | Verdict::Refused(_) => true,
            _ => false,
        };
        if !is_known {
            return;
        }
        let expected = stated_wait(answer);
        let mut waits = self.waits.borrow_mut();
        waits.record(now, &server.id, request.priority, expected);
    }

    /// Records what an answer says about the engine.
    fn record_facts(&self, now: Instant, server: &ServerRecord, answer: &GrantResponse) {
        if answer.free_tokens > 0 {
            let mut known = self.free_tokens.borrow_mut();
            known.insert(server.addr.ip(), (now, answer.free_tokens));
        }
        let event = Duration::from_micros(u64::from(answer.event_us));
        self.paces.borrow_mut().record(now, server.number(), event);
    }

    /// The KV cache tokens of the engine on `host` that no call holds or will need,
    /// as its sidecar reported with an admission a moment ago.
    #[must_use]
    pub fn free_tokens(&self, now: Instant, host: IpAddr) -> Option<u32> {
        let known = self.free_tokens.borrow().get(&host).copied();
        let (_, tokens) = known.filter(|(at, _)| now < *at + FREE_TOKENS_TTL)?;
        Some(tokens)
    }

    /// The number of tokens from the start of a prompt that `server` has in its KV
    /// cache; 0 if its sidecar does not answer at once.
    pub async fn lookup_prefix(&self, server: &ServerRecord, prompt_parts: Vec<(u64, u32)>) -> u32 {
        let (number, mut answers) = self.register_request();
        let _pending = PendingRequest {
            sidecars: self,
            number,
        };
        let lookup = PrefixLookup {
            server: server.id.to_string(),
            prompt_parts,
        };
        let to = SocketAddr::new(server.addr.ip(), self.port);
        self.send(to, number, RequestKind::Lookup(lookup));
        let answer = tokio::time::timeout(LOOKUP_TIMEOUT, answers.recv()).await;
        answer.ok().flatten().map_or(0, |a| a.cached_tokens)
    }

    /// The utilization of the engine next to the sidecar on `host`: the fraction of its
    /// time, slots or memory that calls use. None if the sidecar does not answer.
    pub async fn utilization(&self, host: IpAddr) -> Option<f64> {
        let (number, mut answers) = self.register_request();
        let _pending = PendingRequest {
            sidecars: self,
            number,
        };
        self.send(
            SocketAddr::new(host, self.port),
            number,
            RequestKind::Utilization,
        );
        let answer = tokio::time::timeout(UTILIZATION_TIMEOUT, answers.recv()).await;
        match answer.ok().flatten()?.verdict {
            Verdict::Utilization(thousandths) => Some(f64::from(thousandths) / 1e3),
            _ => None,
        }
    }

    /// Allocates the number of a new request, and the channel for its answers.
    fn register_request(&self) -> (u32, UnboundedReceiver<GrantResponse>) {
        let number = self.next_number.get();
        self.next_number.set(number.wrapping_add(1));
        let (sender, answers) = unbounded_channel();
        self.pending.borrow_mut().insert(number, sender);
        (number, answers)
    }

    /// Sends the admission request until the sidecar answers; none if it does not
    /// respond.
    async fn await_answer(
        &self,
        grant: &Grant,
        request: &AdmissionRequest,
        answers: &mut UnboundedReceiver<GrantResponse>,
    ) -> Option<GrantResponse> {
        for _ in 0..MAX_ATTEMPTS {
            self.send(
                grant.to,
                grant.number,
                RequestKind::Admission(request.clone()),
            );
            if let Ok(answer) = tokio::time::timeout(ANSWER_TIMEOUT, answers.recv()).await {
                return answer;
            }
        }
        None
    }

    fn start_backoff(&self, now: Instant, host: IpAddr) {
        let mut backoffs = self.backoffs.borrow_mut();
        let failures = backoffs.get(&host).map_or(0, |b| b.failures);
        let delay = INITIAL_BACKOFF.saturating_mul(1 << failures.min(8));
        let ends_at = now + delay.min(MAX_BACKOFF);
        backoffs.insert(
            host,
            Backoff {
                failures: failures + 1,
                ends_at,
            },
        );
        info!("sidecar not responding", kv: { host = host.to_string().as_str(), times = failures + 1 });
    }

    fn send(&self, to: SocketAddr, call_number: u32, kind: RequestKind) {
        let request = grants::GrantRequest {
            incarnation: self.incarnation,
            call_number,
            kind,
        };
        // A datagram that cannot be sent is treated like one that is lost.
        let _ = self.socket.try_send_to(&grants::encode(&request), to);
    }

    async fn receive(self: Rc<Self>) {
        let mut buffer = vec![0; grants::MAX_DATAGRAM_BYTES];
        let limiter = LineLimiter::default();
        loop {
            let (length, from) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(e) => {
                    // A host without a sidecar answers with an ICMP error, which
                    // surfaces here; the request itself runs into its timeout.
                    metrics::counter!("pimentocart_grant_errors_total").increment(1);
                    if e.kind() != io::ErrorKind::ConnectionRefused {
                        tokio::time::sleep(SOCKET_RETRY_DELAY).await;
                    }
                    continue;
                }
            };
            match grants::decode::<GrantResponse>(&buffer[..length]) {
                Ok(answer) => {
                    if let Some(sender) = self.pending.borrow().get(&answer.call_number) {
                        // A call that already has its decision has dropped its receiver.
                        let _ = sender.send(answer);
                    }
                }
                Err(e) => {
                    metrics::counter!("pimentocart_grant_errors_total").increment(1);
                    if let Some(unlogged) = limiter.record(tokio::time::Instant::now().into_std()) {
                        warn!("grant response not decoded", kv: {
                            peer = from.to_string().as_str(), cause = e.to_string().as_str(),
                            unlogged = unlogged
                        });
                    }
                }
            }
        }
    }
}

/// The time to a call's first event that an answer states; zero if the call is
/// admitted.
fn stated_wait(answer: &GrantResponse) -> Duration {
    match answer.verdict {
        Verdict::Queued(ms) | Verdict::Refused(ms) => Duration::from_millis(u64::from(ms)),
        _ => Duration::ZERO,
    }
}

fn is_queued(answer: &GrantResponse) -> bool {
    matches!(answer.verdict, Verdict::Queued(_))
}
